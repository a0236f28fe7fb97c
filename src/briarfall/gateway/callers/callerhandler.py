"""Serves callers: routes each request and sends a response for each outcome."""

import collections.abc
import random
import socket
import threading

from absl import logging

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import metrics
from briarfall.gateway.callers import errorguard
from briarfall.gateway.callers import listener
from briarfall.gateway.callers import peerconnections
from briarfall.gateway.callers import plannedstop
from briarfall.gateway.calls import bodybudget
from briarfall.gateway.calls import budgets
from briarfall.gateway.calls import callers
from briarfall.gateway.calls import calls
from briarfall.gateway.calls import promptparts
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.catalogue import views
from briarfall.gateway.crashes import crashes
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import plain
from briarfall.gateway.forwarding import streams
from briarfall.gateway.scheduling import returns
from briarfall.gateway.targets import targets

# Retry-After, in seconds, of refusals because the catalogue is missing or too
# old, and of refusals that set none.
_STALE_RETRY_S = 0.5
# Time after the start for which requests wait for the first data. An instance
# usually has the catalogue and the targets within some milliseconds.
_START_WAIT_S = 0.5
# Retry-After of a stopping instance: another one accepts the request at once.
_STOPPING_RETRY_S = 0.05
_IDLE_POLL_S = 0.5
# Lowest HTTP status that counts as a failure of the target.
_FIRST_FAILURE_STATUS = 500
# Share of the successful requests that are logged.
_SUCCESS_SAMPLE = 0.1


_Crowded = collections.abc.Callable[[], bool]


def _never() -> bool:
    return False


