"""What is known of targets that an older list does not undo."""

import collections.abc

from absl import logging

from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.targets import targetstate

# Removed targets that are remembered.
_MAX_REMOVED = 1000


class EntryHistory:
    """Entries and removals that a restored store may not have caught up with.

    A target's entries are ordered by its incarnation and heartbeat, not by
    their offsets. Within an epoch each list of the store is returned as it is.
    The table of targets calls it under its lock.
    """

    def __init__(self):
        # Last entries of targets whose removal was seen.
        self._removed: dict[ids.TargetId, sources.TargetEntry] = {}
        # Entries and removals from before the restore that the store has not
        # caught up with.
        self._newer: dict[ids.TargetId, sources.TargetEntry] = {}
        self._newer_removed: dict[ids.TargetId, sources.TargetEntry] = {}

    def begin_epoch(
        self, rows: collections.abc.Iterable[targetstate.Target]
    ) -> None:
        """Records that the store may have come back from an older copy.

        Args:
            rows: The targets of the table.
        """
        self._newer = {target.id: target.entry for target in rows}
        self._newer_removed = dict(self._removed)

    def merge(
        self, entries: list[sources.TargetEntry]
    ) -> list[sources.TargetEntry]:
        """Returns a list with what is known to be newer than its entries."""
        found = []
        for entry in entries:
            kept = self._newest(entry)
            if kept is not None:
                found.append(kept)
        return found

    def unless_removed(
        self, entries: list[sources.TargetEntry]
    ) -> list[sources.TargetEntry]:
        """Returns a peer's entries without those whose removal was seen.

        The peer may keep a target that the store's list lacks, or may have read
        an older copy. An entry that was written since the removal is returned.
        """
        found = []
        for entry in entries:
            removed = self._removed.get(entry.id)
            if removed is None or _is_older(removed, entry):
                found.append(entry)
                continue
            logging.info(
                "target not added, a peer lists the entry that was removed "
                "target=%s",
                entry.id,
            )
        return found

    def record_removed(self, entry: sources.TargetEntry) -> None:
        """Records that a target's entry was removed."""
        self._removed[entry.id] = entry
        while len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def record_listed(self, target_id: ids.TargetId) -> None:
        """Records that a target is listed again."""
        self._removed.pop(target_id, None)

    def _newest(self, entry: sources.TargetEntry) -> sources.TargetEntry | None:
        """Returns the newer of the listed and the known entry, None if gone."""
        removed = self._newer_removed.get(entry.id)
        if removed is not None:
            if not _is_older(removed, entry):
                return None
            del self._newer_removed[entry.id]
            logging.info("target listed again target=%s", entry.id)
        known = self._newer.get(entry.id)
        if known is None:
            return entry
        if _is_older(entry, known):
            return known
        del self._newer[entry.id]
        return entry


def _is_older(entry: sources.TargetEntry, other: sources.TargetEntry) -> bool:
    """Whether a target wrote an entry before another one."""
    return (entry.started_ms, entry.beat) < (other.started_ms, other.beat)
