"""Checks of the routes of a configuration."""

import collections.abc

from briarfall.gateway.catalogue import configfindings
from briarfall.gateway.catalogue import views

_Code = configfindings.Code
_Findings = collections.abc.Iterator[configfindings.Finding]
# Ranks that targets know.
_MOST_URGENT = 0
_LEAST_URGENT = 9


def check_routes(cfg: configfindings.Configuration) -> _Findings:
    """Yields the findings of all routes."""
    services = {service.name for service in cfg.services}
    names: set[str] = set()
    first_of: dict[tuple[str, str], str] = {}
    for route in cfg.routes:
        subject = configfindings.route_name(route)
        if route.name in names:
            yield configfindings.Finding(
                _Code.DUPLICATE_ROUTE_NAME,
                subject,
                "name",
                route.name,
                "one route of each name",
                "logs and metrics can't tell the routes apart",
                "rename one of the routes",
            )
        names.add(route.name)
        address = address_of(route)
        if address not in first_of:
            first_of[address] = subject
        else:
            yield configfindings.Finding(
                _Code.HIDDEN_ROUTE,
                subject,
                "prefix",
                "".join(address),
                "a host and prefix of its own",
                f"{first_of[address]} takes all its requests",
                "remove one of the routes or change its prefix",
            )
        yield from _check_address(route, subject)
        yield from _check_shares(route, subject, services)
        yield from _check_times(route, subject)
        yield from _check_runs(route, subject)


def is_urgency(urgency: int) -> bool:
    """Returns whether targets know a rank."""
    return _MOST_URGENT <= urgency <= _LEAST_URGENT


def urgency_finding(subject: str, urgency: int) -> configfindings.Finding:
    """Returns the finding of a rank that targets don't know."""
    return configfindings.Finding(
        _Code.PRIORITY_OUT_OF_RANGE,
        subject,
        "urgency",
        str(urgency),
        f"from {_MOST_URGENT} to {_LEAST_URGENT}",
        "targets don't know the rank, and may refuse it or take the default",
        "choose a rank within the range",
    )


def reached_services(route: views.Route) -> set[views.ServiceName]:
    """Returns the services that get requests of a route."""
    if len(route.shares) == 1:
        return {route.shares[0].service}
    return {share.service for share in route.shares if share.weight > 0}


def matched_routes(
    cfg: configfindings.Configuration,
) -> list[views.Route]:
    """Returns the routes that no other one with their address hides."""
    first_of: dict[tuple[str, str], views.Route] = {}
    for route in cfg.routes:
        first_of.setdefault(address_of(route), route)
    return list(first_of.values())


def address_of(route: views.Route) -> tuple[str, str]:
    """Returns the host, as requests are matched, and the prefix of a route."""
    return route.host.lower(), route.prefix


def _check_address(route: views.Route, subject: str) -> _Findings:
    host = route.host
    if not host or ":" in host or not _is_visible(host):
        yield configfindings.Finding(
            _Code.UNMATCHABLE_HOST,
            subject,
            "host",
            ascii(host),
            "a name of visible ASCII characters without a port",
            "no request matches",
            "write the host as callers name it, without the port",
        )
    elif host != host.lower():
        yield configfindings.Finding(
            _Code.HOST_WITH_CAPITALS,
            subject,
            "host",
            host,
            "lower case",
            f"requests are matched as {host.lower()}",
            "write the host in lower case",
        )
    prefix = route.prefix
    is_path = prefix.startswith("/") or not prefix
    if not is_path or "?" in prefix or not _is_visible(prefix):
        yield configfindings.Finding(
            _Code.UNMATCHABLE_PREFIX,
            subject,
            "prefix",
            ascii(prefix),
            "a path of visible ASCII characters that begins with a slash",
            "no request matches",
            "write the path as callers send it, without a query",
        )
    elif not prefix.endswith("/"):
        yield configfindings.Finding(
            _Code.PREFIX_WITHOUT_SLASH,
            subject,
            "prefix",
            prefix or "empty",
            "a slash at both ends",
            f"paths such as {prefix}x match as well",
            "add the slash",
        )


def _is_visible(text: str) -> bool:
    return text.isascii() and text.isprintable() and " " not in text


