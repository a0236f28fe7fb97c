"""Forwards the tokens of all open streams on one thread.

If each stream waited for tokens on its own thread, that thread would wake for
each token, and on a busy instance the context switch costs more than the
work. A stream's own thread only does what may block: planning, opening,
recovery and sending to a slow caller. Between tokens it hands its iterator to
the pump, which advances it whenever the engine's socket is readable.
"""

import abc
import collections.abc
import select
import socket
import threading

from absl import logging

_POLL_S = 0.5
_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT


class PumpableStream(abc.ABC):
    """Interface of a stream that the pump can advance."""

    @abc.abstractmethod
    def fileno(self) -> int:
        """Returns the descriptor to wait on, or -1 if there is none."""

    @abc.abstractmethod
    def may_block(self) -> bool:
        """Returns whether the next step may block."""

    @abc.abstractmethod
    def is_done(self) -> bool:
        """Returns whether no further token has to be waited for."""


class _Task:
    """A stream that the pump advances, and the thread that waits for it.

    Attributes:
        steps: Yields bytes for the caller, or nothing while it waits.
        stream: The stream that the steps read from.
        sink: Receives the bytes; None if the steps yield nothing.
        returned: Set when the stream is back with its own thread.
        failure: Exception that the steps raised, or None.
    """

    def __init__(self, steps, stream: PumpableStream, sink):
        self.steps: collections.abc.Iterator[bytes] = steps
        self.stream = stream
        self.sink: Sink | None = sink
        self.returned = threading.Event()
        self.failure: BaseException | None = None


class Sink:
    """Writes the bytes of a stream to the caller's socket.

    Args:
        sock: The caller's socket.
        is_chunked: Whether the response uses chunked transfer coding.

    Attributes:
        unsent: Bytes that the socket did not accept yet.
    """

    def __init__(self, sock: socket.socket, is_chunked: bool):
        self._sock = sock
        self._is_chunked = is_chunked
        self.unsent = b""

    def try_send(self, data: bytes) -> bool:
        """Sends without blocking; returns whether all bytes were sent."""
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        try:
            sent = self._sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        self.unsent = data[sent:]
        return not self.unsent

    def flush(self) -> None:
        """Sends the unsent bytes, blocking until the caller accepts them."""
        unsent, self.unsent = self.unsent, b""
        if unsent:
            self._sock.sendall(unsent)


class Pump:
    """Advances all streams that were handed to it, on one thread."""

    def __init__(self):
        self._epoll = select.epoll()
        self._tasks: dict[int, _Task] = {}
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts the pump thread."""
        self._thread = threading.Thread(
            target=self._run, name="pump", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stops the pump thread and hands all streams back."""
        self._stopping.set()
        for task in list(self._tasks.values()):
            task.returned.set()

    def drive(
        self, steps, stream: PumpableStream, sink: Sink | None = None
    ) -> None:
        """Hands a stream to the pump thread and waits until it is back.

        The stream comes back when its next step may block, when it has
        ended, or when its caller's socket does not accept all bytes.

        Args:
            steps: Yields bytes for the caller, or nothing while it waits.
            stream: The stream that the steps read from.
            sink: Receives the bytes; None if the steps yield nothing.
        """
        fd = stream.fileno()
        if fd < 0 or self._stopping.is_set():
            return
        task = _Task(steps, stream, sink)
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
                    logging.debug("stream handed back to its thread: %s", exc)
                    task.failure = exc
                    is_kept = False
                if not is_kept:
                    self._return_stream(fd, task)

    def _advance(self, task: _Task) -> bool:
        """Advances a stream; returns whether it stays with the pump."""
        while True:
            data = next(task.steps, None)
            if data is None:
                return False
            if data and not task.sink.try_send(data):
                return False
            if task.stream.may_block():
                return False
            if not task.stream.is_done():
                return True

    def _return_stream(self, fd: int, task: _Task) -> None:
        # The descriptor of a closed stream may have been reused by a new one.
        if self._tasks.get(fd) is task:
            del self._tasks[fd]
        task.returned.set()
