"""Commands to engines, and reports of engines, over HTTP."""

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import connections
from briarfall.platform import headers
from briarfall.platform import topics

_COMMAND_PATH = "/v1/order"
_REPORT_PATH = "/v1/report"
_RESULTS = {
    200: sources.CommandResult.HOLDS,
    202: sources.CommandResult.STARTED,
    404: sources.CommandResult.GONE,
    409: sources.CommandResult.CONFLICT,
    412: sources.CommandResult.FENCED,
    421: sources.CommandResult.GONE,
}


class _PlaceCommand(msgspec.Struct):
    # Kind of the command, here "place".
    op: str
    # First layer of the range.
    first: int = msgspec.field(name="from")
    # Layer after the last one of the range; the wire calls it "target".
    end: int = msgspec.field(name="target")
    strategy: str
    # Fencing number of the placement lease.
    fence: int
    # Number of commands that the engine must have accepted so far.
    precondition: int | msgspec.UnsetType = msgspec.UNSET


class _RepathCommand(msgspec.Struct):
    # Kind of the command, here "repath".
    op: str
    # Id of the request to move.
    id: str
    # Header value that names the new chain; see `headers.encode_chain`.
    path: str


class _Refusal(msgspec.Struct):
    # Engine of the new chain that refused its layers, or empty.
    address: str = ""


class _StalledRequest(msgspec.Struct):
    # Id of the request.
    id: str
    # Engine that the request waits for, or empty.
    address: str = ""


class _Model(msgspec.Struct):
    layers: topics.LayersField | None = None


class _Report(msgspec.Struct):
    # Whether the engine is carrying out a command.
    busy: bool = False
    # Number of commands accepted since the engine's start.
    seq: int = 0
    # KV cache in use and in all, in tokens x layers.
    kv_used: int = 0
    kv_total: int = 0
    layers: topics.LayersField | None = None
    models: list[_Model] = []
    stalled: list[_StalledRequest] = []


class EngineCalls(sources.EngineControl):
    """Sends commands to engines and reads their reports over HTTP."""

    def __init__(self, pool: connections.ConnectionPool):
        self._pool = pool

    def place(
        self,
        target: sources.TargetEntry,
        layers: sources.LayerRange,
        fence: int,
        command_count: int | None,
        timeout_s: float,
    ) -> sources.CommandResult:
        """Commands an engine to load and serve a range of layers."""
        expected = msgspec.UNSET if command_count is None else command_count
        command = _PlaceCommand(
            "place", layers.first, layers.end, "queue", fence, expected
        )
        extra_headers = [(headers.HEADERS.expected_target, target.id.encode())]
        status, _ = self._send_command(
            target.address, command, extra_headers, timeout_s
        )
        return _RESULTS.get(status, sources.CommandResult.UNKNOWN)

    def repath(
        self, address: str, request_id: str, chain: bytes, timeout_s: float
    ) -> sources.RepathResult:
        """Commands the head of a chain to move a request to another chain."""
        command = _RepathCommand("repath", request_id, chain.decode())
        status, body = self._send_command(address, command, [], timeout_s)
        result = _RESULTS.get(status, sources.CommandResult.UNKNOWN)
        if result is not sources.CommandResult.CONFLICT:
            return sources.RepathResult(result)
        try:
            refusal = decoding.decode_json(body, _Refusal, "refusal")
        except exceptions.CatalogueError:
            return sources.RepathResult(result)
        return sources.RepathResult(result, refusal.address)

    def report(self, address: str, timeout_s: float) -> sources.EngineReport:
        """Returns an engine's report."""
        head, body = connections.send_request(
            self._pool,
            address,
            "GET",
            _REPORT_PATH,
            b"",
            timeout_s,
            id_header=headers.HEADERS.request_id,
        )
        if head.status != 200:
            raise exceptions.TargetError(
                f"{address}: report answered with status {head.status}, not 200"
            )
        raw = decoding.decode_json(
            body, _Report, f"report of {address}", exceptions.TargetError
        )
        layers = raw.layers
        for model in raw.models:
            layers = model.layers or layers
        return sources.EngineReport(
            command_count=raw.seq,
            is_busy=raw.busy,
            layers=_parse_layers(layers, address),
            kv_used=raw.kv_used,
            kv_total=raw.kv_total,
            stalled={request.id: request.address for request in raw.stalled},
        )

    def chain_header(
        self, stages: list[tuple[str, sources.LayerRange]]
    ) -> bytes:
        """Returns the header value that names the engines of a chain."""
        return headers.encode_chain(stages)

    def _send_command(
        self, address: str, command, extra_headers: list, timeout_s: float
    ) -> tuple[int, bytes]:
        body = msgspec.json.encode(command)
        request_headers = [
            (b"Content-Type", b"application/json"),
            *extra_headers,
        ]
        head, data = connections.send_request(
            self._pool,
            address,
            "POST",
            _COMMAND_PATH,
            body,
            timeout_s,
            headers=request_headers,
            id_header=headers.HEADERS.request_id,
        )
        return head.status, data


def _parse_layers(
    layers: topics.LayersField | None, address: str
) -> sources.LayerRange | None:
    try:
        return topics.parse_layers(layers, f"report of {address}")
    except exceptions.CatalogueError as exc:
        raise exceptions.TargetError(exc.message) from exc
