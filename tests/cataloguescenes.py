"""A store with a manifest, and a follower of the catalogue that reads it."""

import collections.abc
import contextlib

from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.instance import summary
from briarfall.platform import store
from briarfall.platform import topics
from briarfall.standins.prepared import store as storestandin
from briarfall.standins.prepared import testbed

TOPIC = "keyed.op"
REVOKED_KEY = "key-2"
BOTH_KEYS = (testbed.KEY, REVOKED_KEY)
KEY_TTL_S = 5.0
# Longer than keys are accepted without a confirmation.
CUT_S = 12.0
# Reads of the store after which an instance that is behind accepts keys again.
_MAX_READS = 3


class Scene:
    """A store that holds version 1, and a follower that has not read it yet.

    Args:
        clock: The boot clock, which moves when `now_s` is set.
        is_store_poller: Whether the follower polls the store for its zone.

    Attributes:
        clock: The boot clock.
        platform: The store.
        client: The follower's client of the store.
        follower: The follower; its reads don't wait.
    """

    def __init__(self, clock, *, is_store_poller: bool = True):
        self.clock = clock
        self.platform = storestandin.StoreStandin()
        self.publish(1)
        self.client = store.StoreClient(
            self.platform.address, summary.CallCounts(), "test"
        )
        self._is_store_poller = is_store_poller
        self.follower = self.new_follower()

    def new_follower(self) -> catalogue.CatalogueFollower:
        """Returns a follower that has not read anything."""
        found = catalogue.CatalogueFollower(
            topics.CatalogueTopic(self.client),
            KEY_TTL_S,
            lambda: self._is_store_poller,
        )
        found.wait_s = 0.0
        return found

    def publish(self, version: int, keys=BOTH_KEYS, size_bytes=0) -> None:
        """Writes a manifest of at least some size, as the operator does."""
        value = testbed.manifest(version, keys=keys)
        value["comment"] = "x" * size_bytes
        self.platform.put(TOPIC, "config", value)

    def accepts(self, key: str) -> bool:
        """Returns whether a request with the key would be served."""
        return self.follower.is_fresh and key in self.follower.view.accounts

    def step_until_fresh(self) -> None:
        """Steps until keys are accepted; the revoked one never is."""
        before = self._reads()
        while not self.follower.is_fresh:
            self.follower.step()
            assert not self.accepts(REVOKED_KEY)
            assert self._reads() - before <= _MAX_READS

    def _reads(self) -> int:
        calls = self.platform.calls
        return sum(calls.get(name, 0) for name in storestandin.READ_CALLS)

    def close(self) -> None:
        """Ends the connections and the store."""
        self.client.close()
        self.platform.close()


@contextlib.contextmanager
def opened(
    clock, *, is_store_poller: bool = True
) -> collections.abc.Iterator[Scene]:
    """Opens a scene whose follower has read version 1, and closes it."""
    scene = Scene(clock, is_store_poller=is_store_poller)
    try:
        scene.follower.step()
        yield scene
    finally:
        scene.close()
