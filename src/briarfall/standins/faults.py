"""Fault controls that every stand-in shares."""

import random
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import httpserver


class Faults(msgspec.Struct):
    """Faults of a stand-in that apply to each of its calls.

    Attributes:
        down: Refuse every call.
        slow_s: Delay before a call takes effect, in seconds.
        lose_answers: Number of coming answers to withhold after the call
            has taken effect.
        lose_share: Share of answers to withhold, from 0 to 1.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_share: float = 0.0


class FaultGate:
    """Applies faults around the calls of a stand-in."""

    def __init__(self, seed: int = 0):
        self.faults = Faults()
        self._rng = random.Random(seed)
        self._lock = threading.Lock()

    def set(self, **changes) -> None:
        """Changes the named faults."""
        self.faults = msgspec.structs.replace(self.faults, **changes)

    def before(self) -> None:
        """Delays or refuses a call."""
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        if self.faults.down:
            raise exceptions.NotReadyError("stand-in is down")

    def after(self) -> None:
        """Withholds the answer of a call that has taken effect."""
        with self._lock:
            lose = self._rng.random() < self.faults.lose_share
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                lose = True
        if lose:
            raise exceptions.BriarfallError(
                "answer lost", outcome=exceptions.Outcome.UNKNOWN
            )

    def control(self, req: httpserver.Request) -> httpserver.Response:
        """Handles `PUT /control/faults`."""
        try:
            self.faults = msgspec.json.decode(req.body, type=Faults)
        except msgspec.DecodeError as exc:
            raise exceptions.BadRequestError(str(exc)) from exc
        return httpserver.json_response(self.faults)
