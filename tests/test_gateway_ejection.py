"""Targets whose every response is none are set aside."""

import pytest

from briarfall.gateway.targets import ejection
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_decisions

_EJECT_AFTER = 3


def _rows(count):
    return [
        test_gateway_decisions.target(f"t{number}") for number in range(count)
    ]


def _eject(target, rows, now_s):
    """Returns the seconds for which a target is ejected."""
    ejection_s = 0.0
    for _ in range(_EJECT_AFTER):
        ejection_s = ejection.record_invalid(target, rows)
    target.blocked_until_s = now_s + ejection_s
    return ejection_s


class TestRecordInvalid:
    @pytest.fixture(autouse=True)
    def now_s(self, monkeypatch):
        monkeypatch.setattr(ejection.clocks, "boot_s", lambda: 100.0)
        return 100.0

    def test_few_invalid_responses_eject_nothing(self):
        rows = _rows(2)
        for _ in range(_EJECT_AFTER - 1):
            assert ejection.record_invalid(rows[0], rows) == 0
        assert ejection.trial_block_s(rows[0]) == 0

    def test_times_grow_up_to_the_longest(self):
        rows = _rows(2)
        times = [ejection.record_invalid(rows[0], rows) for _ in range(40)]
        found = times[_EJECT_AFTER - 1 :]
        assert found == sorted(found)
        assert 0 < found[0] < found[-1] <= 2.0
        assert ejection.trial_block_s(rows[0]) > 0

    @pytest.mark.parametrize(
        "count,most", [(1, 0), (2, 1), (3, 1), (8, 4), (100, 50)]
    )
    def test_half_of_the_targets_stay(self, now_s, count, most):
        rows = _rows(count)
        ejected = [row for row in rows if _eject(row, rows, now_s)]
        assert len(ejected) == most


class TestFaultyTarget:
    # Guards against a target that gets most requests, since it fails them at
    # once and is therefore free soonest.
    def test_gets_single_requests_until_it_answers(self, world):
        faulty = world.scripted("d0")
        sound = world.service("d1")
        inst = world.instance()
        world.wait_for_targets(faulty, sound)
        faulty.script = rawhttp.response(200, b"no answer")
        numbers = iter(range(10_000))

        def call():
            answer = testbed.call(
                inst, "/views/x", request_id=f"r{next(numbers)}"
            )
            assert answer.status == 200
            return answer

        row = inst.targets.get(faulty.id)
        while row.invalid_responses < _EJECT_AFTER:
            call()
        testbed.until(
            lambda: call() and row.invalid_responses > _EJECT_AFTER, "a trial"
        )
        faulty.script = None
        testbed.until(lambda: call().body == b"ran", "it is used again")
        assert row.invalid_responses == 0


class TestRefusalOfAStream:
    @pytest.fixture
    def engine(self, world):
        return world.engine("e0", kind="large")

    @pytest.fixture
    def row(self, world, engine):
        """The engine as an instance sees it, after an invalid response."""
        inst = world.instance()
        world.wait_for_layers()
        row = inst.targets.get(engine.id)
        row.invalid_responses = 1
        return row

    def _refuse(self, world):
        answer = testbed.call(
            world.instances[0], "/drafts/x", method="POST", deadline_ms=1000
        )
        assert answer.status == 503

    # Guards against an engine that answers again, but stays ejected as long as
    # it is too busy to run a stream.
    def test_ends_an_ejection(self, world, engine, row):
        engine.fault = registeredtarget.Fault.REFUSE
        self._refuse(world)
        assert engine.arrivals
        assert row.invalid_responses == 0

    def test_without_end_does_not(self, world, engine, row):
        engine.fault = registeredtarget.Fault.FLOOD_REFUSAL
        self._refuse(world)
        assert engine.arrivals
        assert row.invalid_responses == 1


class TestRefusalOfACall:
    # Guards against a target whose refusals never end and that therefore is
    # never ejected for its other responses.
    @pytest.mark.parametrize(
        "fault,counted",
        [
            (registeredtarget.Fault.REFUSE, 0),
            (registeredtarget.Fault.FLOOD_REFUSAL, 1),
        ],
        ids=lambda value: str(value),
    )
    def test_ends_an_ejection_if_it_is_whole(self, world, fault, counted):
        desk = world.service("d0")
        inst = world.instance()
        world.wait_for_targets(desk)
        row = inst.targets.get(desk.id)
        row.invalid_responses = 1
        desk.fault = fault
        answer = testbed.call(inst, "/views/x", deadline_ms=1000)
        assert answer.status == 503
        assert desk.arrivals
        assert row.invalid_responses == counted
