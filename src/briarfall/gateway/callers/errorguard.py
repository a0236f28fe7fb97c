"""Ends requests whose handling raised an error that nobody expects."""

from absl import logging

from briarfall.gateway import metrics
from briarfall.gateway.calls import callers
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import targetconnection


class ErrorGuard:
    """Logs, counts and answers requests that end with an unexpected error.

    Args:
        label: Name of the listener in logs and metrics.
        header_names: Header names of the platform.
        counters: Metrics.
    """

    def __init__(
        self,
        label: str,
        header_names: headernames.HeaderNames,
        counters: metrics.Metrics,
    ):
        self._label = label
        self._names = header_names
        self._metrics = counters

    def end_request(
        self, conn: callers.CallerConnection, exc: Exception
    ) -> None:
        """Answers a connection's current request with status 500.

        The status promises nothing, since the request may have been sent to a
        target. If a part of the response was sent, nothing is added to it.

        Args:
            conn: The caller's connection, which has to be closed afterwards.
            exc: The error.
        """
        self._metrics.count("briarfall_unexpected_errors", self._label)
        logging.error(
            "unexpected error on %s request=%s response_begun=%s, closing the "
            "connection after status 500 or in the middle of the response",
            self._label,
            self._request_id_of(conn),
            conn.has_sent_head,
            exc_info=exc,
        )
        try:
            conn.answer_unexpected_error()
        except targetconnection.CallerGoneError as error:
            logging.info("status 500 not delivered to the caller: %s", error)

    def _request_id_of(self, conn: callers.CallerConnection) -> str | None:
        if conn.request is None:
            return None
        value = conn.request.header(self._names.request_id) or b""
        return value.decode("latin-1")
