"""Members as one instance knows them."""

import enum
import threading

import msgspec

from briarfall import clock as clocks
from briarfall import hashing
from briarfall import ids
from briarfall.adapters import instancelist

_TOMBSTONE_S = 300.0


class MemberState(enum.Enum):
    """State of an instance; later ones override earlier ones."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One instance of ours.

    Attributes:
        id: Name of the instance.
        address: `host:port` of its peer listener.
        zone: Its availability zone.
        incarnation: Grows with each start of the instance.
        sequence: Grows with each change that the instance announces.
        state: Its state; others may only raise it to suspect and dead.
        applied: Catalogue offset that it has in force.
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
        """Orders what is said about one member."""
        return (self.incarnation, self.sequence, self.state.value)


class MemberTable:
    """All known members; changes are handed to listeners.

    Args:
        me: This instance.
        clock: Source of monotonic time.
        on_change: Called with each member that changed.
    """

    def __init__(self, me: Member, clock=None, on_change=None):
        self._clock = clock or clocks.Clock()
        self._lock = threading.RLock()
        self._me = me.id
        self._digest: int | None = None
        self._members: dict[str, Member] = {me.id: me}
        self._since: dict[str, float] = {me.id: self._clock.now()}
        self.on_change = on_change or (lambda member: None)

    @property
    def me(self) -> Member:
        """This instance's own record."""
        return self._members[self._me]

    def get(self, name: str) -> Member | None:
        """Returns a member by name."""
        return self._members.get(name)

    def all(self) -> list[Member]:
        """Returns all known members by name."""
        with self._lock:
            return [self._members[name] for name in sorted(self._members)]

    def live(self) -> list[ids.InstanceId]:
        """Returns the members that take work, this one included."""
        return [
            m.id
            for m in self.all()
            if m.state is MemberState.ALIVE or m.id == self._me
        ]

    def is_live(self, name: str) -> bool:
        """Returns whether a member may still finish work."""
        member = self._members.get(name)
        return member is not None and member.state is not MemberState.DEAD

    def learn(self, member: Member) -> bool:
        """Takes what a peer says; returns whether it was new."""
        with self._lock:
            if member.id == self._me:
                return self._refute(member)
            known = self._members.get(member.id)
            if known is not None and known.version >= member.version:
                return False
            self._store(member)
            return True

    def learn_listed(self, listed: instancelist.ListedInstance) -> None:
        """Takes a line of the instance list, which lags."""
        with self._lock:
            if listed.id == self._me or not listed.address:
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
        """Raises a member to suspect."""
        self._raise(name, MemberState.SUSPECT)

    def advance(self, suspect_s: float) -> None:
        """Declares old suspects dead and forgets old tombstones."""
        now = self._clock.now()
        with self._lock:
            for member in list(self._members.values()):
                age_s = now - self._since[member.id]
                if member.state is MemberState.SUSPECT and age_s > suspect_s:
                    self._raise(member.id, MemberState.DEAD)
                if member.state is MemberState.DEAD and age_s > _TOMBSTONE_S:
                    self._digest = None
                    del self._members[member.id]
                    del self._since[member.id]

    def announce(self, **changes) -> None:
        """Changes this instance's own record."""
        with self._lock:
            me = self.me
            self._store(
                msgspec.structs.replace(me, sequence=me.sequence + 1, **changes)
            )

    def digest(self) -> int:
        """Returns a digest of everything known."""
        with self._lock:
            if self._digest is not None:
                return self._digest
            parts = [f"{m.id}{m.version}{m.applied}" for m in self.all()]
            self._digest = hashing.digest64("|".join(parts))
            return self._digest

    def in_force(self, offset: int) -> tuple[int, int]:
        """Returns how many live members have applied `offset`, of how many."""
        live = [m for m in self.all() if m.state is MemberState.ALIVE]
        return sum(1 for m in live if m.applied > offset), len(live)

    def _raise(self, name: str, state: MemberState) -> None:
        with self._lock:
            member = self._members.get(name)
            if member is None or name == self._me:
                return
            if member.state.value >= state.value:
                return
            self._store(msgspec.structs.replace(member, state=state))

    def _refute(self, said: Member) -> bool:
        """Answers claims about this instance that are not its own."""
        me = self.me
        if said.version <= me.version:
            return False
        sequence = me.sequence
        if said.incarnation >= me.incarnation:
            sequence = max(sequence, said.sequence)
        self._store(
            msgspec.structs.replace(
                me,
                incarnation=max(me.incarnation, said.incarnation),
                sequence=sequence + 1,
            )
        )
        return True

    def _store(self, member: Member) -> None:
        self._digest = None
        self._members[member.id] = member
        self._since[member.id] = self._clock.now()
        self.on_change(member)
