"""Creates edits of the catalogue and appends them to the log."""

import time
import uuid

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.adapters import log
from briarfall.catalogue import entries
from briarfall.catalogue import follower as followers
from briarfall.catalogue import records

_PUT_TIMEOUT_S = 10.0
_APPEND_RETRY_S = 0.2


class EditResult(msgspec.Struct):
    """The outcome of an edit that was applied.

    Attributes:
        edit_id: The edit's UUID.
        entry: The changed entry.
        version: The new version of the entry.
        offset: Offset of the edit's record in the log.
        in_force: Number of instances known to have applied the edit.
        instances: Number of instances known to be alive.
    """

    edit_id: str
    entry: str
    version: int
    offset: int
    in_force: int = 1
    instances: int = 1


def make_edit(
    entry: str,
    value: bytes | None,
    *,
    author: str,
    reason: str = "",
    if_version: int = 0,
    edit_id: str | None = None,
) -> records.Edit:
    """Returns an edit record whose name and value were checked.

    Raises:
        CatalogueError: The name or the value is malformed.
    """
    entries.check_name(entry)
    if value is not None:
        entries.parse(value)
    return records.Edit(
        id=ids.EditId(edit_id or str(uuid.uuid4())),
        author=author,
        reason=reason,
        entry=ids.EntryName(entry),
        if_version=if_version,
        value=records.NO_VALUE if value is None else msgspec.Raw(value),
        time_s=time.time(),
    )


class Editor:
    """Appends edits to the log and waits for the verdict on them."""

    def __init__(
        self, log_adapter: log.LogAdapter, follower: followers.Follower
    ):
        self._log = log_adapter
        self._follower = follower

    def submit(
        self, edit: records.Edit, timeout_s: float = _PUT_TIMEOUT_S
    ) -> EditResult:
        """Appends `edit` and returns once this instance has applied it.

        Raises:
            ConflictError: Another edit came first.
            ForbiddenError: The author may not edit the entry.
            CatalogueError: The value was found malformed.
            LogUnavailableError: The edit was not read back from the log in
                time; `outcome` states whether it may still take effect. It
                may be sent again with the same edit id.
        """
        self._follower.register_edit(edit.id)
        try:
            pending = self._append(edit, timeout_s)
        finally:
            self._follower.unregister_edit(edit.id)
        _raise_if_refused(edit, pending)
        return EditResult(
            edit.id, edit.entry, pending.offset + 1, pending.offset
        )

    def _append(
        self, edit: records.Edit, timeout_s: float
    ) -> followers.PendingVerdict:
        data = records.encode(edit)
        deadline = time.monotonic() + timeout_s
        may_be_logged = False
        while True:
            try:
                self._log.append(records.CONFIG_STREAM, data)
                wait_s = max(0.0, deadline - time.monotonic())
                may_be_logged = True
            except exceptions.LogUnavailableError as exc:
                # Reading the log shows whether the append took effect. An
                # edit id that is appended twice takes effect only once.
                wait_s = _APPEND_RETRY_S
                may_be_logged = (
                    may_be_logged
                    or exc.outcome is not exceptions.Outcome.NOT_RUN
                )
            pending = self._follower.wait_for_verdict(edit.id, wait_s)
            if pending.verdict is not None:
                return pending
            if time.monotonic() >= deadline:
                raise exceptions.LogUnavailableError(
                    f"edit {edit.id} was not folded in {timeout_s:.0f} s",
                    remedy="send the edit again with the same edit id",
                    outcome=exceptions.Outcome.UNKNOWN
                    if may_be_logged
                    else exceptions.Outcome.NOT_RUN,
                )


def _raise_if_refused(
    edit: records.Edit, pending: followers.PendingVerdict
) -> None:
    verdict = pending.verdict
    if verdict is records.Verdict.CONFLICT:
        raise exceptions.ConflictError(f"{edit.entry}: {pending.detail}")
    if verdict is records.Verdict.FORBIDDEN:
        raise exceptions.ForbiddenError(pending.detail)
    if verdict is records.Verdict.MALFORMED:
        raise exceptions.CatalogueError(pending.detail)
    if verdict is records.Verdict.FROZEN:
        raise exceptions.ConflictError(
            f"{edit.entry} holds a value of a newer program",
            remedy="send the edit to an upgraded instance",
        )
    if verdict is records.Verdict.DUPLICATE:
        raise exceptions.ConflictError(
            f"edit id {edit.id} was used before",
            remedy="look the edit up in the history; it was decided then",
        )
