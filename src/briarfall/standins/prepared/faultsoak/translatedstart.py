"""Starts a gateway process that connects to one host instead of another.

So each process of a soak test reaches the targets at an address of its own,
while all of them know the same addresses: the network between one instance and
the targets can be cut without root and without a change of the gateway.

Usage: translatedstart.py SCRIPT HOST OWN_HOST
"""

import runpy
import socket
import sys


def _translate(host: str, own_host: str) -> None:
    """Makes sockets connect to `own_host` where `host` is asked for."""
    connect = socket.socket.connect
    connect_ex = socket.socket.connect_ex

    def own_address(address):
        return (own_host, *address[1:]) if address[0] == host else address

    def connect_translated(self, address):
        return connect(self, own_address(address))

    def connect_ex_translated(self, address):
        return connect_ex(self, own_address(address))

    socket.socket.connect = connect_translated
    socket.socket.connect_ex = connect_ex_translated


def main() -> None:
    """Runs the script with translated hosts."""
    script, host, own_host = sys.argv[1:]
    _translate(host, own_host)
    sys.argv = [script]
    runpy.run_path(script, run_name="__main__")


if __name__ == "__main__":
    main()
