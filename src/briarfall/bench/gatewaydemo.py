"""The prepared platform's path in one process, with faults."""

import concurrent.futures
import threading
import time

from absl import logging
import msgspec

from briarfall.bench import checks
from briarfall.cli import console
from briarfall.gateway import instance
from briarfall.standins.prepared import engines as engine_standins
from briarfall.standins.prepared import registered
from briarfall.standins.prepared import scenes

_ZONES = ("z1", "z2")
_ENGINES_PER_ZONE = 8
_EVENTS = 60
_STREAMS = 16
_ORDERS = 20
# Event at which an engine of a running chain falls silent.
_FAULT_EVENT = 20
_STREAM_DEADLINE_MS = 20_000


class _Demo:
    """The stand-ins, three gateway instances and what was promised."""

    def __init__(self, scene: scenes.World):
        self._scene = scene
        self.promises: list[checks.Promise] = []

    def start(self) -> None:
        scene = self._scene
        scene.publish(scenes.tiny_kind_manifest(2))
        self._desks = [scene.service(f"desk-{n}") for n in range(3)]
        self._engines = []
        for zone in _ZONES:
            for number in range(_ENGINES_PER_ZONE):
                name = f"engine-{zone}-{number}"
                engine = scene.engine(name, zone=zone, kind="tiny")
                engine.events = _EVENTS
                self._engines.append(engine)
        self._instances = []
        for number, zone in enumerate(("z1", "z1", "z2")):
            self._instances.append(scene.instance(f"gateway-{number}", zone))
        scene.wait_for_targets(*self._desks)
        scene.wait_for_layers()

    def _promise(self, text: str, held: bool, detail: str) -> None:
        self.promises.append(checks.Promise(text, held, detail))

    def _instance(self, number: int) -> instance.Instance:
        return self._instances[number % len(self._instances)]

    def orders(self) -> None:
        """Places orders while one service refuses and one loses answers."""
        self._desks[0].fault = registered.Fault.REFUSE
        self._desks[1].fault = registered.Fault.RESET_AFTER_RUN
        statuses = {}
        for number in range(_ORDERS):
            name = f"order-{number}"
            answer = scenes.call(
                self._instance(number),
                "/orders/new",
                method="POST",
                body=name.encode(),
                request_id=name,
            )
            statuses[name] = answer.status
        for desk in self._desks:
            desk.fault = registered.Fault.NONE
        runs = {name: 0 for name in statuses}
        for desk in self._desks:
            for name in desk.ran_ids():
                runs[name] += 1
        self._promise(
            "an order runs at most once",
            max(runs.values()) <= 1,
            f"{sum(runs.values())} of {_ORDERS} ran",
        )
        false = [
            name
            for name, status in statuses.items()
            if status == 503 and runs[name]
        ]
        self._promise(
            "'not run' means not run", not false, f"{len(false)} false refusals"
        )

    def streams(self) -> None:
        """Runs streams; an engine of a chain falls silent meanwhile."""
        for engine in self._engines:
            engine.on_event[_FAULT_EVENT] = threading.Event()
        with concurrent.futures.ThreadPoolExecutor(_STREAMS) as pool:
            futs = [pool.submit(self._stream, n) for n in range(_STREAMS)]
            head = self._first_at_fault()
            path = next(iter(head.paths.values()))
            self._scene.fleet[path[1][0]].go_dark()
            answers = [fut.result() for fut in futs]
        whole = sum(1 for answer in answers if self._is_whole(answer))
        self._promise(
            "every stream is whole",
            whole == _STREAMS,
            f"{whole} of {_STREAMS}, one engine silent from event "
            f"{_FAULT_EVENT} of one of them on",
        )
        wrong = 0
        made = 0
        for engine in self._engines:
            for _, _, text in engine.made:
                made += 1
                wrong += not engine_standins.runs_all_layers(text)
        self._promise(
            "every layer ran once per token, in order",
            not wrong,
            f"{made} events of the engines' ledger",
        )

    def _first_at_fault(self) -> engine_standins.EngineStandin:
        def found():
            for engine in self._engines:
                if engine.on_event[_FAULT_EVENT].is_set() and engine.paths:
                    return engine
            return None

        scenes.until(lambda: found() is not None, "a stream is under way")
        return found()

    def _stream(self, number: int) -> scenes.Answer:
        return scenes.call(
            self._instance(number),
            "/drafts/new",
            method="POST",
            body=b"notes",
            request_id=f"stream-{number}",
            deadline_ms=_STREAM_DEADLINE_MS,
            X_Token_Usage="20,20",
        )

    def _is_whole(self, answer: scenes.Answer) -> bool:
        if answer.error is not None:
            return False
        return scenes.event_ids(answer.body) == list(range(1, _EVENTS + 1))

    def stop_one(self) -> None:
        """Stops an instance while it answers."""
        inst = self._instances.pop()
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            fut = pool.submit(
                scenes.call,
                inst,
                "/drafts/new",
                method="POST",
                request_id="last",
                deadline_ms=_STREAM_DEADLINE_MS,
                X_Token_Usage="20,20",
            )
            scenes.until(lambda: inst.open_connections == 1, "a last stream")
            inst.stop.request()
            ended = pool.submit(inst.wait_for_stop)
            is_whole = self._is_whole(fut.result())
            ended.result()
        self._promise(
            "a planned stop cuts nothing off", is_whole, "one stream meanwhile"
        )

    def take_key(self) -> None:
        """Takes the key away and waits until all instances refuse it."""
        started_s = time.monotonic()
        self._scene.publish(scenes.manifest(5, keys=("another",)))
        for inst in self._instances:
            scenes.until(
                lambda inst=inst: scenes.call(inst, "/views/x").status == 401,
                "the key is refused",
            )
        took_s = time.monotonic() - started_s
        self._promise(
            "a key that was taken away is refused",
            True,
            f"by all instances after {took_s:.2f} s",
        )


def run() -> int:
    """Plays the scene and returns the exit code."""
    started_s = time.monotonic()
    # The faults are meant; their warnings would hide the table.
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.ERROR)
    try:
        with scenes.world() as scene:
            demo = _Demo(scene)
            demo.start()
            demo.orders()
            demo.streams()
            demo.stop_one()
            demo.take_key()
    finally:
        logging.set_verbosity(verbosity)
    print("the prepared platform:")
    console.show_table(msgspec.to_builtins(demo.promises))
    print(f"{time.monotonic() - started_s:.1f} s")
    return 0 if all(item.held for item in demo.promises) else 1
