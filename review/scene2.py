"""What the scripts of cases 6 to 10 share: instances, targets and callers.

Instances run as processes of their own, by the command of the deploy file and
with settings as the platform's page shows them. The store, the targets and the
callers are stand-ins within the script. All addresses are loopback addresses.
"""

import collections.abc
import http.client
import itertools
import json
import os
import pathlib
import random
import select
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
sys.path[:0] = [str(ROOT / "src"), str(DEPS)]

from briarfall.standins.prepared import manifests  # noqa: E402
from briarfall.standins.prepared import store  # noqa: E402

HOST = "shop.example"
LOCAL = "127.0.0.1"
HEARTBEAT_S = 1.2
# Silence after which the platform removes the entry of a target.
LAPSE_S = 3 * HEARTBEAT_S
STABILITY_S = 3.0
BROKEN = 1
HELD = 0
NOT_RUN = 2
_READY_WAIT_S = 20.0
_RECEIVE_BYTES = 65_536
_PORTS = (20_000, 32_000)
_ports: set[int] = set()


class CaseError(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Whether the script makes the disruption of its case."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Returns a port that is free for TCP and UDP, and was not returned before.

    It lies below the ports that the kernel gives to outgoing connections.
    """
    while True:
        port = random.randrange(*_PORTS)
        if port in _ports:
            continue
        _ports.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((LOCAL, port))
        except OSError:
            continue
        return port


class Record:
    """Lines of the file `record.txt`, with the time since its start.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.start_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.start_s

    def add(self, text: str) -> None:
        """Writes a line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f}  {text}\n")
            self._file.flush()

    def conclude(self, text: str) -> None:
        """Writes a line to the file and to the standard output."""
        self.add(text)
        print(text, flush=True)


def route(name: str, kind: str, service: str, **extra) -> dict:
    """Returns a route of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "slo_ms": 200,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **extra,
    }


def manifest(routes: list[dict], tenants: dict[str, str]) -> dict:
    """Returns the first manifest.

    Args:
        routes: Its routes.
        tenants: Key of each tenant, by name.
    """
    rows = []
    for name, key in tenants.items():
        rows.append({"name": name, "api_keys": [key]})
    return {
        "version": 3,
        "routes": routes,
        "services": manifests.SERVICES,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": rows,
    }


class Instance:
    """A process of the project, started as the deploy file says.

    Args:
        name: Name of the machine.
        zone: Its zone.
        store_address: Address of the store.
        folder: Folder for its settings and its log.
        is_first_start: Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store_address: str,
        folder: pathlib.Path,
        *,
        is_first_start: bool = True,
    ):
        self.name = name
        self.front = (LOCAL, free_port())
        self.ready = (LOCAL, free_port())
        peer = free_port()
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            json.dumps(
                _settings(
                    name,
                    zone,
                    store_address,
                    self.front[1],
                    self.ready[1],
                    peer,
                    is_first_start=is_first_start,
                )
            )
        )
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        env = {
            "BRIARFALL_SETTINGS": str(self._settings),
            "PYTHONPATH": str(DEPS),
        }
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                env[name] = os.environ[name]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self) -> None:
        """Waits until it counts as ready.

        Raises:
            CaseError: It does not in time.
        """
        until_s = time.monotonic() + _READY_WAIT_S
        while time.monotonic() < until_s:
            if self._process.poll() is not None:
                raise CaseError(f"{self.name} has ended")
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CaseError(f"{self.name} is not ready")

    def is_ready(self) -> bool:
        """Whether it counts as ready."""
        conn = http.client.HTTPConnection(*self.ready, timeout=1.0)
        try:
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()

    def cpu_s(self) -> float:
        """Returns the processor time that the process has used, in seconds."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Returns the resident memory of the process, or 0 if it has ended."""
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return 0
        for line in lines:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def unread_bytes(self) -> int:
        """Returns the bytes that have come from callers and were not read."""
        local = f"{int.from_bytes(socket.inet_aton(LOCAL), 'little'):08X}"
        end = f"{local}:{self.front[1]:04X}"
        total = 0
        with pathlib.Path("/proc/net/tcp").open() as file:
            for line in file:
                fields = line.split()
                # Listening sockets have their backlog in this place.
                if fields[1] == end and fields[3] != "0A":
                    total += int(fields[4].partition(":")[2], 16)
        return total

    def log_lines(self, text: str) -> list[str]:
        """Returns the lines of its log that hold a text."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]

    def close(self) -> None:
        """Kills the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


