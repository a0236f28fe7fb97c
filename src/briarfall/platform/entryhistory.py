"""Keeps what is known of targets when the store restores an older list."""

from absl import logging

from briarfall import ids
from briarfall.gateway.catalogue import sources

# Live targets write an entry again that the store has lost within about this
# time after its return.
_REWRITE_S = 2.2
# Age up to which a list is recent enough for entries that a copy lacks.
_MAX_LIST_AGE_S = 10.0
# Removed targets that are remembered.
_MAX_REMOVED = 1000


class EntryHistory:
    """Merges the lists of a restored store with what was listed before.

    A target's entries are ordered by its incarnation and heartbeat, not by
    their offsets. Within an epoch each list is returned as it is.
    """

    def __init__(self):
        self._epoch: sources.StoreEpoch | None = None
        self._listed_s = 0.0
        self._listed: dict[ids.TargetId, sources.TargetEntry] = {}
        # Last entries of targets that are no longer listed.
        self._removed: dict[ids.TargetId, sources.TargetEntry] = {}
        # Entries and removals from before the restore that the store has not
        # caught up with.
        self._newer: dict[ids.TargetId, sources.TargetEntry] = {}
        self._newer_removed: dict[ids.TargetId, sources.TargetEntry] = {}
        # Entries that the copy lacks, and the time on the boot clock until
        # which their targets may write them again.
        self._missing: dict[ids.TargetId, sources.TargetEntry] = {}
        self._missing_until_s = 0.0

    def merge(
        self,
        entries: list[sources.TargetEntry],
        epoch: sources.StoreEpoch,
        now_s: float,
    ) -> list[sources.TargetEntry]:
        """Returns a list with the entries that are newer than the store's.

        Args:
            entries: The store's list.
            epoch: Epoch of the store.
            now_s: Time on the boot clock.
        """
        if self._epoch is not None and epoch != self._epoch:
            self._carry_over(now_s)
        self._epoch = epoch
        found = {}
        for entry in entries:
            kept = self._newest(entry)
            if kept is not None:
                found[kept.id] = kept
        self._add_missing(found, {entry.id for entry in entries}, now_s)
        self._remember(found, now_s)
        return list(found.values())

    def _carry_over(self, now_s: float) -> None:
        self._newer = dict(self._listed)
        self._newer_removed = dict(self._removed)
        self._missing = {}
        if now_s - self._listed_s <= _MAX_LIST_AGE_S:
            for entry in self._listed.values():
                if entry.state is sources.TargetState.READY:
                    self._missing[entry.id] = entry
        self._missing_until_s = now_s + _REWRITE_S

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

    def _add_missing(
        self,
        found: dict[ids.TargetId, sources.TargetEntry],
        listed: set[ids.TargetId],
        now_s: float,
    ) -> None:
        for target_id, entry in list(self._missing.items()):
            if target_id in listed:
                del self._missing[target_id]
                continue
            if now_s < self._missing_until_s:
                found[target_id] = entry
                continue
            del self._missing[target_id]
            logging.info(
                "target not written again after the store's restore, taken "
                "for gone target=%s",
                target_id,
            )

    def _remember(
        self, found: dict[ids.TargetId, sources.TargetEntry], now_s: float
    ) -> None:
        for target_id, entry in self._listed.items():
            if target_id not in found:
                self._removed[target_id] = entry
        for target_id in found:
            self._removed.pop(target_id, None)
        while len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self._listed = found
        self._listed_s = now_s


def _is_older(entry: sources.TargetEntry, other: sources.TargetEntry) -> bool:
    """Whether a target wrote an entry before another one."""
    return (entry.started_ms, entry.beat) < (other.started_ms, other.beat)
