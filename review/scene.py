"""Gateway processes, stores and callers that the cases of the review share.

The gateways are started as the deploy file says, each in a process of its own.
The stand-ins of the store and of targets are the project's own.
"""

import collections.abc
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import typing

CHECKOUT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(CHECKOUT / "src"), str(CHECKOUT / "target" / "deps")]


HOST = "site.example"
KEYS = {"crew-key": "crew", "office-key": "office"}
START_S = 20.0
# Exit codes of a case.
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
# Bounds of a small deployment, as the pages' example of a settings file.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_ms": 3000,
    "ack_ms": 4000,
    "catchup_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "lost_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 449,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 0,
    "stall_ms": 3000,
    "require_fence": True,
}


def run(main: collections.abc.Callable[[], int]) -> typing.NoReturn:
    """Runs a case and exits with its code, or with 2 if it can't run.

    A case that is told to stop ends the processes that it started.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = COULD_NOT_RUN
    sys.exit(code)


def has_trouble() -> bool:
    """Returns whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Gateway:
    """A gateway in a process of its own.

    Args:
        name: Its name.
        zone: Its zone.
        store_address: Address of the store.
        folder: Folder of its settings and its log.
        host: Loopback host at which it listens.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store_address: str,
        folder: pathlib.Path,
        host: str = "127.0.0.1",
    ):
        self.name = name
        self.zone = zone
        front, ready, peer = free_ports(host, 3)
        self.front = (host, front)
        self.ready = (host, ready)
        self.log_path = folder / f"{name}.log"
        self.settings_path = folder / f"{name}.json"
        self.settings_path.write_text(
            json.dumps(
                {
                    "node": name,
                    "role": "gateway",
                    "class": "edge",
                    "serves": ["edge"],
                    "ip": host,
                    "zone": zone,
                    "region": "region",
                    "listen": {
                        "front": f"{host}:{front}",
                        "ready": f"{host}:{ready}",
                    },
                    "port_range": [peer, peer],
                    "seeds": [],
                    "bootstrap": True,
                    "limits": {
                        "cpu_share": 0.731,
                        "cores": 1,
                        "ram_mb": 222,
                        "max_fds": 1535,
                    },
                    "data_dir": None,
                    "heartbeat_ms": 1200,
                    "bounds": BOUNDS,
                    "platform": {"address": store_address, "form": "log"},
                }
            )
        )
        self.process: subprocess.Popen | None = None

    def change_settings(self, **fields) -> None:
        """Replaces the settings file, as the platform does."""
        found = json.loads(self.settings_path.read_text())
        new_path = self.settings_path.with_suffix(".new")
        new_path.write_text(json.dumps({**found, **fields}))
        os.replace(new_path, self.settings_path)

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(CHECKOUT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            # The bench sets it too; 1 keeps the memory of a process lowest.
            "MALLOC_ARENA_MAX": "1",
            "BRIARFALL_SETTINGS": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/gateway.py"],
                cwd=CHECKOUT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def is_ready(self) -> bool:
        """Returns whether the process says that it takes callers."""
        conn = http.client.HTTPConnection(*self.ready, timeout=1)
        try:
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def free_ports(host: str, count: int) -> list[int]:
    """Returns ports of a host that are free for TCP and UDP."""
    found: list[int] = []
    held = []
    while len(found) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        tcp.bind((host, 0))
        port = tcp.getsockname()[1]
        try:
            udp.bind((host, port))
        except OSError:
            continue
        found.append(port)
    for sock in held:
        sock.close()
    return found


def wait_until(
    condition: collections.abc.Callable[[], bool], what: str
) -> None:
    """Waits until a condition holds; ends the case as not run otherwise."""
    until_s = time.monotonic() + START_S
    while not condition():
        if time.monotonic() > until_s:
            print(f"the case could not run: not in {START_S:.0f} s: {what}")
            raise SystemExit(COULD_NOT_RUN)
        time.sleep(0.05)


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._start_s

    def restart(self) -> None:
        """Starts the time again."""
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        with self._lock:
            self._file.write(f"{self.now_s:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line, and prints it."""
        self.write(text)
        print(text)

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            self._file.close()


class Caller:
    """A client with one kept connection.

    Args:
        address: Front address of a gateway.
        key: Its key.
    """

    def __init__(self, address: tuple[str, int], key: str):
        self._address = address
        self._key = key
        self._conn: http.client.HTTPConnection | None = None
        # Headers of the last answer, by lower-case name.
        self.headers: dict[str, str] = {}

    def call(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 1500,
    ) -> tuple[int, bytes]:
        """Sends a request; returns status and body, or 0 and an error."""
        if self._conn is None:
            self._conn = http.client.HTTPConnection(
                *self._address, timeout=deadline_ms / 1000 + 1
            )
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": self._key,
        }
        try:
            self._conn.request(method, path, body=body, headers=headers)
            resp = self._conn.getresponse()
            self.headers = {k.lower(): v for k, v in resp.getheaders()}
            data = resp.read()
            if resp.will_close:
                self.close()
            return resp.status, data
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            return 0, repr(exc).encode()

    def close(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


def new_folder() -> tempfile.TemporaryDirectory:
    """Returns a temporary folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="review-")
