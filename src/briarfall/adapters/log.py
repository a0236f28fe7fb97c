"""The platform's log service, which keeps append-only streams."""

import abc

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import httpclient
from briarfall import ids
from briarfall.adapters import logepochs

_APPEND_TIMEOUT_S = 2.0
_READ_SLACK_S = 2.0
_MAX_OFFSET = 2**63 - 1


class _AppendUnknownError(exceptions.LogUnavailableError):
    """The append was answered with 200, but the answer can't be read."""

    outcome = exceptions.Outcome.UNKNOWN


class LogRecord(msgspec.Struct):
    """One record of a stream.

    Attributes:
        offset: Position in the stream, starting at 0, without gaps.
        time_s: Epoch seconds at which the log accepted the record.
        data: The bytes that were appended.
    """

    offset: ids.Offset
    time_s: float
    data: bytes


class LogBatch(msgspec.Struct):
    """The result of one read.

    Attributes:
        records: Records in offset order.
        first: Oldest offset that is still kept.
        end: Offset that the next appended record will get.
        epoch: Epoch of the log in which the read was decided.
    """

    records: list[LogRecord]
    first: int
    end: int
    epoch: ids.LogEpoch = logepochs.FIRST_EPOCH


class AppendResult(msgspec.Struct):
    """The body of the response to an append."""

    offset: int


class LogAdapter(abc.ABC):
    """Appends to and reads from named streams."""

    @property
    def epoch(self) -> logepochs.SeenEpoch:
        """The newest epoch in any response; a log without one has the first."""
        return logepochs.SeenEpoch()

    @abc.abstractmethod
    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record and returns its offset.

        Raises:
            LogUnavailableError: The record may or may not have been appended;
                the error's `outcome` is `NOT_RUN` if it was certainly not.
        """

    @abc.abstractmethod
    def read(
        self, stream: str, start: int, *, limit: int, wait_s: float
    ) -> LogBatch:
        """Returns records from `start` on; waits up to `wait_s` for one.

        Raises:
            LogGapError: Records at `start` are no longer kept, or the log came
                back from a copy that ends before it.
            LogUnavailableError: The log did not answer.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Releases connections."""


class HttpLogAdapter(LogAdapter):
    """Calls the log over HTTP with JSON bodies."""

    def __init__(self, url: str):
        self._http = httpclient.HttpClient(url)
        self._epochs = logepochs.EpochTracker()

    @property
    def epoch(self) -> logepochs.SeenEpoch:
        """The newest epoch in any response."""
        return self._epochs.newest

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record; see the base class."""
        try:
            reply = self._http.send(
                "POST",
                f"/streams/{stream}/records",
                body=data,
                timeout_s=_APPEND_TIMEOUT_S,
            )
        except exceptions.TargetError as exc:
            raise exceptions.LogUnavailableError(
                exc.message, outcome=exc.outcome
            ) from exc
        self._epochs.observe(reply.headers.get(logepochs.HEADER))
        if reply.status != 200:
            raise exceptions.LogUnavailableError(
                f"append answered {reply.status}",
                outcome=_append_outcome(reply.status),
            )
        result = decoding.decode_json(
            reply.body,
            AppendResult,
            "response to an append",
            _AppendUnknownError,
        )
        return ids.Offset(result.offset)

    def read(
        self, stream: str, start: int, *, limit: int, wait_s: float
    ) -> LogBatch:
        """Reads records; see the base class."""
        path = (
            f"/streams/{stream}/records"
            f"?from={start}&limit={limit}&wait_ms={int(wait_s * 1000)}"
        )
        try:
            reply = self._http.send(
                "GET", path, timeout_s=wait_s + _READ_SLACK_S
            )
        except exceptions.TargetError as exc:
            raise exceptions.LogUnavailableError(exc.message) from exc
        epoch = self._epochs.observe(reply.headers.get(logepochs.HEADER))
        if reply.status == 410:
            text = reply.headers.get("Log-First", "0")
            first = decoding.parse_count(text, _MAX_OFFSET)
            if first is None:
                raise exceptions.LogUnavailableError(
                    f"Log-First {decoding.excerpt(text)!r} is no offset"
                )
            raise exceptions.LogGapError(
                f"stream {stream} starts at {first}, not {start}", first
            )
        if reply.status != 200:
            raise exceptions.LogUnavailableError(
                f"read answered {reply.status}"
            )
        batch = decoding.decode_json(
            reply.body,
            LogBatch,
            "response to a read",
            exceptions.LogUnavailableError,
        )
        batch.epoch = epoch
        return batch

    def close(self) -> None:
        """Closes pooled connections."""
        self._http.close()


def _append_outcome(status: int) -> exceptions.Outcome:
    if status in (429, 503):
        return exceptions.Outcome.NOT_RUN
    return exceptions.Outcome.UNKNOWN
