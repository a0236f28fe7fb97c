"""Reads a manifest for a check: all that is refused or dropped is found."""

import math

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import configfindings
from briarfall.gateway.catalogue import views
from briarfall.platform import fieldchecks
from briarfall.platform import manifest

_Code = configfindings.Code
# Relative error of a time that was converted to seconds and back.
_ROUNDING = 1e-9
# Names of the manifest for fields of the view's structures.
_FIELD_NAMES = {
    "prefix": "path_prefix",
    "timeout_s": "timeout_ms",
    "first_byte_slo_s": "slo_ms",
    "event_gap_slo_s": "gap_aim_ms",
    "urgency": "priority",
    "max_runs": "attempts",
    "is_public": "public",
    "is_resumable": "resumable",
    "shares": "backends",
    "keys": "api_keys",
    "accounts": "tenants",
    "max_connections": "max_conns",
    "header_timeout_s": "header_timeout_ms",
    "idle_timeout_s": "idle_timeout_ms",
    "model": "engine",
    "memory_mb": "mb",
    "step_factor": "pace",
    "prefill_factor": "read_x",
    "kv_bytes": "kv_token_bytes",
    "sequence_ms": "per_seq_ms",
    "context_ms": "context_per_k",
    "prefill_tokens_per_s": "read_per_s",
    "mean_prompt_tokens": "usual.prompt",
    "mean_answer_tokens": "usual.answer",
    "activation_bytes": "act_bytes",
    "inter_zone_mbps": "pipe_mbps",
    "max_parallel_loads": "loads_at_once",
}


class Reading(msgspec.Struct, frozen=True):
    """A manifest as far as it could be read.

    Attributes:
        configuration: All entries that could be converted, or None if the
            manifest can't be decoded.
        findings: What instances would refuse or drop.
    """

    configuration: configfindings.Configuration | None
    findings: tuple[configfindings.Finding, ...]


def field_name(field: str) -> str:
    """Returns the manifest's name of a field of the view's structures."""
    return _FIELD_NAMES.get(field, field)


def read(raw: bytes) -> Reading:
    """Returns the entries of a manifest, and what would be refused of it."""
    findings: list[configfindings.Finding] = []
    try:
        rows = manifest.decode(raw)
    except exceptions.CatalogueError as exc:
        findings.append(_refusal(_Code.UNDECODABLE, "configuration", exc))
        return Reading(None, tuple(findings))
    routes = []
    for row in rows.routes:
        try:
            route = manifest.convert_route(row)
        except exceptions.CatalogueError as exc:
            subject = configfindings.named("route", row.name)
            findings.append(_refusal(_Code.REFUSED_ENTRY, subject, exc))
            continue
        routes.append(route)
        findings.extend(_dropped_of_route(row, route))
    services = []
    for service_row in rows.services:
        try:
            services.append(manifest.convert_service(service_row))
        except exceptions.CatalogueError as exc:
            subject = configfindings.named("service", service_row.name)
            findings.append(_refusal(_Code.REFUSED_ENTRY, subject, exc))
    accounts = None
    if rows.tenants is not None:
        accounts = tuple(
            configfindings.AccountKeys(
                views.ClientAccount(ids.ClientId(row.name), row.priority),
                tuple(row.api_keys),
            )
            for row in rows.tenants
        )
    limits = manifest.convert_limits(rows.limits)
    findings.extend(_dropped_of_limits(rows.limits, limits))
    try:
        findings.extend(fieldchecks.check_fields(raw))
    except exceptions.CatalogueError:
        # The decoder skips fields that it doesn't read, also malformed ones.
        pass
    configuration = configfindings.Configuration(
        version=rows.version,
        routes=tuple(routes),
        services=tuple(services),
        accounts=accounts,
        limits=limits,
    )
    return Reading(configuration, tuple(findings))


def _refusal(
    code: configfindings.Code, subject: str, exc: exceptions.CatalogueError
) -> configfindings.Finding:
    return configfindings.Finding(
        code,
        subject,
        "",
        decoding.excerpt(exc.message, len(exc.message)),
        "what the message names",
        "instances refuse the whole version and keep the one in force",
        exc.remedy,
    )


def _dropped_of_route(
    row: manifest.RouteRow, route: views.Route
) -> list[configfindings.Finding]:
    subject = configfindings.named("route", row.name)
    found = []
    for field, written_ms, used_s in (
        ("timeout_s", row.timeout_ms, route.timeout_s),
        ("first_byte_slo_s", row.slo_ms, route.first_byte_slo_s),
        ("event_gap_slo_s", row.gap_aim_ms, route.event_gap_slo_s),
    ):
        found.extend(_replaced_time(subject, field, written_ms, used_s))
    backends = row.backends or []
    for backend, share in zip(backends, route.shares, strict=False):
        if backend.weight != share.weight:
            found.append(
                _replaced(
                    subject,
                    "weight",
                    f"{backend.weight:g}",
                    f"{share.weight:g}",
                )
            )
    names = {backend.service for backend in backends}
    if backends and row.service is not None and row.service not in names:
        found.append(
            configfindings.Finding(
                _Code.IGNORED_SERVICE,
                subject,
                "service",
                row.service,
                "no service beside backends, or one of them",
                "the service gets no request of the route",
                "remove the field or add the service to the backends",
            )
        )
    return found


def _dropped_of_limits(
    row: manifest.LimitsRow, limits: views.CallerLimits
) -> list[configfindings.Finding]:
    found = []
    for field, written_ms, used_s in (
        ("header_timeout_s", row.header_timeout_ms, limits.header_timeout_s),
        ("idle_timeout_s", row.idle_timeout_ms, limits.idle_timeout_s),
    ):
        found.extend(_replaced_time("limits", field, written_ms, used_s))
    return found


def _replaced_time(
    subject: str, field: str, written_ms: float, used_s: float
) -> list[configfindings.Finding]:
    used_ms = used_s * 1000
    if math.isclose(written_ms, used_ms, rel_tol=_ROUNDING):
        return []
    return [_replaced(subject, field, f"{written_ms:g} ms", f"{used_ms:g} ms")]


def _replaced(
    subject: str, field: str, written: str, used: str
) -> configfindings.Finding:
    return configfindings.Finding(
        _Code.REPLACED_VALUE,
        subject,
        field,
        written,
        "a value within its range",
        f"instances use {used} instead",
        "write the value that is meant",
    )
