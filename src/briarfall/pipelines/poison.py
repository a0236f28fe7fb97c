"""Detection of poison requests, which crash the targets that run them.

A request that was in flight on a target when it crashed is a suspect, unless
the target had begun to answer it. A suspect runs on targets without other
suspects until it has passed the token at which the crash happened, so a second
crash can be attributed to it.
"""

import enum
import threading

import msgspec

from briarfall import clock as clocks
from briarfall import exceptions

MAX_CRASHES = 2
_TTL_S = 600.0
_MAX_FINGERPRINTS = 4096
_TRIAL_WAIT_S = 2.0


class FingerprintStatus(enum.Enum):
    """Whether the requests of a fingerprint are suspected of crashes."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    POISON = "poison"


class Suspicion(msgspec.Struct, array_like=True):
    """Crash record of one fingerprint, as exchanged between peers.

    Attributes:
        fingerprint: Hash that identifies the client and the body.
        crashes: Number of crashes while the request was in flight.
        trial_instance: Instance that runs the request on trial, or empty.
        cleared: Whether the request has since passed the token of the crash.
    """

    fingerprint: str
    crashes: int = 0
    trial_instance: str = ""
    cleared: bool = False


class PoisonGuard:
    """Counts target crashes for each fingerprint and refuses poison requests.

    Args:
        instance: Name of this instance.
        clock: Source of monotonic time.
        notify_peers: Called with each changed suspicion, to send it to peers
            immediately.
        query_peer: Called with an instance and a fingerprint; returns the
            suspicion at that instance, or None if it has none or cannot be
            reached.
    """

    def __init__(
        self, instance: str, clock=None, notify_peers=None, query_peer=None
    ):
        self._instance = instance
        self._clock = clock or clocks.Clock()
        self.notify_peers = notify_peers or (lambda suspicion: None)
        self.query_peer = query_peer or (lambda peer, fingerprint: None)
        self._known: dict[str, tuple[Suspicion, float]] = {}
        self._changed = threading.Condition()

    def status(self, fingerprint: str) -> FingerprintStatus:
        """Returns the status of a fingerprint."""
        suspicion = self.lookup(fingerprint)
        if suspicion is None or suspicion.cleared or not suspicion.crashes:
            return FingerprintStatus.CLEAR
        if suspicion.crashes >= MAX_CRASHES:
            return FingerprintStatus.POISON
        return FingerprintStatus.SUSPECT

    def lookup(self, fingerprint: str) -> Suspicion | None:
        """Returns the suspicion of a fingerprint, or None if there is none."""
        with self._changed:
            entry = self._known.get(fingerprint)
            if entry is None:
                return None
            suspicion, until_s = entry
            if until_s < self._clock.now():
                del self._known[fingerprint]
                return None
            return suspicion

    def check(self, fingerprint: str) -> None:
        """Refuses a poison request.

        If another instance runs the request on trial, waits a limited time
        for the result.

        Raises:
            PoisonError: The request was in flight at two crashes.
        """
        suspicion = self.lookup(fingerprint)
        if suspicion is None:
            return
        if self.status(fingerprint) is FingerprintStatus.SUSPECT:
            self._await_trial(suspicion)
        if self.status(fingerprint) is FingerprintStatus.POISON:
            raise exceptions.PoisonError(
                "targets died twice while they ran this request"
            )

    def record_crash(self, fingerprint: str) -> FingerprintStatus:
        """Counts a crash of a target that was running the request."""
        with self._changed:
            entry = self._known.get(fingerprint)
            crashes = entry[0].crashes if entry and not entry[0].cleared else 0
            suspicion = Suspicion(fingerprint, crashes + 1, self._instance)
            self._store(suspicion)
        self.notify_peers(suspicion)
        return self.status(fingerprint)

    def suspect(self, fingerprint: str) -> FingerprintStatus:
        """Suspects a request that was in flight at a crash outside a trial.

        The crash may have had another cause, so further ones of this kind do
        not count.
        """
        status = self.status(fingerprint)
        if status is FingerprintStatus.CLEAR:
            return self.record_crash(fingerprint)
        return status

    def clear(self, fingerprint: str) -> None:
        """Clears a suspect that has passed the token of the crash."""
        with self._changed:
            entry = self._known.get(fingerprint)
            if entry is None or entry[0].cleared:
                return
            suspicion = msgspec.structs.replace(
                entry[0], cleared=True, trial_instance=""
            )
            self._store(suspicion)
        self.notify_peers(suspicion)

    def end_trial(self, fingerprint: str) -> None:
        """Ends a trial at this instance without a result."""
        with self._changed:
            entry = self._known.get(fingerprint)
            if entry is None or entry[0].trial_instance != self._instance:
                return
            suspicion = msgspec.structs.replace(entry[0], trial_instance="")
            self._store(suspicion)
        self.notify_peers(suspicion)

    def merge(self, suspicion: Suspicion) -> bool:
        """Merges a peer's suspicion; returns whether it was newer."""
        with self._changed:
            entry = self._known.get(suspicion.fingerprint)
            if entry is not None and not _is_newer(suspicion, entry[0]):
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
        peer = suspicion.trial_instance
        if not peer or peer == self._instance:
            return
        answer = self.query_peer(peer, suspicion.fingerprint)
        if answer is not None:
            self.merge(answer)
        fingerprint = suspicion.fingerprint
        with self._changed:
            self._changed.wait_for(
                lambda: not self._is_on_trial(fingerprint, peer),
                _TRIAL_WAIT_S,
            )

    def _is_on_trial(self, fingerprint: str, peer: str) -> bool:
        entry = self._known.get(fingerprint)
        if entry is None or entry[0].crashes >= MAX_CRASHES:
            return False
        return entry[0].trial_instance == peer


def _is_newer(suspicion: Suspicion, known: Suspicion) -> bool:
    if suspicion.crashes != known.crashes:
        return suspicion.crashes > known.crashes
    if suspicion.cleared != known.cleared:
        return suspicion.cleared
    return bool(known.trial_instance) and not suspicion.trial_instance
