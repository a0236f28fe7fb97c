"""Runs a gateway instance on the platform."""

import os
import signal
import socket

from briarfall import allocator
from briarfall import logs
from briarfall.gateway import metrics
from briarfall.gateway.exchanges import connections
from briarfall.gateway.instance import instance
from briarfall.gateway.instance import settingswatcher
from briarfall.gateway.instance import summary
from briarfall.platform import deferredcalls
from briarfall.platform import earlylisteners
from briarfall.platform import engines
from briarfall.platform import epochs
from briarfall.platform import headers
from briarfall.platform import leasetopic
from briarfall.platform import settings
from briarfall.platform import signals
from briarfall.platform import store
from briarfall.platform import topics


class StorePlatform(instance.Platform):
    """The platform as the gateway uses it: store, engines, header names.

    Attributes:
        epochs: Epoch of the store, which its clients share.
    """

    def __init__(self, address: str, pool: connections.ConnectionPool):
        self.header_names = headers.HEADERS
        self.ready_path = headers.READY_PATH
        self.store_calls = summary.CallCounts()
        self.ignored_records = summary.CallCounts()
        self.epochs = epochs.EpochTracker()
        self._clients: list[store.StoreClient] = []

        def new_client(purpose: str) -> store.StoreClient:
            client = store.StoreClient(
                address, self.store_calls, purpose, self.epochs
            )
            self._clients.append(client)
            return client

        self.catalogue = topics.CatalogueTopic(new_client("catalogue"))
        self.targets = topics.TargetTopic(
            new_client("target"), self.ignored_records
        )
        self.lease = leasetopic.LeaseTopic(
            new_client("lease"), self.ignored_records
        )
        self.instances = topics.InstanceTopic(
            new_client("instance"), self.ignored_records
        )
        self.epochs.add_listener(
            deferredcalls.DeferredCall(self.instances.announce_again).request
        )
        self.poison = topics.PoisonTopic(
            new_client("poison"), self.ignored_records
        )
        self.engines = engines.EngineCalls(pool)

    def close(self) -> None:
        """Closes the connections to the store."""
        for client in self._clients:
            client.close()


def run(data: bytes, listeners: dict[str, socket.socket]) -> None:
    """Runs an instance until it receives SIGTERM and has stopped.

    SIGHUP makes the instance read its settings file again.

    Args:
        data: Content of the settings file.
        listeners: Open listening sockets, keyed by `<IP number>:<port>`.
    """
    # Threads inherit the mask, so that only the receiver takes these signals.
    signals.block((signal.SIGTERM, signal.SIGHUP))
    cfg = settings.parse(data)
    allocator.configure()
    logs.configure_bounded(cfg.instance)
    pool = connections.ConnectionPool()
    platform = StorePlatform(cfg.store_address, pool)
    gateway_instance = instance.Instance(cfg, platform, pool, listeners)
    add_store_gauges(gateway_instance.metrics, platform.epochs)
    path = os.environ[earlylisteners.SETTINGS_VARIABLE]
    watcher = settingswatcher.SettingsWatcher(
        path, data, settings.parse, gateway_instance.reload
    )
    receiver = signals.SignalReceiver(
        {
            signal.SIGTERM: gateway_instance.stop.request,
            signal.SIGHUP: watcher.request_reload,
        }
    )
    gateway_instance.start()
    watcher.start()
    receiver.start()
    gateway_instance.wait_for_stop()


def add_store_gauges(
    found: metrics.Metrics, tracker: epochs.EpochTracker
) -> None:
    """Adds the store's epoch and the number of its changes to metrics."""
    found.add_gauge(
        "briarfall_store_epoch",
        "Epoch of the store, which rises when it is restored from a copy.",
        lambda: tracker.current,
    )
    found.add_gauge(
        "briarfall_store_restores",
        "Changes of the store's epoch since the start of the instance.",
        lambda: tracker.changes,
    )
