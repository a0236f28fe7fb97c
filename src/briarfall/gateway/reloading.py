"""Puts changed settings in force, with or without a signal."""

import collections.abc
import os
import pathlib
import threading

from absl import logging

from briarfall import exceptions
from briarfall.gateway import config
from briarfall.gateway import workers

# Settings may change without a signal; a look at the file costs little.
_LOOK_S = 2.0

Parse = collections.abc.Callable[[bytes], config.GatewaySettings]
Apply = collections.abc.Callable[[config.GatewaySettings], None]


class SettingsWatcher(workers.Worker):
    """Reads the settings file again when it has changed.

    Args:
        path: The file.
        parse: Returns checked settings.
        apply: Puts settings in force.
    """

    def __init__(self, path: str, parse: Parse, apply: Apply):
        super().__init__("settings")
        self._path = pathlib.Path(path)
        self._parse = parse
        self._apply = apply
        self._raw = self._path.read_bytes()
        self._stamp = self._stat()
        self._asked = threading.Event()

    def ask(self) -> None:
        """Looks at the file at once."""
        self._asked.set()

    def _stat(self) -> tuple[int, int, int]:
        row = os.stat(self._path)
        return row.st_ino, row.st_size, row.st_mtime_ns

    def step(self) -> None:
        """Waits for a signal or the next look, and reads what changed."""
        is_asked = self._asked.wait(_LOOK_S)
        self._asked.clear()
        try:
            stamp = self._stat()
            if stamp == self._stamp and not is_asked:
                return
            raw = self._path.read_bytes()
        except OSError as exc:
            logging.warning("settings not read: %s", exc)
            return
        self._stamp = stamp
        if raw == self._raw:
            logging.info("settings reloaded changed=0")
            return
        try:
            cfg = self._parse(raw)
        except exceptions.SettingsError as exc:
            logging.error("settings ignored: %s", exc)
            return
        self._raw = raw
        self._apply(cfg)
        logging.info("settings reloaded changed=1")
