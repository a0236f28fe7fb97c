"""Calls to the store that all instances make after a restore."""

import collections.abc
import random
import threading

from absl import logging

from briarfall import exceptions
from briarfall.gateway import workers

# Time over which the instances spread their calls. 330 instances make 66 of
# them a second.
_SPREAD_S = 5.0
# Instances that may retry at once; it bounds the backoff.
_RETRYING_INSTANCES = 100


class DeferredCall:
    """Makes a call some time after it is requested, and retries it.

    It has a thread only while the call is due.

    Args:
        call: Makes the call.
        rng: Source of the pause before a call.
    """

    def __init__(
        self,
        call: collections.abc.Callable[[], None],
        rng: random.Random | None = None,
    ):
        self._call = call
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._is_wanted = False
        self._is_running = False
        self._pause = threading.Event()

    def request(self) -> None:
        """Requests the call; returns at once."""
        with self._lock:
            self._is_wanted = True
            if self._is_running:
                return
            self._is_running = True
        threading.Thread(target=self._run, name="deferred", daemon=True).start()

    def _run(self) -> None:
        while self._take_request():
            self._pause.wait(self._rng.uniform(0.0, _SPREAD_S))
            self._call_until_done()

    def _take_request(self) -> bool:
        with self._lock:
            self._is_running = self._is_wanted
            self._is_wanted = False
            return self._is_running

    def _call_until_done(self) -> None:
        failures = 0
        while True:
            try:
                self._call()
                return
            except exceptions.BriarfallError as exc:
                failures += 1
                logging.warning(
                    "call after the store's restore failed, retrying: %s",
                    exc,
                )
            except Exception:
                logging.exception(
                    "call after the store's restore failed, given up"
                )
                return
            self._pause.wait(workers.backoff_s(failures, _RETRYING_INSTANCES))
