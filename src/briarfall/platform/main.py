"""Runs a gateway instance on the prepared platform."""

import os
import signal
import socket

from briarfall import logs
from briarfall.gateway import connections
from briarfall.gateway import instance
from briarfall.gateway import reloading
from briarfall.gateway import summary
from briarfall.platform import early
from briarfall.platform import engines
from briarfall.platform import headers
from briarfall.platform import settings
from briarfall.platform import store
from briarfall.platform import topics


class StorePlatform(instance.Platform):
    """The prepared platform: its store, its engines, its names."""

    def __init__(self, address: str, pool: connections.ConnectionPool):
        self.header_names = headers.HEADERS
        self.ready_path = headers.READY_PATH
        self.store_calls = summary.CallCounts()

        def client(purpose: str) -> store.Store:
            return store.Store(address, self.store_calls, purpose)

        self.catalogue = topics.CatalogueTopic(client("catalogue"))
        self.targets = topics.TargetTopic(client("target"))
        self.lease = topics.LeaseTopic(client("lease"))
        self.instances = topics.InstanceTopic(client("instance"))
        self.poison = topics.PoisonTopic(client("poison"))
        self.engines = engines.EngineCalls(pool)


def run(data: bytes, listeners: dict[str, socket.socket]) -> None:
    """Runs an instance until it is told to stop.

    Args:
        data: The settings file.
        listeners: Sockets that listen already, by IP number and port.
    """
    cfg = settings.parse(data)
    logs.configure_bounded(cfg.instance)
    pool = connections.ConnectionPool()
    program = instance.Instance(
        cfg, StorePlatform(cfg.store_address, pool), pool, listeners
    )
    signal.signal(signal.SIGTERM, lambda *_: program.stop.request())
    path = os.environ[early.SETTINGS_VARIABLE]
    watcher = reloading.SettingsWatcher(path, settings.parse, program.reload)
    signal.signal(signal.SIGHUP, lambda *_: watcher.request_reload())
    program.start()
    watcher.start()
    program.wait_for_stop()
