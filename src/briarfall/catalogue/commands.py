"""Edits of the catalogue."""

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
    """The outcome of an accepted edit.

    Attributes:
        edit_id: The edit's UUID.
        entry: The changed entry.
        version: Its new version.
        offset: Offset of the edit's record.
        in_force: Instances known to have folded the edit.
        instances: Instances known to be alive.
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
    """Returns a checked edit record.

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
    """Appends edits and waits for the fold's verdict."""

    def __init__(
        self, log_adapter: log.LogAdapter, follower: followers.Follower
    ):
        self._log = log_adapter
        self._follower = follower

    def submit(
        self, edit: records.Edit, timeout_s: float = _PUT_TIMEOUT_S
    ) -> EditResult:
        """Appends `edit` and returns once it is folded here.

        Raises:
            ConflictError: Another edit came first.
            ForbiddenError: The author may not edit the entry.
            CatalogueError: The fold refused the value.
            LogUnavailableError: The outcome is unknown; the same edit id
                may be sent again.
        """
        self._follower.expect(edit.id)
        try:
            waiter = self._append(edit, timeout_s)
        finally:
            self._follower.forget(edit.id)
        _raise_refusal(edit, waiter)
        return EditResult(edit.id, edit.entry, waiter.offset + 1, waiter.offset)

    def _append(self, edit: records.Edit, timeout_s: float) -> followers.Waiter:
        data = records.encode(edit)
        deadline = time.monotonic() + timeout_s
        sent = False
        while True:
            try:
                self._log.append(records.CONFIG_STREAM, data)
                wait_s = max(0.0, deadline - time.monotonic())
                sent = True
            except exceptions.LogUnavailableError as exc:
                # The fold shows whether the append took effect; appending
                # the same edit id again is harmless.
                wait_s = _APPEND_RETRY_S
                sent = sent or exc.outcome is not exceptions.Outcome.NOT_RUN
            waiter = self._follower.wait(edit.id, wait_s)
            if waiter.verdict is not None:
                return waiter
            if time.monotonic() >= deadline:
                raise exceptions.LogUnavailableError(
                    f"edit {edit.id} was not folded in {timeout_s:.0f} s",
                    remedy="send the edit again with the same edit id",
                    outcome=exceptions.Outcome.UNKNOWN
                    if sent
                    else exceptions.Outcome.NOT_RUN,
                )


def _raise_refusal(edit: records.Edit, waiter: followers.Waiter) -> None:
    verdict = waiter.verdict
    if verdict is records.Verdict.CONFLICT:
        raise exceptions.ConflictError(f"{edit.entry}: {waiter.detail}")
    if verdict is records.Verdict.FORBIDDEN:
        raise exceptions.ForbiddenError(waiter.detail)
    if verdict is records.Verdict.MALFORMED:
        raise exceptions.CatalogueError(waiter.detail)
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
