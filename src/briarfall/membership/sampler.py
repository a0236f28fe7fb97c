"""Fetches load reports of targets, each by a few instances only."""

import concurrent.futures
import threading
import time

from briarfall import exceptions
from briarfall.catalogue import entries
from briarfall.membership import rendezvous

_INTERVAL_S = 1.0
_SAMPLERS = 2
_TIMEOUT_S = 0.5
_MAX_PER_ROUND = 32
_THREADS = 8


class Sampler:
    """Polls the targets that fall to this instance.

    Args:
        instance: Name of this instance.
        live: Returns the live instances.
        view: Returns the current catalogue.
        connect: Returns the adapter of an engine by URL.
        table: States of targets.
        gossip: Spreads the reports.
    """

    def __init__(self, instance, live, view, connect, table, gossip):
        self._instance = instance
        self._live = live
        self._view = view
        self._connect = connect
        self._table = table
        self._gossip = gossip
        self._stopping = threading.Event()
        self._turn = 0
        self._assigned_for: tuple = ()
        self._assigned: list[entries.EngineTarget] = []
        self._silent: dict[str, int] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="sample"
        )

    def start(self) -> None:
        """Starts polling on a thread of its own."""
        threading.Thread(target=self._run, name="sampler", daemon=True).start()

    def stop(self) -> None:
        """Stops polling."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def assigned(self) -> list[entries.EngineTarget]:
        """Returns the targets that this instance polls."""
        live = self._live()
        view = self._view()
        # Ranking all pairs of targets and instances is dear, and changes
        # only with the membership or the catalogue.
        key = (view.offset, tuple(live))
        if key == self._assigned_for:
            return self._assigned
        mine = []
        for model in view.of_kind(entries.Model).values():
            for target in model.targets:
                chosen = rendezvous.choose_many(target.id, live, _SAMPLERS)
                if self._instance in chosen:
                    mine.append(target)
        self._assigned_for = key
        self._assigned = mine
        return mine

    def _run(self) -> None:
        while not self._stopping.is_set():
            started = time.monotonic()
            mine = self.assigned()
            futs = []
            for target in self._next(mine):
                try:
                    futs.append(self._pool.submit(self._sample, target))
                except RuntimeError:
                    return
            concurrent.futures.wait(futs, _INTERVAL_S)
            spent_s = time.monotonic() - started
            self._stopping.wait(max(0.0, _INTERVAL_S - spent_s))

    def _next(self, mine: list) -> list:
        """Returns the targets of this round, so that each has its turn."""
        if len(mine) <= _MAX_PER_ROUND:
            return mine
        begin = self._turn % len(mine)
        self._turn += _MAX_PER_ROUND
        return (mine + mine)[begin : begin + _MAX_PER_ROUND]

    def _sample(self, target: entries.EngineTarget) -> None:
        try:
            report = self._connect(target.url).load(_TIMEOUT_S)
        except exceptions.LocalLimitError:
            return
        except exceptions.TargetUnreachableError:
            self._table.note_failure(target.id, is_silent=True)
            return
        except exceptions.TargetError:
            # One slow answer may be this instance's own delay.
            self._silent[target.id] = self._silent.get(target.id, 0) + 1
            if self._silent[target.id] >= 2:
                self._table.note_failure(target.id, is_silent=True)
            return
        self._silent.pop(target.id, None)
        self._table.note_report(target.id, report)
        self._gossip.note_load(target.id, report)
