"""Metrics of an instance, in a registry of its own."""

import prometheus_client


class Metrics:
    """Counters, histograms and gauges for operators."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "briarfall_requests",
            "Requests by client, entry and error code (ok without an error).",
            ["client", "entry", "code"],
        )
        self.tokens = self._counter(
            "briarfall_tokens",
            "Tokens relayed to callers, by entry. A stream that resumes counts "
            "from its first token.",
            ["entry"],
        )
        self.first_token = prometheus_client.Histogram(
            "briarfall_first_token_seconds",
            "Time to the first token in seconds, by entry.",
            ["entry"],
            registry=self.registry,
            buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.7, 3.0, 6.0, 12.0),
        )
        self.errors = self._counter(
            "briarfall_unexpected_errors",
            "Unexpected errors, which are faults of the program.",
            [],
        )

    def gauge(self, name: str, text: str, function) -> None:
        """Adds a gauge whose value `function` returns on each scrape."""
        gauge = prometheus_client.Gauge(name, text, registry=self.registry)
        gauge.set_function(function)

    def expose(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(self, name: str, text: str, labels: list[str]):
        return prometheus_client.Counter(
            name, text, labels, registry=self.registry
        )
