"""Fault injection that all stand-ins share."""

import random
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import httpserver


class Faults(msgspec.Struct):
    """Faults that a stand-in injects into its calls.

    Attributes:
        down: Whether every call is refused.
        slow_s: Delay before a call takes effect, in seconds.
        lose_answers: Number of next calls whose response is withheld after
            the call has taken effect.
        lose_share: Share of responses that are withheld, from 0 to 1.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_share: float = 0.0


class FaultInjector:
    """Injects faults before and after the calls of a stand-in."""

    def __init__(self, seed: int = 0):
        self.faults = Faults()
        self._rng = random.Random(seed)
        self._lock = threading.Lock()

    def set(self, **changes) -> None:
        """Sets the given faults and keeps the others."""
        self.faults = msgspec.structs.replace(self.faults, **changes)

    def before_call(self) -> None:
        """Delays or refuses a call before it takes effect."""
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        if self.faults.down:
            raise exceptions.NotReadyError("stand-in is down")

    def after_call(self) -> None:
        """Withholds the response of a call that has taken effect."""
        with self._lock:
            is_lost = self._rng.random() < self.faults.lose_share
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                is_lost = True
        if is_lost:
            raise exceptions.BriarfallError(
                "answer lost", outcome=exceptions.Outcome.UNKNOWN
            )

    def handle_control(self, req: httpserver.Request) -> httpserver.Response:
        """Handles `PUT /control/faults`."""
        try:
            self.faults = msgspec.json.decode(req.body, type=Faults)
        except msgspec.DecodeError as exc:
            raise exceptions.BadRequestError(str(exc)) from exc
        return httpserver.json_response(self.faults)
