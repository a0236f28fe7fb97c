"""Small shared parts of an instance."""

import threading

from briarfall.catalogue import entries
from briarfall.limits import admission


class AdapterCache:
    """Adapters by URL, made when first needed."""

    def __init__(self, make):
        self._make = make
        self._lock = threading.Lock()
        self._adapters: dict = {}

    def get(self, url: str):
        """Returns the adapter of a URL."""
        adapter = self._adapters.get(url)
        if adapter is None:
            with self._lock:
                adapter = self._adapters.get(url)
                if adapter is None:
                    adapter = self._make(url)
                    self._adapters[url] = adapter
        return adapter

    def close(self) -> None:
        """Closes all adapters."""
        with self._lock:
            for adapter in self._adapters.values():
                adapter.close()
            self._adapters.clear()


class Gates:
    """One admission gate for each model."""

    def __init__(self):
        self._lock = threading.Lock()
        self._gates: dict[str, admission.Gate] = {}

    def get(self, name: str, model: entries.Model) -> admission.Gate:
        """Returns the gate of a model, with its current limit."""
        limit = model.limits.max_concurrent
        with self._lock:
            gate = self._gates.get(name)
            if gate is None:
                gate = admission.Gate(limit)
                self._gates[name] = gate
        if gate.limit != limit:
            gate.set_limit(limit)
        return gate
