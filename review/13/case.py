"""A revoked key is accepted while an instance catches up with the log."""

import pathlib
import struct
import threading
import time

import scene3

from briarfall.standins.prepared import services
from briarfall.standins.prepared import store

_REVOKED_KEY = "key-two"
_REVOKE_S = 5.0
# The machine is cut off from the store for this long.
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
_DEFAULT_MAX_KB = 1024
# Makes the store reset all connections.
_RESET = -1


class BoundedStore(store.StoreStandin):
    """A store whose reads return at most `max_kb`, as the protocol says.

    Attributes:
        read_bytes: Bytes of records that a read returned at most.
    """

    read_bytes = 0

    def _respond(
        self, conn, status: int, body: bytes = b"", epoch: int | None = None
    ) -> None:
        if status == 200 and body[:1] == b"\0":
            body = self._bounded(body)
        super()._respond(conn, status, body, epoch)

    def _bounded(self, body: bytes) -> bytes:
        """Returns a read's records up to the longest response."""
        start = 16
        while start < len(body):
            (size,) = struct.unpack_from(">I", body, start)
            if start + 4 + size - 16 > _DEFAULT_MAX_KB * 1024:
                break
            start += 4 + size
        self.read_bytes = max(self.read_bytes, start - 16)
        return body[:start]


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

    def __init__(self, scene: scene3.Scene, instance: scene3.Instance):
        self._scene = scene
        self._instance = instance
        self._ends = threading.Event()
        self._lock = threading.Lock()
        # Time at which each request was sent, and its status.
        self.sent_s: dict[str, float] = {}
        self.status: dict[str, int] = {}
        self._threads = []
        for number in range(_CALLERS):
            thread = threading.Thread(target=self._call, args=(number,))
            thread.start()
            self._threads.append(thread)

    def _call(self, number: int) -> None:
        count = 0
        while not self._ends.wait(_PAUSE_S):
            count += 1
            request_id = f"c{number}-{count}"
            with self._lock:
                self.sent_s[request_id] = time.monotonic()
            answer = self._scene.call(
                self._instance,
                f"/views/{request_id}",
                request_id,
                key=_REVOKED_KEY,
                deadline_ms=2000,
            )
            with self._lock:
                self.status[request_id] = answer.status

    def stop(self) -> None:
        """Ends the callers."""
        self._ends.set()
        for thread in self._threads:
            thread.join()


def play(scene: scene3.Scene) -> bool:
    """Takes a key away; returns whether it was accepted much later."""
    both = (scene3.KEY, _REVOKED_KEY)
    scene.publish(_manifest(1, both))
    target = services.ServiceStandin(scene.store, "desk-1")
    scene.targets.append(target)
    instance = scene.start("edge-1")
    instance.wait_ready()
    time.sleep(1.0)
    callers = Callers(scene, instance)
    time.sleep(1.0)
    cut_s = time.monotonic()
    if scene3.HAS_TROUBLE:
        scene.store.status = _RESET
        scene.record("network: the machine is cut off from the store")
    time.sleep(_FIRST_VERSION_S)
    for version in range(2, 2 + _VERSIONS):
        scene.publish(_manifest(version, both))
        time.sleep(_GAP_S)
    scene.publish(_manifest(2 + _VERSIONS, (scene3.KEY,)))
    revoked_s = time.monotonic()
    scene.record("operator: the key is taken away, acknowledged")
    time.sleep(max(0.0, cut_s + _CUT_S - time.monotonic()))
    scene.store.status = 0
    scene.record("network: the machine reaches the store again")
    time.sleep(4.0)
    callers.stop()
    time.sleep(0.5)
    late = []
    for request_id in target.ran_ids():
        sent_s = callers.sent_s.get(request_id)
        if sent_s is not None and sent_s > revoked_s + _REVOKE_S:
            late.append((sent_s - revoked_s, request_id))
    late.sort()
    for after_s, request_id in late:
        scene.record(
            f"target: ran {request_id}, sent {after_s:.2f} s after the key "
            f"was taken away; status {callers.status.get(request_id)}"
        )
    served = sum(status == 200 for status in callers.status.values())
    scene.record(
        f"requests with the key: sent {len(callers.sent_s)}, served {served}, "
        f"run though sent over {_REVOKE_S} s after its end: {len(late)}; "
        f"longest read {scene.store.read_bytes} bytes"
    )
    if not served:
        raise scene3.CouldNotRunError("the key never worked")
    return bool(late)


if __name__ == "__main__":
    scene3.run(pathlib.Path(__file__).resolve().parent, play, BoundedStore())
