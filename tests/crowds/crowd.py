"""Crowds of clients that send odd bodies to the process of an instance."""

import collections.abc
import contextlib
import pathlib
import select
import socket
import threading
import time

from briarfall import strictheads
from briarfall.standins.prepared import testbed
from briarfall.standins.prepared.faultsoak import processes

CLIENTS = 40
MAX_BODY_BYTES = 2 * 1024 * 1024
RAM_MB = 64
MAX_FDS = 400
# Descriptors of the limit that are reserved for files.
_FILE_FDS = 200
# What all requests together may add to the memory of the idle process: half
# of the memory of its machine.
ALLOWANCE_KB = RAM_MB * 1024 // 2
# The crowd stays open for the whole test.
_IDLE_TIMEOUT_MS = 600_000
# Ends a test whose process hangs.
HANG_S = 60.0
_PIECE_BYTES = 16_384
_QUIET_S = 1.0
_MAX_SETTLE_S = 10.0

HEAD = (
    b"POST /orders/x HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: key-1\r\n"
    b"X-Request-Id: crowd\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

Pieces = collections.abc.Iterable[bytes]


def announced(size: int) -> bytes:
    """Returns the head of a request with a body of `size` bytes."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % size


def in_pieces(data: bytes) -> list[bytes]:
    """Returns data in pieces of 16 KiB."""
    found = []
    for start in range(0, len(data), _PIECE_BYTES):
        found.append(data[start : start + _PIECE_BYTES])
    return found


class Crowd:
    """Clients that send and then keep their connections open.

    Args:
        address: Address of the process.
        count: Number of clients.
        pieces: Returns what each client sends, write by write.
        has_end: Whether the pieces end.
    """

    def __init__(
        self,
        address: tuple[str, int],
        count: int,
        pieces: collections.abc.Callable[[], Pieces],
        *,
        has_end: bool = True,
    ):
        self._address = address
        self._pieces = pieces
        self._closing = threading.Event()
        self._has_end = has_end
        self._socks: list[socket.socket] = []
        self._threads = []
        for _ in range(count):
            thread = threading.Thread(target=self._send, daemon=True)
            self._threads.append(thread)
            thread.start()

    def _send(self) -> None:
        try:
            sock = socket.create_connection(self._address, HANG_S)
        except OSError:
            return
        self._socks.append(sock)
        # A refused client stops, as its connection is closed.
        with contextlib.suppress(OSError):
            for piece in self._pieces():
                if self._closing.is_set():
                    return
                sock.sendall(piece)

    def wait_sent(self) -> None:
        """Waits until each client has sent all, or was refused."""
        if not self._has_end:
            return
        for thread in self._threads:
            thread.join(HANG_S)
            assert not thread.is_alive(), "the process reads no more"

    def close(self) -> None:
        """Closes all connections."""
        self._closing.set()
        for sock in self._socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join(HANG_S)
        for sock in self._socks:
            sock.close()

    def answers(self) -> list[bytes]:
        """Returns the first bytes that clients have received so far."""
        found = []
        for sock in self._socks:
            if not select.select([sock], [], [], 0)[0]:
                continue
            with contextlib.suppress(OSError):
                found.append(sock.recv(_PIECE_BYTES, socket.MSG_PEEK))
        return found


class Gateway:
    """A process of an instance with lowered limits, and its platform."""

    def __init__(
        self,
        scene: testbed.World,
        folder: pathlib.Path,
        max_fds: int = MAX_FDS,
        *,
        ram_mb: int = RAM_MB,
        max_body_bytes: int = MAX_BODY_BYTES,
        idle_timeout_ms: int = _IDLE_TIMEOUT_MS,
    ):
        scene.service("s1")
        manifest = testbed.manifest(2)
        manifest["limits"]["max_body_bytes"] = max_body_bytes
        manifest["limits"]["idle_timeout_ms"] = idle_timeout_ms
        scene.publish(manifest)
        self._max_sockets = max_fds - _FILE_FDS
        self._row = processes.GatewayProcess(
            "i1",
            "z1",
            scene.store.address,
            folder,
            {"ram_mb": ram_mb, "max_fds": max_fds},
        )
        self._row.start()
        self.order("warm-up")
        self.base_kb = self.peak_kb()
        self._most_sockets = 0

    @property
    def address(self) -> tuple[str, int]:
        """Address for callers."""
        return self._row.front

    def order(self, name: str, body: bytes = b"small") -> None:
        """Sends an ordinary order until it is answered."""
        until_s = time.monotonic() + HANG_S
        tries = 0
        seen = None
        while time.monotonic() < until_s:
            tries += 1
            seen = self.try_request("POST", "orders", f"{name}-{tries}", body)
            if seen == 200:
                return
            time.sleep(0.1)
        raise AssertionError(f"{name}: no answer, the last was {seen}")

    def try_request(
        self, method: str, route: str, request_id: str, body: bytes = b""
    ) -> int | None:
        """Sends one request; returns its status, or None without one."""
        conn = strictheads.StrictConnection(*self.address, timeout=HANG_S)
        headers = {
            "Host": testbed.HOST,
            "X-Api-Key": testbed.KEY,
            "X-Request-Id": request_id,
        }
        try:
            conn.request(method, f"/{route}/x", body=body, headers=headers)
            answer = conn.getresponse()
            answer.read()
            return answer.status
        except OSError:
            return None
        finally:
            conn.close()

    def peak_kb(self) -> int:
        """Returns the peak of the process's memory, in KiB."""
        status = pathlib.Path(f"/proc/{self._row.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        raise AssertionError("the process has ended")

    def count_sockets(self) -> int:
        """Returns the number of sockets that the process has open."""
        found = 0
        for path in pathlib.Path(f"/proc/{self._row.pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                found += str(path.readlink()).startswith("socket:")
        return found

    def settle(self) -> None:
        """Waits until the process has read what was sent."""
        still = self.peak_kb(), self.count_sockets()
        until_s = time.monotonic() + _QUIET_S
        # A crowd without end never rests.
        last_s = time.monotonic() + _MAX_SETTLE_S
        while time.monotonic() < min(until_s, last_s):
            time.sleep(0.05)
            found = self.peak_kb(), self.count_sockets()
            self._most_sockets = max(self._most_sockets, found[1])
            if found != still:
                still = found
                until_s = time.monotonic() + _QUIET_S

    def check(self) -> None:
        """Checks life, memory, descriptors, and one ordinary request."""
        assert self._row.is_running
        self.order("ordinary")
        assert self._row.is_running
        added_kb = self.peak_kb() - self.base_kb
        assert added_kb <= ALLOWANCE_KB, f"{added_kb} KiB above the idle peak"
        self._most_sockets = max(self._most_sockets, self.count_sockets())
        assert self._most_sockets <= self._max_sockets

    def close(self) -> None:
        """Ends the process."""
        self._row.close()
