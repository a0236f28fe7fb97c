"""Trials: suspects run apart from each other until they are cleared.

One instance for each model, chosen by rendezvous hashing, hands out targets
to suspects. The choice only keeps innocent requests from being blamed, so it
needs no agreement: without its arbiter an instance decides alone.
"""

import threading

import msgspec

from briarfall import clock as clocks
from briarfall import exceptions
from briarfall.membership import rendezvous

TRIAL_TTL_S = 5.0
_CALL_TIMEOUT_S = 0.5


class ReserveCall(msgspec.Struct, array_like=True):
    """Asks for targets to be free of other suspects."""

    fingerprint: str
    targets: list[str]


class ReleaseCall(msgspec.Struct, array_like=True):
    """Gives the targets of a suspect back."""

    fingerprint: str


class TrialTable:
    """Targets that run a suspect, as the arbiter knows them."""

    def __init__(self, clock: clocks.Clock | None = None):
        self._clock = clock or clocks.Clock()
        self._lock = threading.Lock()
        self._held: dict[str, tuple[str, float]] = {}

    def reserve(self, call: ReserveCall) -> list[str]:
        """Reserves all targets, or returns those that others hold."""
        now = self._clock.now()
        with self._lock:
            occupied = [
                target
                for target, (holder, until_s) in self._held.items()
                if until_s > now and holder != call.fingerprint
            ]
            if any(target in occupied for target in call.targets):
                return occupied
            for target in call.targets:
                self._held[target] = (call.fingerprint, now + TRIAL_TTL_S)
            return []

    def release(self, call: ReleaseCall) -> None:
        """Frees the targets of a suspect."""
        with self._lock:
            for target, (holder, _) in list(self._held.items()):
                if holder == call.fingerprint:
                    del self._held[target]


class TrialDirectory:
    """Reserves targets at the arbiter of a model.

    Args:
        instance: Name of this instance.
        peers: Reaches other instances.
    """

    def __init__(self, instance: str, peers):
        self._instance = instance
        self._peers = peers
        self.table = TrialTable()

    def reserve(
        self, model: str, fingerprint: str, targets: list[str]
    ) -> list[str]:
        """Reserves targets; returns the occupied ones if that fails."""
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
        """Frees the targets of a suspect."""
        call = ReleaseCall(fingerprint)
        self.table.release(call)
        arbiter = self._arbiter(model)
        if arbiter == self._instance:
            return
        try:
            self._peers.cast(arbiter, "trials.release", call)
        except exceptions.BriarfallError:
            return

    def _arbiter(self, model: str) -> str:
        return rendezvous.choose(f"trials {model}", self._peers.live())
