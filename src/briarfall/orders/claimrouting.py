"""Forwards claims to the instance that owns their partition.

The owner appends the claims of all instances in groups, which saves appends.
Correctness does not depend on it: when the owner cannot be reached, this
instance appends the claim itself, with the same nonce.
"""

import abc
import time

import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall import ids
from briarfall.catalogue import entries
from briarfall.membership import rendezvous
from briarfall.orders import claims
from briarfall.orders import partitions

_FORWARD_SLACK_S = 0.5
# Share of the timeout for which a claim waits for the owner, before this
# instance appends the claim itself.
_OWNER_SHARE = 0.5


class ClaimCall(msgspec.Struct):
    """A claim sent to the owner of its partition."""

    service: str
    partition: int
    window_s: float
    claim: claims.Claim
    timeout_s: float


class SubmitCall(msgspec.Struct):
    """An operation sent to the owner of its partition; it has no result."""

    service: str
    partition: int
    window_s: float
    operation: claims.Operation


class WaitCall(msgspec.Struct):
    """Requests the live claim on a key once it is done or released."""

    service: str
    partition: int
    window_s: float
    key: str
    timeout_s: float


class WaitResult(msgspec.Struct):
    """The live claim on a key, or None if there is none."""

    state: claims.ClaimState | None


class PeerDirectory(abc.ABC):
    """Lists the live instances and calls them."""

    @abc.abstractmethod
    def live(self) -> list[ids.InstanceId]:
        """Returns the live instances, this one included."""

    @abc.abstractmethod
    def call(self, peer: ids.InstanceId, method: str, message, kind, timeout_s):
        """Calls a peer.

        Raises:
            PeerError: The peer did not answer.
        """


class StandaloneDirectory(PeerDirectory):
    """The directory of an instance that has no peers."""

    def __init__(self, instance: ids.InstanceId):
        self._instance = instance

    def live(self) -> list[ids.InstanceId]:
        """Returns this instance."""
        return [self._instance]

    def call(self, peer, method, message, kind, timeout_s):
        """Raises PeerError, because there are no peers."""
        raise exceptions.PeerError(
            f"unknown peer {peer}: this instance runs without peers"
        )


class ClaimRouter:
    """Sends claims to the owners of their partitions.

    Where the owner is this instance, or does not answer, the claim is
    appended by this instance.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        partition_set: partitions.PartitionSet,
        directory: PeerDirectory,
    ):
        self._instance = instance
        self._partitions = partition_set
        self._directory = directory

    def partition_of(self, service: entries.Service, key: str) -> int:
        """Returns the partition of a key."""
        return hashing.digest64(key) % service.partitions

    def owner(self, name: str, number: int) -> ids.InstanceId:
        """Returns the instance that appends the claims of a partition."""
        return rendezvous.choose(f"{name}.{number}", self._directory.live())

    def claim(
        self,
        name: str,
        service: entries.Service,
        claim: claims.Claim,
        timeout_s: float,
    ) -> partitions.ClaimResult:
        """Returns the log's decision on a claim.

        Raises:
            LogUnavailableError: There was no decision in time; the claim
                may be in the log.
        """
        deadline = time.monotonic() + timeout_s
        number = self.partition_of(service, claim.key)
        owner = self.owner(name, number)
        if owner != self._instance:
            wait_s = timeout_s * _OWNER_SHARE
            call = ClaimCall(name, number, service.window_s, claim, wait_s)
            try:
                return self._directory.call(
                    owner,
                    "orders.claim",
                    call,
                    partitions.ClaimResult,
                    wait_s + _FORWARD_SLACK_S,
                )
            except (exceptions.PeerError, exceptions.LogUnavailableError):
                pass
        partition = self._partitions.get(name, number, service.window_s)
        return partition.claim(claim, max(0.0, deadline - time.monotonic()))

    def submit(
        self,
        name: str,
        service: entries.Service,
        operation: claims.Operation,
    ) -> None:
        """Queues an operation to be appended in the background."""
        number = self.partition_of(service, operation.key)
        owner = self.owner(name, number)
        if owner != self._instance:
            call = SubmitCall(name, number, service.window_s, operation)
            try:
                self._directory.call(
                    owner, "orders.submit", call, None, _FORWARD_SLACK_S
                )
                return
            except exceptions.PeerError:
                pass
        self._partitions.get(name, number, service.window_s).submit(operation)

    def wait_done(
        self, name: str, service: entries.Service, key: str, timeout_s: float
    ) -> claims.ClaimState | None:
        """Waits until a key's live claim is done or released.

        Returns:
            The live claim, or None if the key has none.
        """
        number = self.partition_of(service, key)
        owner = self.owner(name, number)
        if owner != self._instance:
            call = WaitCall(name, number, service.window_s, key, timeout_s)
            try:
                result = self._directory.call(
                    owner,
                    "orders.wait",
                    call,
                    WaitResult,
                    timeout_s + _FORWARD_SLACK_S,
                )
                return result.state
            except exceptions.PeerError:
                pass
        partition = self._partitions.get(name, number, service.window_s)
        return partition.wait_done(key, timeout_s)

    def handle_claim(self, call: ClaimCall) -> partitions.ClaimResult:
        """Handles a claim from another instance."""
        partition = self._partitions.get(
            call.service, call.partition, call.window_s
        )
        return partition.claim(call.claim, call.timeout_s)

    def handle_submit(self, call: SubmitCall) -> None:
        """Handles an operation from another instance."""
        partition = self._partitions.get(
            call.service, call.partition, call.window_s
        )
        partition.submit(call.operation)

    def handle_wait(self, call: WaitCall) -> WaitResult:
        """Handles another instance's wait for a key."""
        partition = self._partitions.get(
            call.service, call.partition, call.window_s
        )
        return WaitResult(partition.wait_done(call.key, call.timeout_s))
