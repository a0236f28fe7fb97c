"""Faults of the store and of the links to it."""

import random
import time

from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import proxy
from briarfall.standins.prepared.faultsoak import scenes


class StoreLink(faults.FaultKind):
    """Delays or cuts the link of an instance to the store."""

    name = "store_link"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies a fault to one link."""
        link = rng.choice(scene.store_links)
        kinds = [row for row in proxy.LinkFault if row.value != "none"]
        kind = rng.choice(kinds)
        with scene.records.store_fault():
            link.set_fault(kind)
            time.sleep(fault_s)
            link.set_fault(proxy.LinkFault.NONE)
        return kind.value


class Store(faults.FaultKind):
    """Makes the store refuse calls, lose responses or drop old records."""

    name = "store"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies a fault to the store."""
        how = rng.choice(["busy", "reset", "lost", "forget"])
        if how == "forget":
            scene.store.forget("keyed.op")
            return how
        with scene.records.store_fault():
            if how == "lost":
                scene.store.loses_appends = True
            else:
                scene.store.status = 503 if how == "busy" else -1
            time.sleep(fault_s)
            scene.store.status = 0
            scene.store.loses_appends = False
        return how


class KeyChange(faults.FaultKind):
    """Replaces the current key."""

    name = "key"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Revokes the current key."""
        scene.catalogue.revoke_key()
        return scene.catalogue.key
