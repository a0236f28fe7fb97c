"""Keeps the last part of KV caches for more urgent requests.

Room in a KV cache is reserved for seconds, and nothing that runs is cut for a
more urgent request. A more urgent request therefore finds room at once only if
less urgent ones leave some.
"""

import collections.abc
import threading

import msgspec

from briarfall.gateway import clocks
from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import demands

# Share of the KV cache that new requests may fill. The rest is kept for
# answers that become longer than expected.
MAX_FILL = 0.92
# Share of the KV cache that is kept from the least urgent requests at most.
_MAX_RESERVE = 0.2
# Factor on what is kept from requests of each size band.
_BAND_FACTORS = {
    classes.Band.SMALL: 0.75,
    classes.Band.USUAL: 1.0,
    classes.Band.LARGE: 1.25,
    classes.Band.EXCESS: 1.5,
}
# After this many requests of a class that the reserve held back in a row, or
# this time since the first of them, the next one may use the reserve.
_MAX_HELD = 4
_MAX_HELD_S = 5.0
# Window of this instance's demand. An instance gets a few requests a second.
_WINDOW_S = 2.0


class _Deficit(msgspec.Struct):
    held: int = 0
    since_s: float = 0.0


class KvReserve:
    """Decides up to which fill of a KV cache a request may reserve room.

    Args:
        others: Returns the demand of all other instances for KV caches by
            class, in tokens per second.
        clock: Returns the time in seconds; the boot clock by default.
    """

    def __init__(
        self,
        others: collections.abc.Callable[[], demands.Amounts] = dict,
        clock: collections.abc.Callable[[], float] | None = None,
    ):
        self._others = others
        self._clock = clock or (lambda: clocks.boot_s())
        self._window = demands.DemandWindow(_WINDOW_S, self._clock)
        self._lock = threading.Lock()
        self._deficits: dict[classes.DemandClass, _Deficit] = {}

    @property
    def own_demand(self) -> demands.Amounts:
        """Demand of this instance by class, in tokens per second."""
        return self._window.rates()

    def record(self, cls: classes.DemandClass, tokens: float) -> None:
        """Adds a new request to the demand."""
        self._window.add(cls, tokens)

    def max_fill(
        self, cls: classes.DemandClass, *, has_started: bool = False
    ) -> float:
        """Returns up to which fill a request may reserve room now.

        Args:
            cls: Its class.
            has_started: Whether its caller already reads the answer. Nothing
                is kept from such a stream, since to cut it costs most.
        """
        if has_started:
            return MAX_FILL
        reserve = self._reserve(cls)
        if not reserve or self._is_due(cls):
            return MAX_FILL
        return MAX_FILL - reserve

    def record_held(self, cls: classes.DemandClass) -> None:
        """Records that the reserve held a request of a class back."""
        with self._lock:
            deficit = self._deficits.setdefault(cls, _Deficit())
            if not deficit.held:
                deficit.since_s = self._clock()
            deficit.held += 1

    def record_admitted(self, cls: classes.DemandClass) -> None:
        """Records that a request of a class has got room."""
        with self._lock:
            self._deficits.pop(cls, None)

    def _reserve(self, cls: classes.DemandClass) -> float:
        """Returns the share of a KV cache that is kept from a class.

        It grows with the part of the demand that is more urgent. With one
        urgency in demand, nothing is kept.
        """
        total = 0.0
        more_urgent = 0.0
        for found in (self._window.rates(), self._others()):
            for other, amount in found.items():
                total += amount
                if other.urgency < cls.urgency:
                    more_urgent += amount
        if not more_urgent:
            return 0.0
        reserve = _MAX_RESERVE * more_urgent / total
        return min(_MAX_RESERVE, reserve * _BAND_FACTORS[cls.band])

    def _is_due(self, cls: classes.DemandClass) -> bool:
        with self._lock:
            deficit = self._deficits.get(cls)
            if deficit is None:
                return False
            if deficit.held >= _MAX_HELD:
                return True
            return self._clock() - deficit.since_s >= _MAX_HELD_S
