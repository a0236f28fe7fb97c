"""Stand-in for an order application that counts the runs of each key."""

import collections
import threading

import msgspec

from briarfall import exceptions
from briarfall import httpserver
from briarfall import sockets
from briarfall.standins import base


class OrderReply(msgspec.Struct):
    """The response to an order."""

    number: int
    key: str
    target: str


class OrderLedger:
    """Counts the runs of each key over all targets of the application."""

    def __init__(self):
        self._lock = threading.Lock()
        self.runs: collections.Counter = collections.Counter()
        self.replies: dict[str, OrderReply] = {}

    def run(self, key: str, target: str) -> OrderReply:
        """Runs an order; the application does not check for duplicates."""
        with self._lock:
            self.runs[key] += 1
            reply = OrderReply(sum(self.runs.values()), key, target)
            self.replies[key] = reply
            return reply


class OrderStandin(base.HttpStandin):
    """One target of the application.

    Args:
        name: Target id.
        ledger: Ledger that all targets of the application share.

    Attributes:
        on_run: Called with the key after an order has run and before its
            response.
    """

    def __init__(self, name: str, ledger: OrderLedger, port: int = 0):
        self.name = name
        super().__init__(name, port)
        self.on_run = None
        self._ledger = ledger
        self.routes.add("POST", "/orders", self._handle_order)
        self.routes.add("GET", "/orders/{key}", self._handle_lookup)
        self.routes.add("GET", "/history/{asset}", self._handle_history)

    def _handle_order(self, req: httpserver.Request):
        self.fault_injector.before_call()
        key = req.header("Idempotency-Key")
        if not key:
            raise exceptions.BadRequestError("Idempotency-Key is missing")
        reply = self._ledger.run(key, self.name)
        if self.on_run:
            self.on_run(key)
        self._lose_response(req)
        return httpserver.json_response(reply, 201)

    def _lose_response(self, req: httpserver.Request) -> None:
        """Closes the connection if a fault withholds the response."""
        try:
            self.fault_injector.after_call()
        except exceptions.BriarfallError:
            sockets.shut(req.environ[httpserver.SOCKET_KEY])
            raise

    def _handle_lookup(self, req: httpserver.Request):
        reply = self._ledger.replies.get(req.params["key"])
        if reply is None:
            raise exceptions.NotFoundError("no such order")
        return httpserver.json_response(reply)

    def _handle_history(self, req: httpserver.Request):
        self.fault_injector.before_call()
        asset = req.params["asset"]
        return httpserver.json_response({"asset": asset, "target": self.name})
