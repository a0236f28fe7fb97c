"""Which urgencies the requests of late had, and where one stands in them."""

# Time for which an urgency counts after its last request.
_WINDOW_S = 10.0
# Urgencies beyond this number are counted as the last of them.
_MAX_URGENCIES = 64


class RecentUrgencies:
    """The urgencies of the requests of the last seconds."""

    def __init__(self):
        self._seen_s: dict[int, float] = {}

    def record(self, urgency: int, now_s: float) -> None:
        """Records a request.

        Args:
            urgency: Its urgency; 0 is served first.
            now_s: Time on the boot clock.
        """
        if urgency in self._seen_s or len(self._seen_s) < _MAX_URGENCIES:
            self._seen_s[urgency] = now_s
            return
        self._expire(now_s)

    def count(self, now_s: float) -> int:
        """Returns how many urgencies the requests of late had."""
        self._expire(now_s)
        return len(self._seen_s)

    def rank(self, urgency: int, now_s: float) -> int:
        """Returns how many urgencies of late are more urgent than this one."""
        self._expire(now_s)
        return sum(1 for seen in self._seen_s if seen < urgency)

    def share(self, urgency: int, now_s: float) -> float:
        """Returns 0 for the most urgent requests of late, 1 for the least.

        It is 0 for all if there is one urgency.
        """
        others = self.rank(urgency, now_s)
        highest = self.count(now_s) - 1
        if highest <= 0:
            return 0.0
        return min(1.0, others / highest)

    def _expire(self, now_s: float) -> None:
        # Several threads may expire the same rows.
        for urgency, seen_s in list(self._seen_s.items()):
            if seen_s < now_s - _WINDOW_S:
                self._seen_s.pop(urgency, None)
