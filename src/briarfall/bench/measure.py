"""CPU time, memory and distributions for measurements."""

import gc
import os
import pathlib
import platform
import threading
import time

from hdrh import histogram
import msgspec

_MAX_US = 120_000_000


class Quantiles(msgspec.Struct):
    """A distribution of durations, in seconds."""

    count: int
    p50: float
    p95: float
    p99: float
    longest: float


def quantiles(values_s: list[float]) -> Quantiles:
    """Returns the distribution of durations."""
    durations = histogram.HdrHistogram(1, _MAX_US, 3)
    for value in values_s:
        durations.record_value(max(1, int(value * 1e6)))
    if not values_s:
        return Quantiles(0, 0.0, 0.0, 0.0, 0.0)

    def at(percent: float) -> float:
        return round(durations.get_value_at_percentile(percent) / 1e6, 4)

    return Quantiles(
        len(values_s), at(50), at(95), at(99), round(max(values_s), 4)
    )


def thread_cpu_s(threads: list[threading.Thread]) -> float:
    """Returns the total CPU time of the live threads, in seconds."""
    total = 0.0
    for thread in threads:
        if not thread.is_alive() or thread.ident is None:
            continue
        clock = time.pthread_getcpuclockid(thread.ident)
        total += time.clock_gettime(clock)
    return total


def resident_bytes() -> int:
    """Returns the resident memory of this process, in bytes."""
    gc.collect()
    return process_resident_bytes(os.getpid())


def process_cpu_s(pid: int) -> float:
    """Returns the CPU time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def process_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


class Meter:
    """Measures wall and CPU time from its creation until `stop`."""

    def __init__(self):
        self._wall = time.monotonic()
        self._cpu = time.process_time()

    def stop(self) -> tuple[float, float]:
        """Returns the wall time in seconds and the share of a core used."""
        wall = time.monotonic() - self._wall
        return wall, (time.process_time() - self._cpu) / wall


def machine() -> str:
    """Returns a description of this machine, for reports."""
    return f"{os.cpu_count()} cores, Python {platform.python_version()}"


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns intercept and slope of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    if not sum_of_squares:
        return mean_y, 0.0
    gradient = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    )
    return mean_y - gradient * mean_x, gradient
