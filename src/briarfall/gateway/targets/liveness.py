"""Liveness checks that distinguish dead engines from slow ones."""

import collections.abc
import contextlib
import enum
import errno
import select
import socket

from absl import logging

from briarfall import addresses as address_parser
from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway.exchanges import dialing

# Live engines accept a connection within a few milliseconds of each other; one
# that lags the first answer by this much is dead.
_MAX_LAG_S = 0.02
# Before the first answer the fault may be at this instance: a process whose CPU
# quota is used up is throttled for up to 0.1 s.
_FIRST_ANSWER_TIMEOUT_S = 0.2
# Time without any datagram or event after which this process may lack CPU time.
_STARVED_AFTER_S = 0.05
# Datagrams and events per second from which such a time is unusual.
_MIN_USUAL_PER_S = 40


class ReceiveActivity:
    """When this process last received anything.

    An instance receives messages of other instances many times a second. If it
    received nothing at all for a while, it lacked CPU time or network itself,
    and a stalled stream says nothing about its engines.
    """

    def __init__(self):
        self._last_received_s = 0.0
        # Messages received in the current second and in the previous one.
        self._second = 0
        self._count = 0
        self._previous_count = 0

    def record(self) -> None:
        """Records that a datagram or an event was received."""
        self._last_received_s = clocks.boot_s()
        second = int(self._last_received_s)
        if second != self._second:
            is_next = second == self._second + 1
            self._previous_count = self._count if is_next else 0
            self._second = second
            self._count = 0
        self._count += 1

    @property
    def is_starved(self) -> bool:
        """Whether nothing was received recently, though much usually is."""
        if max(self._count, self._previous_count) < _MIN_USUAL_PER_S:
            return False
        return clocks.boot_s() - self._last_received_s > _STARVED_AFTER_S


class Reachability(enum.Enum):
    """Result of an attempt to connect to a target."""

    OPEN = "open"
    # Nothing listens on the port any more: the target's process has ended.
    REFUSED = "refused"
    UNRESPONSIVE = "silent"
    # No target answered, so that the fault may be at this instance, or no
    # connection was attempted.
    UNKNOWN = "unknown"


class ConnectRound:
    """Evaluates attempts to connect that were started together.

    Args:
        addresses: The addresses.
        started_s: Time on the boot clock at which the attempts were started.
    """

    def __init__(
        self, addresses: collections.abc.Iterable[str], started_s: float
    ):
        self._pending = set(addresses)
        self._is_single = len(self._pending) == 1
        self._until_s = started_s + _FIRST_ANSWER_TIMEOUT_S
        self._results: dict[str, Reachability] = {}
        self._skipped: set[str] = set()

    @property
    def until_s(self) -> float:
        """Time on the boot clock until which to wait for answers."""
        return self._until_s

    def record(
        self, address: str, reachability: Reachability, now_s: float
    ) -> None:
        """Records the result of one attempt."""
        if not self._results:
            self._until_s = min(self._until_s, now_s + _MAX_LAG_S)
        self._pending.discard(address)
        self._results[address] = reachability

    def skip(self, address: str) -> None:
        """Records that no connection was attempted."""
        self._pending.discard(address)
        self._skipped.add(address)

    def results(self) -> dict[str, Reachability]:
        """Returns the result of each address.

        An address without an answer is unresponsive if another one answered or
        if it is the only one; otherwise its result is unknown.
        """
        by_address = dict(self._results)
        missing = Reachability.UNKNOWN
        if by_address or self._is_single:
            missing = Reachability.UNRESPONSIVE
        for address in self._pending:
            by_address[address] = missing
        for address in self._skipped:
            by_address[address] = Reachability.UNKNOWN
        return by_address


def probe_target(
    address: str,
    references: collections.abc.Iterable[str] = (),
    dialer: dialing.Dialer = dialing.SYSTEM_DIALER,
) -> Reachability:
    """Connects to a target and returns the result.

    Args:
        address: Its address.
        references: Addresses of targets that are assumed to live; their
            answers distinguish a dead target from a fault of this instance.
        dialer: Opens the connections.
    """
    return probe_all({address, *references}, dialer)[address]


def probe_all(
    addresses: set[str], dialer: dialing.Dialer
) -> dict[str, Reachability]:
    """Connects to addresses, a second time to those that do not answer.

    The second attempt keeps one lost packet from making a target look dead.

    Args:
        addresses: IP addresses with ports.
        dialer: Opens the connections.

    Returns:
        The result of each address.
    """
    results = _connect_all(addresses, dialer)
    repeated = set()
    open_address = None
    for address, reachability in results.items():
        if reachability is Reachability.UNRESPONSIVE:
            repeated.add(address)
        elif reachability is Reachability.OPEN:
            open_address = address
    if repeated and open_address is not None:
        repeated.add(open_address)
        results.update(_connect_all(repeated, dialer))
    return results


def _connect_all(
    addresses: set[str], dialer: dialing.Dialer = dialing.SYSTEM_DIALER
) -> dict[str, Reachability]:
    """Connects once to each address; closes all sockets whatever happens."""
    attempts = ConnectRound(addresses, clocks.boot_s())
    with contextlib.ExitStack() as opened:
        pending = {}
        for address in addresses:
            sock = _start_connect(address, attempts, opened, dialer)
            if sock is not None:
                pending[sock.fileno()] = (sock, address)
        _await_connects(pending, attempts)
    return attempts.results()


def _start_connect(
    address: str,
    attempts: ConnectRound,
    opened: contextlib.ExitStack,
    dialer: dialing.Dialer,
) -> socket.socket | None:
    """Starts to connect; returns the socket if its result is pending."""
    try:
        endpoint = address_parser.parse(address, "probe")
        sock, code = dialer.start_connect(endpoint)
    except (exceptions.CatalogueError, OSError) as exc:
        # An OSError says that this process has no descriptor left, nothing
        # about the target.
        logging.warning("probe not attempted, its result is unknown: %s", exc)
        attempts.skip(address)
        return None
    opened.enter_context(sock)
    if code in (0, errno.EINPROGRESS):
        return sock
    sock.close()
    attempts.record(address, _reachability_of(code), clocks.boot_s())
    return None


def _await_connects(
    pending: dict[int, tuple[socket.socket, str]], attempts: ConnectRound
) -> None:
    poller = select.poll()
    for number in pending:
        poller.register(number, select.POLLOUT)
    while pending:
        # Poll once even after the deadline: a throttled process may find that
        # an answer has arrived in the meantime.
        left_s = max(0.0, attempts.until_s - clocks.boot_s())
        ready = poller.poll(left_s * 1000)
        if not ready and clocks.boot_s() >= attempts.until_s:
            return
        for number, _ in ready:
            sock, address = pending.pop(number)
            poller.unregister(number)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            attempts.record(address, _reachability_of(code), clocks.boot_s())
            sock.close()


def _reachability_of(code: int) -> Reachability:
    if not code:
        return Reachability.OPEN
    return (
        Reachability.REFUSED
        if code == errno.ECONNREFUSED
        else Reachability.UNRESPONSIVE
    )
