"""Demo of the gateway on stand-ins in one process, with faults."""

import concurrent.futures
import threading
import time

from absl import logging
import msgspec

from briarfall.bench import checks
from briarfall.cli import console
from briarfall.gateway.instance import instance
from briarfall.standins.prepared import engines as engine_standins
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

_ZONES = ("z1", "z2")
_ENGINES_PER_ZONE = 8
_EVENTS = 60
_STREAMS = 16
_ORDERS = 20
# Id of the event at which an engine of a running chain stops responding.
_FAULT_EVENT_ID = 20
_STREAM_DEADLINE_MS = 20_000


class _Demo:
    """The stand-ins, three gateway instances and the results."""

    def __init__(self, environment: testbed.World):
        self._environment = environment
        self.guarantees: list[checks.GuaranteeResult] = []

    def start(self) -> None:
        environment = self._environment
        environment.publish(testbed.tiny_kind_manifest(2))
        self._services = [environment.service(f"desk-{n}") for n in range(3)]
        self._engines = []
        for zone in _ZONES:
            for number in range(_ENGINES_PER_ZONE):
                name = f"engine-{zone}-{number}"
                engine = environment.engine(name, zone=zone, kind="tiny")
                engine.events = _EVENTS
                self._engines.append(engine)
        self._instances = []
        for number, zone in enumerate(("z1", "z1", "z2")):
            self._instances.append(
                environment.instance(f"gateway-{number}", zone)
            )
        environment.wait_for_targets(*self._services)
        environment.wait_for_layers()

    def _record(self, text: str, held: bool, detail: str) -> None:
        self.guarantees.append(checks.GuaranteeResult(text, held, detail))

    def _instance(self, number: int) -> instance.Instance:
        return self._instances[number % len(self._instances)]

    def orders(self) -> None:
        """Places orders while one target refuses and one loses answers."""
        self._services[0].fault = registeredtarget.Fault.REFUSE
        self._services[1].fault = registeredtarget.Fault.RESET_AFTER_RUN
        statuses = {}
        for number in range(_ORDERS):
            name = f"order-{number}"
            answer = testbed.call(
                self._instance(number),
                "/orders/new",
                method="POST",
                body=name.encode(),
                request_id=name,
            )
            statuses[name] = answer.status
        for service in self._services:
            service.fault = registeredtarget.Fault.NONE
        runs = {name: 0 for name in statuses}
        for service in self._services:
            for name in service.ran_ids():
                runs[name] += 1
        self._record(
            "an order runs at most once",
            max(runs.values()) <= 1,
            f"{sum(runs.values())} of {_ORDERS} ran",
        )
        false_refusals = [
            name
            for name, status in statuses.items()
            if status == 503 and runs[name]
        ]
        self._record(
            "'not run' means not run",
            not false_refusals,
            f"{len(false_refusals)} false refusals",
        )

    def streams(self) -> None:
        """Runs streams while an engine of a chain stops responding."""
        for engine in self._engines:
            engine.on_event[_FAULT_EVENT_ID] = threading.Event()
        with concurrent.futures.ThreadPoolExecutor(_STREAMS) as pool:
            pending = [pool.submit(self._stream, n) for n in range(_STREAMS)]
            head = self._head_at_fault_event()
            path = next(iter(head.paths.values()))
            self._environment.fleet[path[1][0]].become_unresponsive()
            answers = [future.result() for future in pending]
        complete = sum(1 for answer in answers if self._is_complete(answer))
        self._record(
            "every stream is whole",
            complete == _STREAMS,
            f"{complete} of {_STREAMS}, one engine silent from event "
            f"{_FAULT_EVENT_ID} of one of them on",
        )
        wrong = 0
        event_count = 0
        for engine in self._engines:
            for _, _, text in engine.generated_events:
                event_count += 1
                wrong += not engine_standins.runs_all_layers(text)
        self._record(
            "every layer ran once per token, in order",
            not wrong,
            f"{event_count} events of the engines' ledger",
        )

    def _head_at_fault_event(self) -> engine_standins.EngineStandin:
        def find_head():
            for engine in self._engines:
                if engine.on_event[_FAULT_EVENT_ID].is_set() and engine.paths:
                    return engine
            return None

        testbed.until(lambda: find_head() is not None, "a stream is under way")
        return find_head()

    def _stream(self, number: int) -> testbed.Answer:
        return testbed.call(
            self._instance(number),
            "/drafts/new",
            method="POST",
            body=b"notes",
            request_id=f"stream-{number}",
            deadline_ms=_STREAM_DEADLINE_MS,
            X_Token_Usage="20,20",
        )

    def _is_complete(self, answer: testbed.Answer) -> bool:
        if answer.error is not None:
            return False
        return testbed.event_ids(answer.body) == list(range(1, _EVENTS + 1))

    def stop_instance(self) -> None:
        """Stops an instance while it serves a stream."""
        inst = self._instances.pop()
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            answer = pool.submit(
                testbed.call,
                inst,
                "/drafts/new",
                method="POST",
                request_id="last",
                deadline_ms=_STREAM_DEADLINE_MS,
                X_Token_Usage="20,20",
            )
            testbed.until(lambda: inst.open_connections == 1, "a last stream")
            inst.stop.request()
            stopped = pool.submit(inst.wait_for_stop)
            is_complete = self._is_complete(answer.result())
            stopped.result()
        self._record(
            "a planned stop cuts nothing off",
            is_complete,
            "one stream meanwhile",
        )

    def revoke_key(self) -> None:
        """Revokes the key and waits until all instances refuse it."""
        started_s = time.monotonic()
        self._environment.publish(testbed.manifest(5, keys=("another",)))
        for inst in self._instances:
            testbed.until(
                lambda inst=inst: testbed.call(inst, "/views/x").status == 401,
                "the key is refused",
            )
        took_s = time.monotonic() - started_s
        self._record(
            "a key that was taken away is refused",
            True,
            f"by all instances after {took_s:.2f} s",
        )


def run() -> int:
    """Runs the demo and returns the exit code."""
    started_s = time.monotonic()
    # Warnings about the injected faults are expected and would hide the table.
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.ERROR)
    try:
        with testbed.world() as environment:
            demo = _Demo(environment)
            demo.start()
            demo.orders()
            demo.streams()
            demo.stop_instance()
            demo.revoke_key()
    finally:
        logging.set_verbosity(verbosity)
    print("the prepared platform:")
    console.show_table(msgspec.to_builtins(demo.guarantees))
    print(f"{time.monotonic() - started_s:.1f} s")
    return 0 if all(item.held for item in demo.guarantees) else 1
