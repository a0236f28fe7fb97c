"""Connection of a peer that relays its callers' requests."""

import contextlib
import http
import socket

import h11
import msgspec

from briarfall import exceptions
from briarfall.gateway.calls import bodybudget
from briarfall.gateway.calls import callers
from briarfall.gateway.calls import calls
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import messages
from briarfall.gateway.targets import relaybackoffs


class PeerConnection(callers.CallerConnection):
    """Reads relayed requests of a peer and writes the responses.

    Args:
        sock: The accepted socket.
        limits: Limits on size and duration of callers' requests.
        bodies: Bodies of the listener's requests, or None for no bound.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: views.CallerLimits,
        bodies: bodybudget.BodyGroup | None = None,
    ):
        super().__init__(sock, _with_private_header(limits), bodies)
        self._call: calls.Call | None = None
        # Whether the peer knows that its request may run only once.
        self._is_announced = False
        self._backoffs = relaybackoffs.RequestBackoffs({})

    def set_limits(self, limits: views.CallerLimits) -> None:
        """Sets the limits of the next request."""
        super().set_limits(_with_private_header(limits))

    def read_request(self) -> messages.CallerRequest | None:
        """Returns the next request without its private header.

        Raises:
            MessageRefusedError: The request is malformed, too large or slow.
        """
        self._call = None
        self.failure = None
        relaybackoffs.set_current(None)
        try:
            req = self.read_message()
        except callers.MessageRefusedError as exc:
            self._record_refusal(exc)
            raise
        if req is None:
            return None
        try:
            self.relayed = relaymessages.decode_request(req.headers)
        except exceptions.PeerError as exc:
            raise callers.MessageRefusedError(400, exc.message) from exc
        req.headers = relaymessages.without_private(req.headers)
        until_s = relaybackoffs.decode(self.relayed.backoffs)
        self._backoffs = relaybackoffs.RequestBackoffs(until_s)
        relaybackoffs.set_current(self._backoffs)
        return req

    def _record_refusal(self, exc: callers.MessageRefusedError) -> None:
        """Makes the response say that this request was not run."""
        self.failure = exceptions.OverloadError(str(exc))
        self.relayed = None
        if self.head_headers is None:
            return
        with contextlib.suppress(exceptions.PeerError):
            self.relayed = relaymessages.decode_request(self.head_headers)

    def start_call(self, call: calls.Call) -> None:
        """Sets the call that the current request has become.

        It counts on from the attempts that the peer has made.
        """
        self._call = call
        self._is_announced = self.relayed.is_single_run
        call.relayed = self.relayed
        call.attempt_count = self.relayed.sends
        call.possible_runs = self.relayed.runs
        call.has_unknown_outcome = self.relayed.has_unknown_outcome
        call.is_single_run = self.relayed.is_single_run

    def announce_single_run(self) -> None:
        """Tells the peer, in an interim response, before a target runs it.

        Otherwise a peer with another version of the route would repeat the
        request if this instance ended without a response. Earlier releases
        skip interim responses.

        Raises:
            CallerGoneError: The peer has left.
        """
        if self._is_announced or self.has_sent_head:
            return
        self._is_announced = True
        state = relaymessages.RelayedResponse(
            self.relayed.exchange,
            relaymessages.RelayOutcome.UNKNOWN,
            self._call.attempt_count,
            self._call.possible_runs,
            is_single_run=True,
        )
        self._send(
            h11.InformationalResponse(
                status_code=http.HTTPStatus.PROCESSING,
                headers=[relaymessages.header_of(state)],
            )
        )

    def send_head(self, status: int, headers: messages.Headers) -> None:
        """Sends status and headers of the response, with its outcome."""
        super().send_head(status, [*headers, self._outcome_header()])

    def answer(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Sends a complete response with one write, with its outcome."""
        super().answer(status, [*headers, self._outcome_header()], body)

    def _outcome_header(self) -> tuple[bytes, bytes]:
        relayed = self.relayed
        if relayed is None:
            relayed = _NO_REQUEST
        sends = relayed.sends
        runs = relayed.runs
        is_single_run = relayed.is_single_run
        if self._call is not None:
            sends = self._call.attempt_count
            runs = self._call.possible_runs
            is_single_run = not self._call.may_repeat
        outcome = relaymessages.RelayOutcome.TARGET
        if self.failure is not None or self.relayed is None:
            outcome = relaymessages.RelayOutcome.NOT_RUN
            if runs > relayed.runs or self._may_have_run(sends):
                outcome = relaymessages.RelayOutcome.UNKNOWN
        return relaymessages.header_of(
            relaymessages.RelayedResponse(
                relayed.exchange,
                outcome,
                sends,
                runs,
                relaybackoffs.encode(self._backoffs.asked_until_s),
                is_single_run,
            )
        )

    def _may_have_run(self, sends: int) -> bool:
        """Whether the error leaves open if an attempt of this instance ran."""
        if self.relayed is None or sends <= self.relayed.sends:
            return False
        return self.failure.outcome is not exceptions.Outcome.NOT_RUN


def _with_private_header(limits: views.CallerLimits) -> views.CallerLimits:
    """Returns limits that leave room for the private header."""
    return msgspec.structs.replace(
        limits,
        max_header_bytes=limits.max_header_bytes
        + relaymessages.MAX_HEADER_BYTES,
    )


_NO_REQUEST = relaymessages.RelayedRequest("", "", 0, 0, 0, False)
