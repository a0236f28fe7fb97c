"""Data types of completion requests and their attempts."""

import enum

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import hashing
from briarfall import ids
from briarfall.catalogue import entries

_PREFIX_WORDS = 16
MAX_SEED = 2**31 - 1


class CompletionBody(msgspec.Struct, forbid_unknown_fields=False):
    """The body of `POST /v1/completions`."""

    model: str
    prompt: str
    max_tokens: int = 64
    seed: int | None = None
    stream: bool = False


class StreamRequest(msgspec.Struct):
    """A completion request, sent to engines in one or more attempts.

    Attributes:
        id: Id of the stream, the same over all attempts and instances.
        client: The client account.
        model_name: Name of the model's entry.
        model: The entry itself.
        prompt: The prompt.
        max_tokens: Number of tokens of the answer.
        seed: Seed of the sampler.
        priority: Priority class of the request.
        deadline_s: Monotonic time of the caller's deadline.
        fingerprint: Hash that identifies the client and the body.
        resume_index: Number of tokens that the caller already has from
            another instance.
        resume_digest: Digest of their text.
        resume_attempt: Attempt number after which this instance continues
            to count.
        preferred: Targets that served the stream before, in layer order.
        affinity: Hash of the prompt's prefix, 0 if the prompt is short.
        caller: The caller's socket, or None.
    """

    id: ids.RequestId
    client: ids.ClientId
    model_name: ids.EntryName
    model: entries.Model
    prompt: str
    max_tokens: int
    seed: int
    priority: entries.Priority
    deadline_s: float
    fingerprint: ids.Fingerprint = ids.Fingerprint("")
    resume_index: int = 0
    resume_digest: int = 0
    resume_attempt: int = 0
    preferred: list[str] = []
    affinity: int = 0
    caller: object | None = None

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt in tokens."""
        return max(1, self.prompt.count(" ") + 1)


class Cause(enum.Enum):
    """Why an attempt ended before its last token.

    Attributes:
        TARGET_DIED: A target crashed or was unreachable.
        STALLED: No tokens arrived in time, or a target did not answer.
        MOVED: A target of the route is draining; the stream is rerouted.
        CALLER_LEFT: The caller disconnected.
        DEADLINE: The deadline of the request passed.
    """

    TARGET_DIED = "target_died"
    STALLED = "stalled"
    MOVED = "moved"
    CALLER_LEFT = "caller_left"
    DEADLINE = "deadline"


class RecoveryTiming(msgspec.Struct):
    """Timing of one recovery, in seconds.

    Attributes:
        cause: Why the previous attempt ended.
        detect_s: From the last token to the end of the attempt.
        plan_s: From the end of the attempt to the new route.
        resume_s: From the last token to the first one on the new route.
    """

    cause: Cause
    detect_s: float
    plan_s: float
    resume_s: float


def prefix_hash(prompt: str) -> int:
    """Returns a hash of the prompt's prefix that other prompts may share.

    Returns:
        The hash of the first words, or 0 if the prompt has no more than these.
    """
    words = prompt.split(maxsplit=_PREFIX_WORDS)
    if len(words) <= _PREFIX_WORDS:
        return 0
    return hashing.digest64(" ".join(words[:_PREFIX_WORDS]))


def parse_body(data: bytes) -> CompletionBody:
    """Parses and validates the body of a completion request.

    Raises:
        BadRequestError: The body is malformed or a field is out of range.
    """
    body = decoding.decode_json(
        data, CompletionBody, "body", exceptions.BadRequestError
    )
    if not body.prompt:
        raise exceptions.BadRequestError("prompt is empty")
    if body.max_tokens < 1:
        raise exceptions.BadRequestError("max_tokens must be at least 1")
    if body.seed is not None and not 0 <= body.seed <= MAX_SEED:
        raise exceptions.BadRequestError(f"seed is not within [0, {MAX_SEED}]")
    return body
