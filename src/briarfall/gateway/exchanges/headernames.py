"""Names of the HTTP headers that a platform defines."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """Lower-case header names that callers and targets use.

    Attributes:
        request_id: Id of one attempt of a caller; targets echo it.
        time_left: Milliseconds for which the sender still waits.
        account_key: Key of the caller; it is never forwarded to a target.
        account: Name of the client account; the gateway sets it for the
            target.
        expected_target: Id of the only target that may run the request.
        urgency: Rank of the request; 0 is served first.
        chain: Targets that the request passes through, with their layers.
        faulty_target: Address of the target that caused a refusal.
        signature: Proof that the response was made by the target.
        not_run: Present if the target did not run the request.
        leaving: Present if the target is draining and accepts no new
            requests.
        rate_limit: Requests per second that the target takes from all
            instances together; present while it has such a limit.
        load: Running requests, waiting requests and slots of the target.
        token_usage: Prompt tokens and the limit of output tokens.
        length_hint: Output tokens that the caller expects.
        prompt_parts: Ids of the parts of the prompt, in order.
        last_event: Id of the last event that the caller received.
    """

    request_id: bytes
    time_left: bytes
    account_key: bytes
    account: bytes
    expected_target: bytes
    urgency: bytes
    chain: bytes
    faulty_target: bytes
    signature: bytes
    not_run: bytes
    leaving: bytes
    rate_limit: bytes
    load: bytes
    token_usage: bytes
    length_hint: bytes
    prompt_parts: bytes
    last_event: bytes
