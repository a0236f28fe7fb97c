"""Serves `/services/{entry}/{path}`: calls of plain services."""

import time

from absl import logging

from briarfall import exceptions
from briarfall import httpserver
from briarfall import ids
from briarfall.adapters import service as services
from briarfall.catalogue import entries
from briarfall.daemon import accounts
from briarfall.daemon import completions
from briarfall.orders import dispatch

_FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")
_RETURNED_HEADERS = ("Content-Type", "Location", "Briarfall-Replayed")


class ServiceHandler:
    """Serves calls of plain services.

    Args:
        instance: The instance, whose components the calls use.
    """

    def __init__(self, instance):
        self._view = instance.view
        self._dispatcher: dispatch.Dispatcher = instance.dispatcher
        self._limiter = instance.limiter
        self._metrics = instance.metrics
        self._in_flight_requests = instance.in_flight_requests

    def handle(self, req: httpserver.Request) -> httpserver.Response:
        """Forwards one call to a target and returns the target's response."""
        view = self._view()
        client, _ = accounts.authenticate_client(req, view)
        name = ids.EntryName(req.params["entry"])
        service = view.get(name, entries.Service)
        order = dispatch.OrderRequest(
            client,
            name,
            service,
            _make_call(req),
            req.header("Idempotency-Key"),
            time.monotonic() + completions.deadline_s(req),
        )
        code = "internal"
        started_s = time.monotonic()
        self._in_flight_requests.enter()
        try:
            self._limiter.enter(client)
            try:
                reply = self._dispatcher.send(order)
            finally:
                self._limiter.leave(client, 0)
            code = "ok"
        except exceptions.BriarfallError as exc:
            code = exc.code
            raise
        finally:
            self._in_flight_requests.leave()
            self._metrics.requests.labels(client, name, code).inc()
            logging.info(
                "call client=%s entry=%s key=%s code=%s seconds=%.3f",
                client,
                name,
                order.key,
                code,
                time.monotonic() - started_s,
            )
        headers = [
            (key, reply.headers[key])
            for key in _RETURNED_HEADERS
            if key in reply.headers
        ]
        headers.append(("Briarfall-Outcome", exceptions.Outcome.RAN.value))
        return httpserver.Response(reply.status, reply.body, headers)


def _make_call(req: httpserver.Request) -> services.ServiceCall:
    path = "/" + req.params["path"]
    query = req.environ.get("QUERY_STRING", "")
    headers = {}
    for name in _FORWARDED_HEADERS:
        value = req.environ.get("CONTENT_TYPE", "")
        if name != "Content-Type":
            value = req.header(name)
        if value:
            headers[name] = value
    key = req.header("Idempotency-Key")
    if key:
        headers["Idempotency-Key"] = key
    if query:
        path = f"{path}?{query}"
    return services.ServiceCall(req.method, path, req.body, headers)
