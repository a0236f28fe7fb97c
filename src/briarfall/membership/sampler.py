"""Polls targets for load reports; only a few instances poll each target."""

import concurrent.futures
import threading
import time

from briarfall import exceptions
from briarfall.catalogue import entries
from briarfall.membership import rendezvous

_INTERVAL_S = 1.0
_SAMPLERS_PER_TARGET = 2
_TIMEOUT_S = 0.5
_MAX_PER_ROUND = 32
_THREADS = 8


class Sampler:
    """Polls the targets that are assigned to this instance.

    Args:
        instance: Name of this instance.
        live: Returns the live instances.
        view: Returns the current catalogue.
        connect: Returns the engine adapter for a URL.
        table: States of targets.
        gossip: Sends the reports to other instances.
    """

    def __init__(self, instance, live, view, connect, table, gossip):
        self._instance = instance
        self._live = live
        self._view = view
        self._connect = connect
        self._table = table
        self._gossip = gossip
        self._stopping = threading.Event()
        self._next_index = 0
        self._assignment_key: tuple = ()
        self._assigned: list[entries.EngineTarget] = []
        self._failed_polls: dict[str, int] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="sample"
        )

    def start(self) -> None:
        """Starts the polling thread."""
        threading.Thread(target=self._run, name="sampler", daemon=True).start()

    def stop(self) -> None:
        """Stops polling."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def assigned(self) -> list[entries.EngineTarget]:
        """Returns the targets that this instance polls.

        Rendezvous hashing assigns each target to a few instances.
        """
        live = self._live()
        view = self._view()
        # Ranking all pairs of targets and instances is expensive, and the
        # result changes only with the membership or the catalogue.
        key = (view.offset, tuple(live))
        if key == self._assignment_key:
            return self._assigned
        mine = []
        for model in view.of_kind(entries.Model).values():
            for target in model.targets:
                chosen = rendezvous.choose_many(
                    target.id, live, _SAMPLERS_PER_TARGET
                )
                if self._instance in chosen:
                    mine.append(target)
        self._assignment_key = key
        self._assigned = mine
        return mine

    def _run(self) -> None:
        while not self._stopping.is_set():
            started = time.monotonic()
            mine = self.assigned()
            futs = []
            for target in self._select_round(mine):
                try:
                    futs.append(self._pool.submit(self._poll, target))
                except RuntimeError:
                    return
            concurrent.futures.wait(futs, _INTERVAL_S)
            spent_s = time.monotonic() - started
            self._stopping.wait(max(0.0, _INTERVAL_S - spent_s))

    def _select_round(self, mine: list) -> list:
        """Returns the targets to poll in this round, in rotation."""
        if len(mine) <= _MAX_PER_ROUND:
            return mine
        first = self._next_index % len(mine)
        self._next_index += _MAX_PER_ROUND
        return (mine + mine)[first : first + _MAX_PER_ROUND]

    def _poll(self, target: entries.EngineTarget) -> None:
        try:
            report = self._connect(target.url).load(_TIMEOUT_S)
        except exceptions.LocalLimitError:
            return
        except exceptions.TargetUnreachableError:
            self._table.record_failure(target.id, is_silent=True)
            return
        except exceptions.TargetError:
            # A single failure may be caused by a delay of this instance, so
            # failures are recorded from the second one in succession.
            self._failed_polls[target.id] = (
                self._failed_polls.get(target.id, 0) + 1
            )
            if self._failed_polls[target.id] >= 2:
                self._table.record_failure(target.id, is_silent=True)
            return
        self._failed_polls.pop(target.id, None)
        self._table.apply_load_report(target.id, report)
        self._gossip.publish_load(target.id, report)
