"""Requests that crash the targets that run them.

A request in flight at a death is a suspect. Suspects run without any other
suspect on their targets until they have passed the point of the death, so
that a second death names the culprit.
"""

import enum
import threading

import msgspec

from briarfall import clock as clocks
from briarfall import exceptions

MAX_DEATHS = 2
_TTL_S = 600.0
_MAX_FINGERPRINTS = 4096
_TRIAL_WAIT_S = 2.0


class Standing(enum.Enum):
    """How a fingerprint is regarded."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    POISON = "poison"


class Suspicion(msgspec.Struct, array_like=True):
    """What is known about one fingerprint; peers exchange it.

    Attributes:
        fingerprint: Identifies client and body.
        deaths: Deaths at which the request was in flight.
        trial_at: Instance that runs it now, or empty.
        cleared: Whether it has passed the point of the death since.
    """

    fingerprint: str
    deaths: int = 0
    trial_at: str = ""
    cleared: bool = False


class PoisonGuard:
    """Counts deaths for each fingerprint.

    Args:
        instance: Name of this instance.
        clock: Source of monotonic time.
        tell: Called with each suspicion that peers must learn at once.
        ask: Called with an instance and a fingerprint; returns what that
            instance knows, or None if it cannot be reached.
    """

    def __init__(self, instance: str, clock=None, tell=None, ask=None):
        self._instance = instance
        self._clock = clock or clocks.Clock()
        self.tell = tell or (lambda suspicion: None)
        self.ask = ask or (lambda peer, fingerprint: None)
        self._known: dict[str, tuple[Suspicion, float]] = {}
        self._changed = threading.Condition()

    def standing(self, fingerprint: str) -> Standing:
        """Returns how a fingerprint is regarded."""
        suspicion = self.lookup(fingerprint)
        if suspicion is None or suspicion.cleared or not suspicion.deaths:
            return Standing.CLEAR
        if suspicion.deaths >= MAX_DEATHS:
            return Standing.POISON
        return Standing.SUSPECT

    def lookup(self, fingerprint: str) -> Suspicion | None:
        """Returns what is known about a fingerprint."""
        with self._changed:
            found = self._known.get(fingerprint)
            if found is None:
                return None
            suspicion, until_s = found
            if until_s < self._clock.now():
                del self._known[fingerprint]
                return None
            return suspicion

    def check(self, fingerprint: str) -> None:
        """Refuses poison, and waits for a trial at another instance.

        Raises:
            PoisonError: The request was in flight at two deaths.
        """
        suspicion = self.lookup(fingerprint)
        if suspicion is None:
            return
        if self.standing(fingerprint) is Standing.SUSPECT:
            self._await_trial(suspicion)
        if self.standing(fingerprint) is Standing.POISON:
            raise exceptions.PoisonError(
                "targets died twice while they ran this request"
            )

    def note_death(self, fingerprint: str) -> Standing:
        """Counts a death at which the request was in flight."""
        with self._changed:
            found = self._known.get(fingerprint)
            deaths = found[0].deaths if found and not found[0].cleared else 0
            suspicion = Suspicion(fingerprint, deaths + 1, self._instance)
            self._store(suspicion)
        self.tell(suspicion)
        return self.standing(fingerprint)

    def note_passed(self, fingerprint: str) -> None:
        """Clears a suspect that ran beyond the point of the death."""
        with self._changed:
            found = self._known.get(fingerprint)
            if found is None or found[0].cleared:
                return
            suspicion = msgspec.structs.replace(
                found[0], cleared=True, trial_at=""
            )
            self._store(suspicion)
        self.tell(suspicion)

    def note_left(self, fingerprint: str) -> None:
        """Ends this instance's trial without a verdict."""
        with self._changed:
            found = self._known.get(fingerprint)
            if found is None or found[0].trial_at != self._instance:
                return
            suspicion = msgspec.structs.replace(found[0], trial_at="")
            self._store(suspicion)
        self.tell(suspicion)

    def learn(self, suspicion: Suspicion) -> bool:
        """Takes what a peer says; returns whether it was new."""
        with self._changed:
            found = self._known.get(suspicion.fingerprint)
            if found is not None and not _is_newer(suspicion, found[0]):
                return False
            self._store(suspicion)
            return True

    def _store(self, suspicion: Suspicion) -> None:
        until_s = self._clock.now() + _TTL_S
        self._known[suspicion.fingerprint] = (suspicion, until_s)
        while len(self._known) > _MAX_FINGERPRINTS:
            self._known.pop(next(iter(self._known)))
        self._changed.notify_all()

    def _await_trial(self, suspicion: Suspicion) -> None:
        peer = suspicion.trial_at
        if not peer or peer == self._instance:
            return
        answer = self.ask(peer, suspicion.fingerprint)
        if answer is not None:
            self.learn(answer)
        fingerprint = suspicion.fingerprint
        with self._changed:
            self._changed.wait_for(
                lambda: not self._is_on_trial(fingerprint, peer),
                _TRIAL_WAIT_S,
            )

    def _is_on_trial(self, fingerprint: str, peer: str) -> bool:
        found = self._known.get(fingerprint)
        if found is None or found[0].deaths >= MAX_DEATHS:
            return False
        return found[0].trial_at == peer


def _is_newer(suspicion: Suspicion, known: Suspicion) -> bool:
    if suspicion.deaths != known.deaths:
        return suspicion.deaths > known.deaths
    if suspicion.cleared != known.cleared:
        return suspicion.cleared
    return bool(known.trial_at) and not suspicion.trial_at
