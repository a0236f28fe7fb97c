"""The platform's list of live and draining instances and targets."""

import abc
import enum

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import httpclient
from briarfall import ids

_TIMEOUT_S = 2.0
_LOG_INTERVAL_S = 10


class ListedState(enum.Enum):
    """State of a listed instance or target."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct):
    """One entry of the list.

    Attributes:
        id: Name of an instance or of a target.
        address: `host:port` of its peer listener; empty for targets.
        zone: Its availability zone.
        state: Whether it is draining.
    """

    id: ids.InstanceId
    address: str
    zone: ids.ZoneId
    state: ListedState = ListedState.LIVE


class InstanceListAdapter(abc.ABC):
    """Reads the instance list."""

    @abc.abstractmethod
    def fetch(self) -> list[ListedInstance]:
        """Returns the list, which may be out of date.

        Raises:
            TargetError: The list did not answer.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Releases connections."""


class HttpInstanceListAdapter(InstanceListAdapter):
    """Reads the list as JSON over HTTP."""

    def __init__(self, url: str):
        self._http = httpclient.HttpClient(url)

    def fetch(self) -> list[ListedInstance]:
        """Reads the list; see the base class."""
        reply = self._http.send("GET", "/instances", timeout_s=_TIMEOUT_S)
        if reply.status != 200:
            raise exceptions.TargetError(
                f"instance list answered with status {reply.status}, not 200"
            )
        rows = decoding.decode_json(
            reply.body,
            list[msgspec.Raw],
            "instance list",
            exceptions.TargetError,
        )
        found = []
        for row in rows:
            try:
                found.append(
                    decoding.decode_json(
                        bytes(row), ListedInstance, "listed instance"
                    )
                )
            except exceptions.CatalogueError as exc:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "listed instance ignored, the others stay in use: %s",
                    _LOG_INTERVAL_S,
                    exc,
                )
        return found

    def close(self) -> None:
        """Closes pooled connections."""
        self._http.close()


class EmptyInstanceListAdapter(InstanceListAdapter):
    """An empty list, for a platform without one; peers come from seeds."""

    def fetch(self) -> list[ListedInstance]:
        """Returns an empty list."""
        return []

    def close(self) -> None:
        """Does nothing."""
