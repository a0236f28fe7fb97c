"""Sends calls of plain services, the non-idempotent ones at most once.

The error of a failed call states whether the call ran, did not run, or may
have run.
"""

import time
import uuid

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall import httpclient
from briarfall import ids
from briarfall.adapters import service as services
from briarfall.catalogue import entries
from briarfall.limits import retries
from briarfall.orders import claimrouting
from briarfall.orders import claims
from briarfall.orders import keys
from briarfall.pipelines import targets as target_tables

_WAIT_SLICE_S = 1.0
_MIN_CALL_S = 0.05


class OrderRequest(msgspec.Struct):
    """A caller's request for one call of a plain service.

    Attributes:
        client: The client account.
        name: Name of the service's entry.
        service: The entry.
        call: The call as it is sent to a target.
        key: The idempotency key, empty for idempotent calls.
        deadline_s: Monotonic time at which the caller stops waiting.
    """

    client: ids.ClientId
    name: ids.EntryName
    service: entries.Service
    call: services.ServiceCall
    key: str
    deadline_s: float

    @property
    def scoped_key(self) -> str:
        """The idempotency key, prefixed with the client account."""
        return f"{self.client}/{self.key}"

    @property
    def digest(self) -> str:
        """Digest of the call's method, path and body."""
        head = f"{self.call.method} {self.call.path}\n".encode()
        return hashing.digest128_hex(head + self.call.body)

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline."""
        return max(0.0, self.deadline_s - time.monotonic())


class Dispatcher:
    """Sends calls of plain services to their targets.

    Args:
        instance: Name of this instance.
        claim_router: Claims idempotency keys.
        table: States of the targets.
        connect: Returns the adapter of a service target by URL.
        is_live: Returns whether an instance is alive.
        skew_s: Largest difference between two clocks, in seconds.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        claim_router: claimrouting.ClaimRouter,
        table: target_tables.TargetTable,
        connect,
        is_live,
        skew_s: float,
    ):
        self._instance = instance
        self._claim_router = claim_router
        self._table = table
        self._connect = connect
        self._is_live = is_live
        self._skew_s = skew_s
        self._budget = retries.RetryBudget()

    def send(self, req: OrderRequest) -> httpclient.Reply:
        """Sends a call and returns the target's answer.

        Raises:
            BriarfallError: The call failed; `outcome` states whether it ran.
        """
        if req.service.is_idempotent(req.call.method, req.call.path):
            return self._send_idempotent(req)
        return self._send_at_most_once(req)

    def _send_idempotent(self, req: OrderRequest) -> httpclient.Reply:
        failure = None
        self._budget.record_first_attempt()
        for target in self._targets_by_load(req.service):
            if failure is not None and not self._budget.take():
                break
            remaining_s = req.remaining_s()
            if remaining_s < _MIN_CALL_S:
                break
            try:
                return self._call(req, target, remaining_s)
            except exceptions.TargetError as exc:
                failure = exc
        if failure is not None:
            raise failure
        raise exceptions.NoRouteError(f"no target of {req.name} is usable")

    def _send_at_most_once(self, req: OrderRequest) -> httpclient.Reply:
        keys.check_age(
            req.key,
            now_s=time.time(),
            window_s=req.service.window_s,
            skew_s=self._skew_s,
        )
        while True:
            reply = self._try_claim(req)
            if reply is not None:
                return reply
            if req.remaining_s() < _MIN_CALL_S:
                raise exceptions.OrderUnknownError(
                    "the earlier call with this key was given back unsent"
                )

    def _try_claim(self, req: OrderRequest) -> httpclient.Reply | None:
        """Claims the key and sends the call, or replays an earlier answer.

        Returns:
            The answer, or None if the live claim on the key was released in
            the meantime, so that the key can be claimed again.
        """
        claim = claims.Claim(
            req.scoped_key,
            ids.Nonce(uuid.uuid4().hex),
            req.digest,
            self._instance,
        )
        result = self._request_claim(req, claim)
        if not result.won:
            if result.state is None:
                return None
            return self._replay(req, result.state)
        if self._predates_log(req, result):
            self._claim_router.submit(
                req.name, req.service, _make_abandon(claim)
            )
            raise exceptions.KeyExpiredError(
                "the log no longer knows all calls of the time at which the "
                "key was made"
            )
        return self._send_claimed(req, claim)

    def _request_claim(self, req: OrderRequest, claim: claims.Claim):
        try:
            return self._claim_router.claim(
                req.name, req.service, claim, req.remaining_s()
            )
        except exceptions.LogUnavailableError as exc:
            # The claim may be in the log or may still be appended; abandoning
            # it lets a later retry with the same key run.
            self._claim_router.submit(
                req.name, req.service, _make_abandon(claim)
            )
            raise exceptions.OrderUnknownError(
                "the log did not decide on the call in time; it was not "
                "sent now, but an earlier call with this key may have been"
            ) from exc

    def _predates_log(self, req: OrderRequest, result) -> bool:
        if not result.covered_since_s:
            return False
        created_s = keys.key_time(req.key)
        return created_s - self._skew_s < result.covered_since_s

    def _send_claimed(
        self, req: OrderRequest, claim: claims.Claim
    ) -> httpclient.Reply:
        """Sends the call to one target after another, under a won claim.

        The next target is tried only while the call has provably not been
        sent.
        """
        failure: exceptions.BriarfallError = exceptions.NoRouteError(
            f"no target of {req.name} is usable"
        )
        for target in self._targets_by_load(req.service):
            remaining_s = req.remaining_s()
            if remaining_s < _MIN_CALL_S:
                failure = exceptions.DeadlineError("the deadline passed")
                break
            try:
                reply = self._call(req, target, req.service.timeout_s)
            except exceptions.TargetUnreachableError as exc:
                failure = exc
                continue
            except exceptions.TargetError as exc:
                return self._resolve_unknown_outcome(req, claim, exc)
            self._record_answer(req, claim.nonce, reply)
            return reply
        return self._abandon_unsent(req, claim, failure)

    def _abandon_unsent(self, req, claim, failure) -> httpclient.Reply:
        """Abandons a claim whose call was provably not sent, and raises."""
        # The claim was won but no call was sent, so nothing ran under the key.
        self._claim_router.submit(req.name, req.service, _make_abandon(claim))
        failure.outcome = exceptions.Outcome.NOT_RUN
        failure.remedy = "send the call again with the same Idempotency-Key"
        raise failure

    def _resolve_unknown_outcome(self, req, claim, exc) -> httpclient.Reply:
        """Asks the service about a call that may have been executed."""
        logging.warning(
            "order outcome unknown client=%s entry=%s key=%s: %s",
            req.client,
            req.name,
            req.key,
            exc,
        )
        reply = self._look_up_outcome(req)
        if reply is None:
            raise exceptions.OrderUnknownError(
                f"the target failed after the call was sent: {exc.message}"
            ) from exc
        self._record_answer(req, claim.nonce, reply)
        return reply

    def _replay(
        self, req: OrderRequest, state: claims.ClaimState
    ) -> httpclient.Reply | None:
        """Waits for the answer to the call that holds the key.

        Returns:
            The answer, or None if the claim was released while this call
            waited.
        """
        if state.digest != req.digest:
            raise exceptions.KeyReusedError(
                "Idempotency-Key was used for another call"
            )
        while state.done is None:
            if not self._is_live(state.instance) or req.remaining_s() <= 0:
                return self._look_up_and_replay(req, state)
            found = self._claim_router.wait_done(
                req.name,
                req.service,
                req.scoped_key,
                min(_WAIT_SLICE_S, req.remaining_s()),
            )
            if found is None:
                return None
            state = found
        return _replayed_reply(state.done)

    def _look_up_and_replay(self, req, state) -> httpclient.Reply:
        reply = self._look_up_outcome(req)
        if reply is None:
            raise exceptions.OrderUnknownError(
                f"instance {state.instance} has not reported the outcome"
            )
        self._record_answer(req, state.nonce, reply)
        return reply

    def _look_up_outcome(self, req: OrderRequest) -> httpclient.Reply | None:
        """Asks the service for the answer to a call that may have run.

        A reply that the call did not run is not conclusive, because the call
        may still be on its way.

        Returns:
            The answer, or None if the outcome is still unknown.
        """
        if not req.service.lookup:
            return None
        path = req.service.lookup.replace("{key}", req.key)
        call = services.ServiceCall("GET", path, b"", {})
        for target in self._targets_by_load(req.service):
            try:
                reply = self._connect(target.url).send(
                    call,
                    max(_MIN_CALL_S, min(_WAIT_SLICE_S, req.remaining_s())),
                )
            except exceptions.TargetError:
                continue
            if reply.status == 200:
                return reply
        return None

    def _call(self, req, target, timeout_s: float) -> httpclient.Reply:
        self._table.add_in_flight([target.id])
        try:
            reply = self._connect(target.url).send(req.call, timeout_s)
        except exceptions.LocalLimitError:
            raise
        except exceptions.TargetError:
            self._table.record_failure(target.id)
            raise
        finally:
            self._table.remove_in_flight([target.id])
        self._table.record_success([target.id])
        return reply

    def _record_answer(
        self, req, nonce: ids.Nonce, reply: httpclient.Reply
    ) -> None:
        limit = req.service.max_replay_bytes
        done = claims.Done(
            req.scoped_key,
            nonce,
            reply.status,
            reply.headers.get("Content-Type", ""),
            reply.body if len(reply.body) <= limit else b"",
            len(reply.body) > limit,
        )
        self._claim_router.submit(req.name, req.service, done)

    def _targets_by_load(self, service: entries.Service) -> list:
        """Returns usable targets, fewest calls in flight first."""
        usable = self._table.usable(service.targets)
        return sorted(usable, key=lambda t: self._table.status(t.id).in_flight)


def _make_abandon(claim: claims.Claim) -> claims.Abandon:
    return claims.Abandon(claim.key, claim.nonce)


def _replayed_reply(done: claims.Done) -> httpclient.Reply:
    if done.truncated:
        raise exceptions.OrderUnknownError(
            f"the call ran with status {done.status}; its answer was too "
            "large to keep",
            outcome=exceptions.Outcome.RAN,
            remedy="look the result up at the service",
        )
    headers = {"Briarfall-Replayed": "true"}
    if done.content_type:
        headers["Content-Type"] = done.content_type
    return httpclient.Reply(done.status, done.body, headers)
