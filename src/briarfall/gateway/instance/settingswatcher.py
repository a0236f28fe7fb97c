"""Applies changes of the settings file, on a signal or on its own."""

import collections.abc
import os
import pathlib
import threading

from absl import logging

from briarfall import exceptions
from briarfall.gateway import workers
from briarfall.gateway.instance import config

# Interval of checks of the file, which may change without a signal. A check
# costs little.
_CHECK_INTERVAL_S = 2.0

Parse = collections.abc.Callable[[bytes], config.GatewaySettings]
Apply = collections.abc.Callable[[config.GatewaySettings], None]


class SettingsWatcher(workers.Worker):
    """Reloads the settings file when it has changed.

    Args:
        path: Path of the settings file.
        applied: Content of the file that is in force. The file may have changed
            since it was read.
        parse: Parses and checks the content of the file.
        apply: Puts parsed settings in force.
    """

    def __init__(self, path: str, applied: bytes, parse: Parse, apply: Apply):
        super().__init__("settings")
        self._path = pathlib.Path(path)
        self._parse = parse
        self._apply = apply
        self._raw = applied
        self._stamp: tuple[int, int, int] | None = None
        self._reload_requested = threading.Event()
        self.request_reload()

    def request_reload(self) -> None:
        """Makes the watcher read the file at once."""
        self._reload_requested.set()

    def _stat(self) -> tuple[int, int, int]:
        row = os.stat(self._path)
        return row.st_ino, row.st_size, row.st_mtime_ns

    def step(self) -> None:
        """Waits for a request or the next check, and applies changes."""
        is_requested = self._reload_requested.wait(_CHECK_INTERVAL_S)
        self._reload_requested.clear()
        try:
            stamp = self._stat()
            if stamp == self._stamp and not is_requested:
                return
            raw = self._path.read_bytes()
        except OSError as exc:
            logging.warning(
                "settings not read, the current ones stay in force: %s", exc
            )
            return
        self._stamp = stamp
        if raw == self._raw:
            logging.info("settings reloaded changed=0")
            return
        try:
            cfg = self._parse(raw)
        except exceptions.SettingsError as exc:
            logging.error(
                "settings ignored, the current ones stay in force: %s", exc
            )
            return
        self._raw = raw
        self._apply(cfg)
        logging.info("settings reloaded changed=1")
