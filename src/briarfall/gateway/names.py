"""Names of headers and paths that a platform defines."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """Lower-case header names that callers and targets use.

    Attributes:
        request_id: Id of one attempt of a caller; targets echo it.
        time_left: Milliseconds that the sender will still wait.
        account_key: The caller's key; it never reaches a target.
        account: Name of the client account, set for the target.
        expected_target: Id of the only target that may run the request.
        urgency: Rank of a request, 0 first.
        chain: Targets that a request passes through, with their layers.
        faulty_target: Address of the target that a refusal is about.
        signature: A target's proof that it made the response.
        not_run: Present if the target did not run the request.
        leaving: Present if the target takes no new requests.
        load: Running and waiting requests and slots of the target.
        token_usage: Prompt tokens and the limit of output tokens.
        length_hint: Output tokens that the caller expects.
        last_event: Id of the last event that the caller has.
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
    load: bytes
    token_usage: bytes
    length_hint: bytes
    last_event: bytes
