"""Counters, histograms and gauges of a gateway instance.

Values are kept in plain dictionaries. The Prometheus library is imported only
at the first scrape, because importing it would delay the start.
"""

import bisect
import collections.abc
import threading

import msgspec

# Upper bounds of histogram buckets, in seconds.
_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
# Label sets beyond this number per metric are counted together as `_OTHER`.
_MAX_SERIES = 400
_OTHER = "other"

Labels = tuple[str, ...]


class _Histogram(msgspec.Struct):
    counts: list[int]
    total: float = 0.0


class _Family(msgspec.Struct):
    help: str
    labels: Labels
    counters: dict[Labels, int] = {}
    histograms: dict[Labels, _Histogram] = {}


class Metrics:
    """All metrics of one instance."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counters: dict[str, _Family] = {}
        self._histograms: dict[str, _Family] = {}
        self._gauges: dict[str, tuple[str, collections.abc.Callable]] = {}
        self._external_counts: dict[
            str, tuple[str, str, collections.abc.Callable]
        ] = {}
        self._add_counter(
            "briarfall_requests", "Requests.", ("route", "kind", "outcome")
        )
        self._add_counter(
            "briarfall_sends",
            "Attempts sent to targets.",
            ("service", "outcome"),
        )
        self._add_counter(
            "briarfall_admissions",
            "Calls to plain services that found no free slot.",
            ("route", "outcome"),
        )
        self._add_counter(
            "briarfall_unexpected_errors",
            "Requests that ended with an unexpected error.",
            ("listener",),
        )
        self._add_counter(
            "briarfall_refused_messages",
            "Messages refused before they were requests, by status.",
            ("status",),
        )
        self._add_counter(
            "briarfall_repaths",
            "Changes of the chain of a request in flight.",
            ("result",),
        )
        self._add_counter(
            "briarfall_target_notices",
            "Responses whose target is draining or asks for a backoff.",
            ("kind",),
        )
        self._add_counter(
            "briarfall_relays",
            "Requests relayed to peers while their targets are not reached.",
            ("outcome",),
        )
        self._add_counter(
            "briarfall_room_decisions",
            "Streams that were held, then served, or refused for lack of room.",
            ("route", "urgency", "outcome"),
        )
        self._add_histogram(
            "briarfall_answer_seconds",
            "Time to the first byte of the response.",
            ("route",),
        )
        self._add_histogram(
            "briarfall_detection_seconds",
            "Time without data after which a failed engine was detected.",
            ("how",),
        )
        self._add_histogram(
            "briarfall_repath_seconds", "Time to change a chain.", ()
        )

    def _add_counter(self, name: str, text: str, labels: Labels) -> None:
        self._counters[name] = _Family(text, labels)

    def _add_histogram(self, name: str, text: str, labels: Labels) -> None:
        self._histograms[name] = _Family(text, labels)

    def add_gauge(
        self, name: str, text: str, read: collections.abc.Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read at each scrape."""
        self._gauges[name] = (text, read)

    def add_counts(
        self,
        name: str,
        text: str,
        label: str,
        read: collections.abc.Callable[[], dict[str, int]],
    ) -> None:
        """Adds a counter whose values, by label value, are kept elsewhere."""
        self._external_counts[name] = (text, label, read)

    def count(self, name: str, *labels: str) -> None:
        """Increments a counter."""
        with self._lock:
            counters = self._counters[name].counters
            key = _bounded_labels(counters, labels)
            counters[key] = counters.get(key, 0) + 1

    def observe(self, name: str, seconds: float, *labels: str) -> None:
        """Adds a value to a histogram."""
        with self._lock:
            histograms = self._histograms[name].histograms
            key = _bounded_labels(histograms, labels)
            row = histograms.get(key)
            if row is None:
                row = _Histogram([0] * (len(_BUCKETS_S) + 1))
                histograms[key] = row
            row.counts[bisect.bisect_left(_BUCKETS_S, seconds)] += 1
            row.total += seconds

    def collect(self):
        """Yields all metrics as Prometheus metric families."""
        from prometheus_client import core

        with self._lock:
            for name, family in self._counters.items():
                rows = core.CounterMetricFamily(
                    name, family.help, labels=family.labels
                )
                for labels, value in family.counters.items():
                    rows.add_metric(labels, value)
                yield rows
            for name, family in self._histograms.items():
                rows = core.HistogramMetricFamily(
                    name, family.help, labels=family.labels
                )
                for labels, row in family.histograms.items():
                    rows.add_metric(labels, _cumulative(row), row.total)
                yield rows
        for name, (text, label, read) in self._external_counts.items():
            rows = core.CounterMetricFamily(name, text, labels=(label,))
            for value, count in read().items():
                rows.add_metric((value,), count)
            yield rows
        for name, (text, read) in self._gauges.items():
            yield core.GaugeMetricFamily(name, text, value=read())

    def expose(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(self)
        return prometheus_client.generate_latest(registry)


def _bounded_labels(known: dict[Labels, object], labels: Labels) -> Labels:
    if labels in known or len(known) < _MAX_SERIES:
        return labels
    return (_OTHER,) * len(labels)


def _cumulative(row: _Histogram) -> list[tuple[str, float]]:
    bounds = [str(bound) for bound in _BUCKETS_S] + ["+Inf"]
    total = 0
    buckets = []
    for bound, count in zip(bounds, row.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets
