"""Builds, starts and stops the components of an instance."""

import threading
import time

from absl import logging

from briarfall import clock as clocks
from briarfall import httpserver
from briarfall import metrics as metric_sets
from briarfall import settings
from briarfall.adapters import engine as engines
from briarfall.adapters import instancelist
from briarfall.adapters import log
from briarfall.adapters import service as services
from briarfall.adapters import weightstore
from briarfall.catalogue import commands
from briarfall.catalogue import entries
from briarfall.catalogue import follower as followers
from briarfall.catalogue import queries
from briarfall.catalogue import snapshots
from briarfall.daemon import admin
from briarfall.daemon import completions
from briarfall.daemon import gauges
from briarfall.daemon import lifecycle
from briarfall.daemon import registries
from briarfall.daemon import servicecalls
from briarfall.engineorders import leases
from briarfall.engineorders import reconciler
from briarfall.limits import admission
from briarfall.limits import clients
from briarfall.limits import shares
from briarfall.membership import gossip
from briarfall.membership import links
from briarfall.membership import messages
from briarfall.membership import peers
from briarfall.membership import rendezvous
from briarfall.membership import sampler
from briarfall.membership import table as member_tables
from briarfall.orders import claimrouting
from briarfall.orders import dispatch
from briarfall.orders import partitions
from briarfall.pipelines import cursors
from briarfall.pipelines import planning
from briarfall.pipelines import poison
from briarfall.pipelines import policies
from briarfall.pipelines import pump
from briarfall.pipelines import relay as relays
from briarfall.pipelines import streams
from briarfall.pipelines import targets as target_tables
from briarfall.pipelines import trialreservations

_SNAPSHOT_SUBJECT = "catalogue snapshot"
_PARTITION_IDLE_S = 60.0
_HOUSEKEEPING_S = 1.0
_SUSPICION_TIMEOUT_S = 1.0
_READY_POLL_S = 0.05


class Instance:
    """An instance that serves callers, operators and other instances.

    Args:
        cfg: Its settings.
        log_adapter: The platform's log; None opens the one at `cfg.log_url`.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        log_adapter: log.LogAdapter | None = None,
    ):
        self.cfg = cfg
        self.metrics = metric_sets.Metrics()
        self.in_flight_requests = lifecycle.InFlightRequests()
        self._stopping = threading.Event()
        self._stopped = threading.Event()
        self._clock = clocks.Clock()
        self.log = log_adapter or log.HttpLogAdapter(cfg.log_url)
        self._build_catalogue()
        self._build_membership()
        self._build_pipelines()
        self._build_orders()
        self._build_engine_orders()
        self._build_limits()
        self._build_gossip()
        self._build_listeners()
        gauges.add_gauges(self)

    def view(self) -> followers.View:
        """Returns the current catalogue."""
        return self.follower.view

    @property
    def caller_url(self) -> str:
        """Base URL of the listener for callers."""
        return self.caller_server.url

    @property
    def admin_url(self) -> str:
        """Base URL of the listener for operators."""
        return self.admin_server.url

    @property
    def peer_address(self) -> str:
        """`host:port` of the listener for other instances."""
        return self._listener.address

    def start(self) -> None:
        """Starts all components.

        The instance is ready once it has read the complete catalogue; see
        `wait_ready`.
        """
        self._listener.start()
        self.follower.start()
        self.watchdog.start()
        self.pump.start()
        self.gossip.start()
        self.sampler.start()
        self.limiter.start()
        self.snapshots.start()
        self.reconciler.start()
        self.admin_server.start()
        self.caller_server.start()
        threading.Thread(
            target=self._run_housekeeping, name="housekeeping", daemon=True
        ).start()
        logging.info(
            "started instance=%s callers=%s admin=%s peers=%s",
            self.cfg.instance,
            self.caller_url,
            self.admin_url,
            self.peer_address,
        )

    def wait_ready(self, timeout_s: float) -> bool:
        """Waits until the instance serves callers.

        Returns:
            Whether it does within `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        if not self.follower.caught_up.wait(timeout_s):
            return False
        while (
            self.in_flight_requests.stage is lifecycle.LifecycleStage.STARTING
        ):
            if time.monotonic() > deadline:
                return False
            self._stopping.wait(_READY_POLL_S)
        return True

    def drain(self) -> bool:
        """Stops once the requests in flight have ended, or the grace is over.

        Returns:
            Whether all requests ended and all queued operations on orders
            reached the log in time.
        """
        deadline = time.monotonic() + self.cfg.drain_grace_s
        self.in_flight_requests.set_stage(
            lifecycle.LifecycleStage.STOP_ANNOUNCED
        )
        self.members.announce(state=member_tables.MemberState.LEAVING)
        # The balancer needs time to detect that the instance is not ready.
        self._stopping.wait(
            min(self.cfg.drain_notice_s, self.cfg.drain_grace_s)
        )
        self.in_flight_requests.set_stage(lifecycle.LifecycleStage.DRAINING)
        is_empty = self.in_flight_requests.wait_empty(
            max(0.0, deadline - time.monotonic())
        )
        is_flushed = self.partitions.flush(
            max(1.0, deadline - time.monotonic())
        )
        logging.info(
            "drained instance=%s finished=%s flushed=%s",
            self.cfg.instance,
            is_empty,
            is_flushed,
        )
        self.stop()
        return is_empty and is_flushed

    def request_drain(self) -> None:
        """Starts `drain` on a thread of its own."""
        threading.Thread(target=self.drain, name="drain", daemon=True).start()

    def wait_stopped(self, timeout_s: float | None = None) -> bool:
        """Waits until the instance has stopped."""
        return self._stopped.wait(timeout_s)

    def pause(self, seconds: float) -> None:
        """Waits for a time, or until the instance begins to stop."""
        self._stopping.wait(seconds)

    def stop(self) -> None:
        """Stops all components without waiting for requests in flight."""
        self.in_flight_requests.set_stage(lifecycle.LifecycleStage.STOPPED)
        self._stop_components()
        self.caller_server.stop()
        self.admin_server.stop()
        self._stopped.set()

    def kill(self) -> None:
        """Resets every connection and stops, to simulate a crash."""
        self.caller_server.abort()
        self.admin_server.abort()
        self.in_flight_requests.set_stage(lifecycle.LifecycleStage.STOPPED)
        self._stop_components()
        for server in (self.caller_server, self.admin_server):
            threading.Thread(target=server.stop, daemon=True).start()
        self._stopped.set()

    def _stop_components(self) -> None:
        self._stopping.set()
        self.gossip.stop()
        self.sampler.stop()
        self.reconciler.stop()
        self.limiter.stop()
        self.snapshots.stop()
        self._listener.stop()
        self.peers.close()
        self.partitions.stop()
        self.follower.stop()
        self.watchdog.stop()
        self.pump.stop()
        self.relay.close()

    def _build_catalogue(self) -> None:
        cfg = self.cfg
        self.follower = followers.Follower(
            self.log, clock=self._clock, on_change=self._apply_catalogue
        )
        self.editor = commands.Editor(self.log, self.follower)
        self.queries = queries.Queries(self.follower)
        self.snapshots = snapshots.SnapshotWriter(
            self.log,
            self.follower,
            interval_s=cfg.snapshot_s,
            is_writer=lambda: self._is_chosen(_SNAPSHOT_SUBJECT),
        )

    def _build_membership(self) -> None:
        cfg = self.cfg
        self.counters = links.Counters()
        security = links.Security(_secrets(cfg), cfg.tls)
        self._handlers = links.Handlers()
        self._listener = links.LinkListener(
            cfg.instance, cfg.peer, security, self._handlers, self.counters
        )
        local_member = member_tables.Member(
            cfg.instance,
            self._listener.address,
            cfg.zone,
            int(time.time() * 1000),
        )
        self.members = member_tables.MemberTable(local_member, self._clock)
        self.peers = peers.PeerSet(
            self.members, security, self._handlers, self.counters
        )
        self._instance_list = (
            instancelist.HttpInstanceListAdapter(cfg.instance_list_url)
            if cfg.instance_list_url
            else instancelist.EmptyInstanceListAdapter()
        )

    def _build_pipelines(self) -> None:
        cfg = self.cfg
        self.engines = registries.AdapterCache(engines.HttpEngineAdapter)
        self.targets = target_tables.TargetTable(
            self._clock, lambda: len(self.members.live())
        )
        self._link_costs: dict = {}
        self.planner = planning.Planner(self.targets, self._link_cost)
        self.poison_guard = poison.PoisonGuard(
            cfg.instance, self._clock, query_peer=self._query_suspicion
        )
        self.trials = trialreservations.TrialReservations(
            cfg.instance, self.peers
        )
        self.pump = pump.Pump()
        self.watchdog = streams.Watchdog(self.targets, self.engines.get)
        self.relay = relays.Relay(
            self.planner,
            self.targets,
            self.watchdog,
            self.poison_guard,
            self.trials,
            self.engines.get,
            self._link_cost,
        )
        self.cursor_codec = cursors.CursorCodec(_secrets(cfg), cfg.cursor_ttl_s)

    def _build_orders(self) -> None:
        cfg = self.cfg
        self.services = registries.AdapterCache(services.HttpServiceAdapter)
        self.partitions = partitions.PartitionSet(self.log, cfg.clock_skew_s)
        self.claim_router = claimrouting.ClaimRouter(
            cfg.instance, self.partitions, self.peers
        )
        self.dispatcher = dispatch.Dispatcher(
            cfg.instance,
            self.claim_router,
            self.targets,
            self.services.get,
            self.members.is_live,
            cfg.clock_skew_s,
        )

    def _build_engine_orders(self) -> None:
        cfg = self.cfg
        store = None
        if cfg.weight_store_url:
            store = weightstore.HttpWeightStoreAdapter(cfg.weight_store_url)
        self.leases = leases.LeaseManager(cfg.instance, self.log, cfg.lease_s)
        self.reconciler = reconciler.Reconciler(
            cfg.instance,
            self.members.live,
            self.view,
            self.leases,
            self.engines.get,
            reconciler.WeightPacer(store),
            cfg.reconcile_s,
        )

    def _build_limits(self) -> None:
        self.limiter = clients.ClientLimiter(
            self.cfg.instance,
            self._client_limits,
            self.members.live,
            lambda: len(self.members.all()),
            self.peers,
            self._clock,
        )
        self.admission_gates = registries.AdmissionGates()
        self.estimator = admission.Estimator(
            self.planner, lambda: len(self.members.live())
        )

    def _build_gossip(self) -> None:
        self.gossip = gossip.Gossip(
            self.members,
            self.peers,
            self.targets,
            self.poison_guard,
            self._instance_list,
            self.follower,
            self.cfg.membership,
            self.cfg.seeds,
        )
        self.sampler = sampler.Sampler(
            self.cfg.instance,
            self.members.live,
            self.view,
            self.engines.get,
            self.targets,
            self.gossip,
        )
        add = self._handlers.add
        add("gossip", messages.Heartbeat, self.gossip.handle_heartbeat)
        add("members", str, self.gossip.handle_members)
        add("poison", poison.Suspicion, self.gossip.handle_suspicion)
        add("poison.ask", str, self._handle_suspicion_query)
        table = self.trials.table
        add("trials.reserve", trialreservations.ReserveCall, table.reserve)
        add("trials.release", trialreservations.ReleaseCall, table.release)
        add("catalogue.pull", followers.PullCall, self.follower.handle_pull)
        add(
            "orders.claim",
            claimrouting.ClaimCall,
            self.claim_router.handle_claim,
        )
        add(
            "orders.submit",
            claimrouting.SubmitCall,
            self.claim_router.handle_submit,
        )
        add("orders.wait", claimrouting.WaitCall, self.claim_router.handle_wait)
        add("limits.demand", shares.DemandCall, self.limiter.handle_demand)

    def _build_listeners(self) -> None:
        cfg = self.cfg
        routes = httpserver.Router()
        handler = completions.CompletionHandler(self)
        routes.add("POST", "/v1/completions", handler.handle)
        calls = servicecalls.ServiceHandler(self)
        routes.add("*", "/services/{entry}/{path*}", calls.handle)
        self.caller_server = httpserver.HttpServer(
            cfg.caller.host,
            cfg.caller.port,
            routes.handle,
            name="callers",
            max_body=cfg.max_body_bytes,
            on_error=lambda exc: self.metrics.errors.inc(),
        )
        self.admin_server = httpserver.HttpServer(
            cfg.admin.host,
            cfg.admin.port,
            admin.AdminHandler(self).routes().handle,
            name="admin",
            on_error=lambda exc: self.metrics.errors.inc(),
        )

    def _apply_catalogue(self, view: followers.View) -> None:
        costs = {}
        for topology in view.of_kind(entries.Topology).values():
            for link in topology.links:
                cost = policies.LinkCost(link.delay_s, link.bytes_per_s)
                costs[(link.a, link.b)] = cost
                costs[(link.b, link.a)] = cost
        self._link_costs = costs
        self.targets.apply_catalogue(_configured_targets(view))
        self.members.announce(applied=view.offset)
        self.gossip.wake()

    def _link_cost(self, src: str, dst: str) -> policies.LinkCost:
        return self._link_costs.get((src, dst)) or policies.LinkCost()

    def _client_limits(self, client: str) -> entries.ClientLimits | None:
        value = self.view().values.get(client)
        return value.limits if isinstance(value, entries.Client) else None

    def _is_chosen(self, subject: str) -> bool:
        chosen = rendezvous.choose(subject, self.members.live())
        return chosen == self.cfg.instance

    def _query_suspicion(self, peer: str, fingerprint: str):
        try:
            found = self.peers.call(
                peer,
                "poison.ask",
                fingerprint,
                list[poison.Suspicion],
                _SUSPICION_TIMEOUT_S,
            )
        except Exception as exc:
            logging.info(
                "poison state of %s not read from peer: %s", fingerprint, exc
            )
            return None
        return found[0] if found else None

    def _handle_suspicion_query(
        self, fingerprint: str
    ) -> list[poison.Suspicion]:
        found = self.poison_guard.lookup(fingerprint)
        return [found] if found else []

    def _run_housekeeping(self) -> None:
        self.follower.caught_up.wait()
        if self.in_flight_requests.stage is lifecycle.LifecycleStage.STARTING:
            self.in_flight_requests.set_stage(lifecycle.LifecycleStage.READY)
        while not self._stopping.wait(_HOUSEKEEPING_S):
            self.partitions.close_idle(_PARTITION_IDLE_S)


def _configured_targets(view: followers.View) -> dict[str, bool]:
    """Returns all targets of a catalogue and whether each is draining."""
    wanted: dict[str, bool] = {}
    pools = [
        *view.of_kind(entries.Model).values(),
        *view.of_kind(entries.Service).values(),
    ]
    for entry in pools:
        for target in entry.targets:
            is_draining = target.state is entries.TargetState.DRAINING
            wanted[target.id] = wanted.get(target.id, False) or is_draining
    return wanted


def _secrets(cfg: settings.Settings) -> list[str]:
    if cfg.previous_secret:
        return [cfg.secret, cfg.previous_secret]
    return [cfg.secret]
