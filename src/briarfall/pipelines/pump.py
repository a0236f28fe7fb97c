"""Drives open streams on one thread.

A thread for each stream would be woken for each token, and on a busy
instance the switch costs more than the work. A stream's own thread does what
may block (planning, opening, recovery, a slow caller); between tokens it
lends its iterator to the pump, which advances it whenever the engine's
socket is readable.
"""

import abc
import collections.abc
import select
import socket
import threading

from absl import logging

_POLL_S = 0.5
_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT


class Pumped(abc.ABC):
    """A stream that the pump can advance."""

    @abc.abstractmethod
    def fileno(self) -> int:
        """Returns the descriptor to wait on, or -1 if there is none."""

    @abc.abstractmethod
    def needs_thread(self) -> bool:
        """Returns whether the next step may block."""

    @abc.abstractmethod
    def is_done(self) -> bool:
        """Returns whether nothing more is to be waited for."""


class _Task:
    """A stream on loan to the pump."""

    def __init__(self, steps, pumped: Pumped, sink):
        self.steps: collections.abc.Iterator[bytes] = steps
        self.pumped = pumped
        self.sink: Sink | None = sink
        self.returned = threading.Event()
        self.failure: BaseException | None = None


class Sink:
    """Where a stream's bytes go: a caller's socket, framed as chunks.

    Args:
        sock: The caller's socket.
        is_chunked: Whether the response uses chunked transfer coding.

    Attributes:
        rest: Bytes that the socket did not take yet.
    """

    def __init__(self, sock: socket.socket, is_chunked: bool):
        self._sock = sock
        self._is_chunked = is_chunked
        self.rest = b""

    def offer(self, data: bytes) -> bool:
        """Sends without blocking; returns whether everything was taken."""
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        try:
            sent = self._sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        self.rest = data[sent:]
        return not self.rest

    def flush(self) -> None:
        """Sends the rest, waiting for the caller."""
        rest, self.rest = self.rest, b""
        if rest:
            self._sock.sendall(rest)


class Pump:
    """One thread that advances all streams on loan."""

    def __init__(self):
        self._epoll = select.epoll()
        self._tasks: dict[int, _Task] = {}
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts the thread."""
        self._thread = threading.Thread(
            target=self._run, name="pump", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread and returns all streams to their own threads."""
        self._stopping.set()
        for task in list(self._tasks.values()):
            task.returned.set()

    def drive(self, steps, pumped: Pumped, sink: Sink | None = None) -> None:
        """Lends a stream and waits until it comes back.

        It comes back when its next step may block, when it has ended, or
        when its caller does not take the bytes fast enough.

        Args:
            steps: Yields bytes for the caller, or nothing while it waits.
            pumped: What the steps wait on.
            sink: Takes the bytes; None if the steps yield nothing.
        """
        fd = pumped.fileno()
        if fd < 0 or self._stopping.is_set():
            return
        task = _Task(steps, pumped, sink)
        self._tasks[fd] = task
        self._arm(fd)
        task.returned.wait()
        if sink is not None:
            sink.flush()
        if task.failure is not None:
            raise task.failure

    def _arm(self, fd: int) -> None:
        try:
            self._epoll.modify(fd, _EVENTS)
        except FileNotFoundError:
            self._epoll.register(fd, _EVENTS)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for fd, _ in self._epoll.poll(_POLL_S):
                task = self._tasks.get(fd)
                if task is None:
                    continue
                try:
                    is_kept = self._advance(task)
                    if is_kept:
                        self._arm(fd)
                except Exception as exc:
                    logging.debug("stream left the pump: %s", exc)
                    task.failure = exc
                    is_kept = False
                if not is_kept:
                    self._give_back(fd, task)

    def _advance(self, task: _Task) -> bool:
        """Advances a stream; returns whether it goes on waiting here."""
        while True:
            data = next(task.steps, None)
            if data is None:
                return False
            if data and not task.sink.offer(data):
                return False
            if task.pumped.needs_thread():
                return False
            if not task.pumped.is_done():
                return True

    def _give_back(self, fd: int, task: _Task) -> None:
        # A new stream may have taken the descriptor of one that was closed.
        if self._tasks.get(fd) is task:
            del self._tasks[fd]
        task.returned.set()