class CallerHandler:
    """Handles the connections of callers and of peers.

    Attributes:
        caller_bodies: Bodies of callers' requests.
        peer_bodies: Bodies of requests that peers relay.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        follower: catalogue.CatalogueFollower,
        table: targets.TargetTable,
        plain_forwarder: plain.PlainForwarder,
        stream_forwarder: streams.StreamForwarder,
        poison_known: threading.Event,
        budget: budgets.RetryBudget,
        stop: plannedstop.PlannedStop,
        counters: metrics.Metrics,
        guard: errorguard.ErrorGuard,
        body_budget: bodybudget.BodyBudget,
        rng: random.Random,
    ):
        self._names = header_names
        self._follower = follower
        self._start_events = (
            follower.has_view,
            table.has_entries,
            poison_known,
        )
        self._created_s = clocks.boot_s()
        self._plain = plain_forwarder
        self._streams = stream_forwarder
        self._budget = budget
        self._stop = stop
        self._metrics = counters
        self._guard = guard
        self.caller_bodies = bodybudget.BodyGroup(body_budget)
        self.peer_bodies = bodybudget.BodyGroup(body_budget)
        self._are_callers_crowded: _Crowded = _never
        self._are_peers_crowded: _Crowded = _never
        self._rng = rng

    def watch_crowds(self, of_callers: _Crowded, of_peers: _Crowded) -> None:
        """Sets what tells when connections are short.

        Connections then close after their response, so that idle ones don't
        keep new ones from being accepted.

        Args:
            of_callers: Whether hardly any more callers may connect.
            of_peers: Whether hardly any more peers may connect.
        """
        self._are_callers_crowded = of_callers
        self._are_peers_crowded = of_peers

    def serve(self, sock: socket.socket) -> None:
        """Serves a caller's requests on a connection until it is closed."""
        self._serve(
            callers.CallerConnection(sock, self._limits, self.caller_bodies)
        )

    @listener.refused_with([relaymessages.UNREAD_HEADER])
    def serve_peer(self, sock: socket.socket) -> None:
        """Serves requests that a peer relays, until it closes the connection.

        They are served like those of callers, but not relayed again.
        """
        self._serve(
            peerconnections.PeerConnection(sock, self._limits, self.peer_bodies)
        )

    def _serve(self, conn: callers.CallerConnection) -> None:
        linger = False
        try:
            while self._wait_for_request(conn):
                if not self._serve_request(conn):
                    break
        except callers.MessageRefusedError as exc:
            linger = True
            self._refuse(conn, exc)
        except targetconnection.CallerGoneError as exc:
            logging.debug("caller gone, connection closed: %s", exc)
        except Exception as exc:
            linger = True
            self._guard.end_request(conn, exc)
        finally:
            conn.close(linger=linger)

    @property
    def _limits(self) -> views.CallerLimits:
        view = self._follower.view
        return views.CallerLimits() if view is None else view.limits

    def _wait_for_request(self, conn: callers.CallerConnection) -> bool:
        """Returns whether a request begins to arrive.

        A connection without any request so far may have to make room.
        """
        if conn.status:
            return self._wait_readable(conn, None)
        unused = conn.bodies.open()
        try:
            return self._wait_readable(conn, unused)
        finally:
            unused.release()

    def _wait_readable(
        self,
        conn: callers.CallerConnection,
        unused: bodybudget.HeldBody | None,
    ) -> bool:
        waited_s = 0.0
        while waited_s < conn.limits.idle_timeout_s:
            if conn.wait_readable(_IDLE_POLL_S):
                conn.set_limits(self._limits)
                return True
            conn.set_limits(self._limits)
            waited_s += _IDLE_POLL_S
            if self._stop.closes_connections:
                return False
            if unused is not None and unused.is_refused:
                logging.info("connection without a request makes room")
                return False
        return False

    def _serve_request(self, conn: callers.CallerConnection) -> bool:
        """Serves one request; returns whether the connection stays open."""
        req = conn.read_request()
        if req is None:
            return False
        if self._stop.closes_connections or self._is_crowded(conn):
            conn.closes_after_response = True
        try:
            self._forward(conn, req)
        except targetconnection.CallerGoneError:
            logging.info(
                "caller gone before the end of the response request=%s",
                self._request_id_of(req),
            )
            return False
        except exceptions.BriarfallError as exc:
            self._log_failure(req, exc)
            if conn.has_sent_head:
                return False
            self._answer_error(conn, req, exc)
        return conn.start_next()

    def _is_crowded(self, conn: callers.CallerConnection) -> bool:
        if conn.relayed is None:
            return self._are_callers_crowded()
        return self._are_peers_crowded()

    def _forward(
        self, conn: callers.CallerConnection, req: messages.CallerRequest
    ) -> None:
        if conn.relayed is None:
            self._wait_for_start_events()
        elif self._stop.is_requested:
            raise exceptions.DrainingError(
                "the instance stops", retry_after_s=_STOPPING_RETRY_S
            )
        # Read first, so that it holds for this view or an earlier one.
        is_fresh = self._follower.is_fresh
        view = self._follower.view
        if view is None:
            raise exceptions.NotReadyError(
                "no catalogue yet", retry_after_s=_STALE_RETRY_S
            )
        call = self._prepare(conn, req, view, is_fresh=is_fresh)
        if not self._stop.accepts(call.left_s):
            raise exceptions.DrainingError(
                "the instance stops before the answer could be complete",
                retry_after_s=_STOPPING_RETRY_S,
            )
        call.deadline_s = self._stop.bound(call.deadline_s)
        if call.relayed is None:
            # A relayed request is counted by the instance that relays it.
            self._budget.record_request()
        outcome = "unexpected_error"
        try:
            self._dispatch(call)
            outcome = "answered"
        except exceptions.BriarfallError as exc:
            outcome = exc.code
            call.bound_outcome(exc)
            exc.retry_after_s = returns.told_s(
                exc, call.caller_left_s, self._rng
            )
            raise
        finally:
            self._record_outcome(call, outcome)

    def _wait_for_start_events(self) -> None:
        """Lets a starting instance load catalogue, targets and poison requests.

        The wait ends after `_START_WAIT_S` at the latest.
        """
        until_s = self._created_s + _START_WAIT_S
        for event in self._start_events:
            if not event.is_set():
                event.wait(max(0.0, until_s - clocks.boot_s()))

    def _dispatch(self, call: calls.Call) -> None:
        if call.route.kind is views.RouteKind.STREAM and (
            call.service.model is not None
        ):
            self._streams.forward(call)
        else:
            self._plain.forward(call)

    def _record_outcome(self, call: calls.Call, outcome: str) -> None:
        """Counts a request; logs it.

        Of the requests that may be repeated and succeed at once, only a sample
        is logged.
        """
        route = call.route
        self._metrics.count(
            "briarfall_requests", route.name, route.kind.value, outcome
        )
        first_byte_s = call.conn.head_sent_s - call.req.received_s
        if call.conn.has_sent_head:
            self._metrics.observe(
                "briarfall_answer_seconds", first_byte_s, route.name
            )
        is_first_attempt_success = (
            outcome == "answered"
            and call.may_repeat
            and call.attempt_count == 1
            and call.conn.status < _FIRST_FAILURE_STATUS
        )
        if is_first_attempt_success and self._rng.random() > _SUCCESS_SAMPLE:
            return
        logging.info(
            "request done request=%s route=%s outcome=%s status=%d sends=%d "
            "runs=%d targets=%s age_ms=%d version=%s view_age_ms=%d peer=%s "
            "from_peer=%s fingerprint=%s",
            call.request_id,
            route.name,
            outcome,
            call.conn.status if call.conn.has_sent_head else 0,
            call.attempt_count,
            call.possible_runs,
            ",".join(call.sent_to) or None,
            call.age_s * 1000,
            call.version,
            self._follower.age_s * 1000,
            call.relayed_to or None,
            call.relayed.sender if call.relayed else None,
            None if call.may_repeat else crashes.fingerprint(call),
        )

    def _prepare(
        self,
        conn: callers.CallerConnection,
        req: messages.CallerRequest,
        view: views.CatalogueView,
        *,
        is_fresh: bool,
    ) -> calls.Call:
        try:
            route = view.match(req.host, req.path)
            key = (req.header(self._names.account_key) or b"").decode("latin-1")
            account = view.account_of(route, key)
        except (exceptions.NotFoundError, exceptions.AuthenticationError):
            # A view that is too old may lack a route or key that has been
            # published since.
            if is_fresh:
                raise
            raise self._stale_error() from None
        if not is_fresh and not route.is_public and view.has_accounts:
            raise self._stale_error()
        service = view.services.get(route.pick_service(self._rng))
        if service is None:
            raise exceptions.NoRouteError(
                f"route {route.name} names an unknown service"
            )
        urgency = route.urgency
        if account is not None and account.urgency is not None:
            urgency = account.urgency
        call = calls.Call(
            req=req,
            conn=conn,
            watch=targetconnection.CallerWatch(conn.sock),
            request_id=self._request_id_of(req),
            route=route,
            service=service,
            account=account,
            urgency=urgency,
            deadline_s=calls.deadline_of(req, self._names.time_left, route),
            caller_until_s=calls.caller_until_s(req, self._names.time_left),
            version=view.version,
            newest_route=lambda: self._newest_route(req),
            parts=promptparts.parse(req, self._names),
        )
        conn.start_call(call)
        return call

    def _newest_route(self, req: messages.CallerRequest) -> views.Route | None:
        """Returns a request's route in the version that is in force."""
        try:
            return self._follower.view.match(req.host, req.path)
        except exceptions.NotFoundError:
            return None

    def _stale_error(self) -> exceptions.NotReadyError:
        return exceptions.NotReadyError(
            f"the catalogue is {self._follower.age_s:.1f} s old",
            retry_after_s=_STALE_RETRY_S,
        )

    def _request_id_of(self, req: messages.CallerRequest) -> str:
        return (req.header(self._names.request_id) or b"").decode("latin-1")

    def _log_failure(
        self, req: messages.CallerRequest, exc: exceptions.BriarfallError
    ) -> None:
        view = self._follower.view
        logging.warning(
            "request failed request=%s code=%s outcome=%s version=%s "
            "view_age_s=%.2f: %s",
            self._request_id_of(req),
            exc.code,
            exc.outcome.value,
            view.version if view else None,
            self._follower.age_s,
            exc.message,
        )

    def _answer_error(
        self,
        conn: callers.CallerConnection,
        req: messages.CallerRequest,
        exc: exceptions.BriarfallError,
    ) -> None:
        conn.failure = exc
        status = int(exc.status)
        may_have_run = exc.outcome is not exceptions.Outcome.NOT_RUN
        if may_have_run and status not in (502, 504):
            status = 502
        headers = [(b"Content-Type", b"text/plain")]
        if status in (429, 503):
            retry_s = exc.retry_after_s or _STALE_RETRY_S
            headers.append((b"Retry-After", f"{retry_s:.2f}".encode()))
        conn.answer(status, headers, f"{exc}\n".encode())

    def _refuse(
        self, conn: callers.CallerConnection, exc: callers.MessageRefusedError
    ) -> None:
        logging.warning(
            "message refused, closing the connection status=%d: %s",
            exc.status,
            exc,
        )
        self._metrics.count("briarfall_refused_messages", str(exc.status))
        conn.closes_after_response = True
        headers = [(b"Content-Type", b"text/plain")]
        if exc.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % exc.retry_after_s))
        conn.release_body()
        try:
            conn.answer(exc.status, headers, b"refused\n")
        except targetconnection.CallerGoneError as error:
            logging.info("refusal not delivered to the caller: %s", error)
        except Exception as error:
            self._guard.end_request(conn, error)
