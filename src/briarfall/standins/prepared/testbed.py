"""Stand-ins of the prepared platform and gateway instances for tests."""

import contextlib
import copy
import http.client
import threading
import time

from briarfall import ids
from briarfall import settings
from briarfall import strictheads
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.instance import config
from briarfall.gateway.instance import instance
from briarfall.platform import main
from briarfall.standins.prepared import engines
from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import scriptedtarget
from briarfall.standins.prepared import services
from briarfall.standins.prepared import store

WAIT_S = 20.0
KEY = "key-1"
HOST = "shop.example"


def until(condition, what: str) -> None:
    """Waits until a condition is true.

    Raises:
        AssertionError: The condition was not true in time.
    """
    deadline_s = time.monotonic() + WAIT_S
    pause = threading.Event()
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"not within {WAIT_S} s: {what}")
        pause.wait(0.01)


def route(name: str, prefix: str, kind: str, service: str, **extra) -> dict:
    """Returns a route of the operator's manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "slo_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **extra,
    }


def manifest(version: int, *, keys=(KEY,), routes=None) -> dict:
    """Returns a complete manifest."""
    if routes is None:
        routes = [
            route("orders", "/orders/", "mutating", "desk"),
            route("views", "/views/", "idempotent", "desk"),
            route(
                "drafts",
                "/drafts/",
                "streaming",
                "pool",
                resumable=True,
                gap_aim_ms=200,
                timeout_ms=20000,
            ),
        ]
    return {
        "version": version,
        "routes": routes,
        "services": manifests.SERVICES,
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "crew", "api_keys": list(keys)}],
    }


def tiny_kind_manifest(version: int) -> dict:
    """Returns a manifest with the additional kind `tiny` of engines."""
    found = copy.deepcopy(manifest(version))
    for service in found["services"]:
        if "engine" in service:
            service["engine"]["kinds"].append(manifests.TINY_KIND)
    return found


class World:
    """Stand-ins and gateway instances of one test."""

    def __init__(self):
        self.store = store.StoreStandin()
        self.fleet = {}
        self.instances: list[instance.Instance] = []
        self.platforms: list[main.StorePlatform] = []
        self._closers = [self.store.close]
        self.publish(manifest(1))

    def publish(self, value: dict) -> None:
        """Writes a manifest to the store, as the operator does."""
        self.store.put("keyed.op", "config", value)

    def service(self, target_id: str, service="desk", zone="z1"):
        """Starts a plain service."""
        target = services.ServiceStandin(self.store, target_id, service, zone)
        self._closers.append(target.close)
        return target

    def scripted(self, target_id: str, service="desk", zone="z1"):
        """Starts a plain service that sends bytes of the test's choice."""
        target = scriptedtarget.ScriptedTarget(
            self.store, target_id, service, zone
        )
        self._closers.append(target.close)
        return target

    def engine(self, target_id: str, *, zone="z1", kind="small"):
        """Starts an engine without layers."""
        target = engines.EngineStandin(
            self.store, target_id, self.fleet, zone=zone, kind=kind
        )
        self._closers.append(target.close)
        return target

    def starting_instance(
        self,
        name="i1",
        zone="z1",
        dialer=dialing.SYSTEM_DIALER,
        peer_dialer=dialing.SYSTEM_DIALER,
        retry_slack=100.0,
        **extra,
    ) -> instance.Instance:
        """Starts a gateway instance.

        Args:
            name: Its name.
            zone: Its availability zone.
            dialer: Opens its connections to targets.
            peer_dialer: Opens its connections to other instances.
            retry_slack: Retries that its budget allows at first.
            **extra: Further settings.
        """
        local = settings.Listener("127.0.0.1", 0)
        cfg = config.GatewaySettings(
            instance=ids.InstanceId(name),
            zone=ids.ZoneId(zone),
            caller=local,
            status=local,
            peer=local,
            store_address=self.store.address,
            retry_slack=retry_slack,
            **extra,
        )
        pool = connections.ConnectionPool(dialer)
        platform = main.StorePlatform(cfg.store_address, pool)
        inst = instance.Instance(
            cfg,
            platform,
            pool,
            peer_pool=connections.ConnectionPool(peer_dialer),
        )
        inst.start()
        self.instances.append(inst)
        self.platforms.append(platform)
        self._closers.extend((platform.close, inst.close))
        return inst

    def instance(self, name="i1", zone="z1", **extra) -> instance.Instance:
        """Starts a gateway instance and waits until it is ready."""
        inst = self.starting_instance(name, zone, **extra)
        until(lambda: inst.is_ready, f"{name} is ready")
        return inst

    def wait_for_targets(self, *rows) -> None:
        """Waits until all instances know the given targets."""
        for inst in self.instances:
            for row in rows:
                until(
                    lambda inst=inst, row=row: (
                        inst.targets.get(row.id) is not None
                    ),
                    f"{row.id} is known",
                )

    def wait_for_layers(self) -> None:
        """Waits until all instances know the layers of all engines."""
        for inst in self.instances:
            for engine in self.fleet.values():
                until(
                    lambda inst=inst, engine=engine: _has_layers(
                        inst, engine.id
                    ),
                    f"{engine.id} has layers",
                )

    def on_close(self, closer) -> None:
        """Calls a function when the stand-ins are stopped."""
        self._closers.append(closer)

    def close(self) -> None:
        """Stops all instances and stand-ins."""
        for closer in reversed(self._closers):
            closer()


def _has_layers(inst: instance.Instance, target_id: str) -> bool:
    target = inst.targets.get(target_id)
    return target is not None and target.entry.layers is not None


@contextlib.contextmanager
def world():
    """Yields a `World` that is closed at the end."""
    scene = World()
    try:
        yield scene
    finally:
        scene.close()


class Answer:
    """A response to a caller; `error` is set if its body was incomplete."""

    def __init__(self, resp: http.client.HTTPResponse):
        self.status = resp.status
        self.headers = dict(resp.getheaders())
        self.error: Exception | None = None
        try:
            self.body = resp.read()
        except http.client.HTTPException as exc:
            self.body = b""
            self.error = exc


def call(
    inst: instance.Instance,
    path: str,
    *,
    method="GET",
    body=b"",
    request_id="r1",
    key=KEY,
    deadline_ms=3000,
    **headers,
) -> Answer:
    """Sends a request as a caller and returns the response."""
    host, port = inst.caller_address
    conn = strictheads.StrictConnection(host, port, timeout=WAIT_S)
    fields = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
    }
    if key:
        fields["X-Api-Key"] = key
    for name, value in headers.items():
        fields[name.replace("_", "-")] = value
    try:
        conn.request(method, path, body=body, headers=fields)
        return Answer(conn.getresponse())
    finally:
        conn.close()


def event_ids(body: bytes) -> list[int]:
    """Returns the event ids in the body of a stream."""
    found = []
    for line in body.splitlines():
        if line.startswith(b"id: "):
            found.append(int(line[4:]))
    return found
