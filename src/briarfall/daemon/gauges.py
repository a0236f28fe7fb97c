"""Gauges of an instance, read when they are scraped."""


def add_gauges(instance) -> None:
    """Adds all gauges of an instance to its metrics."""
    gauge = instance.metrics.gauge
    gauge(
        "briarfall_ongoing",
        "Requests in progress.",
        lambda: instance.ongoing.count,
    )
    gauge(
        "briarfall_catalogue_offset",
        "Catalogue offset in force.",
        lambda: instance.follower.next_offset,
    )
    gauge(
        "briarfall_log_up",
        "Whether the configuration log answers.",
        lambda: float(instance.follower.log_up),
    )
    gauge(
        "briarfall_instances",
        "Live instances.",
        lambda: len(instance.members.live()),
    )
    gauge(
        "briarfall_tokens_dropped",
        "Tokens not accepted: stale, repeated or with a broken trace.",
        lambda: instance.relay.dropped_tokens,
    )
    gauge(
        "briarfall_peer_bytes_sent",
        "Bytes sent to instances.",
        lambda: instance.counters.sent_bytes,
    )
    gauge(
        "briarfall_peer_bytes_received",
        "Bytes received from instances.",
        lambda: instance.counters.received_bytes,
    )
