"""`briarfall check FILE`: checks a configuration before it is sent."""

import enum
import json
import typing

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall.cli import console
from briarfall.gateway.catalogue import configcheck
from briarfall.gateway.catalogue import configdiff
from briarfall.gateway.catalogue import configfindings
from briarfall.gateway.catalogue import differences
from briarfall.platform import configreading

# Version of the shape of the JSON output; added fields don't raise it.
_JSON_FORMAT = 1
_MAX_LINE_CHARS = 2000
_REFUSALS = frozenset(
    (configfindings.Code.UNDECODABLE, configfindings.Code.REFUSED_ENTRY)
)
# Findings that a refused entry would cause in entries that name it.
_OF_OTHER_ENTRIES = frozenset(
    (
        configfindings.Code.UNKNOWN_SERVICE,
        configfindings.Code.UNREACHED_SERVICE,
    )
)

Format = typing.Literal["text", "json"]


class ExitCode(enum.IntEnum):
    """Exit codes of the check."""

    OK = 0
    WARNINGS = 1
    ERRORS = 2
    NOT_READABLE = 3


class Report(msgspec.Struct, frozen=True):
    """Result of a check.

    Attributes:
        version: Version of the configuration, or None if it can't be decoded.
        against: Version in force, or None if there is none.
        findings: Findings, errors first.
        changes: Differences from the version in force, or None if the
            configuration would be refused as a whole or there is no other.
    """

    version: int | None
    against: int | None
    findings: tuple[configfindings.Finding, ...]
    changes: tuple[differences.Difference, ...] | None = None

    def count(self, severity: configfindings.Severity) -> int:
        """Returns the number of findings of a severity."""
        return sum(row.severity is severity for row in self.findings)

    @property
    def exit_code(self) -> ExitCode:
        """The exit code; differences don't change it."""
        if self.count(configfindings.Severity.ERROR):
            return ExitCode.ERRORS
        return ExitCode.WARNINGS if self.findings else ExitCode.OK


def check_file(path: str, against: str, output: Format) -> ExitCode:
    """Checks a file, prints the report and returns the exit code."""
    try:
        raw = console.read_file(path)
        in_force = console.read_file(against) if against else None
    except exceptions.SettingsError as exc:
        console.report_error(exc)
        return ExitCode.NOT_READABLE
    report = check(raw, in_force)
    print(render(report, output, path, against))
    return report.exit_code


def render(
    report: Report, output: Format, path: str = "", against: str = ""
) -> str:
    """Returns a report as text or JSON; both without any key in full."""
    if output == "json":
        return json.dumps(_as_json(report, path, against))
    lines = []
    for line in _lines(report):
        lines.append(decoding.excerpt(line, _MAX_LINE_CHARS))
    return "\n".join(lines)


def check(raw: bytes, in_force_raw: bytes | None = None) -> Report:
    """Returns the report of a configuration in the platform's encoding.

    Args:
        raw: The configuration.
        in_force_raw: The configuration in force, or None.
    """
    reading = configreading.read(raw)
    found = list(reading.findings)
    cfg = reading.configuration
    is_refused = any(row.code in _REFUSALS for row in found)
    if cfg is not None:
        for row in configcheck.check(cfg):
            if not is_refused or row.code not in _OF_OTHER_ENTRIES:
                found.append(row)
    version = None if cfg is None else cfg.version
    if in_force_raw is None:
        return Report(version, None, _sorted(found))
    in_force = configreading.read(in_force_raw).configuration
    if in_force is None:
        found.append(
            configfindings.Finding(
                configfindings.Code.UNDECODABLE,
                "configuration in force",
                "",
                "not decodable",
                "the version that instances use",
                "nothing is compared",
                "give the version in force, or leave it out",
            )
        )
        return Report(version, None, _sorted(found))
    if cfg is not None:
        found.extend(configcheck.check_version(cfg, in_force))
    if cfg is None or is_refused:
        return Report(version, in_force.version, _sorted(found))
    return Report(
        version,
        in_force.version,
        _sorted(found),
        tuple(configdiff.compare(in_force, cfg)),
    )


def _sorted(
    findings: list[configfindings.Finding],
) -> tuple[configfindings.Finding, ...]:
    is_warning = configfindings.Severity.WARNING
    return tuple(sorted(findings, key=lambda row: row.severity is is_warning))


def _as_json(report: Report, path: str, against: str) -> dict:
    findings = []
    for finding in report.findings:
        row = {"severity": finding.severity.value}
        row.update(msgspec.to_builtins(finding))
        row["field"] = configreading.field_name(finding.field)
        findings.append(row)
    rows = []
    for difference in report.changes or ():
        row = msgspec.to_builtins(difference)
        row["field"] = configreading.field_name(difference.field)
        rows.append(row)
    return {
        "format": _JSON_FORMAT,
        "file": path,
        "version": report.version,
        "against": against or None,
        "against_version": report.against,
        "errors": report.count(configfindings.Severity.ERROR),
        "warnings": report.count(configfindings.Severity.WARNING),
        "findings": findings,
        "differences": rows,
    }


def _lines(report: Report) -> list[str]:
    lines = []
    for finding in report.findings:
        lines.append(_finding_line(finding))
    for difference in report.changes or ():
        lines.append(_difference_line(difference))
    errors = report.count(configfindings.Severity.ERROR)
    warnings = report.count(configfindings.Severity.WARNING)
    last = f"version {report.version}: {errors} errors, {warnings} warnings"
    if report.version is None:
        last = f"not decodable: {errors} errors, {warnings} warnings"
    if report.against is not None and report.changes is None:
        last += f", not compared with version {report.against}"
    elif report.changes is not None:
        last += (
            f", {len(report.changes)} differences from version {report.against}"
        )
    return [*lines, last]


def _finding_line(finding: configfindings.Finding) -> str:
    field = configreading.field_name(finding.field)
    place = f"{finding.subject}: {field}" if field else finding.subject
    return (
        f"{finding.severity.value} {finding.code.value} {place}: "
        f"{finding.value}; expected {finding.expectation}; {finding.effect}; "
        f"remedy: {finding.remedy}"
    )


def _difference_line(difference: differences.Difference) -> str:
    field = configreading.field_name(difference.field)
    place = difference.subject
    if field:
        place += f": {field}"
    values = difference.after or difference.before
    if difference.change is differences.Change.CHANGED:
        values = f"{difference.before} -> {difference.after}"
    return (
        f"{difference.change.value} {place}: {values}; callers: "
        f"{difference.effect}"
    )
