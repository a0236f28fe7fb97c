"""Instances as real processes, and the platform around them, for one case.

A case starts instances with the command of the deploy file, on loopback
addresses. The store is the project's stand-in; targets and callers are those
of the case. What was sent, answered and run goes to `record.txt`.
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

import msgspec

from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import store

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = "key-one"
HOST = "shop.example"
# Exit codes of a script.
HELD = 0
BROKEN = 1
NOT_RUN = 2
_HEARTBEAT_S = 1.2
_READY_TIMEOUT_S = 30.0
_CLIENT_TIMEOUT_S = 30.0
_GRACE_S = 8
# Without the disruption the script does the same and has to pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Answer(msgspec.Struct):
    """What a caller has got.

    Attributes:
        status: Status, or 0 if there was none.
        headers: Headers, by lower-case name.
        body: Body as far as it arrived.
        is_complete: Whether the response ended as its framing says.
        error: Why it has not ended so.
    """

    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    is_complete: bool = False
    error: str = ""


def route(name: str, prefix: str, kind: str, service: str, **extra) -> dict:
    """Returns a route of a manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 20_000,
        "slo_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **extra,
    }


def manifest(
    version: int, routes: list[dict], keys: collections.abc.Iterable[str]
) -> dict:
    """Returns a manifest with one client account."""
    return {
        "version": version,
        "routes": routes,
        "services": manifests.SERVICES,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "crew", "api_keys": list(keys)}],
    }


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that are free for connections and datagrams."""
    socks = []
    ports = []
    try:
        while len(ports) < count:
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            socks.append(stream)
            stream.bind(("127.0.0.1", 0))
            port = stream.getsockname()[1]
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            socks.append(datagram)
            try:
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
        return ports
    finally:
        for sock in socks:
            sock.close()


class Instance:
    """A process of the deploy file.

    Args:
        name: Name of the instance.
        zone: Its zone.
        store_address: Address at which it finds the store.
        folder: Folder for settings and log.
        peer_port: Port for other instances, or 0 for a free one.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store_address: str,
        folder: pathlib.Path,
        peer_port: int = 0,
    ):
        front, ready, peer = free_ports(3)
        peer = peer_port or peer
        self.name = name
        self.front = ("127.0.0.1", front)
        self.ready = ("127.0.0.1", ready)
        self.log = folder / f"{name}.log"
        settings = folder / f"{name}.json"
        settings.write_text(
            json.dumps(_settings(name, zone, store_address, front, ready, peer))
        )
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["BRIARFALL_SETTINGS"] = str(settings)
        with self.log.open("wb") as log:
            self._process = subprocess.Popen(
                ["python3", "deploy/gateway.py"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def wait_ready(self) -> None:
        """Waits until the instance says that it is ready.

        Raises:
            CouldNotRunError: It did not in time.
        """
        until_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until_s and self.is_running:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CouldNotRunError(f"{self.name} does not become ready")

    def is_ready(self) -> bool:
        """Whether the instance says that it is ready."""
        conn = http.client.HTTPConnection(*self.ready, timeout=1.0)
        try:
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()

    def close(self) -> None:
        """Kills the process."""
        if self.is_running:
            self._process.kill()
        self._process.wait()


def _settings(
    name: str, zone: str, store_address: str, front: int, ready: int, peer: int
) -> dict:
    return {
        "node": name,
        "role": "gateway",
        "class": "edge",
        "serves": ["edge"],
        "ip": "127.0.0.1",
        "zone": zone,
        "region": "r1",
        "zones": {"z1": "r1", "z2": "r1", "z3": "r1"},
        "listen": {
            "front": f"127.0.0.1:{front}",
            "ready": f"127.0.0.1:{ready}",
        },
        "port_range": [peer, peer + 1],
        "seeds": [],
        "bootstrap": True,
        "limits": {
            "cpu_share": 0.731,
            "cores": 1,
            "ram_mb": 222,
            "max_fds": 1535,
            "link_mbps": 350.0,
            "disk_mb": 0,
        },
        "data_dir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat_ms": _HEARTBEAT_S * 1000,
        "bounds": {
            "stability_ms": 3000,
            "drain_ms": 2000,
            "grace_s": _GRACE_S,
            "lost_ms": 200,
            "config_ms": 2000,
            "rollback_slack_ms": 250,
            "strict_revoke": True,
            "revoke_ms": 5000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 449,
            "recover_s": 12,
            "stall_ms": 3000,
            "require_fence": True,
        },
        "platform": {"address": store_address, "form": "log"},
    }


class Scene:
    """The platform of one case.

    Args:
        folder: Folder of the case, which gets `record.txt`.
        platform: The store, or None for a new stand-in.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        platform: store.StoreStandin | None = None,
    ):
        self._folder = folder
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._lines: list[str] = []
        self._closing = threading.Event()
        self._temporary = tempfile.TemporaryDirectory()
        self.store = platform or store.StoreStandin()
        self.instances: list[Instance] = []
        self.targets: list = []
        self._beating = threading.Thread(target=self._beat, daemon=True)
        self._beating.start()

    def record(self, text: str) -> None:
        """Adds a line with the time to the record."""
        seconds = time.monotonic() - self._started_s
        with self._lock:
            self._lines.append(f"{seconds:8.3f} {text}")

    def publish(self, value: dict) -> None:
        """Writes a manifest, as the operator does."""
        self.store.put("keyed.op", "config", value)
        self.record(f"operator: manifest version={value['version']}")

    def start(
        self,
        name: str,
        zone: str = "z1",
        store_address: str = "",
        peer_port: int = 0,
    ) -> Instance:
        """Starts an instance; returns at once."""
        found = Instance(
            name,
            zone,
            store_address or self.store.address,
            pathlib.Path(self._temporary.name),
            peer_port,
        )
        self.instances.append(found)
        self.record(f"{name}: started")
        return found

    def call(
        self,
        instance: Instance,
        path: str,
        request_id: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 20_000,
        key: str = KEY,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends a request as a caller, on a connection of its own."""
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": key,
            **(headers or {}),
        }
        self.record(
            f"caller: sends {request_id} {method} {path} to {instance.name}, "
            f"{len(body)} bytes"
        )
        answer = _exchange(instance.front, method, path, body, fields)
        self.record(
            f"caller: got {request_id} status={answer.status} "
            f"bytes={len(answer.body)} complete={answer.is_complete} "
            f"signature={answer.headers.get('x-response-signature')} "
            f"{answer.error}"
        )
        return answer

    def _beat(self) -> None:
        """Renews the entries of the targets."""
        while not self._closing.wait(_HEARTBEAT_S):
            for target in list(self.targets):
                target.register()

    def close(self) -> None:
        """Ends all processes and writes the record."""
        self._closing.set()
        self._beating.join()
        for instance in self.instances:
            instance.close()
        for target in self.targets:
            target.close()
        self.store.close()
        if "KEEP_LOGS" in os.environ:
            for instance in self.instances:
                kept = pathlib.Path(os.environ["KEEP_LOGS"], instance.log.name)
                kept.write_bytes(instance.log.read_bytes())
        self._temporary.cleanup()
        text = "\n".join(self._lines) + "\n"
        (self._folder / "record.txt").write_text(text)


def _exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
) -> Answer:
    answer = Answer()
    conn = http.client.HTTPConnection(*address, timeout=_CLIENT_TIMEOUT_S)
    try:
        conn.request(method, path, body=body, headers=headers)
        resp = conn.getresponse()
        answer.status = resp.status
        answer.headers = {
            name.lower(): value for name, value in resp.getheaders()
        }
        while True:
            piece = resp.read1(65_536)
            if not piece:
                break
            answer.body += piece
        # `read1` doesn't tell a body that is shorter than announced.
        length = answer.headers.get("content-length")
        answer.is_complete = (
            length is None
            or method == "HEAD"
            or int(length) == len(answer.body)
        )
    except (OSError, http.client.HTTPException) as exc:
        answer.error = f"{type(exc).__name__}: {exc}"
    finally:
        conn.close()
    return answer


def run(
    folder: pathlib.Path,
    play: collections.abc.Callable[[Scene], bool],
    platform: store.StoreStandin | None = None,
) -> None:
    """Plays a case and exits with its result.

    Args:
        folder: Folder of the case.
        play: Plays it; returns whether the rule was broken.
        platform: The store, or None for a new stand-in.
    """
    signal.signal(signal.SIGTERM, _end)
    scene = Scene(folder, platform)
    code = NOT_RUN
    try:
        code = BROKEN if play(scene) else HELD
    except CouldNotRunError as exc:
        scene.record(f"could not run: {exc}")
    except Exception:
        scene.record(f"could not run: {traceback.format_exc()}")
    finally:
        names = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}
        scene.record(f"result: {names[code]} trouble={HAS_TROUBLE}")
        scene.close()
    print(f"{folder.name}: {names[code]}")
    sys.exit(code)


def _end(number: int, frame) -> None:
    """Ends the script, and with it its processes."""
    sys.exit(NOT_RUN)
