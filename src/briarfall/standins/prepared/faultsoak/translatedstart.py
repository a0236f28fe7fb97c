"""Starts a gateway process, which may connect to one host instead of another.

So each process of a soak test reaches the targets at an address of its own,
while all of them know the same addresses: the network between one instance and
the targets can be cut without root and without a change of the gateway.

A reload signal would end a process whose interpreter is still starting, before
any code can handle it. A file tells that this is over. The signal is ignored
until the script begins; from then on the script has to handle it.

Usage: translatedstart.py BEGUN_FILE SCRIPT [HOST OWN_HOST]
"""

import signal

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import pathlib  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402


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
    begun, script, *hosts = sys.argv[1:]
    pathlib.Path(begun).touch()
    if hosts:
        _translate(*hosts)
    sys.argv = [script]
    code = compile(pathlib.Path(script).read_bytes(), script, "exec")
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    exec(code, {"__name__": "__main__", "__file__": script})


if __name__ == "__main__":
    main()
