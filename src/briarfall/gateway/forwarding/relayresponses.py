"""Tells what a peer's response to a relayed request is."""

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import relaysends
from briarfall.gateway.targets import relaybackoffs
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets

_REFUSAL_TIMEOUT_S = 0.3
# Lowest HTTP status that counts as a failure of the target.
_FIRST_FAILURE_STATUS = 500


class PeerRefusedError(exceptions.PeerError):
    """A peer could not serve a relayed request; the request did not run."""

    code = "peer_refused"
    outcome = exceptions.Outcome.NOT_RUN


class PeerFailedError(targetconnection.BrokenExchangeError):
    """A peer says that a relayed request failed and may have run.

    Attributes:
        runs: Number of runs that the peer may have caused.
    """

    code = "peer_run_failed"

    def __init__(self, message: str, runs: int):
        super().__init__(message, saw_response=True)
        self.runs = runs


def validate(
    call: calls.Call,
    send: relaysends.RelaySend,
    head: messages.ResponseHead,
    target_table: targets.TargetTable,
    *,
    has_others: bool,
) -> None:
    """Counts a peer's attempts; returns if the response is a target's.

    Args:
        call: The request.
        send: The exchange with the peer.
        head: Head of the response.
        target_table: Targets, whose backoffs the response tells.
        has_others: Whether another exchange of the request is open, which may
            still answer. A target's failure is dropped then.

    Raises:
        PeerRefusedError: The peer has caused no run of the request.
        PeerFailedError: The request failed at the peer and may have run.
        BrokenExchangeError: The response belongs to no such request.
    """
    conn = send.conn
    # On a reused connection it may belong to an earlier request.
    if conn.is_fresh and relaymessages.says_unread(head.headers):
        raise PeerRefusedError(f"{conn.address}: the peer has read nothing")
    answer = _decode(send, head)
    call.attempt_count = max(call.attempt_count, answer.sends)
    call.is_single_run = call.is_single_run or answer.is_single_run
    targetbackoff.adopt(target_table, relaybackoffs.decode(answer.backoffs))
    runs = answer.runs - send.state.runs
    if answer.outcome is relaymessages.RelayOutcome.TARGET:
        # A peer of an earlier release passes on promises of targets.
        is_dropped = calls.is_promise(call, head) or (
            head.status >= _FIRST_FAILURE_STATUS and has_others
        )
        if not is_dropped:
            return
        # The run that failed is not among those of unknown outcome.
        runs += 1
    conn.drain(min(call.deadline_s, clocks.boot_s() + _REFUSAL_TIMEOUT_S))
    text = (
        f"{conn.address}: status {head.status} "
        f"told={answer.outcome.value} told_sends={answer.sends} "
        f"told_runs={answer.runs}"
    )
    if answer.outcome is relaymessages.RelayOutcome.NOT_RUN and runs <= 0:
        raise PeerRefusedError(text)
    raise PeerFailedError(text, runs=max(0, runs))


def heed_interim(
    call: calls.Call, send: relaysends.RelaySend, headers: messages.Headers
) -> None:
    """Adopts a peer's word, ahead of a run, that a request may run only once.

    Args:
        call: The request.
        send: The exchange with the peer.
        headers: Headers of an interim response of the peer.
    """
    try:
        told = relaymessages.decode_response(headers)
    except exceptions.PeerError:
        return
    if told.exchange == send.state.exchange and told.is_single_run:
        call.is_single_run = True


def _decode(
    send: relaysends.RelaySend, head: messages.ResponseHead
) -> relaymessages.RelayedResponse:
    address = send.conn.address
    try:
        answer = relaymessages.decode_response(head.headers)
    except exceptions.PeerError as exc:
        raise targetconnection.BrokenExchangeError(
            f"{address}: {exc.message}", saw_response=True
        ) from exc
    if answer.exchange != send.state.exchange:
        raise targetconnection.BrokenExchangeError(
            f"{address}: response of another request", saw_response=True
        )
    return answer
