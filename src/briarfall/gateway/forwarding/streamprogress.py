"""Progress of streams on each engine, and which engines of a chain are dead."""

import collections.abc
import threading

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.placement import chains
from briarfall.gateway.targets import liveness

# An engine that accepted a connection within this time is not probed again:
# if many streams are slow at once, probes would only add load to the engines.
_CONNECT_VALID_S = 0.3
# Number of engines to connect to, so that their results distinguish a fault of
# one engine from a fault of this instance.
_MIN_PROBED_ADDRESSES = 3
# Time that an event needs to pass through its chain: it only proves that its
# engines worked up to about this long before it arrived.
_EVENT_TRANSIT_S = 0.03


class ProgressTable:
    """When any stream of this instance last saw progress of each engine.

    Args:
        dialer: Opens the connections of liveness checks.
        on_unanswered: Called with the engines of a chain of which none
            accepted a connection; this may be due to this instance's links.
    """

    def __init__(
        self,
        dialer: dialing.Dialer = dialing.SYSTEM_DIALER,
        on_unanswered: collections.abc.Callable[
            [list[ids.TargetId]], None
        ] = lambda targets: None,
    ):
        self._dialer = dialer
        self._on_unanswered = on_unanswered
        self._lock = threading.Lock()
        self._last_progress_s: dict[ids.TargetId, float] = {}
        # When each engine last accepted a connection.
        self._last_connected_s: dict[ids.TargetId, float] = {}

    def record(self, chain: chains.Chain, now_s: float) -> None:
        """Records an event that all engines of a chain contributed to."""
        with self._lock:
            for stage in chain.stages:
                self._last_progress_s[stage.target] = now_s

    def without_progress_since(
        self, chain: chains.Chain, event_s: float
    ) -> list[chains.Stage]:
        """Returns the engines without progress in any stream since an event."""
        connected_since_s = clocks.boot_s() - _CONNECT_VALID_S
        with self._lock:
            stalled = []
            for stage in chain.stages:
                if (
                    self._last_connected_s.get(stage.target, 0.0)
                    > connected_since_s
                ):
                    continue
                progress_s = self._last_progress_s.get(stage.target, 0.0)
                if progress_s < event_s + _EVENT_TRANSIT_S:
                    stalled.append(stage)
            return stalled

    def find_dead(
        self, chain: chains.Chain, suspects: list[chains.Stage]
    ) -> dict[chains.Stage, liveness.Reachability]:
        """Returns suspects that accept no connection though others do.

        Suspects that accept are not suspected again for a while, so that
        streams that stall together do not all connect to them.

        Args:
            chain: The chain; if there are few suspects, its other engines are
                probed too, to show whether the fault is at this instance.
            suspects: The engines to check.
        """
        addresses = {stage.address for stage in suspects}
        for stage in chain.stages:
            if len(addresses) >= _MIN_PROBED_ADDRESSES:
                break
            addresses.add(stage.address)
        results = liveness.probe_all(addresses, self._dialer)
        now_s = clocks.boot_s()
        dead = {}
        with self._lock:
            for stage in suspects:
                reachability = results[stage.address]
                if reachability is liveness.Reachability.OPEN:
                    self._last_connected_s[stage.target] = now_s
                elif reachability is not liveness.Reachability.UNKNOWN:
                    dead[stage] = reachability
        if liveness.Reachability.OPEN not in results.values():
            self._on_unanswered([stage.target for stage in chain.stages])
        return dead