def _settings(
    name: str,
    zone: str,
    store_address: str,
    front: int,
    ready: int,
    peer: int,
    *,
    is_first_start: bool,
) -> dict:
    return {
        "node": name,
        "role": "gateway",
        "class": "edge",
        "serves": ["edge"],
        "ip": LOCAL,
        "zone": zone,
        "region": "viti-levu",
        "zones": {"suva": "viti-levu", "nausori": "viti-levu"},
        "listen": {"front": f"{LOCAL}:{front}", "ready": f"{LOCAL}:{ready}"},
        "port_range": [peer, peer + 1],
        "seeds": [],
        "bootstrap": is_first_start,
        "bear_loss": False,
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
        "heartbeat_ms": int(HEARTBEAT_S * 1000),
        "contracts": ["base", "drain", "config", "retry", "tenants"],
        "tolerate": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": {
            "seed_lag_s": 3,
            "reuse_after_s": 2,
            "stability_ms": int(STABILITY_S * 1000),
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
        },
        "platform": {
            "address": store_address,
            "form": "log",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "parts": 12,
            "append_ms": 2.0,
            "part_mb_s": 20.0,
            "read_mb_s": 80.0,
            "record_bytes": 262_144,
            "call_bytes": 2_097_152,
            "keep_s": 300,
            "part_mb": 200,
            "ttl_min_ms": 1000,
        },
    }


class Scene:
    """The store, targets and instances of one case.

    Args:
        folder: Folder of the case, for its record.
        store_standin: The store; None for one without faults.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        store_standin: store.StoreStandin | None = None,
    ):
        self.record = Record(folder)
        self.store = store_standin or store.StoreStandin()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._closers = [self.store.close]
        self.stopped = threading.Event()

    def publish(self, value: dict) -> None:
        """Writes a manifest, as the operator does."""
        self.store.put("keyed.op", "config", value)
        self.record.add(f"manifest {value['version']} written")

    def instance(self, name: str, zone: str = "suva", **extra) -> Instance:
        """Starts an instance; it may not be ready yet."""
        found = Instance(name, zone, self.store.address, self.folder, **extra)
        found.start()
        self._closers.append(found.close)
        self.record.add(f"{name} started, callers at port {found.front[1]}")
        return found

    def on_close(self, closer: collections.abc.Callable[[], None]) -> None:
        """Calls a function at the end."""
        self._closers.append(closer)

    def repeat(
        self, period_s: float, step: collections.abc.Callable[[], None]
    ) -> None:
        """Calls a function again and again until the end."""

        def run():
            while not self.stopped.wait(period_s):
                step()

        threading.Thread(target=run, daemon=True).start()

    def close(self) -> None:
        """Ends all that was started."""
        self.stopped.set()
        for closer in reversed(self._closers):
            closer()
        self._temporary.cleanup()


class Answer:
    """What a caller got.

    Attributes:
        status: Status, or 0 without a complete head.
        headers: Headers with lower-case names.
        body: The body as far as it came.
        is_whole: Whether the body came to its end.
        error: What went wrong for the caller, or empty.
    """

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.error = ""


_numbers = itertools.count(1)


def new_id(prefix: str) -> str:
    """Returns a request id that no other attempt has."""
    return f"{prefix}-{next(_numbers)}"


def call(
    instance: Instance,
    method: str,
    path: str,
    request_id: str,
    *,
    key: str,
    deadline_ms: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends one attempt on a new connection and reads the answer.

    A caller gives up at its deadline.
    """
    found = Answer()
    conn = http.client.HTTPConnection(
        *instance.front, timeout=deadline_ms / 1000
    )
    fields = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": key,
        **(headers or {}),
    }
    try:
        conn.request(method, path, body=body or None, headers=fields)
        resp = conn.getresponse()
        found.status = resp.status
        for name, value in resp.getheaders():
            found.headers[name.lower()] = value
        found.body = resp.read()
        found.is_whole = True
    except http.client.IncompleteRead as exc:
        found.body = exc.partial
        found.error = "incomplete"
    except (OSError, http.client.HTTPException) as exc:
        found.error = type(exc).__name__
    finally:
        conn.close()
    return found


