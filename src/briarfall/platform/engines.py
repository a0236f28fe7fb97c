"""Orders to engines and their reports."""

import msgspec

from briarfall import exceptions
from briarfall.gateway import connections
from briarfall.gateway import sources
from briarfall.platform import headers
from briarfall.platform import topics

_ORDER_PATH = "/v1/order"
_REPORT_PATH = "/v1/report"
_RESULTS = {
    200: sources.CommandResult.HOLDS,
    202: sources.CommandResult.STARTED,
    404: sources.CommandResult.GONE,
    409: sources.CommandResult.CONFLICT,
    412: sources.CommandResult.FENCED,
    421: sources.CommandResult.GONE,
}


class _PlaceOrder(msgspec.Struct):
    op: str
    first: int = msgspec.field(name="from")
    end: int = msgspec.field(name="target")
    strategy: str
    fence: int
    # The number of orders that the engine must have accepted so far.
    precondition: int | msgspec.UnsetType = msgspec.UNSET


class _RepathOrder(msgspec.Struct):
    op: str
    id: str
    path: str


class _Refusal(msgspec.Struct):
    address: str = ""


class _Stalled(msgspec.Struct):
    id: str
    address: str = ""


class _Model(msgspec.Struct):
    layers: topics.LayersField | None = None


class _Report(msgspec.Struct):
    busy: bool = False
    # The number of orders accepted since the start.
    seq: int = 0
    kv_used: int = 0
    kv_total: int = 0
    layers: topics.LayersField | None = None
    models: list[_Model] = []
    stalled: list[_Stalled] = []


class EngineCalls(sources.EngineControl):
    """Orders and reports over HTTP."""

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
        """Orders an engine to hold a range of layers."""
        expected = msgspec.UNSET if command_count is None else command_count
        order = _PlaceOrder(
            "place", layers.first, layers.end, "queue", fence, expected
        )
        extra = [(headers.HEADERS.expected_target, target.id.encode())]
        status, _ = self._order(target.address, order, extra, timeout_s)
        return _RESULTS.get(status, sources.CommandResult.UNKNOWN)

    def repath(
        self, address: str, request_id: str, chain: bytes, timeout_s: float
    ) -> sources.RepathResult:
        """Moves a running request to another chain."""
        order = _RepathOrder("repath", request_id, chain.decode())
        status, body = self._order(address, order, [], timeout_s)
        result = _RESULTS.get(status, sources.CommandResult.UNKNOWN)
        if result is not sources.CommandResult.CONFLICT:
            return sources.RepathResult(result)
        try:
            refusal = msgspec.json.decode(body, type=_Refusal)
        except msgspec.DecodeError:
            return sources.RepathResult(result)
        return sources.RepathResult(result, refusal.address)

    def report(self, address: str, timeout_s: float) -> sources.EngineReport:
        """Returns an engine's report."""
        head, body = connections.send_request(
            self._pool, address, "GET", _REPORT_PATH, b"", timeout_s
        )
        if head.status != 200:
            raise exceptions.TargetError(
                f"{address}: report with status {head.status}"
            )
        try:
            raw = msgspec.json.decode(body, type=_Report)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise exceptions.TargetError(f"{address}: report: {exc}") from exc
        layers = raw.layers
        for model in raw.models:
            layers = model.layers or layers
        return sources.EngineReport(
            command_count=raw.seq,
            is_busy=raw.busy,
            layers=topics.parse_layers(layers),
            kv_used=raw.kv_used,
            kv_total=raw.kv_total,
            stalled={row.id: row.address for row in raw.stalled},
        )

    def chain_header(
        self, stages: list[tuple[str, sources.LayerRange]]
    ) -> bytes:
        """Returns the header value that names a chain."""
        return headers.encode_chain(stages)

    def _order(
        self, address: str, order, extra: list, timeout_s: float
    ) -> tuple[int, bytes]:
        body = msgspec.json.encode(order)
        fields = [(b"Content-Type", b"application/json"), *extra]
        head, data = connections.send_request(
            self._pool,
            address,
            "POST",
            _ORDER_PATH,
            body,
            timeout_s,
            headers=fields,
        )
        return head.status, data
