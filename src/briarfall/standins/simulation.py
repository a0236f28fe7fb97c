"""Simulated time and network links between engine stand-ins."""

import heapq
import itertools
import threading
import time

from absl import logging
import msgspec


class Timeline:
    """Runs scheduled callbacks on one thread.

    Args:
        scale: Factor on every delay. A value above 1 slows simulated time
            down so that the CPU of this machine is not the limit.
    """

    def __init__(self, scale: float = 1.0):
        self.scale = scale
        self.lock = threading.RLock()
        self._wake = threading.Condition(self.lock)
        self._heap: list[tuple] = []
        self._serial = itertools.count()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="timeline", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread; callbacks that are still pending never run."""
        with self._wake:
            self._stopping = True
            self._wake.notify()

    def call_later(self, delay_s: float, callback, *args) -> None:
        """Runs `callback(*args)` after `delay_s` simulated seconds."""
        due = time.monotonic() + delay_s * self.scale
        with self._wake:
            heapq.heappush(
                self._heap, (due, next(self._serial), callback, args)
            )
            if self._heap[0][0] == due:
                self._wake.notify()

    def _run(self) -> None:
        with self._wake:
            while not self._stopping:
                now = time.monotonic()
                if not self._heap:
                    self._wake.wait()
                    continue
                due = self._heap[0][0]
                if due > now:
                    self._wake.wait(due - now)
                    continue
                _, _, callback, args = heapq.heappop(self._heap)
                try:
                    callback(*args)
                except Exception:
                    logging.exception("timeline callback failed")


class Link(msgspec.Struct):
    """One direction of the link between two availability zones."""

    delay_s: float = 0.0005
    bytes_per_s: float = 1.25e9
    factor: float = 1.0
    cut: bool = False
    free_at_s: float = 0.0


class Links:
    """Inter-zone links with bandwidth, delay and faults."""

    def __init__(self, timeline: Timeline):
        self._timeline = timeline
        self._links: dict[tuple[str, str], Link] = {}
        self.cross_zone_bytes = 0

    def link(self, src: str, dst: str) -> Link:
        """Returns the link from one zone to another."""
        return self._links.setdefault((src, dst), Link())

    def set(self, src: str, dst: str, delay_s: float, bytes_per_s: float):
        """Sets delay and bandwidth of both directions."""
        for pair in ((src, dst), (dst, src)):
            link = self.link(*pair)
            link.delay_s = delay_s
            link.bytes_per_s = bytes_per_s

    def degrade(self, src: str, dst: str, factor: float) -> None:
        """Multiplies delay and transfer time in both directions."""
        self.link(src, dst).factor = factor
        self.link(dst, src).factor = factor

    def cut(self, src: str, dst: str, is_cut: bool = True) -> None:
        """Drops all transfers in both directions, without an error."""
        self.link(src, dst).cut = is_cut
        self.link(dst, src).cut = is_cut

    def send(
        self, src: str, dst: str, size_bytes: float, callback, *args
    ) -> None:
        """Calls `callback` when the simulated transfer is complete."""
        link = self.link(src, dst)
        if link.cut:
            return
        if src != dst:
            self.cross_zone_bytes += size_bytes
        scale = self._timeline.scale
        now = time.monotonic()
        start = max(now, link.free_at_s)
        transfer_s = size_bytes / link.bytes_per_s * link.factor
        link.free_at_s = start + transfer_s * scale
        wait_s = (start - now) / scale
        self._timeline.call_later(
            wait_s + transfer_s + link.delay_s * link.factor, callback, *args
        )
