"""All errors that briarfall raises, with code, HTTP status and remedy."""

import enum
import http


class Outcome(enum.Enum):
    """What is known about the execution of a failed request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class BriarfallError(Exception):
    """Base class of all errors.

    Attributes:
        code: Stable identifier for programs.
        status: HTTP status of the response that reports the error.
        remedy: What a caller or an operator can do about the error.
        outcome: Whether the request's work was executed.
        retry_after_s: Seconds after which a retry can help, or None.
        request: The request that failed, or None.
        response: The response that reported the error, or None.
    """

    code = "internal"
    status = http.HTTPStatus.INTERNAL_SERVER_ERROR
    remedy = "report the request id to the operators"
    outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
        request=None,
        response=None,
    ):
        super().__init__(message)
        self.message = message
        self.request = request
        self.response = response
        if remedy is not None:
            self.remedy = remedy
        if outcome is not None:
            self.outcome = outcome
        if retry_after_s is not None:
            self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        return f"[{self.code}] {self.message}; remedy: {self.remedy}"


class SettingsError(BriarfallError, ValueError):
    """A settings file is unreadable or inconsistent."""

    code = "bad_settings"
    remedy = "correct the named field and run `briarfall check`"


class BadRequestError(BriarfallError, ValueError):
    """A request is malformed."""

    code = "bad_request"
    status = http.HTTPStatus.BAD_REQUEST
    remedy = "correct the request as the message says"


class TooLargeError(BadRequestError):
    """A request exceeds a size limit."""

    code = "too_large"
    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    remedy = "send a smaller request or ask for a higher limit"


class AuthenticationError(BriarfallError, PermissionError):
    """The bearer key is missing or unknown."""

    code = "unauthenticated"
    status = http.HTTPStatus.UNAUTHORIZED
    remedy = "send a valid key as `Authorization: Bearer <key>`"


class ForbiddenError(BriarfallError, PermissionError):
    """The key is valid but doesn't permit the operation."""

    code = "forbidden"
    status = http.HTTPStatus.FORBIDDEN
    remedy = "use a key of the entry's owner or of an administrator"


class NotFoundError(BriarfallError, LookupError):
    """The named entry or path does not exist."""

    code = "not_found"
    status = http.HTTPStatus.NOT_FOUND
    remedy = "check the name against `briarfall catalogue list`"


class ConflictError(BriarfallError, ValueError):
    """An edit was based on a version that is no longer current."""

    code = "conflict"
    status = http.HTTPStatus.CONFLICT
    remedy = "read the entry again and repeat the edit on its version"


class CatalogueError(BriarfallError, ValueError):
    """A catalogue value is malformed or inconsistent."""

    code = "bad_entry"
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY
    remedy = "correct the named field of the entry"


class NotReadyError(BriarfallError, RuntimeError):
    """The instance does not hold the complete catalogue yet."""

    code = "not_ready"
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    remedy = "send the request to another instance"
    retry_after_s = 1.0


class DrainingError(NotReadyError):
    """The instance is stopping and accepts no new requests."""

    code = "draining"


class LogUnavailableError(BriarfallError, ConnectionError):
    """The platform's log did not answer."""

    code = "log_unavailable"
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    remedy = "retry when the log service is back"
    retry_after_s = 2.0


class LogGapError(BriarfallError, LookupError):
    """Records from the requested offset on can't all be read from the log."""

    code = "log_gap"
    status = http.HTTPStatus.GONE
    remedy = "start from the oldest record or from a snapshot"

    def __init__(self, message: str, first: int, **kwargs):
        super().__init__(message, **kwargs)
        self.first = first


class LimitError(BriarfallError):
    """A client exceeds one of its limits."""

    code = "limit_exceeded"
    status = http.HTTPStatus.TOO_MANY_REQUESTS
    remedy = "send fewer requests or ask the operators for a higher limit"
    retry_after_s = 1.0


class OverloadError(BriarfallError):
    """The request can't be served in time now; a later retry may succeed.

    Its expected duration exceeds the deadline, a queue or a link is full, or
    the targets are in backoff.
    """

    code = "overloaded"
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    remedy = "retry after the given time or allow a longer deadline"
    retry_after_s = 1.0


class RetryBudgetError(OverloadError):
    """The request would need a retry, and the retry budget is used up."""


