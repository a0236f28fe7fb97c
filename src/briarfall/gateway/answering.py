"""Answers questions of other instances about what this one knows."""

import time
import zlib

from briarfall.gateway import catalogue
from briarfall.gateway import clocks
from briarfall.gateway import peermessages
from briarfall.gateway import targets

# Part of a compressed catalogue that one datagram carries.
_PART_BYTES = 8_000
_ZIP_LEVEL = 1
# Entries that fit into one datagram of an answer.
_MAX_CHANGED = 120


class AnswerDesk:
    """Answers what other instances ask; equal answers are made once.

    Args:
        target_table: Targets.
        follower: The catalogue.
    """

    def __init__(
        self,
        target_table: targets.TargetTable,
        follower: catalogue.CatalogueFollower,
    ):
        self._targets = target_table
        self._follower = follower
        self._lifetime = time.time_ns() // 1_000_000
        # The newest catalogue asked for, compressed, and its version.
        self._packed: tuple[int, bytes] | None = None
        # Encoded changes of the target table by the revision asked for.
        self._changes: dict[int, bytes] = {}
        self._changes_revision = -1

    def part(
        self, question: peermessages.PartQuestion
    ) -> peermessages.PartAnswer:
        """Returns a part of the compressed catalogue."""
        view = self._follower.view
        if view is None:
            return peermessages.PartAnswer(question.number, -1, 0, b"")
        if self._packed is None or self._packed[0] != view.version:
            raw = self._follower.raw
            self._packed = (view.version, zlib.compress(raw, _ZIP_LEVEL))
        version, data = self._packed
        start = question.part * _PART_BYTES
        return peermessages.PartAnswer(
            question.number,
            version,
            -(-len(data) // _PART_BYTES),
            data[start : start + _PART_BYTES],
        )

    def answer(self, question: peermessages.Question) -> peermessages.Answer:
        """Returns how fresh this instance's knowledge is."""
        since = question.revision
        if question.lifetime != self._lifetime:
            since = -1
        view = self._follower.view
        return peermessages.Answer(
            number=question.number,
            lifetime=self._lifetime,
            version=view.version if view else -1,
            catalogue_age_ms=_age_ms(self._follower.confirmed_s),
            targets_age_ms=_age_ms(self._targets.read_s),
            changes=self.packed_changes(since),
        )

    def packed_changes(self, since: int) -> bytes:
        """Returns the encoded changes of the target table after a revision.

        Most instances of a zone ask for the same changes.
        """
        revision = self._targets.revision
        if self._changes_revision != revision:
            self._changes_revision = revision
            self._changes = {}
        data = self._changes.get(since)
        if data is not None:
            return data
        found = self._targets.changes_since(since)
        is_partial = len(found.changed) > _MAX_CHANGED
        data = peermessages.encode(
            peermessages.TargetChanges(
                found.revision,
                is_partial,
                [] if is_partial else found.changed,
                [] if is_partial else found.gone,
            )
        )
        if found.revision == revision:
            self._changes[since] = data
        return data


def _age_ms(confirmed_s: float | None) -> int:
    if confirmed_s is None:
        return -1
    return int((clocks.boot_s() - confirmed_s) * 1000) + 1
