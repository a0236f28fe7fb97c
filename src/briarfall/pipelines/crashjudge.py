"""Decides whether the death of a target counts against a stream's request.

Targets die for reasons of their own too, several at a time, and a stream may
meet a target that has been dead for some time. Outside a trial the request is
therefore only suspected; a death counts further only in a trial, whose targets
are known to be alive when it starts.
"""

import collections.abc

from briarfall import exceptions
from briarfall.adapters import engine as engines
from briarfall.pipelines import models
from briarfall.pipelines import poison as poisons
from briarfall.pipelines import suspecttrial


class CrashJudge:
    """Judges the deaths of targets under one stream.

    Args:
        relay: The relay that the stream belongs to.
        req: The request.
        trial: The trials of the request.

    Attributes:
        crash_layer: First layer of the target that died last.
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
        self.crash_layer = 0

    def start_attempt(
        self, names: collections.abc.Iterable[str], index: int
    ) -> None:
        """Records the start of an attempt.

        Args:
            names: Targets of its route.
            index: Number of tokens accepted so far.
        """
        self._start_index = index
        table = self._relay.table
        self._down_before = {name for name in names if table.is_ejected(name)}

    def record_unreachable(self, target: str) -> None:
        """Records that a target was down before it got the request."""
        self._down_before.add(target)

    def is_suspect(self) -> bool:
        """Returns whether the next attempt has to be a trial.

        Raises:
            PoisonError: The request was found to be poison, here or by a peer.
        """
        status = self._relay.guard.status(self._req.fingerprint)
        self._refuse_poison(status)
        return status is poisons.FingerprintStatus.SUSPECT

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
        if index - self._start_index >= suspecttrial.TOKENS_PAST_CRASH:
            return
        guard, fingerprint = self._relay.guard, self._req.fingerprint
        self.crash_layer = _first_layer_of(route, target)
        if not self._trial.is_open:
            self._refuse_poison(guard.suspect(fingerprint))
            return
        if self._trial.is_reserved(target):
            self._refuse_poison(guard.record_crash(fingerprint))

    def _refuse_poison(self, status: poisons.FingerprintStatus) -> None:
        if status is poisons.FingerprintStatus.POISON:
            raise exceptions.PoisonError(
                "targets died twice while they ran this request",
                outcome=exceptions.Outcome.RAN,
            )


def _first_layer_of(route: list[engines.Hop], target: str) -> int:
    """Returns the first layer that a target runs on a route, or 0."""
    for hop in route:
        if hop.target == target:
            return hop.start
    return 0
