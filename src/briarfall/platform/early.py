"""Listens before the rest of the program is imported.

Imports take a few tenths of a second of a restart. Callers that connect
meanwhile wait for their answer; without a listener they would be refused.
"""

import json
import os
import pathlib
import socket

from briarfall.gateway import listening

SETTINGS_VARIABLE = "BRIARFALL_SETTINGS"


def read_settings() -> bytes:
    """Returns the settings file as it is."""
    return pathlib.Path(os.environ[SETTINGS_VARIABLE]).read_bytes()


def open_listeners(data: bytes) -> dict[str, socket.socket]:
    """Returns listening sockets by the address in the settings file.

    A file that can't be read opens nothing; the start itself reports it.
    """
    try:
        listen = json.loads(data)["listen"]
        addresses = [listen["front"], listen["ready"]]
        found = {}
        for address in addresses:
            host, _, port = address.rpartition(":")
            found[address] = listening.open_listener(host, int(port))
        return found
    except (ValueError, KeyError, TypeError, AttributeError, OSError):
        return {}
