"""Answers requests of other instances for the catalogue and targets."""

import time
import zlib

from briarfall.gateway import clocks
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.targets import targets

# Bytes of a catalogue or of changes that one datagram carries.
_PART_BYTES = 8_000
_COMPRESSION_LEVEL = 1
# Sets of changes that are cached for instances that are still fetching them.
_MAX_CHANGES = 32


class PeerResponder:
    """Answers requests of other instances; caches what many of them request.

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
        self._incarnation = time.time_ns() // 1_000_000
        # Version and compressed bytes of the newest catalogue requested.
        self._compressed_catalogue: tuple[int, bytes] | None = None
        # Packed changes of the target table by first and last revision.
        self._cached_changes: dict[tuple[int, int], bytes] = {}

    def answer_part(
        self, request: peermessages.PartRequest
    ) -> peermessages.PartResponse:
        """Returns a part of the compressed catalogue or of changes."""
        if request.since is not None:
            return self._answer_changes_part(request)
        view = self._follower.view
        if view is None:
            return peermessages.PartResponse(request.number, -1, 0, b"")
        if (
            self._compressed_catalogue is None
            or self._compressed_catalogue[0] != view.version
        ):
            raw = self._follower.raw
            self._compressed_catalogue = (
                view.version,
                zlib.compress(raw, _COMPRESSION_LEVEL),
            )
        version, data = self._compressed_catalogue
        return peermessages.PartResponse(
            request.number,
            version,
            _part_count(data),
            _part(data, request.part),
        )

    def _answer_changes_part(
        self, request: peermessages.PartRequest
    ) -> peermessages.PartResponse:
        data = self._cached_changes.get((request.since, request.revision))
        if data is None:
            return peermessages.PartResponse(request.number, -1, 0, b"")
        return peermessages.PartResponse(
            request.number,
            request.revision,
            _part_count(data),
            _part(data, request.part),
        )

    def answer(
        self, request: peermessages.FreshnessRequest
    ) -> peermessages.FreshnessResponse:
        """Returns the ages of this instance's data and recent changes."""
        since = request.revision
        if request.incarnation != self._incarnation:
            since = -1
        # Ages are taken first, so that the version and the changes sent can
        # only be newer than they say.
        catalogue_age_ms = _age_ms(self._follower.confirmed_s)
        view = self._follower.view
        targets_age_ms = _age_ms(self._targets.read_s)
        revision, data = self.packed_changes(since)
        # Taken after them: an epoch that is told too early undoes nothing.
        epoch = self._targets.epoch
        return peermessages.FreshnessResponse(
            number=request.number,
            incarnation=self._incarnation,
            version=view.version if view else -1,
            catalogue_age_ms=catalogue_age_ms,
            targets_age_ms=targets_age_ms,
            changes=_part(data, 0),
            parts=_part_count(data),
            since=since,
            revision=revision,
            epoch=-1 if epoch is None else epoch,
            reads_to_end=True,
        )

    def packed_changes(self, since: int) -> tuple[int, bytes]:
        """Returns the table's revision and its packed changes since another.

        The changes are cached: most instances of a zone request the same ones.
        """
        revision = self._targets.revision
        data = self._cached_changes.get((since, revision))
        if data is not None:
            return revision, data
        table_changes = self._targets.changes_since(since)
        data = peermessages.pack_changes(
            peermessages.TargetChanges(
                table_changes.revision,
                table_changes.changed,
                table_changes.gone,
            )
        )
        self._cached_changes[since, table_changes.revision] = data
        while len(self._cached_changes) > _MAX_CHANGES:
            del self._cached_changes[next(iter(self._cached_changes))]
        return table_changes.revision, data


def _part(data: bytes, number: int) -> bytes:
    start = number * _PART_BYTES
    return data[start : start + _PART_BYTES]


def _part_count(data: bytes) -> int:
    return max(1, -(-len(data) // _PART_BYTES))


def _age_ms(confirmed_s: float | None) -> int:
    if confirmed_s is None:
        return -1
    return int((clocks.boot_s() - confirmed_s) * 1000) + 1
