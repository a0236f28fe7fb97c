"""Sends non-idempotent calls at most once, and says truly what happened."""

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
from briarfall.orders import claims
from briarfall.orders import keys
from briarfall.orders import sequencer as sequencers
from briarfall.pipelines import targets as target_tables

_WAIT_SLICE_S = 1.0
_MIN_CALL_S = 0.05


class OrderRequest(msgspec.Struct):
    """A call of a plain service, prepared once and then sent.

    Attributes:
        client: The client account.
        name: Name of the service's entry.
        service: The entry.
        call: The call as the target gets it.
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
        """The key within its client."""
        return f"{self.client}/{self.key}"

    @property
    def digest(self) -> str:
        """Digest of what is called with what."""
        head = f"{self.call.method} {self.call.path}\n".encode()
        return hashing.digest128_hex(head + self.call.body)

    def left_s(self) -> float:
        """Returns the seconds until the deadline."""
        return max(0.0, self.deadline_s - time.monotonic())


class Dispatcher:
    """Routes calls of plain services.

    Args:
        instance: Name of this instance.
        sequencer: Claims keys.
        table: States of the targets.
        connect: Returns the adapter of a service target by URL.
        is_live: Returns whether an instance is alive.
        skew_s: Largest difference between clocks.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        sequencer: sequencers.Sequencer,
        table: target_tables.TargetTable,
        connect,
        is_live,
        skew_s: float,
    ):
        self._instance = instance
        self._sequencer = sequencer
        self._table = table
        self._connect = connect
        self._is_live = is_live
        self._skew_s = skew_s
        self._budget = retries.RetryBudget()

    def send(self, req: OrderRequest) -> httpclient.Reply:
        """Sends a call and returns the target's answer.

        Raises:
            BriarfallError: With a truthful outcome.
        """
        if req.service.is_idempotent(req.call.method, req.call.path):
            return self._send_idempotent(req)
        return self._send_once(req)

    def _send_idempotent(self, req: OrderRequest) -> httpclient.Reply:
        failure = None
        self._budget.record_first_attempt()
        for target in self._targets(req.service):
            if failure is not None and not self._budget.take():
                break
            left_s = req.left_s()
            if left_s < _MIN_CALL_S:
                break
            try:
                return self._call(req, target, left_s)
            except exceptions.TargetError as exc:
                failure = exc
        if failure is not None:
            raise failure
        raise exceptions.NoRouteError(f"no target of {req.name} is usable")

    def _send_once(self, req: OrderRequest) -> httpclient.Reply:
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
            if req.left_s() < _MIN_CALL_S:
                raise exceptions.OrderUnknownError(
                    "the earlier call with this key was given back unsent"
                )

    def _try_claim(self, req: OrderRequest) -> httpclient.Reply | None:
        """Returns the answer, or None if the live claim was given back."""
        claim = claims.Claim(
            req.scoped_key,
            ids.Nonce(uuid.uuid4().hex),
            req.digest,
            self._instance,
        )
        result = self._claim(req, claim)
        if not result.won:
            if result.state is None:
                return None
            return self._replay(req, result.state)
        if self._is_uncovered(req, result):
            self._sequencer.submit(req.name, req.service, _abandon(claim))
            raise exceptions.KeyExpiredError(
                "the log no longer keeps the time at which the key was made"
            )
        return self._run(req, claim)

    def _claim(self, req: OrderRequest, claim: claims.Claim):
        try:
            return self._sequencer.claim(
                req.name, req.service, claim, req.left_s()
            )
        except exceptions.LogUnavailableError as exc:
            # The claim may be on the log or may still get there; giving it
            # back lets a later retry of the same key run.
            self._sequencer.submit(req.name, req.service, _abandon(claim))
            raise exceptions.OrderUnknownError(
                "the log did not decide on the call in time; it was not "
                "sent now, but an earlier call with this key may have been"
            ) from exc

    def _is_uncovered(self, req: OrderRequest, result) -> bool:
        if not result.covered_since_s:
            return False
        made_s = keys.key_time(req.key)
        return made_s - self._skew_s < result.covered_since_s

    def _run(self, req: OrderRequest, claim: claims.Claim) -> httpclient.Reply:
        """Sends the call; only the holder of a won claim comes here."""
        failure: exceptions.BriarfallError = exceptions.NoRouteError(
            f"no target of {req.name} is usable"
        )
        for target in self._targets(req.service):
            left_s = req.left_s()
            if left_s < _MIN_CALL_S:
                failure = exceptions.DeadlineError("the deadline passed")
                break
            try:
                reply = self._call(req, target, req.service.timeout_s)
            except exceptions.TargetUnreachableError as exc:
                failure = exc
                continue
            except exceptions.TargetError as exc:
                return self._settle(req, claim, exc)
            self._finish(req, claim.nonce, reply)
            return reply
        return self._give_back(req, claim, failure)

    def _give_back(self, req, claim, failure) -> httpclient.Reply:
        """Abandons a claim whose call was provably not sent."""
        # The claim was won and never used, so nothing ran under this key.
        self._sequencer.submit(req.name, req.service, _abandon(claim))
        failure.outcome = exceptions.Outcome.NOT_RUN
        failure.remedy = "send the call again with the same Idempotency-Key"
        raise failure

    def _settle(self, req, claim, exc) -> httpclient.Reply:
        """Handles a call that may have been executed."""
        logging.warning(
            "order outcome unknown client=%s entry=%s key=%s: %s",
            req.client,
            req.name,
            req.key,
            exc,
        )
        reply = self._look_up(req)
        if reply is None:
            raise exceptions.OrderUnknownError(
                f"the target failed after the call was sent: {exc.message}"
            ) from exc
        self._finish(req, claim.nonce, reply)
        return reply

    def _replay(
        self, req: OrderRequest, state: claims.ClaimState
    ) -> httpclient.Reply | None:
        """Returns the answer of the call that holds the key.

        None means that the claim was given back while this call waited.
        """
        if state.digest != req.digest:
            raise exceptions.KeyReusedError(
                "Idempotency-Key was used for another call"
            )
        while state.done is None:
            if not self._is_live(state.instance) or req.left_s() <= 0:
                return self._replay_unsettled(req, state)
            found = self._sequencer.wait_done(
                req.name,
                req.service,
                req.scoped_key,
                min(_WAIT_SLICE_S, req.left_s()),
            )
            if found is None:
                return None
            state = found
        return _reply_of(state.done)

    def _replay_unsettled(self, req, state) -> httpclient.Reply:
        reply = self._look_up(req)
        if reply is None:
            raise exceptions.OrderUnknownError(
                f"instance {state.instance} has not reported the outcome"
            )
        self._finish(req, state.nonce, reply)
        return reply

    def _look_up(self, req: OrderRequest) -> httpclient.Reply | None:
        """Asks the service whether the call ran; None if not known.

        An answer that it did not run settles nothing, because the call may
        still be on its way.
        """
        if not req.service.lookup:
            return None
        path = req.service.lookup.replace("{key}", req.key)
        call = services.ServiceCall("GET", path, b"", {})
        for target in self._targets(req.service):
            try:
                reply = self._connect(target.url).send(
                    call, max(_MIN_CALL_S, min(_WAIT_SLICE_S, req.left_s()))
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

    def _finish(self, req, nonce: ids.Nonce, reply: httpclient.Reply) -> None:
        limit = req.service.max_replay_bytes
        done = claims.Done(
            req.scoped_key,
            nonce,
            reply.status,
            reply.headers.get("Content-Type", ""),
            reply.body if len(reply.body) <= limit else b"",
            len(reply.body) > limit,
        )
        self._sequencer.submit(req.name, req.service, done)

    def _targets(self, service: entries.Service) -> list:
        """Returns usable targets, the least used ones first."""
        usable = self._table.usable(service.targets)
        return sorted(usable, key=lambda t: self._table.status(t.id).in_flight)


def _abandon(claim: claims.Claim) -> claims.Abandon:
    return claims.Abandon(claim.key, claim.nonce)


def _reply_of(done: claims.Done) -> httpclient.Reply:
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
