"""Log lines and counters of decisions about requests that lack room."""

import enum

from absl import logging

from briarfall.gateway import metrics
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.targets import loads


class Decision(enum.Enum):
    """What became of a request that lacked room."""

    HELD = "held"
    SERVED = "served_after_hold"
    REFUSED = "refused"


class RoomReports:
    """Reports which requests are held or refused, and what they lacked.

    Args:
        counters: Metrics.
        load_table: Load of all instances, by which requests are let in.
    """

    def __init__(self, counters: metrics.Metrics, load_table: loads.LoadTable):
        self._metrics = counters
        self._loads = load_table

    def held(
        self,
        stream: streamstate.Stream,
        before: int,
        remedy: str,
    ) -> None:
        """Reports a request that waits for room."""
        self._report(Decision.HELD, stream, "kv", before, remedy)

    def served(self, stream: streamstate.Stream) -> None:
        """Counts a request that has got room after it was held."""
        self._count(Decision.SERVED, stream)

    def refused(
        self,
        stream: streamstate.Stream,
        room: str,
        before: int,
        remedy: str,
    ) -> None:
        """Reports a request that is refused for lack of room."""
        self._report(Decision.REFUSED, stream, room, before, remedy)

    def _report(
        self,
        decision: Decision,
        stream: streamstate.Stream,
        room: str,
        before: int,
        remedy: str,
    ) -> None:
        cls = stream.demand_class
        logging.info(
            "room %s request=%s room=%s room_age_ms=%d urgency=%d size=%s "
            "started=%s tokens=%d before=%d age_ms=%d left_ms=%d let_in_by=%s",
            decision.value,
            stream.call.request_id,
            room,
            self._loads.oldest_report_age_s() * 1000,
            cls.urgency,
            cls.band.name.lower(),
            stream.response_started,
            stream.demand.tokens,
            before,
            stream.call.age_s * 1000,
            stream.call.left_s * 1000,
            remedy,
        )
        self._count(decision, stream)

    def _count(self, decision: Decision, stream: streamstate.Stream) -> None:
        self._metrics.count(
            "briarfall_room_decisions",
            stream.call.route.name,
            str(stream.demand_class.urgency),
            decision.value,
        )
