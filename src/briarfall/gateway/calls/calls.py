"""A caller's request while the gateway handles it."""

import collections.abc

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.calls import callers
from briarfall.gateway.calls import promptparts
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import matching
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection

# The response must reach the caller before the caller stops waiting.
_RESPONSE_MARGIN_S = 0.02
_DEFAULT_TIMEOUT_S = 30.0
# Waits for longer than some weeks overflow in the system's interfaces.
_MAX_TIMEOUT_S = 86_400.0
# Short, since the body of a refusal is short and follows its head at once.
_DRAIN_TIMEOUT_S = 0.02
# Statuses that tell a caller that its request has not run and never will. A
# target's 421 is always a refusal.
_PROMISES = (408, 421, 429, 503)


class SecondRunError(exceptions.TargetError):
    """A request that may run once may have run, and is not sent again."""

    code = "second_run"
    remedy = "look the result up before sending the request again"


def _unknown_route() -> views.Route | None:
    return None


class Call(msgspec.Struct):
    """A request, the route that it takes, and its limits.

    Attributes:
        req: The request.
        conn: The caller's connection.
        watch: Detects that the caller has disconnected.
        request_id: Id that targets echo.
        route: The route.
        service: Service chosen for it.
        account: Client account, or None.
        urgency: Rank; 0 is served first.
        parts: Parts of its prompt.
        deadline_s: Time on the boot clock at which the caller stops waiting or
            the route's timeout passes.
        attempt_count: How often it was sent to a target.
        sent_to: Targets to which this instance sent it, in order.
        possible_runs: How often it may have run.
        has_unknown_outcome: Whether the outcome of an attempt is unknown.
        relayed: State with which a peer relayed it, or None if it came from a
            caller.
        relayed_to: Peer that served it, or empty.
        has_no_peer: Whether no peer could serve it.
        is_single_run: Whether an instance that handles it knows a version of
            its route by which it may run only once.
        open_sends: How often it was sent, also to peers, without a proof that
            this caused no run.
        version: Version of the catalogue that `route` is of.
        may_use_kept_retries: Whether its next attempt may use the retries
            that are kept for others.
        caller_until_s: Time on the boot clock at which the caller gives up,
            its repeats included; 0 if it is `deadline_s` as far as is known.
        newest_route: Returns the route that it would take now, or None if
            there is none any more.
    """

    req: messages.CallerRequest
    conn: callers.CallerConnection
    watch: targetconnection.CallerWatch
    request_id: str
    route: views.Route
    service: views.Service
    account: views.ClientAccount | None
    urgency: int
    deadline_s: float
    parts: promptparts.PromptParts = promptparts.PromptParts()
    attempt_count: int = 0
    possible_runs: int = 0
    has_unknown_outcome: bool = False
    relayed: relaymessages.RelayedRequest | None = None
    relayed_to: str = ""
    has_no_peer: bool = False
    is_single_run: bool = False
    open_sends: int = 0
    version: int = 0
    may_use_kept_retries: bool = False
    caller_until_s: float = 0.0
    newest_route: collections.abc.Callable[[], views.Route | None] = (
        _unknown_route
    )
    sent_to: list[ids.TargetId] = msgspec.field(default_factory=list)

    @property
    def may_repeat(self) -> bool:
        """Whether it may be sent again after an unknown outcome.

        Instances may know different versions of its route, and a newer one may
        have come into force since it arrived; the strictest one counts.
        """
        if self.is_single_run or not self.route.is_retryable:
            return False
        newest = self.newest_route()
        self.is_single_run = newest is not None and not newest.is_retryable
        return not self.is_single_run

    @property
    def max_runs(self) -> int:
        """How often it may run at most, runs through peers included."""
        if self.relayed is not None:
            return min(self.route.max_runs, self.relayed.max_runs)
        return self.route.max_runs

    @property
    def may_be_relayed(self) -> bool:
        """Whether a peer may be asked to serve it."""
        return self.relayed is None and not self.has_no_peer

    @property
    def left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline_s - clocks.boot_s()

    @property
    def caller_left_s(self) -> float:
        """Seconds in which the caller may still return."""
        until_s = max(self.deadline_s, self.caller_until_s)
        return until_s - clocks.boot_s()

    @property
    def outcome(self) -> exceptions.Outcome:
        """What is known about its execution so far."""
        if self.has_unknown_outcome or self.possible_runs or self.open_sends:
            return exceptions.Outcome.UNKNOWN
        return exceptions.Outcome.NOT_RUN

    def check_repeat(self) -> None:
        """Checks that it may be sent now.

        Raises:
            SecondRunError: It may have run, and may not be repeated.
        """
        if self.may_repeat or self.outcome is exceptions.Outcome.NOT_RUN:
            return
        raise SecondRunError("the request may have run and may run only once")

    def record_send(self) -> None:
        """Records that it is sent now, to a target or to a peer.

        Raises:
            SecondRunError: It may have run, and may not be repeated.
            CallerGoneError: The peer that relayed it has left.
        """
        self.check_repeat()
        if self.relayed is not None and not self.may_repeat:
            self.conn.announce_single_run()
        self.open_sends += 1

    def record_not_run(self) -> None:
        """Records the proof that one of its sends has caused no run."""
        self.open_sends -= 1

    def bound_outcome(self, exc: exceptions.BriarfallError) -> None:
        """Makes an error promise no more than its sends allow."""
        if exc.outcome is exceptions.Outcome.NOT_RUN:
            exc.outcome = self.outcome

    @property
    def age_s(self) -> float:
        """Seconds since the request arrived."""
        return clocks.boot_s() - self.req.received_s

    def identity(
        self, header_names: headernames.HeaderNames
    ) -> matching.RequestIdentity:
        """Returns how its response is recognised."""
        return matching.RequestIdentity(
            header_names.request_id, self.request_id
        )


