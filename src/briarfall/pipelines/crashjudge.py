"""Decides whether the death of a target counts against a stream's request.

Targets die for reasons of their own too, several at a time, and a stream may
meet a target that has been dead for some time. Outside a trial the request is
therefore only suspected; a death counts further only in a trial, whose targets
are known to be alive when it starts.
"""

import collections.abc
import functools
import time

from briarfall import exceptions
from briarfall.adapters import engine as engines
from briarfall.gateway.crashes import crashevidence
from briarfall.pipelines import models
from briarfall.pipelines import poison as poisons
from briarfall.pipelines import promptwords
from briarfall.pipelines import suspecttrial

_TRIAL_WAIT_S = 0.25


class CrashJudge:
    """Judges the deaths of targets under one stream.

    Args:
        relay: The relay that the stream belongs to.
        req: The request.
        trial: The trials of the request.

    Attributes:
        crash_layer: First layer of the target that died last.
        is_proven: Whether targets have begun to answer the request.
    """

    def __init__(
        self,
        relay,
        req: models.StreamRequest,
        trial: suspecttrial.SuspectTrial,
    ):
        self._relay = relay
        self._req = req
        self._trial = trial
        self._down_before: set[str] = set()
        self._start_index = 0
        self._started_ms = 0
        self.crash_layer = 0
        self.is_proven = False

    @functools.cached_property
    def _parts(self) -> list[crashevidence.SuspectKey]:
        return promptwords.shared_parts(self._req)

    def start_attempt(
        self, names: collections.abc.Iterable[str], index: int
    ) -> None:
        """Records the start of an attempt.

        Args:
            names: Targets of its route.
            index: Number of tokens accepted so far.
        """
        self._start_index = index
        self._started_ms = int(time.time() * 1000)
        table = self._relay.table
        self._down_before = {name for name in names if table.is_ejected(name)}

    def record_unreachable(self, target: str) -> None:
        """Records that a target was down before it got the request."""
        self._down_before.add(target)

    def needs_trial(self) -> bool:
        """Returns whether the next attempt has to be a trial.

        Waits while another request tries a suspected part of the prompt.

        Raises:
            PoisonError: The request was found to be poison, here or by a peer.
            DeadlineError: The other trials did not end before the deadline.
        """
        req, guard = self._req, self._relay.guard
        while time.monotonic() < req.deadline_s:
            status = guard.status(req.fingerprint)
            self._refuse_poison(status)
            parts = []
            if not guard.parts.is_empty:
                parts = guard.parts.suspected(self._parts)
            if not parts:
                return status is poisons.FingerprintStatus.SUSPECT
            if guard.parts.start_trial(parts, req.fingerprint):
                guard.announce_trial(req.fingerprint, parts)
                return True
            left_s = req.deadline_s - time.monotonic()
            guard.parts.wait(max(0.0, min(_TRIAL_WAIT_S, left_s)))
        raise exceptions.DeadlineError("the deadline passed")

    def record_progress(self, index: int, *, is_done: bool) -> None:
        """Records that targets have begun to answer once they have.

        Args:
            index: Number of tokens accepted so far.
            is_done: Whether these are all.
        """
        if is_done or self._has_begun(index):
            self.is_proven = True
            self._relay.guard.parts.record_proven(self._parts)

    def record_death(
        self, route: list[engines.Hop], target: str, index: int
    ) -> None:
        """Records that a target of an attempt died or was found dead.

        Args:
            route: Route of the attempt.
            target: The target.
            index: Number of tokens accepted so far.

        Raises:
            PoisonError: The request has crashed too many targets.
        """
        if target in self._down_before:
            return
        if self._has_begun(index):
            return
        self.crash_layer = _first_layer_of(route, target)
        is_trial = self._trial.is_open
        if is_trial and not self._trial.is_reserved(target):
            return
        guard, fingerprint = self._relay.guard, self._req.fingerprint
        death = guard.parts.death_of(
            target, self._started_ms, is_trial=is_trial
        )
        parts = guard.parts.unproven(self._parts)
        guard.parts.record_death(death, parts)
        record = guard.record_crash if is_trial else guard.suspect
        self._refuse_poison(record(fingerprint, death, parts))

    def _has_begun(self, index: int) -> bool:
        passed = index - self._start_index
        return passed >= suspecttrial.TOKENS_PAST_CRASH

    def _refuse_poison(self, status: poisons.FingerprintStatus) -> None:
        outcome = exceptions.Outcome.NOT_RUN
        if self._started_ms:
            outcome = exceptions.Outcome.RAN
        guard = self._relay.guard
        if not guard.parts.is_empty and guard.parts.is_poison(self._parts):
            raise exceptions.PoisonError(poisons.PART_MESSAGE, outcome=outcome)
        if status is poisons.FingerprintStatus.POISON:
            raise exceptions.PoisonError(
                poisons.REQUEST_MESSAGE, outcome=outcome
            )


def _first_layer_of(route: list[engines.Hop], target: str) -> int:
    """Returns the first layer that a target runs on a route, or 0."""
    for hop in route:
        if hop.target == target:
            return hop.start
    return 0
