"""Metrics of an instance whose values are read on each scrape."""


def add_gauges(instance) -> None:
    """Registers all gauges of an instance."""
    gauge = instance.metrics.gauge
    gauge(
        "briarfall_ongoing",
        "Requests in flight.",
        lambda: instance.in_flight_requests.count,
    )
    gauge(
        "briarfall_catalogue_offset",
        "Offset of the catalogue that is applied.",
        lambda: instance.follower.next_offset,
    )
    gauge(
        "briarfall_log_up",
        "Whether the configuration log answered the last read.",
        lambda: float(instance.follower.log_up),
    )
    gauge(
        "briarfall_instances",
        "Live instances.",
        lambda: len(instance.members.live()),
    )
    gauge(
        "briarfall_tokens_dropped",
        "Tokens discarded: stale, duplicate or with a wrong layer trace.",
        lambda: instance.relay.dropped_tokens,
    )
    gauge(
        "briarfall_peer_bytes_sent",
        "Bytes sent to other instances.",
        lambda: instance.counters.sent_bytes,
    )
    gauge(
        "briarfall_peer_bytes_received",
        "Bytes received from other instances.",
        lambda: instance.counters.received_bytes,
    )
