"""Claims on idempotency keys and the rules that decide between them.

Of the live claims on a key, the first in log order wins. A won claim never
passes to another claimant. It ends with a `Done` record, or with an `Abandon`
record of its claimant, which has not sent the call and never will.
"""

import collections

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall.adapters import logepochs


class Claim(
    msgspec.Struct,
    frozen=True,
    tag="claim",
    tag_field="op",
    omit_defaults=True,
):
    """Requests the exclusive right to send a call.

    Attributes:
        key: The idempotency key, prefixed with the client account.
        nonce: Identifies this claim; appending it twice has no further effect.
        digest: Digest of the call's method, path and body.
        instance: The instance that makes the claim.
        epoch: Epoch of the log that the writer knew; it had begun by then.
        is_rewritten: Whether the log had lost this claim; it won earlier.
    """

    key: str
    nonce: ids.Nonce
    digest: str
    instance: ids.InstanceId
    epoch: ids.LogEpoch = logepochs.FIRST_EPOCH
    is_rewritten: bool = False


class Done(msgspec.Struct, frozen=True, tag="done", tag_field="op"):
    """The answer to the call that was sent under a claim."""

    key: str
    nonce: ids.Nonce
    status: int
    content_type: str = ""
    body: bytes = b""
    truncated: bool = False


class Abandon(msgspec.Struct, frozen=True, tag="abandon", tag_field="op"):
    """Releases a claim whose call was not sent and never will be."""

    key: str
    nonce: ids.Nonce


Operation = Claim | Done | Abandon


class ClaimState(msgspec.Struct):
    """The live claim on a key.

    Attributes:
        nonce: Nonce of the claim.
        digest: Digest of the call's method, path and body.
        instance: The instance that made the claim.
        time_s: Epoch seconds at which the log accepted the claim.
        done: The answer to the call, None until it is in the log.
    """

    nonce: ids.Nonce
    digest: str
    instance: ids.InstanceId
    time_s: float
    done: Done | None = None


class ClaimTable:
    """Claims of one partition, built from its stream in log order.

    Args:
        retention_s: Age by log time after which a key is removed, in seconds.

    Attributes:
        epoch: Newest epoch of the log that a claim names.
        epoch_since_s: Log time of the first claim that names it.
    """

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self.next_offset = 0
        self.covered_since_s = 0.0
        self.malformed = 0
        self.epoch = logepochs.FIRST_EPOCH
        self.epoch_since_s = 0.0
        self._states: collections.OrderedDict[str, ClaimState] = (
            collections.OrderedDict()
        )
        self._abandoned: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Claims from before the log was restored that it may have lost.
        self._earlier: dict[str, ClaimState] = {}

    def __len__(self) -> int:
        return len(self._states)

    def lookup(self, key: str) -> ClaimState | None:
        """Returns the live claim on a key, or None."""
        return self._states.get(key) or self._earlier.get(key)

    def apply(self, offset: int, time_s: float, data: bytes) -> list[Operation]:
        """Applies the record at `offset` and returns its operations."""
        self.next_offset = offset + 1
        try:
            operations = decode(data)
        except exceptions.CatalogueError:
            self.malformed += 1
            return []
        for operation in operations:
            self._apply_one(operation, time_s)
        self._expire(time_s)
        return operations

    def restart(self, first: int, covered_since_s: float) -> None:
        """Clears all claims and continues at the first retained record."""
        self._states.clear()
        self._abandoned.clear()
        self.next_offset = first
        self.covered_since_s = covered_since_s

    def read_again(self) -> None:
        """Continues at the oldest record; keeps the claims known so far."""
        self._earlier.update(self._states)
        self._states.clear()
        self.next_offset = 0

    def take_lost(self) -> list[Operation]:
        """Returns what the log has lost, to be appended again."""
        lost: list[Operation] = []
        for key, known in list(self._earlier.items()):
            state = self._states.get(key)
            if state is None or state.nonce != known.nonce:
                lost.append(_rewritten(key, known))
            elif known.done is None or state.done is not None:
                del self._earlier[key]
                continue
            if known.done is not None:
                lost.append(known.done)
        return lost

    def _apply_one(self, operation: Operation, time_s: float) -> None:
        if isinstance(operation, Claim):
            self._apply_claim(operation, time_s)
            return
        earlier = self._earlier.get(operation.key)
        if earlier is not None and earlier.nonce == operation.nonce:
            self._end_earlier(earlier, operation)
        state = self._states.get(operation.key)
        if isinstance(operation, Abandon):
            # The nonce is kept, so that a claim that arrives after its own
            # abandonment has no effect.
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

    def _apply_claim(self, claim: Claim, time_s: float) -> None:
        if claim.epoch > self.epoch:
            self.epoch = claim.epoch
            self.epoch_since_s = time_s
        if claim.nonce in self._abandoned:
            return
        state = self._states.get(claim.key)
        if state is not None:
            if state.nonce == claim.nonce or not claim.is_rewritten:
                return
            # Only a claim that can't win was made since the log lost this one.
            del self._states[claim.key]
        self._states[claim.key] = ClaimState(
            claim.nonce, claim.digest, claim.instance, time_s
        )

    def _end_earlier(self, earlier: ClaimState, end: Done | Abandon) -> None:
        """Ends a claim that may have to be written again."""
        if isinstance(end, Done):
            earlier.done = earlier.done or end
        elif earlier.done is None:
            del self._earlier[end.key]

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self.retention_s
        for key, earlier in list(self._earlier.items()):
            if earlier.time_s < oldest_s:
                del self._earlier[key]
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


def _rewritten(key: str, state: ClaimState) -> Claim:
    return Claim(
        key, state.nonce, state.digest, state.instance, is_rewritten=True
    )


def encode(operations: list[Operation]) -> bytes:
    """Returns a log record that holds `operations`."""
    return msgspec.json.encode(operations)


def decode(data: bytes) -> list[Operation]:
    """Returns the operations in a record.

    Raises:
        CatalogueError: The record can't be decoded.
    """
    return decoding.decode_json(data, list[Operation], "record of claims")
