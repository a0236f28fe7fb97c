"""Tells dead engines from slow ones while a stream is silent."""

import collections.abc
import enum
import errno
import select
import socket
import threading

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import paths

# A living engine accepts a connection within a few milliseconds.
_CONNECT_S = 0.02
# An event proves that its engines worked up to about this long before.
_TRANSIT_S = 0.03


class ProgressTable:
    """When each engine was last seen at work by any stream of ours."""

    def __init__(self):
        self._lock = threading.Lock()
        self._seen_s: dict[ids.TargetId, float] = {}

    def note(self, chain: paths.Chain, now_s: float) -> None:
        """Notes an event that all engines of a chain had a part in."""
        with self._lock:
            for part in chain.parts:
                self._seen_s[part.target] = now_s

    def silent_since(
        self, chain: paths.Chain, event_s: float
    ) -> list[paths.Part]:
        """Returns the engines that nobody saw at work after an event."""
        with self._lock:
            silent = []
            for part in chain.parts:
                seen_s = self._seen_s.get(part.target, 0.0)
                if seen_s < event_s + _TRANSIT_S:
                    silent.append(part)
            return silent

    def find_dead(self, parts: list[paths.Part]) -> list[paths.Part]:
        """Returns engines that do not accept a connection at once.

        Those that do count as seen at work, so that streams which fall
        silent together do not all connect to them.
        """
        dead = unreachable(parts)
        now_s = clocks.boot_s()
        with self._lock:
            for part in parts:
                if part not in dead:
                    self._seen_s[part.target] = now_s
        return dead


class Reach(enum.Enum):
    """How a target answered an attempt to connect."""

    OPEN = "open"
    # Nothing listens any more: its process has ended.
    REFUSED = "refused"
    SILENT = "silent"


def unreachable(
    parts: collections.abc.Iterable[paths.Part],
) -> list[paths.Part]:
    """Returns the engines that do not accept a connection at once."""
    rows = list(parts)
    reached = _connect_twice({part.address for part in rows})
    return [part for part in rows if reached[part.address] is not Reach.OPEN]


def reach(address: str) -> Reach:
    """Returns how a target answers an attempt to connect."""
    return _connect_twice({address})[address]


def _connect_twice(addresses: set[str]) -> dict[str, Reach]:
    """Connects to addresses, once more where that fails.

    One lost packet must not make a target look dead.
    """
    reached = _connect(addresses)
    again = {
        address for address, how in reached.items() if how is not Reach.OPEN
    }
    if again:
        reached.update(_connect(again))
    return reached


def _connect(addresses: set[str]) -> dict[str, Reach]:
    pending: dict[int, tuple[socket.socket, str]] = {}
    reached = {}
    poller = select.poll()
    for address in addresses:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex((host, int(port)))
        if code not in (0, errno.EINPROGRESS):
            reached[address] = _reach_of(code)
            sock.close()
            continue
        pending[sock.fileno()] = (sock, address)
        poller.register(sock, select.POLLOUT)
    until_s = clocks.boot_s() + _CONNECT_S
    while pending:
        # A process that had no processor for a while still looks once.
        left_s = max(0.0, until_s - clocks.boot_s())
        ready = poller.poll(left_s * 1000)
        if not ready and clocks.boot_s() >= until_s:
            break
        for number, _ in ready:
            sock, address = pending.pop(number)
            poller.unregister(number)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            reached[address] = _reach_of(code)
            sock.close()
    for sock, address in pending.values():
        reached[address] = Reach.SILENT
        sock.close()
    return reached


def _reach_of(code: int) -> Reach:
    if not code:
        return Reach.OPEN
    return Reach.REFUSED if code == errno.ECONNREFUSED else Reach.SILENT
