"""Parts of prompts that crash engines, through the whole gateway."""

import pytest

from briarfall.standins.prepared import testbed

_DEADLY = "dead"
# Crashes after which at most `_MAX_LATE` more requests may reach engines.
_CRASHES = 5
_MAX_LATE = 3
_POISON_REQUESTS = 8


class _Pool:
    """Engines that crash on one part, and an instance before them."""

    def __init__(self, world, count=10):
        self.engines = []
        for number in range(count):
            engine = world.engine(f"e{number}")
            engine.crash_part = _DEADLY
            self.engines.append(engine)
        self.world = world
        self.crashes = 0
        self.instance = world.instance()
        world.wait_for_layers()

    def draft(self, number, *parts, instance=None):
        """Sends a request whose body and last part no other has."""
        prompt = ",".join(f"{part}:40" for part in [*parts, f"own{number}"])
        return testbed.call(
            instance or self.instance,
            "/drafts/x",
            method="POST",
            body=b"draft %d" % number,
            request_id=f"r{number}",
            deadline_ms=8000,
            X_Prefix_Hash=prompt,
        )

    def restart_crashed(self):
        """Restarts crashed engines and waits until they hold layers again."""
        for engine in self.engines:
            if not engine.closing.is_set():
                continue
            self.crashes += 1
            engine.restart()
            testbed.until(
                lambda engine=engine: self._is_back(engine),
                f"{engine.id} holds layers again",
            )

    def _is_back(self, engine):
        for inst in self.world.instances:
            entry = inst.targets.get(engine.id).entry
            if entry.started_ms != engine.incarnation or entry.layers is None:
                return False
        return True

    def arrivals(self, prefix):
        """Returns the ids of requests that reached engines."""
        found = []
        for engine in self.engines:
            for row in engine.arrivals:
                if row.request_id.startswith(prefix):
                    found.append(row.request_id)
        return found


@pytest.fixture
def pool(world):
    return _Pool(world)


class TestPoisonPart:
    """Requests with one part crash engines, whatever else they hold."""

    @pytest.mark.known_red
    def test_new_requests_with_a_poison_part_stop_reaching_engines(self, pool):
        assert pool.draft(1, "first").status == 200
        late = 0
        for number in range(100, 100 + _POISON_REQUESTS):
            before = len(pool.arrivals("r1"))
            is_late = pool.crashes >= _CRASHES
            pool.draft(number, "first", _DEADLY)
            late += is_late * (len(pool.arrivals("r1")) - before)
            pool.restart_crashed()
        assert pool.crashes <= _CRASHES
        assert late <= _MAX_LATE

    @pytest.mark.known_red
    def test_sound_requests_that_share_the_other_parts_are_served(self, pool):
        assert pool.draft(1, "first").status == 200
        served = 0
        for number in range(_POISON_REQUESTS):
            pool.draft(100 + number, "first", _DEADLY)
            answer = pool.draft(200 + number, "first")
            served += answer.status == 200 and answer.error is None
        assert served == _POISON_REQUESTS
