"""The administration listener: catalogue, status, health and metrics."""

import msgspec

from briarfall import exceptions
from briarfall import httpserver
from briarfall.catalogue import commands
from briarfall.catalogue import records
from briarfall.daemon import accounts
from briarfall.daemon import lifecycle
from briarfall.membership import table as member_tables
from briarfall.pipelines import targets as target_tables

_IN_FORCE_WAIT_S = 2.0
_POLL_S = 0.05


class EditBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a `PUT` or `DELETE` of an entry."""

    if_version: int = 0
    reason: str = ""
    edit_id: str = ""
    value: msgspec.Raw = records.NO_VALUE


class EntryReply(msgspec.Struct):
    """One entry with its version."""

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
    """What one instance sees."""

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
    """Serves operators.

    Args:
        instance: The instance to show and to change.
    """

    def __init__(self, instance):
        self._instance = instance

    def routes(self) -> httpserver.Router:
        """Returns the paths of the listener."""
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
        stage = self._instance.ongoing.stage
        if stage is not lifecycle.Stage.READY:
            raise exceptions.NotReadyError(f"stage is {stage.value}")
        return httpserver.json_response({"status": "ready"})

    def _handle_metrics(self, req):
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        return httpserver.Response(
            200, self._instance.metrics.expose(), headers
        )

    def _handle_status(self, req):
        self._operator(req)
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
            inst.ongoing.stage.value,
            inst.ongoing.count,
            inst.follower.next_offset,
            inst.follower.log_up,
            inst.members.all(),
            inst.targets.snapshot(),
            streams,
            {p.stream: p.size() for p in inst.partitions.opened()},
            {c.value: n for c, n in inst.relay.attempt_ends.items()},
        )
        return httpserver.json_response(status)

    def _handle_drain(self, req):
        self._operator(req)
        self._instance.request_drain()
        return httpserver.json_response({"status": "draining"})

    def _handle_list(self, req):
        self._operator(req)
        return httpserver.json_response(self._instance.queries.entries())

    def _handle_get(self, req):
        self._operator(req)
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
        self._operator(req)
        trail = self._instance.queries.history(req.query.get("entry", ""))
        return httpserver.json_response(trail)

    def _handle_diff(self, req):
        self._operator(req)
        changes = self._instance.queries.diff(
            req.params["name"],
            _number(req, "older"),
            _number(req, "newer"),
        )
        return httpserver.json_response(changes)

    def _operator(self, req) -> str:
        name, _ = accounts.operator_of(req, self._instance.view())
        return name

    def _edit(self, req, body: EditBody, value: bytes | None):
        edit = commands.make_edit(
            req.params["name"],
            value,
            author=self._operator(req),
            reason=body.reason,
            if_version=body.if_version,
            edit_id=body.edit_id or None,
        )
        result = self._instance.editor.submit(edit)
        self._count_in_force(result)
        return httpserver.json_response(result)

    def _count_in_force(self, result: commands.EditResult) -> None:
        """Waits a little for the other live instances to apply the edit."""
        members = self._instance.members
        for _ in range(int(_IN_FORCE_WAIT_S / _POLL_S)):
            applied, live = members.count_applied(result.offset)
            result.in_force, result.instances = applied, live
            if applied >= live:
                return
            self._instance.pause(_POLL_S)


def _decode(data: bytes) -> EditBody:
    try:
        return msgspec.json.decode(data or b"{}", type=EditBody)
    except msgspec.DecodeError as exc:
        raise exceptions.BadRequestError(f"body: {exc}") from exc


def _number(req: httpserver.Request, name: str) -> int:
    text = req.query.get(name, "")
    if not text.isdigit():
        raise exceptions.BadRequestError(f"{name} is no version number")
    return int(text)
