"""Reservations of targets for suspects, so that each runs in isolation.

For each model one instance, chosen by rendezvous hashing, is the arbiter that
reserves targets for suspects. Isolation only keeps a crash from being
attributed to an innocent request, so instances need not agree on the arbiter:
an instance that cannot reach it decides from its own table.
"""

import threading

import msgspec

from briarfall import clock as clocks
from briarfall import exceptions
from briarfall.membership import rendezvous

TRIAL_TTL_S = 5.0
_CALL_TIMEOUT_S = 0.5


class ReserveCall(msgspec.Struct, array_like=True):
    """Asks the arbiter to reserve targets for one suspect."""

    fingerprint: str
    targets: list[str]


class ReleaseCall(msgspec.Struct, array_like=True):
    """Asks the arbiter to release the targets of a suspect."""

    fingerprint: str


class ReservationTable:
    """Reservations made by this instance, as the arbiter or in its place."""

    def __init__(self, clock: clocks.Clock | None = None):
        self._clock = clock or clocks.Clock()
        self._lock = threading.Lock()
        self._reservations: dict[str, tuple[str, float]] = {}

    def reserve(self, call: ReserveCall) -> list[str]:
        """Reserves all targets of a call, or none.

        Returns:
            An empty list, or all targets reserved for other suspects if one
            of them is in the call.
        """
        now = self._clock.now()
        with self._lock:
            occupied = [
                target
                for target, (holder, until_s) in self._reservations.items()
                if until_s > now and holder != call.fingerprint
            ]
            if any(target in occupied for target in call.targets):
                return occupied
            for target in call.targets:
                self._reservations[target] = (
                    call.fingerprint,
                    now + TRIAL_TTL_S,
                )
            return []

    def release(self, call: ReleaseCall) -> None:
        """Releases all targets of a suspect."""
        with self._lock:
            for target, (holder, _) in list(self._reservations.items()):
                if holder == call.fingerprint:
                    del self._reservations[target]


class TrialReservations:
    """Reserves targets at the arbiter of a model.

    Args:
        instance: Name of this instance.
        peers: Sends calls to other instances.
    """

    def __init__(self, instance: str, peers):
        self._instance = instance
        self._peers = peers
        self.table = ReservationTable()

    def reserve(
        self, model: str, fingerprint: str, targets: list[str]
    ) -> list[str]:
        """Reserves targets at the arbiter, or locally if it is unreachable.

        Returns:
            An empty list, or the targets reserved for other suspects.
        """
        call = ReserveCall(fingerprint, targets)
        arbiter = self._arbiter(model)
        if arbiter != self._instance:
            try:
                return self._peers.call(
                    arbiter, "trials.reserve", call, list[str], _CALL_TIMEOUT_S
                )
            except exceptions.BriarfallError:
                pass
        return self.table.reserve(call)

    def release(self, model: str, fingerprint: str) -> None:
        """Releases the targets of a suspect, locally and at the arbiter."""
        call = ReleaseCall(fingerprint)
        self.table.release(call)
        arbiter = self._arbiter(model)
        if arbiter == self._instance:
            return
        try:
            self._peers.send_one_way(arbiter, "trials.release", call)
        except exceptions.BriarfallError:
            return

    def _arbiter(self, model: str) -> str:
        return rendezvous.choose(f"trials {model}", self._peers.live())
