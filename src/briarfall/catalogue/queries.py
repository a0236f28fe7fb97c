"""Queries of the catalogue for operators."""

import msgspec

from briarfall import exceptions
from briarfall.catalogue import fold
from briarfall.catalogue import follower as followers
from briarfall.catalogue import records


class EntrySummary(msgspec.Struct):
    """Summary of one entry."""

    name: str
    kind: str
    owner: str
    version: int


class Change(msgspec.Struct):
    """One field that differs between two versions."""

    field: str
    before: object
    after: object


class Queries:
    """Read access to one instance's catalogue."""

    def __init__(self, follower: followers.Follower):
        self._follower = follower

    def entries(self) -> list[EntrySummary]:
        """Returns summaries of all entries, sorted by name."""
        result = []
        for state in self._follower.states():
            value = msgspec.json.decode(state.value)
            if value is None:
                continue
            result.append(
                EntrySummary(
                    state.name, value["kind"], value["owner"], state.version
                )
            )
        return result

    def entry(self, name: str) -> records.EntryState:
        """Returns one entry with its version.

        Raises:
            NotFoundError: There is no such entry.
        """
        for state in self._follower.states():
            if state.name == name:
                return state
        raise exceptions.NotFoundError(f"no entry {name!r}")

    def history(self, name: str = "") -> list[fold.AuditRecord]:
        """Returns the audit trail, only of one entry if `name` is given."""
        trail = self._follower.audit()
        return [line for line in trail if not name or line.entry == name]

    def diff(self, name: str, older: int, newer: int) -> list[Change]:
        """Returns the fields that differ between two versions.

        Raises:
            NotFoundError: One of the versions is not in the audit trail.
        """
        before = self._value_at(name, older)
        after = self._value_at(name, newer)
        changes: list[Change] = []
        _compare("", before, after, changes)
        return changes

    def _value_at(self, name: str, version: int):
        if version == 0:
            return {}
        for line in self.history(name):
            if line.offset + 1 != version:
                continue
            if line.verdict is not records.Verdict.APPLIED:
                continue
            return msgspec.json.decode(line.after) or {}
        raise exceptions.NotFoundError(
            f"version {version} of {name!r} is not in the audit trail",
            remedy="choose a version from `briarfall catalogue history`",
        )


def _compare(path: str, before, after, changes: list[Change]) -> None:
    if before == after:
        return
    if not isinstance(before, dict) or not isinstance(after, dict):
        changes.append(Change(path, before, after))
        return
    for key in sorted(before.keys() | after.keys()):
        name = f"{path}.{key}" if path else key
        _compare(name, before.get(key), after.get(key), changes)
