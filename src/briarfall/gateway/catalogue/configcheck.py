"""Checks a configuration for entries and limits that contradict each other."""

import collections.abc

from briarfall.gateway.catalogue import configfindings
from briarfall.gateway.catalogue import modelchecks
from briarfall.gateway.catalogue import routechecks
from briarfall.gateway.catalogue import views

_Code = configfindings.Code
_Findings = collections.abc.Iterator[configfindings.Finding]
_FIRST_VISIBLE = " "
_LAST_VISIBLE = "~"


def check(cfg: configfindings.Configuration) -> list[configfindings.Finding]:
    """Returns the findings of a configuration by itself, by subject."""
    findings = list(routechecks.check_routes(cfg))
    findings.extend(_check_services(cfg))
    findings.extend(modelchecks.check_models(cfg))
    findings.extend(_check_accounts(cfg))
    findings.extend(_check_keys(cfg))
    findings.extend(_check_limits(cfg.limits))
    return findings


def check_version(
    cfg: configfindings.Configuration, in_force: configfindings.Configuration
) -> list[configfindings.Finding]:
    """Returns the finding of a version that would not come into force."""
    if cfg.version > in_force.version or cfg == in_force:
        return []
    return [
        configfindings.Finding(
            _Code.VERSION_NOT_NEWER,
            "configuration",
            "version",
            str(cfg.version),
            f"above {in_force.version}, the version in force",
            "instances ignore a version that is not newer",
            "raise the version",
        )
    ]


def _check_services(cfg: configfindings.Configuration) -> _Findings:
    reached = set()
    for route in routechecks.matched_routes(cfg):
        reached.update(routechecks.reached_services(route))
    seen = set()
    for service in cfg.services:
        subject = configfindings.named("service", service.name)
        if service.name in seen:
            yield configfindings.Finding(
                _Code.DUPLICATE_SERVICE,
                subject,
                "name",
                service.name,
                "one entry of each name",
                "only the last entry of this name is used",
                "remove or rename one of the entries",
            )
            continue
        seen.add(service.name)
        if service.name not in reached:
            yield configfindings.Finding(
                _Code.UNREACHED_SERVICE,
                subject,
                "name",
                service.name,
                "a route that sends requests to it",
                "the service gets no request",
                "add a route to it or remove the service",
            )


def _check_accounts(cfg: configfindings.Configuration) -> _Findings:
    names = set()
    for row in cfg.accounts or ():
        name = row.account.name
        subject = configfindings.named("account", name)
        if name in names:
            yield configfindings.Finding(
                _Code.DUPLICATE_ACCOUNT,
                subject,
                "name",
                name,
                "one entry of each name",
                "targets can't tell the accounts apart",
                "join the entries or rename one of them",
            )
        names.add(name)
        if not name or not name.isprintable() or name != name.strip():
            yield configfindings.Finding(
                _Code.UNUSABLE_ACCOUNT_NAME,
                subject,
                "name",
                ascii(name),
                "one or more printable characters without spaces at the ends",
                "targets get the name in a header, which can't hold this one",
                "rename the account",
            )
        if not row.keys:
            yield configfindings.Finding(
                _Code.ACCOUNT_WITHOUT_KEYS,
                subject,
                "keys",
                "none",
                "one key or more",
                "nobody can send requests for the account",
                "add a key or remove the account",
            )
        urgency = row.account.urgency
        if urgency is not None and not routechecks.is_urgency(urgency):
            yield routechecks.urgency_finding(subject, urgency)


def _check_keys(cfg: configfindings.Configuration) -> _Findings:
    if cfg.accounts is None:
        return
    holders: dict[str, str] = {}
    for index, row in enumerate(cfg.accounts):
        subject = configfindings.named("account", row.account.name)
        own = set()
        for key in row.keys:
            finding = _key_finding(subject, key)
            if finding is not None:
                yield finding
            if key in own:
                yield configfindings.Finding(
                    _Code.REPEATED_KEY,
                    subject,
                    "keys",
                    configfindings.masked(key),
                    "each key once",
                    "the repetition has no effect",
                    "remove the repetition",
                )
                continue
            own.add(key)
            other = holders.get(key)
            if other is not None:
                yield configfindings.Finding(
                    _Code.SHARED_KEY,
                    subject,
                    "keys",
                    configfindings.masked(key),
                    f"a key that no other account holds, also held by {other}",
                    "the last account that names the key gets its requests",
                    "give one of the accounts a new key",
                )
            holders[key] = f"{subject} (entry {index})"
    if not holders and not all(route.is_public for route in cfg.routes):
        yield configfindings.Finding(
            _Code.NO_KEYS,
            "accounts",
            "keys",
            "none",
            "a key, or only public routes",
            "each request on a route that is not public is refused",
            "add accounts with keys, or leave the accounts out altogether",
        )


def _key_finding(subject: str, key: str) -> configfindings.Finding | None:
    if not key:
        return configfindings.Finding(
            _Code.EMPTY_KEY,
            subject,
            "keys",
            "an empty key",
            "keys of one character or more",
            "requests without a key are accepted as the account's",
            "remove the key, or make the routes public",
        )
    is_visible = all(_FIRST_VISIBLE <= char <= _LAST_VISIBLE for char in key)
    if is_visible and key == key.strip():
        return None
    return configfindings.Finding(
        _Code.UNUSABLE_KEY,
        subject,
        "keys",
        configfindings.masked(key),
        "visible ASCII characters without spaces at the ends",
        "no header of a caller can hold the key",
        "replace the key",
    )


def _check_limits(limits: views.CallerLimits) -> _Findings:
    if not limits.max_header_bytes:
        yield configfindings.Finding(
            _Code.NO_HEADER_BYTES,
            "limits",
            "max_header_bytes",
            "0",
            "above 0",
            "each request is refused",
            "raise the limit",
        )
    if limits.max_header_bytes > limits.max_body_bytes:
        yield configfindings.Finding(
            _Code.HEADER_LIMIT_ABOVE_BODY_LIMIT,
            "limits",
            "max_header_bytes",
            str(limits.max_header_bytes),
            f"at most the limit of bodies, {limits.max_body_bytes}",
            "a caller may send more headers than body",
            "swap or correct the limits",
        )
    if limits.idle_timeout_s < limits.header_timeout_s:
        yield configfindings.Finding(
            _Code.IDLE_BELOW_HEADER_TIMEOUT,
            "limits",
            "idle_timeout_s",
            configfindings.seconds(limits.idle_timeout_s),
            "at least the time for headers, "
            f"{configfindings.seconds(limits.header_timeout_s)}",
            "a body has less time to arrive than the headers before it",
            "raise the idle timeout or lower the time for headers",
        )
