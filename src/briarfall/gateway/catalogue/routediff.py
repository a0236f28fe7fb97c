"""What differs between the routes of two configurations."""

import collections.abc

from briarfall import exceptions
from briarfall.gateway.catalogue import configfindings
from briarfall.gateway.catalogue import differences
from briarfall.gateway.catalogue import routechecks
from briarfall.gateway.catalogue import views

_Change = differences.Change
_Difference = differences.Difference
_Differences = collections.abc.Iterator[_Difference]
# Fields for which the direction of the change says what callers notice: the
# effect of a smaller value, and of a larger one.
_ORDERED_EFFECTS = {
    "timeout_s": (
        "requests that take longer than the new timeout fail",
        "callers may wait longer for an answer",
    ),
    "first_byte_slo_s": (
        "answers that were on time may count as late",
        "answers may begin later and still count as on time",
    ),
    "event_gap_slo_s": (
        "streams with pauses that were on time may count as late; 0 sets no "
        "aim",
        "streams may pause longer and still count as on time",
    ),
    "urgency": (
        "requests become more urgent, unless their account has a rank",
        "requests become less urgent, unless their account has a rank",
    ),
    "max_runs": (
        "fewer targets try a request before it fails",
        "more targets may try a request before it fails",
    ),
}
_PUBLIC_EFFECTS = {
    True: "callers need no key any more",
    False: "callers without a key are refused, if there are accounts",
}


def compare_routes(
    before: configfindings.Configuration, after: configfindings.Configuration
) -> _Differences:
    """Yields the differences between the routes."""
    views_of = (before.view(), after.view())
    by_name = differences.pair(
        before.routes, after.routes, lambda route: route.name
    )
    # A route with a new name and its old address is the same to callers.
    by_address = differences.pair(
        by_name.removed, by_name.added, routechecks.address_of
    )
    for route in by_address.removed:
        yield _removed(route, views_of[1])
    for route in by_address.added:
        yield _added(route, views_of[0])
    for old, new in by_name.both + by_address.both:
        yield from _changed(old, new, views_of[1])


def _removed(route: views.Route, after: views.CatalogueView) -> _Difference:
    return _Difference(
        _Change.REMOVED,
        configfindings.route_name(route),
        "",
        _shown_address(route),
        "",
        _effect_of_leaving(route, after),
    )


def _effect_of_leaving(route: views.Route, after: views.CatalogueView) -> str:
    other = _match(after, route)
    if other is None:
        return "requests are refused as not found"
    return (
        f"{configfindings.route_name(other)} takes its requests "
        f"({_shown_shares(other)}, {_shown_runs(other)})"
    )


def _added(route: views.Route, before: views.CatalogueView) -> _Difference:
    other = _match(before, route)
    effect = "requests that were refused as not found are served"
    if other is not None:
        effect = (
            f"takes requests from {configfindings.route_name(other)} "
            f"({_shown_shares(other)}, {_shown_runs(other)})"
        )
    return _Difference(
        _Change.ADDED,
        configfindings.route_name(route),
        "",
        "",
        f"{_shown_address(route)} to {_shown_shares(route)}",
        effect,
    )


def _match(view: views.CatalogueView, route: views.Route) -> views.Route | None:
    try:
        return view.match(route.host.lower(), route.prefix)
    except exceptions.NotFoundError:
        return None


def _changed(
    old: views.Route, new: views.Route, after: views.CatalogueView
) -> _Differences:
    subject = configfindings.route_name(new)
    if old.name != new.name:
        yield _Difference(
            _Change.CHANGED,
            subject,
            "name",
            old.name,
            new.name,
            "none for callers; logs and metrics use the new name",
        )
    if routechecks.address_of(old) != routechecks.address_of(new):
        yield _Difference(
            _Change.CHANGED,
            subject,
            "prefix" if old.host == new.host else "host",
            _shown_address(old),
            _shown_address(new),
            f"at the old address: {_effect_of_leaving(old, after)}",
        )
    if _weights(old) != _weights(new):
        yield _Difference(
            _Change.CHANGED,
            subject,
            "shares",
            _shown_shares(old),
            _shown_shares(new),
            _effect_of_shares(old, new),
        )
    if (old.kind, old.is_resumable) != (new.kind, new.is_resumable):
        yield _Difference(
            _Change.CHANGED,
            subject,
            "kind" if old.kind is not new.kind else "is_resumable",
            _shown_runs(old),
            _shown_runs(new),
            _effect_of_kind(old, new),
        )
    for field, (smaller, larger) in _ORDERED_EFFECTS.items():
        value = getattr(new, field)
        if value == getattr(old, field):
            continue
        effect = larger if value > getattr(old, field) else smaller
        yield from differences.compare_fields(
            subject, old, new, {field: effect}
        )
    yield from differences.compare_fields(
        subject, old, new, {"is_public": _PUBLIC_EFFECTS[new.is_public]}
    )


def _weights(route: views.Route) -> dict[views.ServiceName, float]:
    """Returns each service's part of the requests, in percent."""
    if len(route.shares) == 1:
        return {route.shares[0].service: 100.0}
    total = sum(max(0.0, share.weight) for share in route.shares)
    found: dict[views.ServiceName, float] = {}
    for share in route.shares:
        if share.weight > 0:
            part = 100.0 * share.weight / total
            found[share.service] = found.get(share.service, 0.0) + part
    return found


def _shown_shares(route: views.Route) -> str:
    parts = []
    for name, percent in _weights(route).items():
        parts.append(f"{configfindings.excerpt(name)} {percent:.3g}%")
    return ", ".join(parts) or "no service"


def _effect_of_shares(old: views.Route, new: views.Route) -> str:
    gone = _names(set(_weights(old)) - set(_weights(new)))
    come = _names(set(_weights(new)) - set(_weights(old)))
    if not _weights(new):
        return "each request is refused"
    if gone and come:
        return f"requests move from {gone} to {come}"
    if gone:
        return f"{gone} gets no request of the route any more"
    if come:
        return f"{come} gets a part of the requests"
    return "another part of the requests goes to each service"


def _names(services: set[views.ServiceName]) -> str:
    return ", ".join(configfindings.excerpt(name) for name in sorted(services))


def _shown_address(route: views.Route) -> str:
    return configfindings.excerpt(f"{route.host.lower()}{route.prefix}")


def _shown_runs(route: views.Route) -> str:
    if route.kind is views.RouteKind.IDEMPOTENT:
        return "idempotent"
    if route.kind is views.RouteKind.NON_IDEMPOTENT:
        return "at most one run"
    return "resumable stream" if route.is_resumable else "stream"


def _effect_of_kind(old: views.Route, new: views.Route) -> str:
    effects = []
    if old.is_retryable and not new.is_retryable:
        effects.append(
            "a request that may have run is not sent again and fails with an "
            "unknown outcome"
        )
    if new.is_retryable and not old.is_retryable:
        effects.append("a request may run more than once")
    was_stream = old.kind is views.RouteKind.STREAM
    if was_stream and new.kind is not views.RouteKind.STREAM:
        effects.append("answers are no longer followed event by event")
    if new.kind is views.RouteKind.STREAM and not was_stream:
        effects.append("answers must be streams of events")
    return "; ".join(effects) or "none, since only streams can be resumed"
