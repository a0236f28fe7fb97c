"""Answers without a length, which end with their connections."""

import pytest

from briarfall.standins.prepared import testbed
from tests import test_gateway_poisonparts as poisonparts


@pytest.fixture
def pool(world):
    rows = poisonparts.Pool(world)
    for engine in rows.engines:
        engine.answers_without_length = True
    return rows


class TestStream:
    def test_complete_stream_is_whole_and_not_sent_again(self, pool):
        answer = pool.draft(1, "first")
        assert answer.status == 200
        assert testbed.event_ids(answer.body) == list(range(1, 13))
        assert len(pool.arrivals("r1")) == 1

    @pytest.mark.parametrize("number", [1, 5, 11])
    def test_stream_cut_between_two_events_by_a_crash_is_continued(
        self, pool, number
    ):
        for engine in pool.engines:
            engine.crash_after_event = number
        answer = pool.draft(1, "first")
        assert answer.status == 200
        assert answer.error is None
        assert testbed.event_ids(answer.body) == list(range(1, 13))
        assert len(pool.arrivals("r1")) == 2

    def test_crash_before_the_first_event_is_no_complete_answer(self, pool):
        for number in range(poisonparts.POISON_REQUESTS):
            answer = pool.draft(100 + number, "first", poisonparts.DEADLY)
            assert answer.status >= 500
            pool.restart_crashed()
        assert pool.crashes <= poisonparts.MAX_CRASHES
