"""Records of when targets end their work on requests."""

import time

import msgspec

from briarfall.standins.prepared import rawhttp


class ExchangeEnd(msgspec.Struct, frozen=True):
    """The end of a target's work on a request.

    Attributes:
        time_s: When it ended, in seconds of the monotonic clock.
        request_id: The request.
    """

    time_s: float
    request_id: str


def ended_now(req: rawhttp.RawRequest) -> ExchangeEnd:
    """Returns the end, at this moment, of the work on a request."""
    return ExchangeEnd(time.monotonic(), req.headers.get("x-request-id", ""))
