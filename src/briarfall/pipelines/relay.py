"""Sends streams to engines."""

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
from briarfall.pipelines import runs
from briarfall.pipelines import streams
from briarfall.pipelines import targets as target_tables
from briarfall.pipelines import trials as trial_directories

_CANCEL_THREADS = 4
_RECOVERIES_KEPT = 10_000


class Relay:
    """Sends streams to engines and recovers them.

    Args:
        planner: Chooses routes.
        table: States of the targets.
        watchdog: Ends attempts that have stalled.
        guard: Knows requests that crash targets.
        trials: Keeps suspects apart.
        connect: Returns the adapter of an engine by URL.
        links: Returns the link cost between two zones.
    """

    def __init__(
        self,
        planner: planning.Planner,
        table: target_tables.TargetTable,
        watchdog: streams.Watchdog,
        guard: poisons.PoisonGuard,
        trials: trial_directories.TrialDirectory,
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
        self.recoveries: collections.deque[models.Recovered] = (
            collections.deque(maxlen=_RECOVERIES_KEPT)
        )
        self.causes: collections.Counter = collections.Counter()
        self.tokens = 0
        self.dropped = 0
        self.budget = retries.RetryBudget()

    def run(self, req: models.StreamRequest) -> runs.Run:
        """Returns an iterator over lists of accepted tokens.

        Raises:
            PoisonError: The request has crashed two targets.
        """
        self.guard.check(req.fingerprint)
        self.budget.note_first()
        return runs.Run(self, req)

    def close(self) -> None:
        """Stops background work."""
        self._canceller.shutdown(wait=False, cancel_futures=True)

    def cancel(
        self, route: list[engines.Hop], stream: str, attempt: int
    ) -> None:
        """Tells the head of a route to stop, in the background."""
        url = route[0].url
        try:
            self._canceller.submit(self._cancel, url, stream, attempt)
        except RuntimeError:
            return

    def _cancel(self, url: str, stream: str, attempt: int) -> None:
        try:
            self.connect(url).cancel(stream, attempt)
        except exceptions.TargetError as exc:
            logging.debug("cancel of %s: %s", stream, exc)
