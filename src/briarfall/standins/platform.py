"""Stand-ins of a small platform with briarfall instances."""

import msgspec

from briarfall import ids
from briarfall import settings
from briarfall import sockets
from briarfall.adapters import instancelist as lists
from briarfall.catalogue import commands
from briarfall.catalogue import entries
from briarfall.catalogue import records
from briarfall.daemon import instance as instances
from briarfall.standins import engine
from briarfall.standins import fleet
from briarfall.standins import instancelist
from briarfall.standins import log
from briarfall.standins import orders

SECRET = "a-shared-secret-for-stand-ins"
ADMIN = "admin"
ADMIN_KEY = "admin-key"
CLIENTS = ("tuvatu", "statens")


def client_key(name: str) -> str:
    """Returns the key of a client of the small platform."""
    return f"{name}-key"


class Platform:
    """Log, instance list, engines, order application and instances.

    Args:
        specs: The engines; an engine id begins with its model's name.
        zones: Availability zones that instances get in turn.
        order_targets: Number of targets of the order application.
        scale: Factor on the engines' simulated time.
        list_lag_s: Read lag of the instance list, in seconds.
    """

    def __init__(
        self,
        specs: list[engine.EngineSpec],
        *,
        zones: tuple[str, ...] = ("suva", "nausori", "lautoka"),
        order_targets: int = 3,
        scale: float = 1.0,
        list_lag_s: float = 0.2,
    ):
        self.log = log.LogStandin()
        self.instance_list = instancelist.InstanceListStandin(list_lag_s)
        self.fleet = fleet.Fleet(specs, scale=scale)
        self.order_ledger = orders.OrderLedger()
        self.orders = [
            orders.OrderStandin(f"orders-{i}", self.order_ledger)
            for i in range(order_targets)
        ]
        self.instances: list[instances.Instance] = []
        self._zones = zones
        self._serial = 0

    def start(self) -> None:
        """Starts the stand-ins."""
        sockets.raise_descriptor_limit()
        for standin in (self.log, self.instance_list, self.fleet, *self.orders):
            standin.start()

    def stop(self) -> None:
        """Stops the instances and the stand-ins."""
        for inst in self.instances:
            inst.stop()
        for standin in (self.log, self.instance_list, self.fleet, *self.orders):
            standin.stop()

    def add_instance(self, **changes) -> instances.Instance:
        """Starts an instance and adds it to the instance list."""
        zone = self._zones[self._serial % len(self._zones)]
        self._serial += 1
        cfg = settings.Settings(
            instance=ids.InstanceId(f"router-{self._serial}"),
            zone=ids.ZoneId(zone),
            log_url=self.log.server.url,
            instance_list_url=self.instance_list.url,
            secret=SECRET,
            drain_grace_s=20.0,
            drain_notice_s=0.2,
            membership=settings.Membership(
                heartbeat_s=0.2, suspect_s=1.0, poll_s=0.2
            ),
        )
        cfg = msgspec.structs.replace(cfg, **changes)
        inst = instances.Instance(cfg)
        inst.start()
        self.instances.append(inst)
        self.instance_list.put(
            lists.ListedInstance(cfg.instance, inst.peer_address, cfg.zone)
        )
        return inst

    def put(
        self,
        name: str,
        value: entries.Entry,
        *,
        if_version: int = 0,
        author: str = ADMIN,
    ) -> int:
        """Appends an edit of an entry to the log; returns the new version."""
        edit = commands.make_edit(
            name,
            msgspec.json.encode(value),
            author=author,
            if_version=if_version,
            reason="set-up",
        )
        data = records.encode(edit)
        return self.log.put(records.CONFIG_STREAM, data) + 1

    def put_accounts(self) -> None:
        """Adds an administrator and the clients to the catalogue."""
        self.put(
            ADMIN,
            entries.Operator(
                owner="platform",
                key_sha256=[entries.hash_key(ADMIN_KEY)],
                role=entries.Role.ADMINISTRATOR,
            ),
            author="bootstrap",
        )
        for name in CLIENTS:
            self.put(
                name,
                entries.Client(
                    owner="platform",
                    key_sha256=[entries.hash_key(client_key(name))],
                    limits=entries.ClientLimits(1e4, 1e6, 10_000),
                ),
            )

    def restart_order_targets(self) -> None:
        """Restarts targets of the order application that were aborted."""
        for number, standin in enumerate(self.orders):
            if not standin.server.is_aborted:
                continue
            port = standin.server.address[1]
            standin.server.stop()
            self.orders[number] = orders.OrderStandin(
                standin.name, self.order_ledger, port
            )
            self.orders[number].start()
            standin.release_port()

    def model(self, name: str, layers: int, **changes) -> entries.Model:
        """Returns the entry of a model on the engines named after it."""
        value = entries.Model(
            owner="platform",
            layers=layers,
            targets=self.fleet.targets(f"{name}-"),
        )
        return msgspec.structs.replace(value, **changes)

    def service(self, **changes) -> entries.Service:
        """Returns the service entry of the order application."""
        value = entries.Service(
            owner="platform",
            targets=[
                entries.ServiceTarget(
                    ids.TargetId(standin.name), standin.url, ids.ZoneId("suva")
                )
                for standin in self.orders
            ],
            idempotent=[entries.IdempotentRule("GET", "/history/*")],
            lookup="/orders/{key}",
        )
        return msgspec.structs.replace(value, **changes)

    def wait_ready(self, timeout_s: float = 10.0) -> bool:
        """Waits until all instances are ready with the newest catalogue."""
        end = len(self.log.records(records.CONFIG_STREAM))
        return all(
            inst.wait_ready(timeout_s)
            and inst.follower.wait_offset(end, timeout_s)
            for inst in self.instances
        )
