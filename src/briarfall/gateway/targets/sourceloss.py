"""Which targets are gone after the instance list could not be read."""

import collections.abc

from absl import logging

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.targets import targetstate

# The platform registers live targets again within about this time after its
# store comes back. An entry that is still missing afterwards is removed.
_REGISTRATION_S = 2.2


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

    def discard(self, target_id: ids.TargetId) -> None:
        """Records that a target is listed again, or was removed."""
        self._kept.discard(target_id)

    @property
    def full_list_due_s(self) -> float | None:
        """Time on the boot clock from which a full list is needed.

        None if the latest full list lacks no target of the table.
        """
        return self._kept_until_s if self._kept else None

    @property
    def _kept_until_s(self) -> float:
        return self._regained_s + _REGISTRATION_S

    def missing_from(
        self,
        entries: list[sources.TargetEntry],
        rows: collections.abc.Iterable[targetstate.Target],
        read_s: float,
    ) -> list[ids.TargetId]:
        """Returns the targets that are gone, since a full list lacks them.

        Targets that are ready may be missing for a while after a loss.

        Args:
            entries: The full list.
            rows: The targets of the table.
            read_s: Time on the boot clock at which the list was read.
        """
        listed = {entry.id for entry in entries}
        keeps_ready = self._is_lost or read_s < self._kept_until_s
        self._kept.clear()
        missing = []
        for target in rows:
            if target.id in listed:
                continue
            if keeps_ready and target.entry.state is sources.TargetState.READY:
                self._kept.add(target.id)
                continue
            missing.append(target.id)
        return missing
