"""Target signals: what response headers say about the state of targets."""

from briarfall import decoding
from briarfall.gateway import metrics
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import messages
from briarfall.gateway.targets import ratelimits
from briarfall.gateway.targets import relaybackoffs
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

MAX_BACKOFF_S = relaybackoffs.MAX_BACKOFF_S
# Seconds. A refusal may name another target than the one that sent it. It is
# then not certain which of the two drains: both are blocked for this time only,
# and neither is marked as draining.
UNCERTAIN_BLOCK_S = 2.0


def requested_backoff_s(head: messages.ResponseHead) -> float:
    """Returns the backoff in seconds that a target asks for, or 0.

    Only the Retry-After header of a 503 counts. A value that is not a positive
    number counts as 0; one above `MAX_BACKOFF_S` is cut to it.
    """
    if head.status != 503:
        return 0.0
    value = head.header(b"retry-after")
    if value is None:
        return 0.0
    seconds = decoding.parse_number(value) or 0.0
    return min(MAX_BACKOFF_S, max(0.0, seconds))


class TargetSignals:
    """Applies the signals that targets add to their responses.

    Args:
        header_names: Header names of the platform.
        table: Table of targets.
        counters: Metrics of this instance.
        limits: Rate limits of targets.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        table: targets.TargetTable,
        counters: metrics.Metrics,
        limits: ratelimits.RateLimitTable,
    ):
        self._names = header_names
        self._targets = table
        self._metrics = counters
        self._limits = limits

    def handle(
        self,
        target: targetstate.Target,
        head: messages.ResponseHead,
        sent_s: float,
    ) -> None:
        """Applies the signals in the head of a target's response.

        Args:
            target: The target to which the request was sent.
            head: Head of the response.
            sent_s: Time on the boot clock at which the request was sent.
        """
        if head.header(self._names.leaving) is not None:
            self._metrics.count("briarfall_target_notices", "leaving")
            if self._names_other_target(target, head):
                self._targets.block(target, UNCERTAIN_BLOCK_S)
            else:
                self._targets.record_draining(target.incarnation)
        seconds = requested_backoff_s(head)
        if seconds > 0:
            self._metrics.count("briarfall_target_notices", "quiet")
            targetbackoff.start_backoff(target, seconds)
        self._handle_limit(target, head, sent_s)

    def _handle_limit(
        self,
        target: targetstate.Target,
        head: messages.ResponseHead,
        sent_s: float,
    ) -> None:
        """Applies the rate limit that a response names, or that it names none.

        A response that another target may have written says nothing about
        the limit of this one.
        """
        if head.status == 421 or self._names_other_target(target, head):
            return
        value = head.header(self._names.rate_limit)
        if value is not None:
            self._metrics.count("briarfall_target_notices", "limit")
        self._limits.record(target.incarnation, value, sent_s)

    def _names_other_target(
        self, target: targetstate.Target, head: messages.ResponseHead
    ) -> bool:
        """Whether a response names another target than its sender."""
        named = head.header(self._names.faulty_target)
        if named is None:
            return False
        return named.decode("latin-1") != target.entry.address
