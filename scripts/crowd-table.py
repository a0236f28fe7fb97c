"""Prints what crowds of clients cost the process of one instance.

Run by hand from a checkout, apart from other load:
    PYTHONPATH=src:. .venv/bin/python scripts/crowd-table.py [CLIENTS...]
"""

import itertools
import pathlib
import sys
import tempfile
import threading

from tests.crowds import crowd

from briarfall.standins.prepared import testbed

_RAM_MB = 222
_MAX_FDS = 1535
_SIZE = 4_194_304
_FAR_OVER = 200 * 1024 * 1024
_SHORT = b"a" * (_SIZE - 1)
# Large writes, since the senders share the process of the look-ups.
_TINY = b"1\r\na\r\n" * 1_048_576
_MORE = b"a" * 65_536
_PRESS_S = 12.0


def _forms() -> dict:
    """Returns the pieces of each form, by name."""
    head = crowd.announced(_SIZE)
    over = _FAR_OVER // len(_MORE)
    chunk = b"%x\r\n%s\r\n" % (len(_MORE), _MORE)
    return {
        "length, one byte short": lambda: [head, _SHORT],
        "the same, 16 KiB at a time": lambda: [head, *crowd.in_pieces(_SHORT)],
        "one chunk, unfinished": lambda: [
            crowd.CHUNKED,
            b"%x\r\n" % _SIZE,
            _SHORT,
        ],
        "chunks of one byte without end": lambda: itertools.chain(
            [crowd.CHUNKED], itertools.repeat(_TINY)
        ),
        "200 MiB announced and sent": lambda: itertools.chain(
            [crowd.announced(_FAR_OVER)], itertools.repeat(_MORE, over)
        ),
        "chunks, 200 MiB": lambda: itertools.chain(
            [crowd.CHUNKED], itertools.repeat(chunk, over)
        ),
    }


class _Lookups(threading.Thread):
    """Sends one look-up at a time until stopped."""

    def __init__(self, gateway: crowd.Gateway):
        super().__init__(daemon=True)
        self._gateway = gateway
        self._stopped = threading.Event()
        self.sent = 0
        self.served = 0

    def run(self) -> None:
        while not self._stopped.is_set():
            self.sent += 1
            status = self._gateway.try_request("GET", "views", f"v{self.sent}")
            self.served += status == 200
            self._stopped.wait(0.05)

    def stop(self) -> None:
        self._stopped.set()
        self.join(crowd.HANG_S)


def _play(name: str, pieces, clients: int) -> str:
    """Returns a row of the table."""
    with testbed.world() as scene, tempfile.TemporaryDirectory() as folder:
        gateway = crowd.Gateway(
            scene,
            pathlib.Path(folder),
            _MAX_FDS,
            ram_mb=_RAM_MB,
            max_body_bytes=_SIZE,
            idle_timeout_ms=15_000,
        )
        lookups = _Lookups(gateway)
        lookups.start()
        rows = crowd.Crowd(gateway.address, clients, pieces, has_end=False)
        threading.Event().wait(_PRESS_S)
        lookups.stop()
        after = gateway.try_request("POST", "orders", "after")
        peak_mb = gateway.peak_kb() * 1024 / 1e6
        sockets = gateway.count_sockets()
        rows.close()
        gateway.close()
    return (
        f"| {clients} | {name} | {gateway.base_kb * 1024 / 1e6:.0f} | "
        f"{peak_mb:.0f} | {sockets} | {lookups.served} of {lookups.sent} | "
        f"{after} |"
    )


def main() -> None:
    """Prints the table."""
    counts = [int(value) for value in sys.argv[1:]] or [60, 200, 300]
    print(
        "| clients | they send | idle, MB | peak, MB | sockets after | "
        "look-ups served | one order after |"
    )
    print("|---|---|---|---|---|---|---|")
    for clients in counts:
        for name, pieces in _forms().items():
            print(_play(name, pieces, clients), flush=True)


if __name__ == "__main__":
    main()
