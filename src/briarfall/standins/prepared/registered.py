"""What stand-ins of targets have in common: entry, faults and ledgers."""

import enum
import threading
import time

import msgspec

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import store

_TARGETS = "keyed.servers"


class Fault(enum.Enum):
    """What a service does with requests."""

    NONE = "none"
    REFUSE = "refuse"
    FAIL = "fail"
    RESET_AFTER_RUN = "reset_after_run"
    CUT_BODY = "cut_body"
    HANG = "hang"
    GARBAGE = "garbage"
    EXTRA_ANSWER = "extra_answer"
    MISDIRECTED = "misdirected"
    ENDLESS_GARBAGE = "endless_garbage"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_INTERIM = "endless_interim"
    ENDLESS_FAILURE = "endless_failure"
    CRASH = "crash"
    CRASH_AND_RESTART = "crash_and_restart"


CRASHES = (Fault.CRASH, Fault.CRASH_AND_RESTART)
# What comes first, and then again and again until the connection is closed.
ENDLESS = {
    Fault.ENDLESS_GARBAGE: (b"", b"\x00\x01\xff" * 5000),
    Fault.ENDLESS_HEAD: (
        b"HTTP/1.1 200 OK\r\n",
        b"X-Part: %s\r\n" % (b"a" * 900),
    ),
    Fault.ENDLESS_INTERIM: (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    Fault.ENDLESS_FAILURE: (
        b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"a" * 4096 + b"\r\n",
    ),
}


class RanRequest(msgspec.Struct, frozen=True):
    """A line of a service's ledger."""

    request_id: str
    method: str
    target: str
    body: bytes
    headers: dict[str, str]


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a target."""

    time_s: float
    request_id: str
    born: int = 1


class Notice(msgspec.Struct, frozen=True):
    """What an answer said of its target.

    Attributes:
        time_s: When it was sent.
        request_id: The request that was answered.
        is_leaving: Whether the target takes no new requests.
        quiet_s: How long it wants no requests.
        born: Lifetime of the target.
    """

    time_s: float
    request_id: str
    is_leaving: bool
    quiet_s: float
    born: int = 1


def _seconds(value: str) -> float:
    try:
        return float(value)
    except ValueError:
        return 0.0


class Registered:
    """A target with an entry on the store."""

    def __init__(
        self,
        platform: store.StoreStandin,
        target_id: str,
        service: str,
        zone: str,
    ):
        self._platform = platform
        self.id = target_id
        self.service = service
        self.zone = zone
        self.beat = 0
        self.born = 1
        self.state = "ready"
        self.fault = Fault.NONE
        self.says_leaving = False
        # Value of Retry-After in refusals, or empty.
        self.retry_after = ""
        # Requests whose path ends so crash it.
        self.crash_marker = ""
        self.crashed_s: list[float] = []
        self.arrivals: list[Arrival] = []
        self.notices: list[Notice] = []
        self.sent_bytes = 0
        self.lock = threading.Lock()
        self.ran: list[RanRequest] = []
        self.released = threading.Event()
        self.server = rawhttp.RawServer(self.handle)
        self.address = self.server.address

    def handle(self, conn, req) -> bool:
        """Serves one request."""
        raise NotImplementedError

    def register(self, **extra) -> None:
        """Writes the entry."""
        self.beat += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.beat,
            "born": self.born,
            **extra,
        }
        self._platform.put(_TARGETS, self.id, entry)

    def leave(self) -> None:
        """Reports that it leaves."""
        self.state = "draining"
        self.register()

    def remove(self) -> None:
        """Removes the entry."""
        self._platform.drop(_TARGETS, self.id)

    def close(self) -> None:
        """Ends it like a crash."""
        self.released.set()
        self.server.close()

    def send_endless(self, conn: rawhttp.RawConnection) -> None:
        """Sends what its fault says until the connection is closed."""
        first, again = ENDLESS[self.fault]
        try:
            conn.send(first)
            while not self.released.is_set():
                conn.send(again)
                self.sent_bytes += len(again)
        except OSError:
            return

    def restart(self) -> None:
        """Starts it again after a crash, as a new lifetime of the same id."""
        self.released.clear()
        self.born += 1
        self.server.reopen()
        self.register()

    def note(self, req: rawhttp.RawRequest) -> None:
        """Writes the ledger."""
        row = RanRequest(
            req.headers.get("x-request-id", ""),
            req.method,
            req.target,
            req.body,
            req.headers,
        )
        with self.lock:
            self.ran.append(row)

    def note_arrival(self, req: rawhttp.RawRequest) -> None:
        """Writes down a request, whatever becomes of it."""
        request_id = req.headers.get("x-request-id", "")
        with self.lock:
            self.arrivals.append(
                Arrival(time.monotonic(), request_id, self.born)
            )

    def notice_headers(self, status: int, request_id: str) -> dict[str, str]:
        """Returns what an answer says of the target, and writes it down."""
        headers = {}
        quiet_s = 0.0
        if self.says_leaving:
            headers["Server-Leaving"] = "1"
        if self.retry_after and status == 503:
            headers["Retry-After"] = self.retry_after
            quiet_s = _seconds(self.retry_after)
        if headers:
            with self.lock:
                self.notices.append(
                    Notice(
                        time.monotonic(),
                        request_id,
                        self.says_leaving,
                        quiet_s,
                        self.born,
                    )
                )
        return headers

    def arrivals_in_quiet(self, grace_s: float) -> list[str]:
        """Returns the requests that came while it wanted none.

        Args:
            grace_s: Time after the answer in which more may come.
        """
        found = []
        for row in self.arrivals:
            for notice in self.notices:
                after_s = row.time_s - notice.time_s
                if grace_s < after_s < notice.quiet_s:
                    found.append(row.request_id)
                    break
        return found

    def ran_ids(self) -> list[str]:
        """Returns the ids of requests that ran."""
        with self.lock:
            return [row.request_id for row in self.ran]
