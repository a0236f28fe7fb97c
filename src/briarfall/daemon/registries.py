"""Adapters and admission gates that the components of an instance share."""

import threading

from briarfall.catalogue import entries
from briarfall.limits import admission


class AdapterCache:
    """Adapters by URL, created on first use.

    Args:
        factory: Returns a new adapter for a URL.
    """

    def __init__(self, factory):
        self._factory = factory
        self._lock = threading.Lock()
        self._adapters: dict = {}

    def get(self, url: str):
        """Returns the adapter for a URL, creating it if needed."""
        adapter = self._adapters.get(url)
        if adapter is None:
            with self._lock:
                adapter = self._adapters.get(url)
                if adapter is None:
                    adapter = self._factory(url)
                    self._adapters[url] = adapter
        return adapter

    def close(self) -> None:
        """Closes all adapters."""
        with self._lock:
            for adapter in self._adapters.values():
                adapter.close()
            self._adapters.clear()


class AdmissionGates:
    """The admission gates of all models, one for each."""

    def __init__(self):
        self._lock = threading.Lock()
        self._gates: dict[str, admission.Gate] = {}

    def get(self, name: str, model: entries.Model) -> admission.Gate:
        """Returns the gate of a model, set to the limit in its entry.

        Args:
            name: Name of the model's entry.
            model: The current entry.
        """
        limit = model.limits.max_concurrent
        with self._lock:
            gate = self._gates.get(name)
            if gate is None:
                gate = admission.Gate(limit)
                self._gates[name] = gate
        if gate.limit != limit:
            gate.set_limit(limit)
        return gate
