"""The platform's choice of instances for new connections of callers."""

import http.client
import random
import threading

from briarfall.standins.prepared.faultsoak import processes

_INTERVAL_S = 1.0
_MAX_MISSES = 1


class Rotation:
    """Asks instances whether they are ready; chooses among those that are.

    Args:
        rows: The instances.
    """

    def __init__(self, rows: list[processes.GatewayProcess]):
        self._rows = rows
        self._misses = dict.fromkeys((row.name for row in rows), 0)
        self._stopped = threading.Event()

    def start(self) -> None:
        """Starts asking each instance, on a thread of its own."""
        for row in self._rows:
            threading.Thread(
                target=self._watch, args=(row,), daemon=True
            ).start()

    def stop(self) -> None:
        """Stops asking."""
        self._stopped.set()

    def pick(self, zone: str, rng: random.Random) -> processes.GatewayProcess:
        """Returns an instance for a new connection of a caller in a zone."""
        own = [row for row in self._rows if row.zone == zone]
        ready = [row for row in own if self._is_in(row)]
        if not ready:
            others = [row for row in self._rows if self._is_in(row)]
            return rng.choice(others or self._rows)
        if 2 * len(ready) < len(own):
            return rng.choice(own)
        return rng.choice(ready)

    def _is_in(self, row: processes.GatewayProcess) -> bool:
        return self._misses[row.name] <= _MAX_MISSES

    def _watch(self, row: processes.GatewayProcess) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            if is_ready(row):
                self._misses[row.name] = 0
                continue
            self._misses[row.name] += 1


def is_ready(row: processes.GatewayProcess) -> bool:
    """Whether an instance says that it is ready."""
    host, port = row.ready
    conn = http.client.HTTPConnection(host, port, timeout=_INTERVAL_S)
    try:
        conn.request("GET", "/v1/ready")
        return conn.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        conn.close()
