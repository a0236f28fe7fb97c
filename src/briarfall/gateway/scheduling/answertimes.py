"""How long a target works on a request, as this instance has seen it."""

import msgspec

from briarfall import ids

# Weight of each answer in the moving average.
_WEIGHT = 0.1
# An answer counts as at most so many times the estimate before it.
_MAX_RISE = 1.5
# An estimate needs this many answers, the last one within this time.
_MIN_ANSWERS = 5
_MAX_AGE_S = 5.0
_MAX_TARGETS = 4096


class Estimate(msgspec.Struct, frozen=True):
    """Time that an answer takes.

    Attributes:
        work_s: Seconds in which a slot works on a request. 0 if unknown: then
            no request is refused for the time that it would wait.
        age_s: Seconds since the last answer; infinite if there was none.
    """

    work_s: float = 0.0
    age_s: float = float("inf")


UNKNOWN = Estimate()


class _Row(msgspec.Struct):
    work_s: float
    answers: int
    seen_s: float


class AnswerTimes:
    """Estimates of the work of each target, by its answers."""

    def __init__(self):
        self._rows: dict[ids.TargetId, _Row] = {}

    def record(
        self,
        target: ids.TargetId,
        took_s: float,
        in_flight: int,
        slots: int,
        now_s: float,
    ) -> None:
        """Records a whole answer.

        Args:
            target: The target.
            took_s: Seconds from the send to the end of the answer.
            in_flight: Requests at the target at the send, this one included.
                Of those beyond its slots this one has waited for a part.
            slots: Requests that the target runs at once.
            now_s: Time on the boot clock.
        """
        work_s = took_s / max(1.0, in_flight / max(1, slots))
        row = self._rows.get(target)
        if row is None:
            if len(self._rows) >= _MAX_TARGETS:
                self._forget_oldest()
            self._rows[target] = _Row(work_s, 1, now_s)
            return
        row.answers += 1
        weight = max(_WEIGHT, 1 / row.answers)
        if row.answers > _MIN_ANSWERS:
            # A target that pauses answers many calls late at once; one that has
            # become slow goes on to.
            work_s = min(work_s, row.work_s * _MAX_RISE)
        row.work_s += (work_s - row.work_s) * weight
        row.seen_s = now_s

    def of(self, target: ids.TargetId, now_s: float) -> Estimate:
        """Returns the estimate for a target, or `UNKNOWN`."""
        row = self._rows.get(target)
        if row is None or row.answers < _MIN_ANSWERS:
            return UNKNOWN
        age_s = now_s - row.seen_s
        if age_s > _MAX_AGE_S:
            return Estimate(0.0, age_s)
        return Estimate(row.work_s, age_s)

    def _forget_oldest(self) -> None:
        oldest = min(self._rows, key=lambda name: self._rows[name].seen_s)
        del self._rows[oldest]