def _check_shares(
    route: views.Route, subject: str, services: set[views.ServiceName]
) -> _Findings:
    if not route.shares:
        yield configfindings.Finding(
            _Code.NO_SERVICE,
            subject,
            "shares",
            "none",
            "a service",
            "each request is refused",
            "name a service",
        )
        return
    reached = reached_services(route)
    if not reached:
        yield configfindings.Finding(
            _Code.SPLIT_WITHOUT_WEIGHT,
            subject,
            "weight",
            "no weight above 0",
            "one weight above 0 or more",
            "each request is refused",
            "give a weight to a service",
        )
        return
    seen = set()
    for share in route.shares:
        name = configfindings.named("service", share.service)
        is_known = share.service in services
        is_reached = share.service in reached
        if is_reached and not is_known and share.service not in seen:
            yield configfindings.Finding(
                _Code.UNKNOWN_SERVICE,
                subject,
                "service",
                share.service,
                "a service that has an entry",
                "requests for this service are refused",
                "add an entry for the service or correct the name",
            )
        if share.service in seen:
            yield configfindings.Finding(
                _Code.REPEATED_SHARE,
                subject,
                "service",
                share.service,
                "each service once",
                "the weights of the service add up",
                "join the shares",
            )
        seen.add(share.service)
        if share.weight > 0:
            continue
        effect = f"{name} gets no request of the route"
        if len(route.shares) == 1:
            effect = f"{name} gets all requests, since there is no other"
        yield configfindings.Finding(
            _Code.WEIGHTLESS_SHARE,
            subject,
            "weight",
            f"{share.weight:g} for {share.service}",
            "above 0",
            effect,
            "remove the share or give it a weight",
        )


def _check_times(route: views.Route, subject: str) -> _Findings:
    if not route.timeout_s:
        yield configfindings.Finding(
            _Code.NO_TIMEOUT,
            subject,
            "timeout_s",
            "0 s",
            "above 0 s",
            "each request fails at once",
            "set the longest time that a caller may wait",
        )
        return
    timeout = configfindings.seconds(route.timeout_s)
    if route.first_byte_slo_s > route.timeout_s:
        yield configfindings.Finding(
            _Code.AIM_ABOVE_TIMEOUT,
            subject,
            "first_byte_slo_s",
            configfindings.seconds(route.first_byte_slo_s),
            f"at most the timeout, {timeout}",
            "requests end before the time up to which they are on time",
            "raise the timeout or lower the aim",
        )
    if route.event_gap_slo_s > route.timeout_s:
        yield configfindings.Finding(
            _Code.GAP_AIM_ABOVE_TIMEOUT,
            subject,
            "event_gap_slo_s",
            configfindings.seconds(route.event_gap_slo_s),
            f"at most the timeout, {timeout}",
            "streams end before a pause between events counts as late",
            "raise the timeout or lower the aim for pauses",
        )
    is_stream = route.kind is views.RouteKind.STREAM
    if route.event_gap_slo_s and not is_stream:
        yield configfindings.Finding(
            _Code.GAP_AIM_WITHOUT_STREAM,
            subject,
            "event_gap_slo_s",
            configfindings.seconds(route.event_gap_slo_s),
            "none on a route without streams",
            "answers have no events, so the aim has no effect",
            "remove the aim or make the route a stream",
        )


def _check_runs(route: views.Route, subject: str) -> _Findings:
    if route.is_resumable and route.kind is not views.RouteKind.STREAM:
        yield configfindings.Finding(
            _Code.RESUMABLE_WITHOUT_STREAM,
            subject,
            "is_resumable",
            "true",
            "false on a route without streams",
            "only streams can be resumed, so it has no effect",
            "remove the field or make the route a stream",
        )
    if not route.max_runs:
        yield configfindings.Finding(
            _Code.NO_ATTEMPTS,
            subject,
            "max_runs",
            "0",
            "1 or more",
            "the route allows no target to run a request",
            "allow one attempt or more",
        )
    if route.max_runs > 1 and not route.is_retryable:
        yield configfindings.Finding(
            _Code.ATTEMPTS_OF_SINGLE_RUN,
            subject,
            "max_runs",
            str(route.max_runs),
            "1 on a route whose requests may run once",
            "a request that may have run is not sent again all the same",
            "allow one attempt, or make the route repeatable",
        )
    if not is_urgency(route.urgency):
        yield urgency_finding(subject, route.urgency)
