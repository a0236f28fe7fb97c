"""Serves readiness checks and scrapes of the metrics."""

import collections.abc
import socket

from absl import logging

from briarfall.gateway import metrics
from briarfall.gateway.callers import errorguard
from briarfall.gateway.calls import callers
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection

METRICS_PATH = "/metrics"


class StatusHandler:
    """Handles the connections of load balancers and of monitoring.

    Args:
        ready_path: Path of the load balancer's readiness check.
        is_ready: Returns whether the load balancer may send callers.
        guard: Ends requests with unexpected errors.
        counters: Metrics of the instance.
    """

    def __init__(
        self,
        ready_path: str,
        is_ready: collections.abc.Callable[[], bool],
        guard: errorguard.ErrorGuard,
        counters: metrics.Metrics,
    ):
        self._ready_path = ready_path
        self._is_ready = is_ready
        self._guard = guard
        self._metrics = counters

    def serve(self, sock: socket.socket) -> None:
        """Serves requests on a connection until it is closed."""
        conn = callers.CallerConnection(sock, views.CallerLimits())
        linger = False
        try:
            while conn.wait_readable(conn.limits.idle_timeout_s):
                req = conn.read_request()
                if req is None:
                    return
                conn.answer(*self._answer_for(req.path))
                if not conn.start_next():
                    return
        except (
            callers.MessageRefusedError,
            targetconnection.CallerGoneError,
        ) as exc:
            logging.info("status connection ended: %s", exc)
        except Exception as exc:
            linger = True
            self._guard.end_request(conn, exc)
        finally:
            conn.close(linger=linger)

    def _answer_for(self, path: str) -> tuple[int, messages.Headers, bytes]:
        """Returns status, headers and body of a response."""
        if path == METRICS_PATH:
            headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
            return 200, headers, self._metrics.expose()
        if path != self._ready_path:
            return 404, [], b"no such path\n"
        if self._is_ready():
            return 200, [], b"ready\n"
        return 503, [], b"not ready\n"
