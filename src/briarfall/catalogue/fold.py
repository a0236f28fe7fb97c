"""The state of the catalogue, built by applying records in log order.

Edits are accepted or refused here alone. The verdict on a record depends only
on the records before it, so that every reader comes to the same verdict.
"""

import collections

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.catalogue import entries
from briarfall.catalogue import records

MAX_EDIT_IDS = 4096
MAX_AUDIT = 4096
BOOTSTRAP_AUTHOR = "bootstrap"


class AuditRecord(msgspec.Struct, frozen=True):
    """One line of the audit trail.

    Attributes:
        offset: Offset of the record in the log.
        time_s: Epoch seconds at which the edit was made, or, if it does not
            say so, at which the log accepted the record.
        edit_id: UUID of the edit, empty if the record is malformed.
        author: Author of the edit.
        reason: Reason that the author gave.
        entry: Name of the entry.
        verdict: The decision on the record.
        detail: Why the record was not applied, or empty.
        before: Value of the entry before the record.
        after: Value in the edit, whether it was applied or not.
        applied_s: Epoch seconds at which this instance applied the record.
    """

    offset: ids.Offset
    time_s: float
    edit_id: str
    author: str
    reason: str
    entry: str
    verdict: records.Verdict
    detail: str
    before: msgspec.Raw
    after: msgspec.Raw
    applied_s: float = 0.0


