"""Permits to send requests to targets that name a rate limit.

The limit holds for all instances together, so no instance may go by its own
count. Each request to a limited target needs a permit of the target's home
instance, is sent at once and needs another permit for each further attempt.
Without a permit the request goes to another target or is rejected.
"""

import abc
import collections.abc
import math

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.gossip import gossip
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.peers import peers
from briarfall.gateway.ratelimits import permitgrants
from briarfall.gateway.ratelimits import permithomes
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import ratelimits
from briarfall.gateway.targets import targetstate

# A home answers within milliseconds; a throttled process gets processor time
# again within 0.1 s.
_ASK_TIMEOUT_S = 0.15
# A permit that is older has lapsed: the instance was suspended meanwhile.
_PERMIT_TTL_S = 0.25
# Time until the next try if no home answers, or none gives out permits yet.
_NO_HOME_WAIT_S = 0.5
# Shortest time between two requests for a permit of one target.
_MIN_WAIT_S = 0.02


class TargetLimitedError(exceptions.TargetError):
    """A limited target takes no further request now."""

    code = "target_limited"
    outcome = exceptions.Outcome.NOT_RUN


class Permit(msgspec.Struct, frozen=True):
    """Permission to send one request to a target.

    Attributes:
        until_s: Time on the boot clock at which it lapses.
    """

    until_s: float

    def check(self) -> None:
        """Raises if the permit has lapsed.

        Raises:
            TargetLimitedError: It has: the instance was suspended, or the
                connection took long.
        """
        if clocks.boot_s() > self.until_s:
            raise TargetLimitedError("the permit has lapsed before the send")


UNLIMITED = Permit(math.inf)


class PermitSource(abc.ABC):
    """Gives permits to send requests to limited targets."""

    @abc.abstractmethod
    def take(self, request_id: str, target: targetstate.Target) -> Permit:
        """Gets a permit for a request that is sent now.

        Raises:
            TargetLimitedError: No permit is free.
        """


class Permits(PermitSource):
    """Gets permits of other instances and gives them out as a home instance.

    Args:
        instance: Name of this instance.
        limits: Rate limits of targets.
        table: Other instances.
        messenger: Exchanges datagrams with them.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        limits: ratelimits.RateLimitTable,
        table: peers.PeerTable,
        messenger: gossip.Gossip,
    ):
        self._instance = instance
        self._limits = limits
        self._peers = table
        self._gossip = messenger
        self._book = permitgrants.PermitBook()
        self._homes = permithomes.PermitHomes(instance, self._members)
        self._is_stopping = False
        # Number of requests held back since no permit was free.
        self.held_back = 0

    def refresh(self) -> None:
        """Looks at the live instances; called at short intervals."""
        self._homes.refresh()

    def announce_stop(self) -> None:
        """Stops giving out permits; this instance still gets them."""
        self._is_stopping = True
        self._homes.refresh()

    def take(self, request_id: str, target: targetstate.Target) -> Permit:
        """Gets a permit for a request that is sent now.

        Raises:
            TargetLimitedError: No permit is free.
        """
        incarnation = target.incarnation
        limit = self._limits.get(incarnation)
        if limit is None:
            return UNLIMITED
        asked_s = clocks.boot_s()
        home = self._homes.home_of(incarnation)
        grant = self._ask(home, incarnation, limit)
        age_s = clocks.boot_s() - asked_s
        if grant.is_granted and age_s <= _PERMIT_TTL_S:
            logging.info(
                "limited target gets request request=%s target=%s per_s=%s "
                "limit_age_ms=%d limit_from=%s home=%s asked_ms=%d",
                request_id,
                target.id,
                limit.per_s,
                (clocks.boot_s() - limit.heard_s) * 1000,
                limit.origin or "response",
                home,
                age_s * 1000,
            )
            return Permit(asked_s + _PERMIT_TTL_S)
        self.held_back += 1
        now_s = clocks.boot_s()
        target.limited_since_s = now_s
        wait_s = max(_MIN_WAIT_S, grant.wait_s)
        target.limited_until_s = now_s + wait_s
        raise TargetLimitedError(
            f"{target.id}: takes {limit.per_s:g} requests a second from all "
            f"instances, home={home} wait_s={wait_s:.2f}"
        )

    def _ask(
        self,
        home: ids.InstanceId | None,
        incarnation: incarnations.Incarnation,
        limit: ratelimits.RateLimit,
    ) -> permitgrants.Grant:
        if home == self._instance:
            return self._grant(incarnation, limit.per_s)
        peer = self._peers.get(home) if home is not None else None
        if peer is None:
            return permitgrants.Grant(False, _NO_HOME_WAIT_S)
        try:
            answer = self._gossip.ask_permit(
                peer, self._limits.row_of(incarnation, limit), _ASK_TIMEOUT_S
            )
        except exceptions.PeerError as exc:
            logging.info(
                "no permit, the home did not answer target=%s home=%s: %s",
                incarnation.target,
                home,
                exc.message,
            )
            return permitgrants.Grant(False, _NO_HOME_WAIT_S)
        return permitgrants.Grant(answer.is_granted, answer.wait_ms / 1000)

    def answer(
        self, request: peermessages.PermitRequest
    ) -> peermessages.PermitResponse:
        """Returns the answer to another instance's request for a permit."""
        row = request.limit
        incarnation = incarnations.Incarnation(row.target, row.started_ms)
        self._limits.merge([row], request.sender)
        limit = self._limits.get(incarnation)
        if self._limits.has_ended(incarnation):
            grant = permitgrants.Grant(True)
        elif limit is not None:
            grant = self._grant(incarnation, limit.per_s)
        elif ratelimits.is_valid(row) and row.per_s is not None:
            # This instance has not read the target's entry yet.
            grant = self._grant(incarnation, row.per_s)
        else:
            grant = permitgrants.Grant(False, _NO_HOME_WAIT_S)
        return peermessages.PermitResponse(
            request.number, grant.is_granted, round(grant.wait_s * 1000)
        )

    def _grant(
        self,
        incarnation: incarnations.Incarnation,
        per_s: float,
    ) -> permitgrants.Grant:
        """Gives out a permit if this instance is the home of a target."""
        rate = self._homes.rate(incarnation, per_s)
        if rate is None:
            self._book.forget(incarnation)
            return permitgrants.Grant(False, _NO_HOME_WAIT_S)
        return self._book.request(incarnation, rate)

    def record_others(
        self, started: collections.abc.Mapping[ids.TargetId, int]
    ) -> None:
        """Counts requests that instances without permits sent to targets.

        Args:
            started: Number of requests that began, by target.
        """
        for incarnation in self._limits.limited():
            count = started.get(incarnation.target, 0)
            if count > 0:
                self._book.record_use(incarnation, count)

    def _members(self) -> permithomes.Members:
        live = [] if self._is_stopping else [self._instance]
        known = len(live)
        for peer in self._peers.alive():
            if peer.gives_permits:
                live.append(peer.id)
        known += len(self._peers.all())
        return permithomes.Members(
            tuple(sorted(live)), known, self._peers.longest_interval_s
        )
