"""Claims on idempotency keys and the fold that decides between them.

The first live claim for a key in the order of the log wins. A claim is never
taken over: it ends by `Done`, or by `Abandon` of the claimant that has not
sent the call and never will.
"""

import collections

import msgspec

from briarfall import ids


class Claim(msgspec.Struct, frozen=True, tag="claim", tag_field="op"):
    """Asks for the sole right to send a call.

    Attributes:
        key: The idempotency key, prefixed by its client.
        nonce: Identifies this claim; appending it twice is harmless.
        digest: Digest of the call's method, path and body.
        instance: The claimant.
    """

    key: str
    nonce: ids.Nonce
    digest: str
    instance: ids.InstanceId


class Done(msgspec.Struct, frozen=True, tag="done", tag_field="op"):
    """The answer of the call that a claim sent."""

    key: str
    nonce: ids.Nonce
    status: int
    content_type: str = ""
    body: bytes = b""
    truncated: bool = False


class Abandon(msgspec.Struct, frozen=True, tag="abandon", tag_field="op"):
    """Gives a claim back whose call was not and will not be sent."""

    key: str
    nonce: ids.Nonce


Operation = Claim | Done | Abandon


class ClaimState(msgspec.Struct):
    """The live claim on a key."""

    nonce: ids.Nonce
    digest: str
    instance: ids.InstanceId
    time_s: float
    done: Done | None = None


class ClaimFold:
    """State of one partition after a prefix of its stream.

    Args:
        keep_s: Age by log time after which a key is forgotten.
    """

    def __init__(self, keep_s: float):
        self.keep_s = keep_s
        self.next_offset = 0
        self.covered_since_s = 0.0
        self.malformed = 0
        self._states: collections.OrderedDict[str, ClaimState] = (
            collections.OrderedDict()
        )
        self._abandoned: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._states)

    def lookup(self, key: str) -> ClaimState | None:
        """Returns the live claim on a key."""
        return self._states.get(key)

    def apply(self, offset: int, time_s: float, data: bytes) -> list[Operation]:
        """Folds the record at `offset` and returns its operations."""
        self.next_offset = offset + 1
        try:
            operations = decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.malformed += 1
            return []
        for operation in operations:
            self._apply_one(operation, time_s)
        self._forget(time_s)
        return operations

    def restart(self, first: int, covered_since_s: float) -> None:
        """Starts again where the kept records begin."""
        self._states.clear()
        self._abandoned.clear()
        self.next_offset = first
        self.covered_since_s = covered_since_s

    def _apply_one(self, operation: Operation, time_s: float) -> None:
        state = self._states.get(operation.key)
        if isinstance(operation, Claim):
            if state is not None or operation.nonce in self._abandoned:
                return
            self._states[operation.key] = ClaimState(
                operation.nonce, operation.digest, operation.instance, time_s
            )
            return
        if isinstance(operation, Abandon):
            # Also a claim that arrives after its abandonment stays void.
            if state is not None and state.nonce == operation.nonce:
                if state.done is not None:
                    return
                del self._states[operation.key]
            self._abandoned[operation.nonce] = time_s
            return
        if state is None or state.nonce != operation.nonce:
            return
        if state.done is None:
            state.done = operation

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self.keep_s
        while self._states:
            key = next(iter(self._states))
            if self._states[key].time_s >= oldest_s:
                break
            del self._states[key]
        while self._abandoned:
            nonce = next(iter(self._abandoned))
            if self._abandoned[nonce] >= oldest_s:
                break
            del self._abandoned[nonce]


def encode(operations: list[Operation]) -> bytes:
    """Returns the bytes of a record that holds `operations`."""
    return msgspec.json.encode(operations)


def decode(data: bytes) -> list[Operation]:
    """Returns the operations in a record."""
    return msgspec.json.decode(data, type=list[Operation])
