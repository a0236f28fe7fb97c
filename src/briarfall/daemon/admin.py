"""The administration listener: catalogue, status, health and metrics."""

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import httpserver
from briarfall.catalogue import commands
from briarfall.catalogue import records
from briarfall.daemon import accounts
from briarfall.daemon import lifecycle
from briarfall.membership import table as member_tables
from briarfall.pipelines import targets as target_tables

_APPLY_WAIT_S = 2.0
_MAX_VERSION = 2**63 - 1
_APPLY_POLL_S = 0.05


class EditBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a `PUT` or `DELETE` of an entry."""

    if_version: int = 0
    reason: str = ""
    edit_id: str = ""
    value: msgspec.Raw = records.NO_VALUE


class EntryReply(msgspec.Struct):
    """The current version of a catalogue entry."""

    name: str
    version: int
    author: str
    value: msgspec.Raw
    frozen: bool = False


class StreamStatus(msgspec.Struct):
    """One open stream."""

    request: str
    client: str
    entry: str
    route: list[str]


class Status(msgspec.Struct):
    """The status of an instance, from its local view.

    Attributes:
        ongoing: Number of requests in flight.
        log_up: Whether the log answered the last read.
        partitions: Number of keys in each open partition, by stream name.
        recoveries: Number of attempts that ended early, by cause.
    """

    instance: str
    zone: str
    stage: str
    ongoing: int
    catalogue_offset: int
    log_up: bool
    members: list[member_tables.Member]
    targets: dict[str, target_tables.TargetStatus]
    streams: list[StreamStatus]
    partitions: dict[str, int]
    recoveries: dict[str, int]


class AdminHandler:
    """Serves the requests of operators.

    Args:
        instance: The instance to administer.
    """

    def __init__(self, instance):
        self._instance = instance

    def routes(self) -> httpserver.Router:
        """Returns a router with all paths of the listener."""
        routes = httpserver.Router()
        routes.add("GET", "/healthz", self._handle_health)
        routes.add("GET", "/readyz", self._handle_ready)
        routes.add("GET", "/metrics", self._handle_metrics)
        routes.add("GET", "/status", self._handle_status)
        routes.add("POST", "/drain", self._handle_drain)
        routes.add("GET", "/catalogue", self._handle_list)
        routes.add("GET", "/catalogue/{name}", self._handle_get)
        routes.add("PUT", "/catalogue/{name}", self._handle_put)
        routes.add("DELETE", "/catalogue/{name}", self._handle_delete)
        routes.add("GET", "/history", self._handle_history)
        routes.add("GET", "/catalogue/{name}/diff", self._handle_diff)
        return routes

    def _handle_health(self, req):
        return httpserver.json_response({"status": "ok"})

    def _handle_ready(self, req):
        stage = self._instance.in_flight_requests.stage
        if stage is not lifecycle.LifecycleStage.READY:
            raise exceptions.NotReadyError(f"stage is {stage.value}")
        return httpserver.json_response({"status": "ready"})

    def _handle_metrics(self, req):
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        return httpserver.Response(
            200, self._instance.metrics.expose(), headers
        )

    def _handle_status(self, req):
        self._authenticate(req)
        inst = self._instance
        streams = [
            StreamStatus(
                stream.req.id,
                stream.req.client,
                stream.req.model_name,
                [hop.target for hop in stream.route],
            )
            for stream in inst.watchdog.streams()
        ]
        status = Status(
            inst.cfg.instance,
            inst.cfg.zone,
            inst.in_flight_requests.stage.value,
            inst.in_flight_requests.count,
            inst.follower.next_offset,
            inst.follower.log_up,
            inst.members.all(),
            inst.targets.snapshot(),
            streams,
            {p.stream: p.size() for p in inst.partitions.open_partitions()},
            {c.value: n for c, n in inst.relay.attempt_ends.items()},
        )
        return httpserver.json_response(status)

    def _handle_drain(self, req):
        self._authenticate(req)
        self._instance.request_drain()
        return httpserver.json_response({"status": "draining"})

    def _handle_list(self, req):
        self._authenticate(req)
        return httpserver.json_response(self._instance.queries.entries())

    def _handle_get(self, req):
        self._authenticate(req)
        state = self._instance.queries.entry(req.params["name"])
        return httpserver.json_response(
            EntryReply(
                state.name,
                state.version,
                state.author,
                state.value,
                state.frozen,
            )
        )

    def _handle_put(self, req):
        body = _decode(req.body)
        if bytes(body.value) == bytes(records.NO_VALUE):
            raise exceptions.BadRequestError("value is missing")
        return self._edit(req, body, bytes(body.value))

    def _handle_delete(self, req):
        return self._edit(req, _decode(req.body), None)

    def _handle_history(self, req):
        self._authenticate(req)
        audit_trail = self._instance.queries.history(req.query.get("entry", ""))
        return httpserver.json_response(audit_trail)

    def _handle_diff(self, req):
        self._authenticate(req)
        changes = self._instance.queries.diff(
            req.params["name"],
            _parse_version(req, "older"),
            _parse_version(req, "newer"),
        )
        return httpserver.json_response(changes)

    def _authenticate(self, req) -> str:
        name, _ = accounts.authenticate_operator(req, self._instance.view())
        return name

    def _edit(self, req, body: EditBody, value: bytes | None):
        edit = commands.make_edit(
            req.params["name"],
            value,
            author=self._authenticate(req),
            reason=body.reason,
            if_version=body.if_version,
            edit_id=body.edit_id or None,
        )
        result = self._instance.editor.submit(edit)
        self._wait_applied(result)
        return httpserver.json_response(result)

    def _wait_applied(self, result: commands.EditResult) -> None:
        """Waits until all live instances have applied the edit.

        Gives up after `_APPLY_WAIT_S`; the result then shows how many have.
        """
        members = self._instance.members
        for _ in range(int(_APPLY_WAIT_S / _APPLY_POLL_S)):
            applied, live = members.count_applied(result.offset)
            result.in_force, result.instances = applied, live
            if applied >= live:
                return
            self._instance.pause(_APPLY_POLL_S)


def _decode(data: bytes) -> EditBody:
    try:
        return msgspec.json.decode(data or b"{}", type=EditBody)
    except msgspec.DecodeError as exc:
        raise exceptions.BadRequestError(f"body: {exc}") from exc


def _parse_version(req: httpserver.Request, name: str) -> int:
    text = req.query.get(name, "")
    version = decoding.parse_count(text, _MAX_VERSION)
    if version is None:
        raise exceptions.BadRequestError(f"{name} is no version number")
    return version