class Request:
    """A request that reached a target.

    Attributes:
        method: Its method.
        path: Its path with the query.
        headers: Headers with lower-case names.
        body: Its body.
    """

    def __init__(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """Its id."""
        return self.headers.get("x-request-id", "")


class Target:
    """A sound target that can lose its power.

    It registers itself in the store while it has power. Subclasses handle
    requests.

    Args:
        scene: The scene.
        name: Its id.
        service: Its service.
        zone: Its zone.
        port: Port to listen at; 0 for a new one.
    """

    SLOTS = 6
    # Time after which a connection without a request is closed.
    IDLE_S = 15.0

    def __init__(
        self,
        scene: Scene,
        name: str,
        service: str,
        zone: str = "suva",
        port: int = 0,
    ):
        self.id = name
        self.scene = scene
        self.service = service
        self.zone = zone
        self.lock = threading.Lock()
        self.has_power = threading.Event()
        self.has_power.set()
        self.has_ended = threading.Event()
        self._beat = 0
        self.born_ms = int(time.time() * 1000)
        self._socks: set[socket.socket] = set()
        self.port = port or free_port()
        self._listener = socket.create_server((LOCAL, self.port), backlog=16)
        self.address = f"{LOCAL}:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()
        scene.on_close(self.end)
        self.register()
        threading.Thread(target=self._renew, daemon=True).start()

    def entry(self) -> dict:
        """Returns its entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._beat,
            "born": self.born_ms,
        }

    def register(self) -> None:
        """Writes its entry, with the next number."""
        if self.has_power.is_set() and not self.has_ended.is_set():
            self._beat += 1
            self.scene.store.put("keyed.servers", self.id, self.entry())

    def _renew(self) -> None:
        while not self.has_ended.wait(HEARTBEAT_S):
            self.register()

    def go_dark(self) -> None:
        """Loses its power: nothing answers any more, nothing is closed.

        The platform removes its entry after three heartbeats of silence.
        """
        self.has_power.clear()
        self.scene.record.add(f"target {self.id} went dark")
        timer = threading.Timer(LAPSE_S, self._remove_entry)
        timer.daemon = True
        timer.start()

    def crash(self) -> None:
        """Ends its process: connections are closed, new ones refused.

        The platform removes its entry after three heartbeats of silence.
        """
        if self.has_ended.is_set():
            return
        self.end()
        timer = threading.Timer(LAPSE_S, self._remove_entry)
        timer.daemon = True
        timer.start()

    def _remove_entry(self) -> None:
        self.scene.store.drop("keyed.servers", self.id)
        self.scene.record.add(f"entry of {self.id} removed")

    def end(self) -> None:
        """Closes the listener and all connections, as the system does."""
        self.has_ended.set()
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        with self.lock:
            socks = list(self._socks)
        for sock in socks:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self) -> None:
        while True:
            try:
                if not select.select([self._listener], [], [], 0.1)[0]:
                    continue
                if not self.has_power.is_set():
                    # The kernel's queue fills, and further attempts hang.
                    time.sleep(0.1)
                    continue
                sock, _ = self._listener.accept()
            except (OSError, ValueError):
                return
            sock.setblocking(True)
            with self.lock:
                self._socks.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        rest = bytearray()
        try:
            while True:
                if (
                    not rest
                    and not select.select([sock], [], [], self.IDLE_S)[0]
                ):
                    return
                req = _read_request(sock, rest)
                if req is None or not self._handle(sock, req):
                    return
        except OSError:
            return
        finally:
            # A target without power closes nothing.
            if self.has_power.is_set() or self.has_ended.is_set():
                with self.lock:
                    self._socks.discard(sock)
                sock.close()

    def _handle(self, sock: socket.socket, req: Request) -> bool:
        self.await_power()
        expected = req.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            send(sock, 421, {"X-Request-Id": req.id})
            return True
        return self.handle(sock, req)

    def await_power(self) -> None:
        """Hangs without power; raises OSError once the target has ended."""
        while not self.has_power.is_set():
            if self.has_ended.wait(0.1):
                raise OSError("ended")

    def handle(self, sock: socket.socket, req: Request) -> bool:
        """Handles a request; returns whether the connection stays open."""
        raise NotImplementedError

    def echo(self, req: Request) -> dict[str, str]:
        """Returns the headers of each of its answers to a request."""
        return {"X-Request-Id": req.id, "X-Response-Signature": f"s.{self.id}"}


def send(
    sock: socket.socket,
    status: int,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Sends a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def _read_request(sock: socket.socket, rest: bytearray) -> Request | None:
    while b"\r\n\r\n" not in rest:
        data = sock.recv(_RECEIVE_BYTES)
        if not data:
            return None
        rest += data
    head, _, tail = bytes(rest).partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = bytearray(tail)
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        data = sock.recv(_RECEIVE_BYTES)
        if not data:
            return None
        body += data
    rest[:] = body[length:]
    return Request(method, path, headers, bytes(body[:length]))


def wait_for_targets(instance: Instance, what: str, check) -> None:
    """Waits until a check holds.

    Raises:
        CaseError: It does not in time.
    """
    until_s = time.monotonic() + _READY_WAIT_S
    while not check():
        if time.monotonic() > until_s:
            raise CaseError(f"{instance.name}: not in time: {what}")
        time.sleep(0.1)


def _end(number: int, frame: object) -> None:
    raise CaseError("it was told to end")


def run(case: collections.abc.Callable[[], int]) -> None:
    """Runs a case and exits with its result.

    A case that is told to end ends what it has started.
    """
    signal.signal(signal.SIGTERM, _end)
    try:
        result = case()
    except CaseError as exc:
        print(f"the case could not run: {exc}", flush=True)
        result = NOT_RUN
    except Exception as exc:
        print(f"the case could not run: {exc!r}", flush=True)
        result = NOT_RUN
    sys.stdout.flush()
    os._exit(result)
