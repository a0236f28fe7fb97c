"""A fleet of engine stand-ins: pipelines over links, each engine on HTTP.

Each engine has a listener of its own; activations between engines travel
over simulated links inside this process, never by way of the router.
"""

import enum
import threading

from briarfall.adapters import engine as engines
from briarfall.catalogue import entries
from briarfall.standins import engine
from briarfall.standins import fabric
from briarfall.standins import front
from briarfall.standins import ledger as ledgers

_ACTIVATION_BYTES = 8192
_KV_BYTES = 32_768
_TOKEN_BYTES = 64
_WEIGHT_BYTES = 1_000_000


class Step(enum.Enum):
    """Moments in the life of a stream at which a trap can act."""

    PREFILL = "prefill"
    FIRST_TOKEN = "first token"
    MID_ANSWER = "mid-answer"
    LAST_TOKEN = "last token"


class Fleet:
    """Engines that form pipelines.

    Args:
        specs: The engines.
        scale: Factor on model time, above 1 for slower engines.
        kv_bytes: Size of the KV cache for one token on one engine.
    """

    def __init__(
        self,
        specs: list[engine.EngineSpec],
        *,
        scale: float = 1.0,
        kv_bytes: float = _KV_BYTES,
    ):
        self.timeline = fabric.Timeline(scale)
        self.links = fabric.Links(self.timeline)
        self.ledger = ledgers.Ledger()
        self.engines = {spec.id: engine.Engine(spec, self) for spec in specs}
        self.fronts: dict[str, front.EngineFront] = {}
        self.restart_s = 0.0
        self.stale_events = False
        self.weight_store = None
        self.imports = 0
        self._traps: list[tuple[Step, object]] = []
        self._kv_bytes = kv_bytes

    def start(self) -> None:
        """Starts the timeline and every listener."""
        self.timeline.start()
        for target, unit in self.engines.items():
            surface = front.EngineFront(self, unit)
            surface.start()
            self.fronts[target] = surface

    def stop(self) -> None:
        """Stops everything."""
        for surface in self.fronts.values():
            surface.close()
        self.timeline.stop()

    def url(self, target: str) -> str:
        """Returns the base URL of an engine."""
        return self.fronts[target].url

    def targets(self, prefix: str = "") -> list[entries.EngineTarget]:
        """Returns catalogue targets of the engines with an id prefix."""
        result = []
        for unit in self.engines.values():
            spec = unit.spec
            if not spec.id.startswith(prefix):
                continue
            scale = self.timeline.scale
            result.append(
                entries.EngineTarget(
                    id=spec.id,
                    url=self.url(spec.id),
                    zone=spec.zone,
                    start=spec.start,
                    end=spec.end,
                    tokens_per_s=spec.tokens_per_s / scale,
                    step_s=(spec.base_s + spec.item_s) * scale,
                    prefill_tokens_per_s=1 / (spec.prefill_s * scale),
                )
            )
        return result

    def kill(self, target: str) -> None:
        """Kills an engine: its connections reset, its state is gone."""
        with self.timeline.lock:
            self.engines[target].die()
        self.fronts[target].cut()

    def stall(self, target: str) -> None:
        """Makes an engine silent without closing anything."""
        with self.timeline.lock:
            self.engines[target].stall()

    def revive(self, target: str) -> None:
        """Brings an engine back under the same address."""
        surface = self.fronts[target]
        with self.timeline.lock:
            self.engines[target].revive()
        surface.reopen()

    def set_trap(self, step: Step, action) -> None:
        """Calls `action(call)` once, when a stream reaches a step."""
        with self.timeline.lock:
            self._traps.append((step, action))

    def _spring(self, step: Step, sequence: engine.Sequence) -> None:
        for trap in list(self._traps):
            if trap[0] is step:
                self._traps.remove(trap)
                trap[1](sequence.call)

    def begin(self, sequence: engine.Sequence) -> None:
        """Starts a sequence at the head of its route."""
        with self.timeline.lock:
            route = sequence.call.route
            positions = self._positions(sequence)
            for hop in route:
                self.ledger.note_start(hop.target, sequence.call.stream)
            item = engine.WorkItem(sequence, 0, positions)
            delay_s = self._import_kv(sequence)
            head = self.engines[route[0].target]
            self.timeline.at(delay_s, head.enqueue, item)
            self._spring(Step.PREFILL, sequence)

    def cancel(self, stream: str, attempt: int) -> None:
        """Stops work for a stream's attempts up to `attempt`."""
        with self.timeline.lock:
            for surface in self.fronts.values():
                surface.cancel(stream, attempt)
            for unit in self.engines.values():
                unit.drop(stream)

    def load_weights(self, unit: engine.Engine, order) -> None:
        """Fetches weights for an order that changes the model.

        Raises:
            LimitError: The weight store is busy.
        """
        wanted = (order.model, order.version)
        if self.weight_store is None:
            return
        if wanted != (unit.held.model, unit.held.version):
            self.weight_store.fetch(unit.spec.id, _WEIGHT_BYTES)

    def running(self) -> set[str]:
        """Returns the streams that engines work for."""
        with self.timeline.lock:
            return {
                sequence.call.stream
                for surface in self.fronts.values()
                for sequence in surface.sequences()
                if not sequence.cancelled
            }

    def forward(self, item: engine.WorkItem, unit: engine.Engine) -> None:
        """Sends a finished item to the next stage, or emits its token."""
        sequence = item.sequence
        route = sequence.call.route
        positions = item.positions[item.stage]
        next_stage = item.stage + 1
        if next_stage < len(route):
            target = self.engines[route[next_stage].target]
            item.stage = next_stage
            size = _ACTIVATION_BYTES * positions
            self.links.send(
                unit.spec.zone, target.spec.zone, size, target.enqueue, item
            )
            return
        head = self.engines[route[0].target]
        self._spring_token(sequence)
        if sequence.cancelled:
            return
        token = self._sample(sequence)
        self.links.send(
            unit.spec.zone,
            head.spec.zone,
            _TOKEN_BYTES,
            self._deliver,
            sequence,
            token,
            head,
        )

    def _spring_token(self, sequence: engine.Sequence) -> None:
        index, length = sequence.index, sequence.call.max_tokens
        if index == 0:
            self._spring(Step.FIRST_TOKEN, sequence)
        if index == length // 2:
            self._spring(Step.MID_ANSWER, sequence)
        if index == length - 1:
            self._spring(Step.LAST_TOKEN, sequence)

    def fail(self, sequence: engine.Sequence, code: str, target: str):
        """Ends a sequence with an error that its head reports."""
        if sequence.cancelled:
            return
        sequence.cancelled = True
        sequence.emit(engines.TokenBatch(error=code, target=target))
        sequence.emit(front.END)

    def crash(self, unit: engine.Engine, stream: str, item) -> None:
        """Lets a request kill the engine that ran it."""
        self.ledger.note_crash(unit.spec.id, stream)
        unit.die()
        self.fail(item.sequence, "stage_lost", unit.spec.id)
        self.fronts[unit.spec.id].cut()
        if self.restart_s:
            timer = threading.Timer(self.restart_s, self.revive, [unit.spec.id])
            timer.daemon = True
            timer.start()

    def _sample(self, sequence: engine.Sequence) -> engines.Token:
        call = sequence.call
        index = sequence.index
        text = sequence.next_token()
        layers = [(hop.start, hop.end) for hop in call.route]
        finish = "length" if sequence.index >= call.max_tokens else ""
        self.ledger.note_token(
            ledgers.RanToken(call.stream, call.attempt, index, text, layers)
        )
        return engines.Token(index, text, call.attempt, layers, finish)

    def _deliver(self, sequence, token: engines.Token, head) -> None:
        if sequence.cancelled or head.state is not engine.State.UP:
            return
        if self.stale_events:
            _emit_stale(sequence, token)
        head.remember(sequence, token)
        sequence.emit(
            engines.TokenBatch(tokens=[token], running=head.running())
        )
        if token.finish:
            sequence.cancelled = True
            sequence.emit(front.END)
            return
        positions = [1] * len(sequence.call.route)
        head.enqueue(engine.WorkItem(sequence, 0, positions))

    def _positions(self, sequence: engine.Sequence) -> list[int]:
        """Returns the positions that each stage must run first.

        A stage must run what itself or any later stage lacks, because later
        stages need its activations.
        """
        call = sequence.call
        needed = sequence.context_tokens
        missing = []
        for hop in call.route:
            unit = self.engines[hop.target]
            held = max(
                unit.kv.get(call.stream, 0), unit.cached_tokens(call.prompt)
            )
            if hop.kv_from:
                held = max(held, self._held_at(hop.kv_from, call.stream))
            missing.append(max(1, needed - held))
        for stage in range(len(missing) - 2, -1, -1):
            missing[stage] = max(missing[stage], missing[stage + 1])
        return missing

    def _held_at(self, url: str, stream: str) -> int:
        unit = self._by_url(url)
        if unit is None or unit.state is not engine.State.UP:
            return 0
        return unit.kv.get(stream, 0)

    def _import_kv(self, sequence: engine.Sequence) -> float:
        """Returns the duration of KV imports into the route's engines."""
        longest_s = 0.0
        for hop in sequence.call.route:
            if not hop.kv_from:
                continue
            held = self._held_at(hop.kv_from, sequence.call.stream)
            source = self._by_url(hop.kv_from)
            if source is None or not held:
                continue
            target = self.engines[hop.target]
            target.kv[sequence.call.stream] = held
            self.imports += 1
            link = self.links.link(source.spec.zone, target.spec.zone)
            transfer_s = held * self._kv_bytes / link.bytes_per_s
            cost_s = (transfer_s + link.delay_s) * link.factor
            longest_s = max(longest_s, cost_s)
        return longest_s

    def _by_url(self, url: str) -> engine.Engine | None:
        for target, surface in self.fronts.items():
            if surface.url == url:
                return self.engines[target]
        return None


def _emit_stale(sequence: engine.Sequence, token: engines.Token) -> None:
    """Sends what a router must not accept beside the true token."""
    stale = engines.Token(
        token.index, "stale ", token.attempt - 1, token.layers
    )
    repeated = engines.Token(
        token.index - 1, "again ", token.attempt, token.layers
    )
    gap = engines.Token(token.index, "gap ", token.attempt, token.layers[1:])
    sequence.emit(engines.TokenBatch(tokens=[stale, repeated, gap]))
