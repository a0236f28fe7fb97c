"""Opens the listeners before the rest of the program is imported.

Imports take a few tenths of a second of a restart. Callers that connect in
the meantime wait in the accept queue; without a listener their connections
would be refused.
"""

import json
import os
import pathlib
import socket

from briarfall.gateway.callers import listensocket

SETTINGS_VARIABLE = "BRIARFALL_SETTINGS"


def read_settings() -> bytes:
    """Returns the undecoded content of the settings file."""
    return pathlib.Path(os.environ[SETTINGS_VARIABLE]).read_bytes()


def open_listeners(data: bytes) -> dict[str, socket.socket]:
    """Returns listening sockets, keyed by their address in the settings.

    Returns an empty dictionary if the settings are malformed or an address
    can't be opened; the regular start-up then reports the error.
    """
    try:
        listen = json.loads(data)["listen"]
        addresses = [listen["front"], listen["ready"]]
        listeners = {}
        for address in addresses:
            host, _, port = address.rpartition(":")
            listeners[address] = listensocket.open_listener(host, int(port))
        return listeners
    except (
        ValueError,
        LookupError,
        TypeError,
        AttributeError,
        OSError,
        OverflowError,
        RecursionError,
    ):
        return {}
