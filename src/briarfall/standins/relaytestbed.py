"""A log and a paced engine for measurements of a single instance."""

import msgspec

from briarfall.bench import relay
from briarfall.catalogue import commands
from briarfall.catalogue import entries
from briarfall.catalogue import records
from briarfall.standins import log
from briarfall.standins import platform

_LAYERS = 36


class RelayScene:
    """A log with a catalogue of one model, and its paced engine."""

    def __init__(self, port: int = 0):
        self.log = log.LogStandin(port=port)
        self.paced = relay.PacedEngine()

    def start(self) -> None:
        """Starts log and engine and writes the catalogue to the log."""
        self.log.start()
        self.paced.server.start()
        key = entries.hash_key(platform.ADMIN_KEY)
        admin = entries.Operator("platform", [key], entries.Role.ADMINISTRATOR)
        client = entries.Client(
            "platform",
            [entries.hash_key(platform.client_key("tuvatu"))],
            entries.ClientLimits(1e4, 1e6, 10_000),
        )
        target = entries.EngineTarget(
            "paced",
            self.paced.server.url,
            "suva",
            0,
            _LAYERS,
            tokens_per_s=1e6,
        )
        model = entries.Model("platform", _LAYERS, [target])
        self._put("admin", admin, "bootstrap")
        self._put("tuvatu", client)
        self._put("draft", model)

    def stop(self) -> None:
        """Stops engine and log."""
        self.paced.server.stop()
        self.log.stop()

    def _put(self, name: str, value, author: str = "admin") -> None:
        edit = commands.make_edit(
            name, msgspec.json.encode(value), author=author
        )
        self.log.put(records.CONFIG_STREAM, records.encode(edit))
