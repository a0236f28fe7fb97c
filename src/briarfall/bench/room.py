"""Plays streams that ask for twice the room of some engines.

The gateway's own search for chains runs, on a thread for each stream as in an
instance. Engines are rows of a table: a stream that gets a chain reserves room
there for some seconds.
"""

import collections
import random
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.bench import placements
from briarfall.gateway import clocks
from briarfall.gateway import metrics
from briarfall.gateway.calls import calls
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import chainsearch
from briarfall.gateway.forwarding import roomreports
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.placement import paths
from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

_ENGINES = 24
_LAYERS = sources.LayerRange(0, 30)
_KIND = "large"
_SERVICE = views.ServiceName("pool")
# Two streams fit in a cache, so that 48 run at once.
_FILL = 0.4
_HOLD_S = (1.0, 5.0)
_STREAMS_PER_S = 30.0
_AIM_S = 1.7
# Parts of the streams by urgency.
_PARTS = {0: 0.25, 5: 0.35, 9: 0.4}


class RoomRow(msgspec.Struct):
    """What became of the streams of one urgency.

    Attributes:
        order: Whether they went by class, or all as one class.
        urgency: Their urgency.
        asked: Number of streams.
        served: Share that got a chain.
        wait_p50_s: Median time until one got a chain, in seconds.
        refused_after_p50_s: Median time until one was refused, in seconds.
    """

    order: str
    urgency: int
    asked: int
    served: float
    wait_p50_s: float
    refused_after_p50_s: float


class _Watch(targetconnection.CallerWatch):
    """A caller who doesn't leave."""

    def __init__(self):
        pass

    def pause(self, seconds):
        time.sleep(seconds)


class _Engines(targets.TargetTable):
    """Engines that hold all layers."""

    def __init__(self):
        super().__init__()
        self._engines = []
        for number in range(_ENGINES):
            entry = sources.TargetEntry(
                id=ids.TargetId(f"e{number}"),
                service=_SERVICE,
                address=f"e{number}:1",
                zone=ids.ZoneId("z1"),
                state=sources.TargetState.READY,
                kind=_KIND,
                layers=_LAYERS,
            )
            self._engines.append(targetstate.Target(entry, 0.0))

    def usable(self, service):
        return self._engines

    def of_service(self, service):
        return self._engines


class _Play:
    """One play of the load."""

    def __init__(self, *, by_class: bool, seed: int):
        self._by_class = by_class
        # Both plays draw the same intervals between arrivals.
        self._arrivals = random.Random(seed)
        rng = random.Random(seed)
        self._lock = threading.Lock()
        self._model = msgspec.structs.replace(
            placements.layout(), layers=_LAYERS.size
        )
        self._tokens = int(
            _FILL * enginecosts.kv_capacity(self._model, _KIND, _LAYERS)
        )
        self._loads = loads.LoadTable()
        self._reserve = kvreserve.KvReserve()
        self._search = chainsearch.ChainSearch(
            _Engines(),
            paths.ChainFinder(self._loads, ids.ZoneId("z1"), rng),
            linkadmission.LinkAdmission(float),
            rng,
            self._reserve,
            roomreports.RoomReports(metrics.Metrics(), self._loads),
        )
        # Seconds until a stream got a chain or was refused, by urgency.
        self._served: dict[int, list[float]] = collections.defaultdict(list)
        self._refused: dict[int, list[float]] = collections.defaultdict(list)

    def run(self, seconds: float) -> list[RoomRow]:
        """Plays the load; returns a row for each urgency."""
        threads = []
        end_s = clocks.boot_s() + seconds
        while clocks.boot_s() < end_s:
            time.sleep(self._arrivals.expovariate(_STREAMS_PER_S))
            urgency = self._arrivals.choices([*_PARTS], [*_PARTS.values()])[0]
            hold_s = self._arrivals.uniform(*_HOLD_S)
            thread = threading.Thread(target=self._ask, args=(urgency, hold_s))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        return [self._row(urgency) for urgency in _PARTS]

    def _ask(self, urgency: int, hold_s: float) -> None:
        started_s = clocks.boot_s()
        stream = self._stream(urgency if self._by_class else 5)
        try:
            chain = self._search.wait_for_chain(stream)
        except exceptions.BriarfallError:
            with self._lock:
                self._refused[urgency].append(clocks.boot_s() - started_s)
            return
        self._loads.reserve(chain.target_ids(), self._tokens)
        with self._lock:
            self._served[urgency].append(clocks.boot_s() - started_s)
        time.sleep(hold_s)
        self._loads.release(chain.target_ids(), self._tokens)

    def _stream(self, urgency: int) -> streamstate.Stream:
        now_s = clocks.boot_s()
        route = views.Route(
            "drafts",
            "shop.example",
            "/",
            views.RouteKind.STREAM,
            (),
            timeout_s=20.0,
            first_byte_slo_s=_AIM_S,
        )
        call = calls.Call(
            req=messages.CallerRequest(b"POST", b"/x", [], b"", now_s),
            conn=None,
            watch=_Watch(),
            request_id="r",
            route=route,
            service=views.Service(_SERVICE, model=self._model),
            account=None,
            urgency=urgency,
            deadline_s=now_s + route.timeout_s,
        )
        cls = classes.DemandClass(urgency, classes.Band.USUAL)
        self._reserve.record(cls, self._tokens)
        demand = chains.Demand(self._tokens - 200, 200)
        return streamstate.Stream(call, demand, demand_class=cls)

    def _row(self, urgency: int) -> RoomRow:
        served = self._served[urgency]
        refused = self._refused[urgency]
        asked = len(served) + len(refused)
        return RoomRow(
            "by class" if self._by_class else "as one class",
            urgency,
            asked,
            round(len(served) / max(1, asked), 3),
            _median(served),
            _median(refused),
        )


def _median(values: list[float]) -> float:
    return round(sorted(values)[len(values) // 2], 2) if values else 0.0


def run(seconds: float, seed: int) -> list[RoomRow]:
    """Returns rows with all streams as one class, and by class."""
    rows = []
    for by_class in (False, True):
        rows.extend(_Play(by_class=by_class, seed=seed).run(seconds))
    return rows
