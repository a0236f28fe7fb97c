"""Stand-in for the platform's instance list, with a read lag."""

import threading
import time

from briarfall import httpserver
from briarfall.adapters import instancelist
from briarfall.standins import base


class InstanceListStandin(base.HttpStandin):
    """An instance list that readers see with a delay.

    Args:
        lag_s: Age of the list that readers see, in seconds.
    """

    def __init__(self, lag_s: float = 0.0, port: int = 0):
        super().__init__("instances", port)
        self.lag_s = lag_s
        self._lock = threading.Lock()
        self._versions: list[tuple[float, dict]] = [(0.0, {})]
        self.routes.add("GET", "/instances", self._handle_fetch)

    def put(self, listed: instancelist.ListedInstance) -> None:
        """Adds or replaces an instance."""
        self._change(lambda lines: lines.__setitem__(listed.id, listed))

    def remove(self, name: str) -> None:
        """Removes an instance."""
        self._change(lambda lines: lines.pop(name, None))

    def _change(self, change) -> None:
        with self._lock:
            lines = dict(self._versions[-1][1])
            change(lines)
            self._versions.append((time.monotonic(), lines))

    def _handle_fetch(self, req: httpserver.Request):
        self.fault_injector.before_call()
        limit = time.monotonic() - self.lag_s
        with self._lock:
            seen = [
                lines for made_s, lines in self._versions if made_s <= limit
            ]
        lines = seen[-1] if seen else {}
        return httpserver.json_response(list(lines.values()))
