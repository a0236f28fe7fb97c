"""Model engines that some requests crash, for cases 6 and 10."""

import collections.abc
import json
import time

import scene2

# Layers of the model in the manifest; an engine of kind `large` holds all.
LAYERS = 8
EVENTS = 190
EVENT_S = 0.05
# A crashed engine is back after this time, as a new lifetime.
BACK_AFTER_S = 3.0
DEADLINE_MS = 20_000
KEY = "crew-key"

# Returns the seconds after its first event at which a request crashes the
# engine that runs it, or None.
CrashTime = collections.abc.Callable[[scene2.Request], float | None]


class Log:
    """Arrivals of deadly requests at engines, and crashes.

    Attributes:
        arrivals: Time and id of each arrival.
        crashes_s: Time of each crash.
    """

    def __init__(self, record: scene2.Record):
        self._record = record
        self.arrivals: list[tuple[float, str]] = []
        self.crashes_s: list[float] = []

    def arrive(self, engine: "Engine", req: scene2.Request) -> None:
        """Records a request at an engine, which begins to run it."""
        self._record.add(
            f"{engine.id} runs {req.id} "
            f"after event {req.headers.get('last-event-id', '0')}"
        )

    def arrive_deadly(self, req: scene2.Request) -> None:
        """Records that the request is one that may crash engines."""
        self.arrivals.append((self._record.now_s(), req.id))

    def crash(self, engine: "Engine", req: scene2.Request) -> None:
        """Records that a request has crashed an engine."""
        self.crashes_s.append(self._record.now_s())
        self._record.add(f"{engine.id} crashed, it ran {req.id}")


class Engine(scene2.Target):
    """A model engine that holds layers as it is ordered."""

    SLOTS = 32

    def __init__(self, scene: scene2.Scene, name: str, fleet: "Fleet"):
        self._fleet = fleet
        self.layers: tuple[int, int] | None = None
        self.orders = 0
        super().__init__(scene, name, "pool")

    def entry(self) -> dict:
        """Returns its entry, with kind and layers."""
        layers = None
        if self.layers is not None:
            layers = {"from": self.layers[0], "target": self.layers[1]}
        return {**super().entry(), "kind": "large", "layers": layers}

    def handle(self, sock, req) -> bool:
        """Handles orders, reports and streams."""
        if req.path == "/v1/order":
            return self._take_order(sock, json.loads(req.body))
        if req.path == "/v1/report":
            report = {"busy": False, "seq": self.orders, "stalled": []}
            scene2.send(sock, 200, {}, json.dumps(report).encode())
            return True
        return self._run_stream(sock, req)

    def _take_order(self, sock, order: dict) -> bool:
        if order["op"] != "place":
            scene2.send(sock, 404, {})
            return True
        self.layers = (order["from"], order["target"])
        self.orders += 1
        self.register()
        scene2.send(sock, 202, {})
        return True

    def _run_stream(self, sock, req) -> bool:
        if self.layers != (0, LAYERS):
            headers = {"X-Request-Id": req.id, "At-Server": self.address}
            scene2.send(sock, 421, headers)
            return True
        log = self._fleet.log
        log.arrive(self, req)
        crash_after_s = self._fleet.crash_time(req)
        if crash_after_s is not None:
            log.arrive_deadly(req)
        if not scene2.has_trouble():
            crash_after_s = None
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines.append("Content-Type: text/event-stream")
        lines += [f"{name}: {value}" for name, value in self.echo(req).items()]
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        start = int(req.headers.get("last-event-id", "0"))
        first_s = 0.0
        for number in range(start + 1, EVENTS + 1):
            if self.has_ended.wait(EVENT_S):
                return False
            run_s = time.monotonic() - first_s if first_s else 0.0
            # It crashes each engine, also one that has little left to write.
            if crash_after_s is not None and (
                run_s > crash_after_s or number == EVENTS
            ):
                log.crash(self, req)
                self.crash()
                return False
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            first_s = first_s or time.monotonic()
        sock.sendall(b"0\r\n\r\n")
        return True


class Fleet:
    """Engines; crashed ones are back after some seconds.

    Args:
        scene: The scene.
        count: Number of engines.
        crash_time: Tells which requests crash engines.
        engine: Class of the engines.
    """

    def __init__(
        self,
        scene: scene2.Scene,
        count: int,
        crash_time: CrashTime,
        engine: type[Engine] = Engine,
    ):
        self._scene = scene
        self._engine = engine
        self.crash_time = crash_time
        self.log = Log(scene.record)
        self._started = 0
        self._crashed_s: dict[str, float] = {}
        self.rows = [self._new() for _ in range(count)]
        scene.repeat(0.2, self._restart_crashed)

    def _new(self) -> Engine:
        self._started += 1
        return self._engine(self._scene, f"e{self._started}", self)

    def _restart_crashed(self) -> None:
        now_s = time.monotonic()
        for row in list(self.rows):
            if not row.has_ended.is_set():
                continue
            crashed_s = self._crashed_s.setdefault(row.id, now_s)
            if now_s - crashed_s >= BACK_AFTER_S:
                self.rows.remove(row)
                self.rows.append(self._new())

    def has_layers(self) -> bool:
        """Whether all engines hold the model."""
        return all(row.layers == (0, LAYERS) for row in self.rows)


def route() -> dict:
    """Returns the route of the streams."""
    return scene2.route(
        "drafts",
        "streaming",
        "pool",
        resumable=True,
        gap_aim_ms=200,
        timeout_ms=DEADLINE_MS,
        slo_ms=500,
    )


def begin(
    scene: scene2.Scene,
    count: int,
    crash_time: CrashTime,
    engine: type[Engine] = Engine,
) -> tuple[Fleet, list[scene2.Instance]]:
    """Starts engines and two instances, and waits until all are ready."""
    scene.publish(scene2.manifest([route()], {"crew": KEY}))
    fleet = Fleet(scene, count, crash_time, engine)
    instances = [scene.instance("edge-1"), scene.instance("edge-2")]
    for instance in instances:
        instance.wait_ready()
    scene2.wait_for_targets(instances[0], "layers", fleet.has_layers)
    time.sleep(3.0)
    scene.record.start_s = time.monotonic()
    return fleet, instances


def ask(
    scene: scene2.Scene,
    instance: scene2.Instance,
    name: str,
    body: bytes,
    parts: list[str],
) -> scene2.Answer:
    """Sends a stream's request once and reads the stream.

    Args:
        scene: The scene.
        instance: The instance that gets it.
        name: Begin of its id.
        body: Its body.
        parts: Parts of its prompt; the last one is its own.
    """
    request_id = scene2.new_id(name)
    scene.record.add(f"{request_id} POST /drafts/x to {instance.name}")
    answer = scene2.call(
        instance,
        "POST",
        "/drafts/x",
        request_id,
        key=KEY,
        deadline_ms=DEADLINE_MS,
        body=body,
        headers={
            "X-Model": "m",
            "X-Token-Usage": f"{20 * len(parts)},{EVENTS}",
            "X-Prefix-Hash": ",".join(f"{part}:20" for part in parts),
        },
    )
    count = answer.body.count(b"id: ")
    scene.record.add(
        f"{request_id} got {answer.status} {count} events {answer.error}"
    )
    return answer


def conclude_refusals(
    record: scene2.Record, instances: list[scene2.Instance]
) -> None:
    """Records how often the instances refused requests that crash engines."""
    for instance in instances:
        poison = len(instance.log_lines("code=poison_request"))
        held = len(instance.log_lines("code=held_request"))
        record.conclude(
            f"{instance.name}: refused as poison {poison}, held back {held}"
        )
