"""A revoked key is accepted while an instance catches up with the log."""

import base64
import json
import pathlib
import select
import socket
import struct
import threading
import time
import urllib.parse

import scene3

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import services
from briarfall.standins.prepared import store

# Keys that are taken away, one in each round.
_REVOKED_KEYS = ("key-two", "key-three")
_REVOKE_S = 5.0
# The machine is cut off from the store and the other machines for this long.
_CUT_S = 12.0
# Time from the begin of that to the first further version.
_FIRST_VERSION_S = 0.9
# The manifest has grown by this many routes before.
_ROUTES = 350
# Versions in quick succession, before the one that takes the key away.
_VERSIONS = 12
_GAP_S = 0.33
_CALLERS = 4
_PAUSE_S = 0.02
_MAX_READ_BYTES = 1024 * 1024
_READ_HEAD_BYTES = 16
_INSTANCES = "keyed.briarfall-instances"
_OTHERS = ("edge-2", "edge-3")


class BoundedStore(store.StoreStandin):
    """A store whose reads return at most 1,024 KB, as the protocol says.

    Attributes:
        read_bytes: Bytes of records that a read returned at most.
    """

    read_bytes = 0

    def _respond(
        self, conn, status: int, body: bytes = b"", epoch: int | None = None
    ) -> None:
        # Reads begin with the end of the topic, other answers with a brace.
        if status == 200 and body[:1] == b"\0":
            body = self._bounded(body)
        super()._respond(conn, status, body, epoch)

    def _bounded(self, body: bytes) -> bytes:
        """Returns a read's records up to the longest response."""
        end = _READ_HEAD_BYTES
        while end < len(body):
            (size,) = struct.unpack_from(">I", body, end)
            if end + 4 + size - _READ_HEAD_BYTES > _MAX_READ_BYTES:
                break
            end += 4 + size
        self.read_bytes = max(self.read_bytes, end - _READ_HEAD_BYTES)
        return body[:end]


class Network:
    """The network between one machine, the store and the other machines.

    The machine knows the others by addresses of this proxy, and they know it
    by one, so that datagrams between them pass here.

    Args:
        platform: The store.

    Attributes:
        store_address: Address at which the machine finds the store.
        port: Port of the machine for other machines.
        is_cut: Whether nothing passes.
    """

    def __init__(self, platform: BoundedStore):
        self._store = platform
        self.is_cut = False
        self._server = rawhttp.RawServer(self._handle)
        self.store_address = self._server.address
        ports = scene3.free_ports(1 + len(_OTHERS))
        self.port = ports[0]
        self.other_ports = dict(zip(_OTHERS, ports[1:], strict=True))
        self._outer = _datagram_socket()
        self._inner = {name: _datagram_socket() for name in _OTHERS}
        # Addresses that the two sides see, in place of the real ones.
        self._outer_text = _text(self._outer.getsockname()[1])
        self._inner_text = {}
        for name, sock in self._inner.items():
            self._inner_text[name] = _text(sock.getsockname()[1])
        threading.Thread(target=self._pass_datagrams, daemon=True).start()

    def cut(self) -> None:
        """Cuts the machine off; its connections to the store are reset."""
        self.is_cut = True
        self._server.reset_all()

    def heal(self) -> None:
        """Ends the cut."""
        self.is_cut = False

    def close(self) -> None:
        """Stops listening."""
        self._server.close()

    def _pass_datagrams(self) -> None:
        names = {sock: name for name, sock in self._inner.items()}
        while True:
            ready, _, _ = select.select([self._outer, *names], [], [])
            for sock in ready:
                data, (_, source) = sock.recvfrom(65_536)
                if self.is_cut:
                    continue
                if sock in names:
                    self._pass_out(data, names[sock])
                else:
                    self._pass_in(data, source)

    def _pass_out(self, data: bytes, name: str) -> None:
        """Passes a datagram of the machine on to another one."""
        data = data.replace(_text(self.port), self._outer_text)
        self._outer.sendto(data, ("127.0.0.1", self.other_ports[name]))

    def _pass_in(self, data: bytes, source: int) -> None:
        """Passes a datagram of another machine on to the machine."""
        for name, port in self.other_ports.items():
            if port == source:
                data = data.replace(_text(port), self._inner_text[name])
                self._inner[name].sendto(data, ("127.0.0.1", self.port))

    def _handle(self, conn, req) -> bool:
        """Serves a call of the machine to the store."""
        if self.is_cut:
            conn.reset()
            return False
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(req.target).query)
        )
        if query.get("topic") != _INSTANCES:
            return self._store._handle(conn, req)
        if req.path.endswith("log-newest"):
            self._answer_instances(conn)
            return True
        req.body = req.body.replace(_text(self.port), self._outer_text)
        return self._store._handle(conn, req)

    def _answer_instances(self, conn) -> None:
        """Lists the instances by the addresses that the machine sees."""
        items = []
        for key in self._store.keys(_INSTANCES):
            value = self._store.value(_INSTANCES, key) or b""
            if key in _OTHERS:
                seen = self._inner_text[key]
                value = value.replace(_text(self.other_ports[key]), seen)
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": 0})
        page = {"items": items, "has_more": False, "end": len(items)}
        conn.respond(
            200,
            json.dumps(page).encode(),
            {"Store-Era": str(self._store.epoch)},
        )


