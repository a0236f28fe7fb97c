"""Connects to targets to learn whether their links work."""

import errno
import select
import socket

from absl import logging
import msgspec

from briarfall import addresses as address_parser
from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.targets import targetstate

# A target in the same region accepts a connection within milliseconds; a
# throttled process gets CPU time again within 0.1 s.
_CONNECT_TIMEOUT_S = 0.25
# Time for which a connection has to stay open: some faults reset it at once.
_HOLD_S = 0.1


class _Attempt(msgspec.Struct):
    address: str
    sock: socket.socket
    is_open: bool = False
    # Time on the boot clock at which it ends.
    until_s: float = 0.0


def probe(
    dialer: dialing.Dialer, addresses: list[str]
) -> dict[str, targetstate.LinkFault | None]:
    """Connects to addresses at once and closes the connections again.

    Returns:
        For each address how its link fails, or None if it works. Addresses to
        which no attempt could be made are left out.
    """
    results: dict[str, targetstate.LinkFault | None] = {}
    attempts: dict[int, _Attempt] = {}
    poller = select.poll()
    until_s = clocks.boot_s() + _CONNECT_TIMEOUT_S
    for address in set(addresses):
        try:
            endpoint = address_parser.parse(address, "link probe")
            sock, code = dialer.start_connect(endpoint)
        except (exceptions.CatalogueError, OSError) as exc:
            # An OSError says that this process has no descriptor left.
            logging.warning("link not probed, its state is unknown: %s", exc)
            continue
        if code not in (0, errno.EINPROGRESS):
            results[address] = _fault_of(code)
            sock.close()
            continue
        attempts[sock.fileno()] = _Attempt(address, sock, until_s=until_s)
        poller.register(sock, select.POLLOUT)
    while attempts:
        first_s = min(row.until_s for row in attempts.values())
        left_s = max(0.0, first_s - clocks.boot_s())
        for number, _ in poller.poll(left_s * 1000):
            row = attempts[number]
            if _advance(poller, row, results):
                _end(poller, attempts, number)
        now_s = clocks.boot_s()
        for number, row in list(attempts.items()):
            if row.until_s > now_s:
                continue
            results[row.address] = (
                None if row.is_open else targetstate.LinkFault.TIMEOUT
            )
            _end(poller, attempts, number)
    return results


def _advance(
    poller: select.poll,
    row: _Attempt,
    results: dict[str, targetstate.LinkFault | None],
) -> bool:
    """Handles an event of an attempt; returns whether it has ended."""
    if row.is_open:
        results[row.address] = _fault_of_read(row.sock)
        return True
    code = row.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        results[row.address] = _fault_of(code)
        return True
    row.is_open = True
    row.until_s = clocks.boot_s() + _HOLD_S
    poller.modify(row.sock, select.POLLIN)
    return False


def _end(
    poller: select.poll, attempts: dict[int, _Attempt], number: int
) -> None:
    row = attempts.pop(number)
    poller.unregister(row.sock)
    row.sock.close()


def _fault_of(code: int) -> targetstate.LinkFault:
    if code == errno.ECONNREFUSED:
        return targetstate.LinkFault.REFUSED
    if code == errno.ECONNRESET:
        return targetstate.LinkFault.RESET
    return targetstate.LinkFault.TIMEOUT


def _fault_of_read(sock: socket.socket) -> targetstate.LinkFault | None:
    try:
        data = sock.recv(1)
    except OSError:
        return targetstate.LinkFault.RESET
    return None if data else targetstate.LinkFault.RESET
