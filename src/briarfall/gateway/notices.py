"""What responses say of the state of the targets that sent them."""

import math

from briarfall.gateway import leaving
from briarfall.gateway import messages
from briarfall.gateway import metrics
from briarfall.gateway import names
from briarfall.gateway import targets

# Longer times are taken for mistakes and shortened to this.
MAX_QUIET_S = 60.0


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
        self, lifetime: leaving.Lifetime, head: messages.ResponseHead
    ) -> None:
        """Takes in the response of a target to a request of its lifetime."""
        if head.header(self._names.leaving) is not None:
            self._metrics.count("briarfall_target_notices", "leaving")
            self._targets.note_leaving(lifetime)
        seconds = quiet_s(head)
        if seconds > 0:
            self._metrics.count("briarfall_target_notices", "quiet")
            self._targets.note_quiet(lifetime, seconds)
