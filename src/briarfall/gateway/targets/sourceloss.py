"""Which targets are gone after a loss of the list's source or its entries."""

import collections.abc

from absl import logging

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.targets import targetstate

# The platform registers live targets again within about this time after its
# store comes back. An entry that is still missing afterwards is removed.
_REGISTRATION_S = 2.2
# Age up to which a list is recent enough for entries that a copy lacks.
_MAX_LIST_AGE_S = 10.0


class SourceLoss:
    """Losses of the list's source, and the targets that are kept after one.

    The table of targets calls it under its lock.
    """

    def __init__(self):
        self._is_lost = False
        self._lost_s = 0.0
        self._regained_s = 0.0
        # Ready targets that the latest full list lacks. Changes that peers
        # send after such a list don't name them.
        self._kept: set[ids.TargetId] = set()
        # Ready targets that the store has not listed since it was restored,
        # and the time on the boot clock of the first list since then.
        self._unlisted: set[ids.TargetId] = set()
        self._restored_s = 0.0
        # Time on the boot clock from which a full list tells whether peers are
        # right who list targets whose removal was seen; None without any.
        self._recheck_s: float | None = None

    def begin(self, read_s: float | None) -> None:
        """Records that neither the store nor peers provide the list.

        Args:
            read_s: Time on the boot clock of the last read, or None.
        """
        if not self._is_lost:
            logging.warning(
                "target list unreadable, keeping the last one read_s=%s",
                read_s,
            )
        self._is_lost = True
        self._lost_s = clocks.boot_s()

    def end(self, read_s: float) -> None:
        """Ends a loss if a list was read after it began.

        Args:
            read_s: Time on the boot clock at which the list was read.
        """
        if not self._is_lost or read_s < self._lost_s:
            return
        self._is_lost = False
        self._regained_s = read_s
        logging.info(
            "target list readable again age_ms=%d",
            (clocks.boot_s() - read_s) * 1000,
        )

    def begin_epoch(
        self,
        rows: collections.abc.Iterable[targetstate.Target],
        last_read_s: float | None,
        read_s: float,
    ) -> None:
        """Records that the store came back from an older copy.

        Args:
            rows: The targets of the table.
            last_read_s: Time on the boot clock of the last list before it, or
                None.
            read_s: Time on the boot clock of the first list since then.
        """
        self._restored_s = read_s
        self._unlisted.clear()
        if last_read_s is None or read_s - last_read_s > _MAX_LIST_AGE_S:
            return
        for target in rows:
            if target.entry.state is sources.TargetState.READY:
                self._unlisted.add(target.id)

    def confirm(self, entries: list[sources.TargetEntry]) -> None:
        """Records the entries of a list that was read from the store."""
        self._unlisted.difference_update(entry.id for entry in entries)

    def recheck(self, read_s: float) -> None:
        """Asks for a full list once a target had time to register again.

        Args:
            read_s: Time on the boot clock of a peer's list that contradicts
                what was seen here.
        """
        if self._recheck_s is None:
            self._recheck_s = read_s + _REGISTRATION_S

    def discard(self, target_id: ids.TargetId) -> bool:
        """Records that a target is listed again, or was removed.

        Returns:
            Whether it was kept although a full list lacked it. Its removal was
            then not seen.
        """
        was_kept = target_id in self._kept
        self._kept.discard(target_id)
        return was_kept

    @property
    def full_list_due_s(self) -> float | None:
        """Time on the boot clock from which a full list is needed.

        None if the latest full list lacks no target of the table, and no peer
        lists a target whose removal was seen.
        """
        if not self._kept:
            return self._recheck_s
        if self._recheck_s is None:
            return self._kept_until_s
        return min(self._kept_until_s, self._recheck_s)

    @property
    def _kept_until_s(self) -> float:
        return max(self._regained_s, self._restored_s) + _REGISTRATION_S

    def missing_from(
        self,
        entries: list[sources.TargetEntry],
        rows: collections.abc.Iterable[targetstate.Target],
        read_s: float,
    ) -> list[ids.TargetId]:
        """Returns the targets that are gone, since a full list lacks them.

        Targets that are ready may be missing for a while after a loss of the
        source. After a restore this holds for those that were not listed again.

        Args:
            entries: The full list.
            rows: The targets of the table.
            read_s: Time on the boot clock at which the list was read.
        """
        if self._recheck_s is not None and read_s >= self._recheck_s:
            self._recheck_s = None
        listed = {entry.id for entry in entries}
        missing = []
        for target in rows:
            if target.id in listed:
                continue
            if self._may_be_missing(target, read_s):
                self._kept.add(target.id)
                continue
            if target.id in self._kept:
                logging.info(
                    "target not written again after a loss of the store, "
                    "taken for gone target=%s",
                    target.id,
                )
            missing.append(target.id)
        return missing

    def _may_be_missing(
        self, target: targetstate.Target, read_s: float
    ) -> bool:
        if target.entry.state is not sources.TargetState.READY:
            return False
        if self._is_lost or read_s < self._regained_s + _REGISTRATION_S:
            return True
        if target.id not in self._unlisted:
            return False
        return read_s < self._restored_s + _REGISTRATION_S
