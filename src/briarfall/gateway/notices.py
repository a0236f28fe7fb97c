"""What responses say of the state of the targets that sent them."""

import math

from briarfall.gateway import messages
from briarfall.gateway import metrics
from briarfall.gateway import names
from briarfall.gateway import quiet
from briarfall.gateway import targets
from briarfall.gateway import targetstate

# Longer times are taken for mistakes and shortened to this.
MAX_QUIET_S = 60.0
# A refusal may name another target than the one that sent it; which of the two
# leaves is not certain, so that both are avoided for a while only.
UNSURE_BLOCK_S = 2.0


def quiet_s(head: messages.ResponseHead) -> float:
    """Returns the seconds for which a target wants no requests.

    A value that is no positive number counts as 0, a very long one as
    `MAX_QUIET_S`.
    """
    if head.status != 503:
        return 0.0
    value = head.header(b"retry-after")
    if value is None:
        return 0.0
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    if not math.isfinite(seconds):
        return 0.0
    return min(MAX_QUIET_S, max(0.0, seconds))


class TargetNotices:
    """Takes in the notices that targets add to their responses.

    Args:
        header_names: Header names of the platform.
        table: Targets.
        counters: Metrics.
    """

    def __init__(
        self,
        header_names: names.HeaderNames,
        table: targets.TargetTable,
        counters: metrics.Metrics,
    ):
        self._names = header_names
        self._targets = table
        self._metrics = counters

    def take(
        self, target: targetstate.Target, head: messages.ResponseHead
    ) -> None:
        """Takes in the response of a target."""
        if head.header(self._names.leaving) is not None:
            self._metrics.count("briarfall_target_notices", "leaving")
            if self._names_another(target, head):
                self._targets.block(target, UNSURE_BLOCK_S)
            else:
                self._targets.note_leaving(target.lifetime)
        seconds = quiet_s(head)
        if seconds > 0:
            self._metrics.count("briarfall_target_notices", "quiet")
            quiet.note(target, seconds)

    def _names_another(
        self, target: targetstate.Target, head: messages.ResponseHead
    ) -> bool:
        """Whether a response is about another target than its sender."""
        named = head.header(self._names.faulty_target)
        if named is None:
            return False
        return named.decode("latin-1") != target.entry.address