class BodyMemoryError(OverloadError):
    """An unfinished request was refused for lack of memory or connections."""

    code = "body_memory"


class HeldRequestError(OverloadError):
    """Requests with a part of the prompt wait until one of them was tried.

    The part was in flight when targets crashed, which may be chance.
    """

    code = "held_request"


class DeadlineError(BriarfallError, TimeoutError):
    """The caller's deadline passed."""

    code = "deadline_exceeded"
    status = http.HTTPStatus.GATEWAY_TIMEOUT
    remedy = "allow a longer X-Deadline-Ms"
    outcome = Outcome.UNKNOWN


class NoRouteError(BriarfallError, LookupError):
    """No chain of healthy targets covers all layers."""

    code = "no_route"
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    remedy = "retry shortly; operators: check the entry's targets"
    retry_after_s = 1.0


class StreamLostError(BriarfallError, ConnectionError):
    """A stream could not be completed after all its attempts."""

    code = "stream_lost"
    status = http.HTTPStatus.BAD_GATEWAY
    remedy = "reconnect with the Last-Event-ID of the last event"
    outcome = Outcome.UNKNOWN
    retry_after_s = 1.0


class PoisonError(BriarfallError):
    """The request is refused because it was in flight when two engines died."""

    code = "poison_request"
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY
    remedy = "do not resend this request; report it to the operators"
    outcome = Outcome.UNKNOWN


class CursorError(BriarfallError, ValueError):
    """A Last-Event-ID is forged, expired or of another client or request."""

    code = "bad_cursor"
    status = http.HTTPStatus.BAD_REQUEST
    remedy = "send the request again without Last-Event-ID"


class KeyReusedError(BriarfallError, ValueError):
    """An idempotency key was used before with another body."""

    code = "key_reused"
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY
    remedy = "use a new idempotency key for a new call"


class KeyRequiredError(BadRequestError):
    """A non-idempotent call lacks a usable idempotency key."""

    code = "key_required"
    remedy = "send a UUIDv7 in the Idempotency-Key header"


class KeyExpiredError(BriarfallError, ValueError):
    """An idempotency key is outside the deduplication window."""

    code = "key_expired"
    status = http.HTTPStatus.CONFLICT
    remedy = "look the call up at the service before sending a new key"
    outcome = Outcome.UNKNOWN


class OrderUnknownError(BriarfallError):
    """It is unknown whether a non-idempotent call was executed."""

    code = "outcome_unknown"
    status = http.HTTPStatus.GATEWAY_TIMEOUT
    remedy = "send the call again with the same Idempotency-Key"
    outcome = Outcome.UNKNOWN
    retry_after_s = 1.0


class TargetError(BriarfallError, ConnectionError):
    """A target failed or could not be reached."""

    code = "target_failed"
    status = http.HTTPStatus.BAD_GATEWAY
    remedy = "retry; operators: check the target"
    outcome = Outcome.UNKNOWN


class InvalidStatusError(TargetError):
    """A response begins with a status or a version that HTTP/1 doesn't have."""

    code = "invalid_status"
    remedy = "operators: check what listens at the target's address"


class InvalidHeadError(TargetError):
    """The head of a response holds a line that HTTP/1 doesn't have."""

    code = "invalid_head"
    remedy = "operators: check what listens at the target's address"


class TargetUnreachableError(TargetError):
    """No byte of the request can have reached the target."""

    code = "target_unreachable"
    outcome = Outcome.NOT_RUN


class LocalLimitError(TargetUnreachableError):
    """This process has no descriptor or memory left for a connection."""

    code = "local_limit"
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    remedy = "send the request to another instance; raise the open-file limit"
    retry_after_s = 1.0


class PeerError(BriarfallError, ConnectionError):
    """A peer instance did not answer or failed authentication."""

    code = "peer_failed"
    status = http.HTTPStatus.BAD_GATEWAY
    remedy = "check the peer's address and the shared key"
    outcome = Outcome.UNKNOWN


class LeaseError(BriarfallError):
    """The instance doesn't hold the lease, so no command was sent."""

    code = "lease_not_held"
    status = http.HTTPStatus.CONFLICT
    remedy = "wait for the current holder to act"


class FencedError(BriarfallError):
    """A target refused a command because of its old fencing number."""

    code = "fenced"
    status = http.HTTPStatus.CONFLICT
    remedy = "read the lease again; another instance holds it"
