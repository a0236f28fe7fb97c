"""What differs between two configurations, and what callers notice."""

import collections.abc

from briarfall.gateway.catalogue import configfindings
from briarfall.gateway.catalogue import differences
from briarfall.gateway.catalogue import routediff
from briarfall.gateway.catalogue import views

_Change = differences.Change
_Difference = differences.Difference
_Differences = collections.abc.Iterator[_Difference]
_MODEL_EFFECTS = {
    "layers": "engines must load other layers before requests are served",
    "layer_mb": "engines hold another number of layers and may reload them",
    "kinds": "engines are given other layers and requests",
    "slots": "engines run another number of requests at once",
}
_PLANNING_EFFECT = "instances choose engines by other times and sizes"
_LIMIT_EFFECTS = {
    "max_header_bytes": (
        "requests with larger headers are refused",
        "requests with larger headers are accepted",
    ),
    "max_body_bytes": (
        "requests with larger bodies are refused",
        "requests with larger bodies are accepted",
    ),
    "header_timeout_s": (
        "callers that send headers more slowly are refused",
        "callers may send headers more slowly",
    ),
    "idle_timeout_s": (
        "idle connections are closed sooner, and bodies must arrive sooner",
        "idle connections stay open longer, and bodies may arrive later",
    ),
}


def compare(
    before: configfindings.Configuration, after: configfindings.Configuration
) -> list[_Difference]:
    """Returns what differs in `after` from `before`, the one in force."""
    found = list(
        differences.compare_fields(
            "configuration", before, after, {"version": "none by itself"}
        )
    )
    found.extend(routediff.compare_routes(before, after))
    found.extend(_compare_services(before, after))
    found.extend(_compare_accounts(before, after))
    found.extend(_compare_limits(before.limits, after.limits))
    return found


def _compare_services(
    before: configfindings.Configuration, after: configfindings.Configuration
) -> _Differences:
    paired = differences.pair(
        before.services, after.services, lambda service: service.name
    )
    for service in paired.removed:
        yield _Difference(
            _Change.REMOVED,
            configfindings.named("service", service.name),
            "",
            _shown_model(service.model),
            "",
            "requests that routes still send to it are refused",
        )
    for service in paired.added:
        yield _Difference(
            _Change.ADDED,
            configfindings.named("service", service.name),
            "",
            "",
            _shown_model(service.model),
            "none until a route sends requests to it",
        )
    for old, new in paired.both:
        yield from _compare_service(old, new)


def _compare_service(old: views.Service, new: views.Service) -> _Differences:
    subject = configfindings.named("service", new.name)
    yield from differences.compare_fields(
        subject,
        old,
        new,
        {"max_connections": "none; instances don't apply the limit"},
    )
    if old.model is not None and new.model is not None:
        effects = dict.fromkeys(old.model.__struct_fields__, _PLANNING_EFFECT)
        effects.update(_MODEL_EFFECTS)
        yield from differences.compare_fields(
            subject, old.model, new.model, effects
        )
    elif old.model is not new.model:
        yield _Difference(
            _Change.CHANGED,
            subject,
            "model",
            _shown_model(old.model),
            _shown_model(new.model),
            "requests take other paths: chains of engines hold a model's "
            "layers, any one target of a pool serves alone",
        )


def _shown_model(model: views.ModelLayout | None) -> str:
    if model is None:
        return "pool of targets"
    return f"model of {model.layers} layers"


def _compare_accounts(
    before: configfindings.Configuration, after: configfindings.Configuration
) -> _Differences:
    if (before.accounts is None) != (after.accounts is None):
        effect = "callers need no key any more; targets are told no account"
        if after.accounts is not None:
            effect = "callers without a key are refused on other than public "
            effect += "routes"
        yield _Difference(
            _Change.CHANGED,
            "accounts",
            "accounts",
            _shown_accounts(before),
            _shown_accounts(after),
            effect,
        )
    paired = differences.pair(
        before.accounts or (),
        after.accounts or (),
        lambda row: row.account.name,
    )
    for row in paired.removed:
        yield _Difference(
            _Change.REMOVED,
            configfindings.named("account", row.account.name),
            "",
            f"{len(row.keys)} keys",
            "",
            "targets are no longer told this account; see its keys",
        )
    for row in paired.added:
        yield _Difference(
            _Change.ADDED,
            configfindings.named("account", row.account.name),
            "",
            "",
            f"{len(row.keys)} keys",
            "targets are told this account; see its keys",
        )
    for old, new in paired.both:
        yield from differences.compare_fields(
            configfindings.named("account", new.account.name),
            old.account,
            new.account,
            {
                "urgency": "the account's requests get the new rank, or the "
                "route's if there is none"
            },
        )
    yield from _compare_keys(before, after)


def _compare_keys(
    before: configfindings.Configuration, after: configfindings.Configuration
) -> _Differences:
    old = before.view()
    new = after.view()
    for key, account in old.accounts.items():
        if key in new.accounts or not new.has_accounts:
            continue
        yield _Difference(
            _Change.REMOVED,
            configfindings.named("account", account.name),
            "keys",
            configfindings.masked(key),
            "",
            "callers with this key are refused on other than public routes",
        )
    for key, account in new.accounts.items():
        holder = old.accounts.get(key)
        if holder is None:
            yield _Difference(
                _Change.ADDED,
                configfindings.named("account", account.name),
                "keys",
                "",
                configfindings.masked(key),
                "callers with this key are accepted",
            )
        elif holder.name != account.name:
            yield _Difference(
                _Change.CHANGED,
                configfindings.named("account", account.name),
                "keys",
                f"{configfindings.masked(key)} of "
                f"{configfindings.excerpt(holder.name)}",
                f"{configfindings.masked(key)} of "
                f"{configfindings.excerpt(account.name)}",
                "requests with this key count for the other account, with its "
                "rank",
            )


def _shown_accounts(cfg: configfindings.Configuration) -> str:
    if cfg.accounts is None:
        return "no accounts"
    return f"{len(cfg.accounts)} accounts"


def _compare_limits(
    old: views.CallerLimits, new: views.CallerLimits
) -> _Differences:
    for field, (lower, higher) in _LIMIT_EFFECTS.items():
        is_lower = getattr(new, field) < getattr(old, field)
        yield from differences.compare_fields(
            "limits", old, new, {field: lower if is_lower else higher}
        )
