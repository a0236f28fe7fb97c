"""Detection of poison requests, which crash the targets that run them.

A request that was in flight on a target when it crashed is a suspect, unless
the target had begun to answer it. A suspect runs on targets without other
suspects until it has passed the token at which the crash happened, so a second
crash can be attributed to it.
"""

import collections.abc
import enum
import threading

import msgspec

from briarfall import clock as clocks
from briarfall import exceptions
from briarfall.gateway.crashes import crashevidence
from briarfall.pipelines import partguard

REQUEST_MESSAGE = "targets died twice while they ran this request"
PART_MESSAGE = (
    "targets died while they began to answer requests with a part of this "
    "prompt"
)
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
        parts: Parts of its prompt that may have caused the crashes.
        deaths: The crashes.
    """

    fingerprint: str
    crashes: int = 0
    trial_instance: str = ""
    cleared: bool = False
    parts: list[str] = []
    deaths: list[partguard.Death] = []


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

    Attributes:
        parts: Parts of prompts that crash targets.
    """

    def __init__(
        self, instance: str, clock=None, notify_peers=None, query_peer=None
    ):
        self._instance = instance
        self._clock = clock or clocks.Clock()
        self.notify_peers = notify_peers or (lambda suspicion: None)
        self.query_peer = query_peer or (lambda peer, fingerprint: None)
        self.parts = partguard.PartGuard(self._clock)
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

    def check(
        self,
        fingerprint: str,
        parts: collections.abc.Collection[crashevidence.SuspectKey] = (),
    ) -> None:
        """Refuses a poison request.

        If another instance runs the request on trial, waits a limited time
        for the result.

        Args:
            fingerprint: Fingerprint of the request.
            parts: Parts of its prompt.

        Raises:
            PoisonError: The request was in flight at two crashes, or shares a
                part of its prompt with requests that crashed targets.
        """
        if self.parts.is_poison(parts):
            raise exceptions.PoisonError(PART_MESSAGE)
        suspicion = self.lookup(fingerprint)
        if suspicion is None:
            return
        if self.status(fingerprint) is FingerprintStatus.SUSPECT:
            self._await_trial(suspicion)
        if self.status(fingerprint) is FingerprintStatus.POISON:
            raise exceptions.PoisonError(REQUEST_MESSAGE)

    def record_crash(
        self,
        fingerprint: str,
        death: partguard.Death | None = None,
        parts: collections.abc.Collection[crashevidence.SuspectKey] = (),
    ) -> FingerprintStatus:
        """Counts a crash of a target that was running the request.

        Args:
            fingerprint: Fingerprint of the request.
            death: The crash, to tell peers of, or None.
            parts: Parts of the prompt that may have caused it.
        """
        with self._changed:
            entry = self._known.get(fingerprint)
            known = entry[0] if entry and not entry[0].cleared else None
            suspicion = Suspicion(
                fingerprint,
                known.crashes + 1 if known else 1,
                self._instance,
                parts=list(parts),
                deaths=list(known.deaths) if known else [],
            )
            if death is not None:
                suspicion.deaths.append(death)
            self._store(suspicion)
        self.notify_peers(suspicion)
        return self.status(fingerprint)

    def suspect(
        self,
        fingerprint: str,
        death: partguard.Death | None = None,
        parts: collections.abc.Collection[crashevidence.SuspectKey] = (),
    ) -> FingerprintStatus:
        """Suspects a request that was in flight at a crash outside a trial.

        The crash may have had another cause, so further ones of this kind do
        not count.

        Args:
            fingerprint: Fingerprint of the request.
            death: The crash, to tell peers of, or None.
            parts: Parts of the prompt that may have caused it.
        """
        status = self.status(fingerprint)
        if status is FingerprintStatus.CLEAR:
            return self.record_crash(fingerprint, death, parts)
        return status

    def announce_trial(
        self,
        fingerprint: str,
        parts: collections.abc.Collection[crashevidence.SuspectKey],
    ) -> None:
        """Tells peers that a request runs as a trial of suspected parts."""
        with self._changed:
            entry = self._known.get(fingerprint)
            if entry is not None and not entry[0].cleared:
                return
            suspicion = Suspicion(
                fingerprint, 0, self._instance, parts=list(parts)
            )
            self._store(suspicion)
        self.notify_peers(suspicion)

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
        self._merge_parts(suspicion)
        return True

    def _merge_parts(self, suspicion: Suspicion) -> None:
        parts = [crashevidence.SuspectKey(part) for part in suspicion.parts]
        if not parts:
            return
        if suspicion.cleared:
            self.parts.record_proven(parts)
        else:
            for death in suspicion.deaths:
                self.parts.record_death(death, parts)
        self.parts.end_trial(suspicion.fingerprint)
        if suspicion.trial_instance:
            suspected = self.parts.suspected(parts)
            self.parts.start_trial(suspected, suspicion.fingerprint)

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
