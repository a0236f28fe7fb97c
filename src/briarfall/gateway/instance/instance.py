"""One gateway instance: its components, its start and its stop."""

import random
import socket
import threading

from absl import logging

from briarfall.gateway import metrics
from briarfall.gateway.callers import callerhandler
from briarfall.gateway.callers import errorguard
from briarfall.gateway.callers import listener
from briarfall.gateway.callers import listensocket
from briarfall.gateway.callers import plannedstop
from briarfall.gateway.calls import bodybudget
from briarfall.gateway.calls import budgets
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import poisonpersistence
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import plain
from briarfall.gateway.forwarding import relaying
from briarfall.gateway.forwarding import streams
from briarfall.gateway.gossip import gossip
from briarfall.gateway.gossip import peerresponder
from briarfall.gateway.gossip import peerstatus
from briarfall.gateway.gossip import targetfollower
from briarfall.gateway.instance import config
from briarfall.gateway.instance import gauges
from briarfall.gateway.instance import processlimits
from briarfall.gateway.instance import statushandler
from briarfall.gateway.instance import summary
from briarfall.gateway.peers import peers
from briarfall.gateway.peers import relaypeers
from briarfall.gateway.placement import leasing
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.placement import paths
from briarfall.gateway.placement import placementcontroller
from briarfall.gateway.ratelimits import permits
from briarfall.gateway.scheduling import demands
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import ratelimits
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals

# Interval of checks for open connections during a planned stop.
_STOP_POLL_S = 0.05


class Platform:
    """Interfaces of the platform that an instance uses.

    Attributes:
        header_names: Names of the HTTP headers.
        ready_path: Path of the load balancer's readiness check.
        catalogue: Source to which operators publish the catalogue.
        targets: Source in which targets register.
        lease: Store of the placement lease.
        instances: Source in which instances announce themselves.
        engines: Commands to engines and their reports.
        poison: Store that keeps poison requests.
        store_calls: Counts of the calls to the platform's store.
        ignored_records: Counts of the records that can't be used.
    """

    header_names: headernames.HeaderNames
    ready_path: str
    catalogue: sources.CatalogueSource
    targets: sources.TargetSource
    lease: sources.LeaseSource
    instances: sources.InstanceSource
    engines: sources.EngineControl
    poison: sources.PoisonSource
    store_calls: summary.CallCounts
    ignored_records: summary.CallCounts


