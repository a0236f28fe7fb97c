"""Tells whether a target wrote a response.

A faulty target may send bytes that are no response, though they look like one.
A target signs its successes and failures. Its refusals need no signature, but
name the request that they refuse.
"""

from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection


def is_signed(
    head: messages.ResponseHead, names: headernames.HeaderNames
) -> bool:
    """Whether a response has a target's signature."""
    signature = head.header(names.signature)
    return signature is not None and bool(signature.strip())


def check_signed(
    address: str, head: messages.ResponseHead, names: headernames.HeaderNames
) -> None:
    """Checks that a target wrote a success or a failure.

    Args:
        address: Address that sent the response.
        head: Its head.
        names: Header names of the platform.

    Raises:
        InvalidResponseError: It has no signature; the request may have run.
    """
    if is_signed(head, names):
        return
    raise _invalid(address, f"status {head.status} without", names.signature)


def check_attributable(
    address: str,
    head: messages.ResponseHead,
    names: headernames.HeaderNames,
    request_id: str,
) -> None:
    """Checks that a response may say something of a request or its target.

    Args:
        address: Address that sent the response.
        head: Its head, which names no other request.
        names: Header names of the platform.
        request_id: Id of the request; empty if it has none.

    Raises:
        InvalidResponseError: It has neither the id nor a signature; the
            request may have run.
    """
    if not request_id or head.header(names.request_id):
        return
    if is_signed(head, names):
        return
    raise _invalid(
        address,
        f"status {head.status} without {names.request_id.decode()} and",
        names.signature,
    )


def _invalid(
    address: str, text: str, header: bytes
) -> targetconnection.InvalidResponseError:
    return targetconnection.InvalidResponseError(
        f"{address}: {text} {header.decode()}: not a target's response"
    )
