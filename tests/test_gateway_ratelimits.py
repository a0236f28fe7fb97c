"""Targets that name a rate limit in their responses."""

import concurrent.futures
import time

import pytest

from briarfall.standins.prepared import testbed

# The rule: in any 4 s at most one and a half times what the limit allows, and 5
# requests more.
_WINDOW_S = 4.0
_DRAFT_MS = 8000


def _allowed(per_s):
    return 1.5 * per_s * _WINDOW_S + 5


@pytest.fixture
def world():
    with testbed.world() as scene:
        yield scene


def _send_all(rows, path, count, **extra):
    """Sends requests to all instances at once; returns the responses."""
    with concurrent.futures.ThreadPoolExecutor(len(rows) * 4) as pool:
        futs = []
        for number in range(count):
            inst = rows[number % len(rows)]
            futs.append(
                pool.submit(
                    testbed.call,
                    inst,
                    path,
                    request_id=f"r{number}",
                    **extra,
                )
            )
        return [fut.result() for fut in futs]


def _instances(world, count):
    rows = [world.instance(f"i{number}") for number in range(count)]
    for inst in rows:
        testbed.until(
            lambda inst=inst: inst.peers.instance_count == count,
            "the instances know each other",
        )
    return rows


def _tell(rows, path, **extra):
    """Lets each instance pass on a response that names a limit."""
    for number, inst in enumerate(rows):
        testbed.call(inst, path, request_id=f"told{number}", **extra)
        testbed.until(inst.rate_limits.limited, "a limit is known")


class TestFleet:
    """What all instances together send to a limited target."""

    def test_many_instances_together_keep_the_limit_of_a_plain_target(
        self, world
    ):
        desk = world.service("d0")
        rows = _instances(world, 3)
        world.wait_for_targets(desk)
        desk.rate_limit = "2"
        _tell(rows, "/views/x")
        since_s = time.monotonic()
        answers = _send_all(rows, "/views/x", 90)
        assert desk.most_arrivals(_WINDOW_S, since_s) <= _allowed(2)
        for answer in answers:
            assert answer.status in (200, 503)
            assert answer.status == 200 or "Retry-After" in answer.headers

    def test_many_instances_together_keep_the_limit_of_an_engine(self, world):
        engines = [world.engine(f"e{number}") for number in range(4)]
        rows = _instances(world, 3)
        world.wait_for_targets(*engines)
        world.wait_for_layers()
        for engine in engines:
            engine.rate_limit = "2"
        _tell(rows, "/drafts/x", deadline_ms=_DRAFT_MS)
        since_s = time.monotonic()
        _send_all(rows, "/drafts/x", 90, deadline_ms=_DRAFT_MS)
        for engine in engines:
            assert engine.most_arrivals(_WINDOW_S, since_s) <= _allowed(2)