def _datagram_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    return sock


def _text(port: int) -> bytes:
    """Returns an address as messages hold it; all have the same length."""
    return f"127.0.0.1:{port:05d}".encode()


def _manifest(version: int, keys: tuple[str, ...]) -> dict:
    routes = [scene3.route("views", "/views/", "idempotent", "desk")]
    for number in range(_ROUTES):
        name = f"further-route-{number:04d}-of-the-catalogue"
        routes.append(
            scene3.route(name, f"/{name}/", "idempotent", "desk", sticky=False)
        )
    return scene3.manifest(version, routes, keys)


class Callers:
    """Callers that go on with the key that is taken away."""

    def __init__(
        self, scene: scene3.Scene, instance: scene3.Instance, key: str
    ):
        self._scene = scene
        self._instance = instance
        self._key = key
        self._ends = threading.Event()
        self._lock = threading.Lock()
        # Time at which each request was sent, and its status.
        self.sent_s: dict[str, float] = {}
        self.status: dict[str, int] = {}
        self._threads = []
        for number in range(_CALLERS):
            thread = threading.Thread(
                target=self._call, args=(number,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def _call(self, number: int) -> None:
        count = 0
        while not self._ends.wait(_PAUSE_S):
            count += 1
            request_id = f"{self._key}-{number}-{count}"
            with self._lock:
                self.sent_s[request_id] = time.monotonic()
            answer = self._scene.call(
                self._instance,
                f"/views/{request_id}",
                request_id,
                key=self._key,
                deadline_ms=2000,
            )
            with self._lock:
                self.status[request_id] = answer.status

    def stop(self) -> None:
        """Ends the callers."""
        self._ends.set()
        for thread in self._threads:
            thread.join()


class Round:
    """One cut, in which a key is taken away.

    Attributes:
        late: Seconds after the end of the key, and id, of each request with
            it that ran though it was sent much later.
        served: Requests with it that were served.
    """

    def __init__(
        self,
        scene: scene3.Scene,
        network: Network,
        instance: scene3.Instance,
        target: services.ServiceStandin,
    ):
        self._scene = scene
        self._network = network
        self._instance = instance
        self._target = target
        self._revoked_s = 0.0
        self.late: list[tuple[float, str]] = []
        self.served = 0

    def play(self, key: str, kept: tuple[str, ...], version: int) -> None:
        """Plays it; publishes versions from `version` on."""
        scene = self._scene
        callers = Callers(scene, self._instance, key)
        time.sleep(1.0)
        cut_s = time.monotonic()
        if scene3.HAS_TROUBLE:
            self._network.cut()
            scene.record("network: edge-1 is cut off from store and machines")
        time.sleep(_FIRST_VERSION_S)
        for number in range(_VERSIONS):
            scene.publish(_manifest(version + number, (*kept, key)))
            time.sleep(_GAP_S)
        scene.publish(_manifest(version + _VERSIONS, kept))
        self._revoked_s = time.monotonic()
        scene.record(f"operator: {key} is taken away, acknowledged")
        time.sleep(max(0.0, cut_s + _CUT_S - time.monotonic()))
        self._network.heal()
        scene.record("network: edge-1 reaches store and machines again")
        time.sleep(6.0)
        callers.stop()
        self._judge(key, callers)

    def _judge(self, key: str, callers: Callers) -> None:
        for request_id in self._target.ran_ids():
            sent_s = callers.sent_s.get(request_id)
            if sent_s is None or sent_s <= self._revoked_s + _REVOKE_S:
                continue
            self.late.append((sent_s - self._revoked_s, request_id))
        self.late.sort()
        for after_s, request_id in self.late:
            self._scene.record(
                f"target: ran {request_id}, sent {after_s:.2f} s after the key "
                f"was taken away; status {callers.status.get(request_id)}"
            )
        self.served = sum(row == 200 for row in callers.status.values())
        self._scene.record(
            f"requests with {key}: sent {len(callers.sent_s)}, served "
            f"{self.served}, run though sent over {_REVOKE_S} s after its end: "
            f"{len(self.late)}; longest read {self._scene.store.read_bytes} "
            "bytes"
        )


def play(scene: scene3.Scene) -> bool:
    """Takes keys away; returns whether one was accepted much later."""
    scene.publish(_manifest(1, (scene3.KEY, *_REVOKED_KEYS)))
    target = services.ServiceStandin(scene.store, "desk-1")
    scene.targets.append(target)
    network = Network(scene.store)
    for name in _OTHERS:
        scene.start(name, "z2", peer_port=network.other_ports[name])
    instance = scene.start("edge-1", "z1", network.store_address, network.port)
    for row in scene.instances:
        row.wait_ready()
    time.sleep(2.0)
    rounds = []
    version = 2
    for number, key in enumerate(_REVOKED_KEYS):
        played = Round(scene, network, instance, target)
        rounds.append(played)
        kept = (scene3.KEY, *_REVOKED_KEYS[number + 1 :])
        played.play(key, kept, version)
        version += _VERSIONS + 1
    network.close()
    if not all(row.served for row in rounds):
        raise scene3.CouldNotRunError("a key never worked")
    return any(row.late for row in rounds)


if __name__ == "__main__":
    scene3.run(pathlib.Path(__file__).resolve().parent, play, BoundedStore())