class CatalogueState:
    """State of the catalogue after the records before `next_offset`.

    Not safe for concurrent use; the follower guards it by a lock.
    """

    def __init__(self):
        self.next_offset = 0
        self.states: dict[str, records.EntryState] = {}
        self.values: dict[str, entries.AnyEntry] = {}
        self.audit: collections.deque[AuditRecord] = collections.deque(
            maxlen=MAX_AUDIT
        )
        self._edit_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def apply(
        self, offset: int, data: bytes, time_s: float, now_s: float = 0.0
    ) -> records.Verdict:
        """Applies the record at `offset`, which must be the next one.

        Returns:
            The verdict on the record.
        """
        if offset != self.next_offset:
            raise exceptions.LogGapError(
                f"record {offset} is not the next one, {self.next_offset}",
                self.next_offset,
            )
        self.next_offset = offset + 1
        try:
            record = records.decode(data)
        except exceptions.CatalogueError as exc:
            return self._record_malformed(offset, time_s, now_s, exc.message)
        if isinstance(record, records.Snapshot):
            return records.Verdict.IGNORED
        before = self.states.get(record.entry)
        verdict, detail = self._decide(record)
        if verdict is records.Verdict.APPLIED:
            self._apply_edit(offset, record)
        if verdict is records.Verdict.FROZEN:
            self._freeze(offset, record)
        self.audit.append(
            AuditRecord(
                ids.Offset(offset),
                record.time_s or time_s,
                record.id,
                record.author,
                record.reason,
                record.entry,
                verdict,
                detail,
                before.value if before else records.NO_VALUE,
                record.value,
                now_s,
            )
        )
        return verdict

    def load(self, snapshot: records.Snapshot) -> None:
        """Replaces the state by a snapshot's if that covers more records.

        Raises:
            CatalogueError: The digest does not match.
        """
        digest = records.digest_state(
            snapshot.covered, snapshot.entries, snapshot.edit_ids
        )
        if digest != snapshot.digest:
            raise exceptions.CatalogueError("snapshot digest does not match")
        if snapshot.covered <= self.next_offset:
            return
        self.next_offset = snapshot.covered
        self.states = {state.name: state for state in snapshot.entries}
        self.values = {}
        for state in snapshot.entries:
            self._parse_value(state)
        self._edit_ids = collections.OrderedDict.fromkeys(snapshot.edit_ids)

    def snapshot(self) -> records.Snapshot:
        """Returns the state as a snapshot record."""
        states = [self.states[name] for name in sorted(self.states)]
        edit_ids = [ids.EditId(edit_id) for edit_id in self._edit_ids]
        digest = records.digest_state(self.next_offset, states, edit_ids)
        return records.Snapshot(self.next_offset, states, edit_ids, digest)

    def has_edit(self, edit_id: str) -> bool:
        """Whether an edit was decided, as far as its id is still kept."""
        return edit_id in self._edit_ids

    def digest(self) -> str:
        """Returns a digest of the complete state."""
        return self.snapshot().digest

    def _decide(self, edit: records.Edit) -> tuple[records.Verdict, str]:
        if edit.id in self._edit_ids:
            return records.Verdict.DUPLICATE, "edit id was seen before"
        self._record_edit_id(edit.id)
        state = self.states.get(edit.entry)
        version = state.version if state else 0
        if edit.if_version != version:
            return (
                records.Verdict.CONFLICT,
                f"current version is {version}, not {edit.if_version}",
            )
        if edit.schema > records.SCHEMA or (state and state.frozen):
            return records.Verdict.FROZEN, f"schema {edit.schema} is newer"
        try:
            entries.check_name(edit.entry)
            value = None if edit.is_delete else entries.parse(edit.value)
            self._authorise(edit, value)
        except exceptions.ForbiddenError as exc:
            return records.Verdict.FORBIDDEN, exc.message
        except exceptions.CatalogueError as exc:
            return records.Verdict.MALFORMED, exc.message
        return records.Verdict.APPLIED, ""

    def _authorise(
        self, edit: records.Edit, value: entries.AnyEntry | None
    ) -> None:
        current = self.values.get(edit.entry)
        author = self.values.get(edit.author)
        if edit.author == BOOTSTRAP_AUTHOR and not self._has_administrator():
            return
        if not isinstance(author, entries.Operator):
            raise exceptions.ForbiddenError(f"no operator {edit.author!r}")
        if author.role is entries.Role.ADMINISTRATOR:
            return
        if isinstance(value, entries.Operator) or isinstance(
            current, entries.Operator
        ):
            raise exceptions.ForbiddenError(
                "only administrators edit operator entries"
            )
        for owned in (current, value):
            if owned is not None and owned.owner != author.owner:
                raise exceptions.ForbiddenError(
                    f"{edit.author!r} may not edit entries of {owned.owner!r}"
                )

    def _has_administrator(self) -> bool:
        for value in self.values.values():
            if not isinstance(value, entries.Operator):
                continue
            if value.role is entries.Role.ADMINISTRATOR:
                return True
        return False

    def _apply_edit(self, offset: int, edit: records.Edit) -> None:
        if edit.is_delete:
            self.states.pop(edit.entry, None)
            self.values.pop(edit.entry, None)
            return
        state = records.EntryState(
            edit.entry, offset + 1, edit.value, edit.author
        )
        self.states[edit.entry] = state
        self._parse_value(state)

    def _freeze(self, offset: int, edit: records.Edit) -> None:
        # Newer instances decide on this edit by rules that this version does
        # not have. The last value that could be parsed stays in force until
        # this instance is upgraded.
        state = self.states.get(edit.entry)
        self.states[edit.entry] = records.EntryState(
            edit.entry,
            offset + 1,
            edit.value,
            state.author if state else edit.author,
            frozen=True,
        )

    def _parse_value(self, state: records.EntryState) -> None:
        if state.frozen:
            return
        self.values[state.name] = entries.parse(state.value)

    def _record_edit_id(self, edit_id: str) -> None:
        self._edit_ids[edit_id] = None
        while len(self._edit_ids) > MAX_EDIT_IDS:
            self._edit_ids.popitem(last=False)

    def _record_malformed(self, offset, time_s, now_s, detail):
        self.audit.append(
            AuditRecord(
                ids.Offset(offset),
                time_s,
                "",
                "",
                "",
                "",
                records.Verdict.MALFORMED,
                detail,
                records.NO_VALUE,
                records.NO_VALUE,
                now_s,
            )
        )
        return records.Verdict.MALFORMED
