"""The wait of one stream for room on engines."""

from briarfall.gateway import clocks
from briarfall.gateway.forwarding import roomreports
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.scheduling import waiting

# Share of the first byte SLO for which a new request waits for capacity. The
# rest is needed to run it, so that a longer wait would be in vain.
_CAPACITY_WAIT_SHARE = 0.6
# A stream that its caller already reads waits this many times its SLO for gaps
# between events.
_MAX_GAP_SLOS = 4


class RoomWait:
    """The place of one stream among those that wait for the same engines.

    Args:
        stream: The stream.
        room: The requests that wait for the same engines.
        reports: Reports that it is held or refused.
    """

    def __init__(
        self,
        stream: streamstate.Stream,
        room: waiting.WaitingRoom,
        reports: roomreports.RoomReports,
    ):
        self._stream = stream
        self._room = room
        self._reports = reports
        self._is_reported = False
        route = stream.call.route
        wait_s = route.first_byte_slo_s * _CAPACITY_WAIT_SHARE
        if stream.response_started:
            wait_s = route.event_gap_slo_s * _MAX_GAP_SLOS
        self._waiter = waiting.Waiter(
            stream.demand_class,
            stream.demand.tokens,
            aim_s=stream.call.req.received_s + route.first_byte_slo_s,
            until_s=clocks.boot_s() + wait_s,
            has_started=stream.response_started,
            # What one that no peer can serve lacks may be a link.
            is_restricted=bool(stream.avoided)
            or stream.allowed_heads is not None
            or stream.call.has_no_peer,
        )

    @property
    def until_s(self) -> float:
        """Time on the boot clock until which it may wait."""
        return self._waiter.until_s

    @property
    def is_first_look(self) -> bool:
        """Whether it has not looked for room in vain yet."""
        return not self._waiter.looks

    @property
    def has_time(self) -> bool:
        """Whether it may still wait, and not in vain."""
        left_s = self._left_s
        if not left_s:
            return False
        if self._waiter.has_started or self._stream.call.attempt_count:
            return True
        return self._room.expected_wait_s(self._waiter) <= left_s

    @property
    def _left_s(self) -> float:
        return max(0.0, self.until_s - clocks.boot_s())

    @property
    def may_look(self) -> bool:
        """Whether it may look though it may wait no longer."""
        return self._room.may_look_last(self._waiter)

    def pause_for_order(self, *, has_time: bool, max_fill: float) -> bool:
        """Pauses if others go first; returns whether it did.

        Args:
            has_time: Whether it may wait; otherwise it pauses only until its
                first turn to look.
            max_fill: Fill of a KV cache up to which it may reserve room now.
        """
        self._waiter.max_fill = max_fill
        if not self._left_s:
            return False
        if not has_time and self._waiter.had_turn:
            return False
        pause_s = self._room.pause_before_look(self._waiter)
        if not pause_s or (not has_time and self._waiter.had_turn):
            return False
        self.report_held("a look for room by the requests before it")
        self._pause(pause_s)
        return True

    def pause_after_look(self) -> None:
        """Pauses until the next look for room."""
        self._pause(self._room.record_look(self._waiter))

    def end(self, *, is_admitted: bool) -> None:
        """Ends the wait; `is_admitted` tells whether it has got room."""
        self._room.leave(self._waiter, is_admitted=is_admitted)
        if is_admitted and self._is_reported:
            self._reports.served(self._stream)

    def report_held(self, remedy: str) -> None:
        """Reports once that it waits; `remedy` tells what would let it in."""
        if self._is_reported:
            return
        self._is_reported = True
        before = self._room.count_before(self._waiter)
        self._reports.held(self._stream, before, remedy)

    def report_refused(self, room: str, remedy: str) -> None:
        """Reports that it is refused.

        Args:
            room: What has too little room.
            remedy: What would have let it in.
        """
        before = self._room.count_before(self._waiter)
        self._reports.refused(self._stream, room, before, remedy)

    def _pause(self, pause_s: float) -> None:
        self._stream.call.watch.pause(min(pause_s, self._left_s))
