"""Sends streams to engines; holds the state that all streams share."""

import collections
import concurrent.futures

from absl import logging

from briarfall import exceptions
from briarfall.adapters import engine as engines
from briarfall.limits import retries
from briarfall.pipelines import models
from briarfall.pipelines import planning
from briarfall.pipelines import poison as poisons
from briarfall.pipelines import policies
from briarfall.pipelines import promptwords
from briarfall.pipelines import runs
from briarfall.pipelines import streams
from briarfall.pipelines import targets as target_tables
from briarfall.pipelines import trialreservations

_CANCEL_THREADS = 4
_MAX_RECOVERIES = 10_000


class Relay:
    """Sends streams to engines and reroutes them after failures.

    Args:
        planner: Chooses routes.
        table: States of the targets.
        watchdog: Ends attempts that stalled or must not continue.
        guard: Detects and refuses poison requests.
        trials: Reserves targets for the trials of suspects.
        connect: Returns the adapter of an engine by URL.
        links: Returns the link cost between two zones.

    Attributes:
        recoveries: Timing of the latest recoveries.
        attempt_ends: Number of attempts that ended early, by cause.
        tokens: Number of accepted tokens.
        dropped_tokens: Number of tokens that were not accepted.
        budget: Retry budget over all streams of this instance.
    """

    def __init__(
        self,
        planner: planning.Planner,
        table: target_tables.TargetTable,
        watchdog: streams.Watchdog,
        guard: poisons.PoisonGuard,
        trials: trialreservations.TrialReservations,
        connect,
        links=None,
    ):
        self.planner = planner
        self.table = table
        self.watchdog = watchdog
        self.guard = guard
        self.trials = trials
        self.connect = connect
        self.links = links or (lambda src, dst: policies.LinkCost())
        self._canceller = concurrent.futures.ThreadPoolExecutor(
            _CANCEL_THREADS, thread_name_prefix="cancel"
        )
        self.recoveries: collections.deque[models.RecoveryTiming] = (
            collections.deque(maxlen=_MAX_RECOVERIES)
        )
        self.attempt_ends: collections.Counter = collections.Counter()
        self.tokens = 0
        self.dropped_tokens = 0
        self.budget = retries.RetryBudget()

    def run(self, req: models.StreamRequest) -> runs.StreamRun:
        """Returns the run of a stream, which yields lists of accepted tokens.

        Raises:
            PoisonError: The request or a part of its prompt crashes targets.
        """
        parts = []
        if not self.guard.parts.is_empty:
            parts = promptwords.shared_parts(req)
        self.guard.check(req.fingerprint, parts)
        self.budget.record_first_attempt()
        return runs.StreamRun(self, req)

    def close(self) -> None:
        """Cancels pending background calls."""
        self._canceller.shutdown(wait=False, cancel_futures=True)

    def cancel(
        self, route: list[engines.Hop], stream: str, attempt: int
    ) -> None:
        """Cancels an attempt at the head of its route, in the background."""
        url = route[0].url
        try:
            self._canceller.submit(self._cancel, url, stream, attempt)
        except RuntimeError:
            return

    def _cancel(self, url: str, stream: str, attempt: int) -> None:
        try:
            self.connect(url).cancel(stream, attempt)
        except exceptions.TargetError as exc:
            logging.debug("cancel of stream %s failed: %s", stream, exc)
