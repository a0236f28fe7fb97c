"""The member table: all instances known to this instance."""

import enum
import threading

import msgspec

from briarfall import clock as clocks
from briarfall import hashing
from briarfall import ids
from briarfall.adapters import instancelist

# Time for which a dead member stays in the table.
_TOMBSTONE_TTL_S = 300.0


class MemberState(enum.Enum):
    """State of an instance.

    For the same incarnation and sequence, the higher value takes precedence.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One instance.

    Attributes:
        id: Name of the instance.
        address: `host:port` of its peer listener.
        zone: Its availability zone.
        incarnation: Grows with each start of the instance.
        sequence: Grows with each change that the instance announces.
        state: Its state. Other instances may only raise it to SUSPECT or DEAD.
        applied: Catalogue offset up to which it has applied records.
    """

    id: ids.InstanceId
    address: str
    zone: ids.ZoneId
    incarnation: int
    sequence: int = 0
    state: MemberState = MemberState.ALIVE
    applied: int = 0

    @property
    def version(self) -> tuple[int, int, int]:
        """Version of this record; the highest one takes precedence."""
        return (self.incarnation, self.sequence, self.state.value)


class MemberTable:
    """Stores the latest known record of each member.

    Args:
        me: Record of this instance.
        clock: Source of monotonic time.
        on_change: Called with each record that is added or changed.
    """

    def __init__(self, me: Member, clock=None, on_change=None):
        self._clock = clock or clocks.Clock()
        self._lock = threading.RLock()
        self._own_id = me.id
        self._digest: int | None = None
        self._members: dict[str, Member] = {me.id: me}
        self._updated_s: dict[str, float] = {me.id: self._clock.now()}
        self.on_change = on_change or (lambda member: None)

    @property
    def me(self) -> Member:
        """This instance's own record."""
        return self._members[self._own_id]

    def get(self, name: str) -> Member | None:
        """Returns a member by name."""
        return self._members.get(name)

    def all(self) -> list[Member]:
        """Returns all known members, sorted by name."""
        with self._lock:
            return [self._members[name] for name in sorted(self._members)]

    def live(self) -> list[ids.InstanceId]:
        """Returns the members that accept new work, this one included."""
        return [
            m.id
            for m in self.all()
            if m.state is MemberState.ALIVE or m.id == self._own_id
        ]

    def is_live(self, name: str) -> bool:
        """Returns whether a member is not dead, so that it may finish its work.

        Unlike `live`, this includes suspected and draining members.
        """
        member = self._members.get(name)
        return member is not None and member.state is not MemberState.DEAD

    def merge(self, member: Member) -> bool:
        """Merges a record received from a peer; returns whether it was new."""
        with self._lock:
            if member.id == self._own_id:
                return self._refute(member)
            known = self._members.get(member.id)
            if known is not None and known.version >= member.version:
                return False
            self._store(member)
            return True

    def merge_listed(self, listed: instancelist.ListedInstance) -> None:
        """Merges an entry of the instance list.

        The list lags behind gossip, so it only adds unknown members and marks
        live members as draining.
        """
        with self._lock:
            if listed.id == self._own_id or not listed.address:
                return
            known = self._members.get(listed.id)
            is_leaving = listed.state is instancelist.ListedState.LEAVING
            state = MemberState.LEAVING if is_leaving else MemberState.ALIVE
            if known is None:
                self._store(
                    Member(listed.id, listed.address, listed.zone, 0, 0, state)
                )
                return
            if is_leaving and known.state is MemberState.ALIVE:
                self._store(msgspec.structs.replace(known, state=state))

    def suspect(self, name: str) -> None:
        """Marks a member as suspected."""
        self._escalate(name, MemberState.SUSPECT)

    def expire(self, suspect_s: float) -> None:
        """Marks members as dead after the suspicion period; removes old ones.

        Dead members are removed after `_TOMBSTONE_TTL_S`.

        Args:
            suspect_s: Seconds for which a member stays suspected.
        """
        now = self._clock.now()
        with self._lock:
            for member in list(self._members.values()):
                age_s = now - self._updated_s[member.id]
                if member.state is MemberState.SUSPECT and age_s > suspect_s:
                    self._escalate(member.id, MemberState.DEAD)
                if (
                    member.state is MemberState.DEAD
                    and age_s > _TOMBSTONE_TTL_S
                ):
                    self._digest = None
                    del self._members[member.id]
                    del self._updated_s[member.id]

    def announce(self, **changes) -> None:
        """Changes the record of this instance and raises its sequence."""
        with self._lock:
            me = self.me
            self._store(
                msgspec.structs.replace(me, sequence=me.sequence + 1, **changes)
            )

    def digest(self) -> int:
        """Returns a digest of the table, equal on instances that agree."""
        with self._lock:
            if self._digest is not None:
                return self._digest
            parts = [f"{m.id}{m.version}{m.applied}" for m in self.all()]
            self._digest = hashing.digest64("|".join(parts))
            return self._digest

    def count_applied(self, offset: int) -> tuple[int, int]:
        """Counts the live members that have applied `offset`.

        Returns:
            This count, and the number of live members.
        """
        live = [m for m in self.all() if m.state is MemberState.ALIVE]
        return sum(1 for m in live if m.applied > offset), len(live)

    def _escalate(self, name: str, state: MemberState) -> None:
        with self._lock:
            member = self._members.get(name)
            if member is None or name == self._own_id:
                return
            if member.state.value >= state.value:
                return
            self._store(msgspec.structs.replace(member, state=state))

    def _refute(self, claimed: Member) -> bool:
        """Overrides a record of this instance that it did not issue itself.

        Raises the own version above the version of that record, so that peers
        discard it.
        """
        me = self.me
        if claimed.version <= me.version:
            return False
        sequence = me.sequence
        if claimed.incarnation >= me.incarnation:
            sequence = max(sequence, claimed.sequence)
        self._store(
            msgspec.structs.replace(
                me,
                incarnation=max(me.incarnation, claimed.incarnation),
                sequence=sequence + 1,
            )
        )
        return True

    def _store(self, member: Member) -> None:
        self._digest = None
        self._members[member.id] = member
        self._updated_s[member.id] = self._clock.now()
        self.on_change(member)