class RefusedByTargetError(exceptions.TargetError):
    """A target responded that it did not run the request.

    Attributes:
        head: Its response.
    """

    code = "refused_by_target"
    outcome = exceptions.Outcome.NOT_RUN

    def __init__(self, message: str, head: messages.ResponseHead):
        super().__init__(message)
        self.head = head


def deadline_of(
    req: messages.CallerRequest, header: bytes, route: views.Route
) -> float:
    """Returns the time on the boot clock at which a request is abandoned."""
    until_s = caller_until_s(req, header) - _RESPONSE_MARGIN_S
    longest_s = min(route.timeout_s, _MAX_TIMEOUT_S)
    return min(until_s, req.received_s + longest_s)


def caller_until_s(req: messages.CallerRequest, header: bytes) -> float:
    """Returns the time on the boot clock at which a caller gives up.

    Args:
        req: The request.
        header: Name of the header that tells the time left.

    Raises:
        BadRequestError: The header is no number.
    """
    value = req.header(header)
    time_s = _DEFAULT_TIMEOUT_S
    if value is not None:
        time_ms = decoding.parse_number(value)
        if time_ms is None:
            raise exceptions.BadRequestError(
                f"{header.decode()} is no finite number"
            )
        time_s = min(time_ms / 1000, _MAX_TIMEOUT_S)
    return req.received_s + time_s


def headers_for(
    call: Call,
    header_names: headernames.HeaderNames,
    target: sources.TargetEntry,
    extra: messages.Headers = (),
) -> messages.Headers:
    """Returns the headers of a request for a target."""
    replaced = {
        header_names.time_left,
        header_names.account_key,
        header_names.account,
        header_names.expected_target,
        header_names.urgency,
        header_names.chain,
        b"content-length",
    }
    for key, _ in extra:
        replaced.add(key)
    fields = []
    for key, value in messages.end_to_end(call.req.headers):
        if key.lower() not in replaced:
            fields.append((key, value))
    left_ms = max(1, int(call.left_s * 1000))
    fields.append((header_names.time_left, str(left_ms).encode()))
    fields.append((header_names.expected_target, target.id.encode()))
    fields.append((header_names.urgency, str(call.urgency).encode()))
    if call.account is not None:
        fields.append((header_names.account, call.account.name.encode()))
    if call.req.body or call.req.method not in (b"GET", b"HEAD"):
        length = str(len(call.req.body)).encode()
        fields.append((b"Content-Length", length))
    fields.extend(extra)
    return fields


def is_promise(call: Call, head: messages.ResponseHead) -> bool:
    """Whether a status would tell a caller that a request has not run.

    That of a request which may be repeated tells nothing that matters.
    """
    return head.status in _PROMISES and not call.may_repeat


def raise_if_refused(
    call: Call,
    conn: targetconnection.TargetConnection,
    head: messages.ResponseHead,
    header_names: headernames.HeaderNames,
    target_id: ids.TargetId,
) -> None:
    """Raises if a response says, or seems to say, that the request did not run.

    The rest of such a response is read, so that the connection can be reused.

    Raises:
        RefusedByTargetError: The target did not run it.
        TargetError: The status says so to a caller, but the target didn't say
            it, and the request may run only once.
    """
    is_refusal = (
        head.status == 421 or head.header(header_names.not_run) is not None
    )
    if not is_refusal and not is_promise(call, head):
        return
    conn.drain(min(call.deadline_s, clocks.boot_s() + _DRAIN_TIMEOUT_S))
    if is_refusal:
        call.record_not_run()
        raise RefusedByTargetError(f"{target_id}: status {head.status}", head)
    raise exceptions.TargetError(
        f"{target_id}: status {head.status} without "
        f"{header_names.not_run.decode()}; the request may have run"
    )
