"""Decides which responses on a connection answer its current request.

A faulty target may write a response once more at any later time. Such a copy
must answer no other request. A connection therefore never carries two requests
whose responses can't be told apart, and a response without an id counts only
where no other response can be on the connection.
"""

import enum

import msgspec

from briarfall.gateway.exchanges import messages

# Bounds the memory for the ids, of some hundred bytes each.
_MAX_REMEMBERED_IDS = 4096


class Match(enum.Enum):
    """Relation of a response to the current request of its connection.

    Attributes:
        OWN: It answers the request.
        OTHER: It answers another request.
        UNKNOWN: It can't be told what it answers.
    """

    OWN = "own"
    OTHER = "other"
    UNKNOWN = "unknown"


class RequestIdentity(msgspec.Struct, frozen=True):
    """How the response to a request is recognised.

    Attributes:
        header: Lower-case name of the header in which targets echo the id of a
            request; None if the protocol has no ids.
        request_id: Id of the request; empty if it has none.
    """

    header: bytes | None = None
    request_id: str = ""


class ExchangeHistory:
    """The requests and responses that one connection has carried."""

    def __init__(self):
        self._identity = RequestIdentity()
        # Ids of all requests so far, without the current one.
        self._earlier_ids: set[str] = set()
        self._request_count = 0
        self._response_count = 0
        self._has_anonymous_response = False
        self._is_ambiguous = False

    def may_carry(self, identity: RequestIdentity) -> bool:
        """Whether the response to a request could be recognised."""
        if identity.header is None:
            return True
        if not identity.request_id:
            return not self._has_anonymous_response
        if identity.request_id == self._identity.request_id:
            return False
        return identity.request_id not in self._earlier_ids

    def start(self, identity: RequestIdentity) -> None:
        """Records that a request is sent now."""
        if self._identity.request_id:
            self._earlier_ids.add(self._identity.request_id)
        self._identity = identity
        self._request_count += 1

    def cancel(self) -> None:
        """Records that the request that was to be sent is not sent."""
        self._identity = RequestIdentity(self._identity.header)
        self._request_count -= 1

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry further requests."""
        return (
            not self._is_ambiguous
            and len(self._earlier_ids) < _MAX_REMEMBERED_IDS
        )

    def match(self, head: messages.ResponseHead) -> Match:
        """Records a response and returns what it answers."""
        self._response_count += 1
        if self._identity.header is None:
            return Match.OWN
        value = head.header(self._identity.header) or b""
        echoed = value.decode("latin-1")
        if not self._identity.request_id:
            return self._match_anonymous(echoed)
        if echoed:
            if echoed == self._identity.request_id:
                return Match.OWN
            return Match.OTHER
        self._has_anonymous_response = True
        # The target may not echo ids at all, so that a copy of this response
        # would pass as the response to a later request.
        self._is_ambiguous = True
        if self._request_count == 1 and self._response_count == 1:
            return Match.OWN
        return Match.UNKNOWN

    def _match_anonymous(self, echoed: str) -> Match:
        """Matches a response to a request that has no id."""
        # A target may give an id of its own to a request without one.
        if echoed in self._earlier_ids:
            return Match.OTHER
        if self._has_anonymous_response:
            return Match.UNKNOWN
        self._has_anonymous_response = True
        return Match.OWN
