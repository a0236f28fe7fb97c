"""Finds accepted edits that the log lost when it came back from a copy."""

from briarfall import ids
from briarfall.catalogue import fold
from briarfall.catalogue import records


class LostEdits:
    """Accepted edits of an earlier epoch of the log.

    Args:
        earlier: State of the catalogue in the earlier epoch.
    """

    def __init__(self, earlier: fold.CatalogueState):
        self.earlier = earlier

    def next_edits(self, state: fold.CatalogueState) -> list[records.Edit]:
        """Returns the next lost edit of each entry, to be appended again.

        Each is based on the version that the entry has now, so that it has no
        effect if another edit comes first. None are left once all are decided.

        Args:
            state: State in the current epoch, with all of the log's records.
        """
        found: dict[str, records.Edit] = {}
        newer = self._newly_edited(state)
        for row in self.earlier.audit:
            if row.verdict is not records.Verdict.APPLIED:
                continue
            if row.entry in found or row.entry in newer:
                continue
            if state.has_edit(row.edit_id):
                continue
            current = state.states.get(ids.EntryName(row.entry))
            found[row.entry] = records.Edit(
                id=ids.EditId(row.edit_id),
                author=row.author,
                reason=row.reason,
                entry=ids.EntryName(row.entry),
                if_version=current.version if current else 0,
                value=row.after,
                time_s=row.time_s,
            )
        return list(found.values())

    def _newly_edited(self, state: fold.CatalogueState) -> set[str]:
        """Returns the entries that were edited since the log lost records."""
        found = set()
        for row in state.audit:
            if row.verdict is not records.Verdict.APPLIED:
                continue
            if not self.earlier.has_edit(row.edit_id):
                found.add(row.entry)
        return found