class Instance:
    """A gateway instance.

    Args:
        cfg: Settings.
        platform: Interfaces of the platform.
        pool: Connections to targets.
        listeners: Sockets that already listen, by "IP address:port".
        peer_pool: Connections to other instances.
    """

    def __init__(
        self,
        cfg: config.GatewaySettings,
        platform: Platform,
        pool: connections.ConnectionPool,
        listeners: dict[str, socket.socket] | None = None,
        peer_pool: connections.ConnectionPool | None = None,
    ):
        listeners = listeners or {}
        peer_pool = peer_pool or connections.ConnectionPool()
        rng = random.Random()
        self.stop = plannedstop.PlannedStop(cfg.drain_grace_s)
        self._cfg = cfg
        self._platform = platform
        self._pool = pool
        self._peer_pool = peer_pool
        self.metrics = metrics.Metrics()
        bounds = processlimits.of(cfg.memory_mb, cfg.max_descriptors)
        self.bodies = bodybudget.BodyBudget(bounds.body_bytes)
        self.crashes = crashes.CrashTable(rng)
        activity = liveness.ReceiveActivity()
        self.loads = loads.LoadTable()
        self.targets = targets.TargetTable()
        self.rate_limits = ratelimits.RateLimitTable(self.targets)
        self.targets.add_incarnation_end_listener(self.rate_limits.remove_ended)
        self.peers = peers.PeerTable(cfg.instance, cfg.zone, cfg.cores)
        self.demands = demands.DemandTable(
            count_unheard=self.peers.count_unheard
        )
        self.link = linkadmission.LinkAdmission(
            self.peers.link_demand_mbps,
            others_by_class=self.demands.link_mbps,
            rng=rng,
        )
        self.reserve = kvreserve.KvReserve(self.demands.kv_tokens)
        self.follower = catalogue.CatalogueFollower(
            platform.catalogue,
            cfg.key_ttl_s,
            self._is_store_poller,
            self.peers.zone_count,
        )
        self.lease = leasing.Lease(platform.lease, cfg.instance)
        peer_sock = listensocket.open_listener(cfg.peer.host, cfg.peer.port)
        self.peer_status = peerstatus.StatusExchange(
            self.peers,
            self.loads,
            self.targets,
            self.follower,
            self.lease,
            self.crashes,
            self.link,
            self.rate_limits,
            self.demands,
            self.reserve,
        )
        self.gossip = gossip.Gossip(
            sources.InstanceRecord(
                cfg.instance,
                "{}:{}".format(*peer_sock.getsockname()),
                cfg.zone,
                cfg.cores,
            ),
            platform.instances,
            self.peers,
            self.loads,
            self.peer_status,
            peerresponder.PeerResponder(self.targets, self.follower),
            activity,
        )
        self.permits = permits.Permits(
            cfg.instance, self.rate_limits, self.peers, self.gossip
        )
        self.gossip.set_permit_responder(
            self.permits.answer, self.permits.refresh
        )
        self.peer_status.set_others_listener(self.permits.record_others)
        self.rate_limits.add_listener(self.gossip.send_status_now)
        self.follower.add_listener(
            lambda: self.targets.add_services(self.follower.view.services)
        )
        self.follower.add_listener(self.gossip.send_status_now)
        self.follower.set_fetcher(self.gossip.fetch_version)
        self.follower.set_peer_waiter(self.gossip.wait_for_peers)
        self.targets.add_listener(self.gossip.send_status_now)
        self.links = linkmonitor.LinkMonitor(self.targets, pool, peer_pool, rng)
        self.links.add_listener(self.gossip.send_status_now)
        self.peer_status.set_relay_status(self._relay_status)
        self._poison_persister = poisonpersistence.PoisonPersister(
            platform.poison, self.crashes
        )
        self.crashes.add_change_listener(self.gossip.send_status_now)
        self.target_follower = targetfollower.TargetFollower(
            platform.targets,
            self.targets,
            self.follower,
            pool,
            self.peers,
            self.gossip,
            cfg.leaving_bound_s,
        )
        self.placement_controller = placementcontroller.PlacementController(
            self.lease,
            platform.engines,
            self.follower,
            self.peers,
            self.targets,
            self.loads,
        )
        self.budget = budgets.RetryBudget(
            cfg.retry_ratio,
            cfg.retry_window_s,
            cfg.retry_slack,
            lambda: self.peers.instance_count,
            is_first_start=cfg.is_first_start,
        )
        dispatch_gate = dispatchgate.DispatchGate(
            self.budget, self.crashes, self.permits
        )
        self.relay = relaying.Relay(
            platform.header_names,
            cfg.instance,
            self.peers,
            relaypeers.RelayPeers(self.peers, cfg.zone, rng),
            peer_pool,
            dispatch_gate,
            self.targets,
            self.metrics,
            self._version,
        )
        target_signals = targetsignals.TargetSignals(
            platform.header_names,
            self.targets,
            self.metrics,
            self.rate_limits,
        )
        detector = crashdetection.CrashDetector(self.crashes, self.targets)
        finder = paths.ChainFinder(self.loads, cfg.zone, rng)
        self._caller_handler = callerhandler.CallerHandler(
            platform.header_names,
            self.follower,
            self.targets,
            plain.PlainForwarder(
                platform.header_names,
                cfg.zone,
                self.targets,
                self.loads,
                pool,
                self.links,
                self.relay,
                dispatch_gate,
                detector,
                target_signals,
                rng,
                self.metrics,
            ),
            streams.StreamForwarder(
                platform.header_names,
                self.targets,
                self.loads,
                finder,
                self.link,
                platform.engines,
                pool,
                self.links,
                self.relay,
                dispatch_gate,
                detector,
                target_signals,
                self.metrics,
                activity,
                rng,
                self.reserve,
            ),
            self._poison_persister.loaded,
            self.budget,
            self.stop,
            self.metrics,
            errorguard.ErrorGuard(
                "callers", platform.header_names, self.metrics
            ),
            self.bodies,
            rng,
        )
        own_gauges = gauges.of_instance(self)
        gauges.register(self, platform, own_gauges)
        self._summary = summary.SummaryLogger(
            {name: read for name, (_, read) in own_gauges.items()},
            platform.store_calls,
        )
        self._caller_listener = listener.Listener(
            cfg.caller.host,
            cfg.caller.port,
            self._caller_handler.serve,
            name="callers",
            sock=listeners.get(f"{cfg.caller.host}:{cfg.caller.port}"),
            max_connections=bounds.caller_connections,
            make_room=self._caller_handler.caller_bodies.refuse_slowest,
        )
        self._relay_listener = listener.Listener(
            cfg.peer.host,
            cfg.peer.port,
            self._caller_handler.serve_peer,
            name="peers",
            sock=peer_sock,
            max_connections=bounds.peer_connections,
            make_room=self._caller_handler.peer_bodies.refuse_slowest,
        )
        self._caller_handler.watch_crowds(
            lambda: self._caller_listener.is_crowded,
            lambda: self._relay_listener.is_crowded,
        )
        self._status_listener = listener.Listener(
            cfg.status.host,
            cfg.status.port,
            statushandler.StatusHandler(
                platform.ready_path,
                lambda: self.is_ready,
                errorguard.ErrorGuard(
                    "status", platform.header_names, self.metrics
                ),
                self.metrics,
            ).serve,
            name="status",
            sock=listeners.get(f"{cfg.status.host}:{cfg.status.port}"),
        )

    def _relay_status(self) -> peerstatus.RelayStatus:
        return peerstatus.RelayStatus(self.is_ready, self.links.cut_services)

    def _version(self) -> int:
        view = self.follower.view
        return view.version if view else -1

    def _is_store_poller(self) -> bool:
        return None in self.peers.store_pollers(
            targetfollower.STORE_POLLERS_PER_ZONE
        )

    @property
    def caller_address(self) -> tuple[str, int]:
        """IP address and port for callers."""
        return self._caller_listener.address

    @property
    def status_address(self) -> tuple[str, int]:
        """IP address and port for readiness checks and metrics."""
        return self._status_listener.address

    @property
    def peer_address(self) -> tuple[str, int]:
        """IP address and port for requests that peers relay."""
        return self._relay_listener.address

    @property
    def open_connections(self) -> int:
        """Number of open connections of callers."""
        return self._caller_listener.open_connections

    @property
    def open_relay_connections(self) -> int:
        """Number of open connections on which peers relay requests."""
        return self._relay_listener.open_connections

    @property
    def refused_connections(self) -> int:
        """Number of connections that were refused, as too many were open."""
        return self._caller_listener.refused + self._relay_listener.refused

    @property
    def _has_connections(self) -> bool:
        return bool(self.open_connections or self.open_relay_connections)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this instance."""
        if self.stop.is_requested:
            return False
        return self.follower.is_fresh and self.targets.read_s is not None

    def start(self) -> None:
        """Starts all threads."""
        self._status_listener.start()
        self._caller_listener.start()
        self._relay_listener.start()
        self.links.start()
        self.follower.start()
        self.target_follower.start()
        self.gossip.start()
        self.placement_controller.start()
        self._poison_persister.start()
        self._summary.start()
        logging.info(
            "started instance=%s zone=%s", self._cfg.instance, self._cfg.zone
        )

    def wait_for_stop(self) -> None:
        """Waits until a planned stop is requested and carries it out."""
        self.stop.wait()
        logging.info("stopping instance=%s", self._cfg.instance)
        self.placement_controller.stop()
        self.permits.announce_stop()
        self.gossip.announce_stop()
        pause = threading.Event()
        while self.stop.left_s > 0:
            is_ending = self.stop.phase is plannedstop.StopPhase.ENDING
            if is_ending and not self._has_connections:
                break
            pause.wait(_STOP_POLL_S)
        self._caller_listener.stop()
        self._relay_listener.stop()
        # Connections that were accepted in the meantime are still served.
        while self._has_connections and self.stop.left_s > 0:
            pause.wait(_STOP_POLL_S)
        logging.info(
            "stopped instance=%s left_s=%.1f %s",
            self._cfg.instance,
            self.stop.left_s,
            self._summary.describe(),
        )

    def reload(self, cfg: config.GatewaySettings) -> None:
        """Applies the bounds and times of changed settings.

        Changes of addresses, name, zone and cores take effect at the next
        start.
        """
        self.follower.set_key_ttl(cfg.key_ttl_s)
        self.target_follower.set_bound(cfg.leaving_bound_s)
        self.budget.set_bounds(
            cfg.retry_ratio, cfg.retry_window_s, cfg.retry_slack
        )
        self.stop.set_grace(cfg.drain_grace_s)
        self._cfg = cfg

    def close(self) -> None:
        """Ends all threads at once, without a planned stop."""
        self._caller_listener.stop()
        self._relay_listener.stop()
        self._status_listener.stop()
        self.links.stop()
        self.follower.stop()
        self.target_follower.stop()
        self.placement_controller.stop()
        self._poison_persister.stop()
        self._summary.stop()
        self.gossip.close()
        self._pool.close()
        self._peer_pool.close()
