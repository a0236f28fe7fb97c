"""A fleet of engine stand-ins that form pipelines.

Each engine has an HTTP listener of its own. Activations between engines
travel over simulated links inside this process and never through the router.
"""

import enum
import threading

from briarfall.adapters import engine as engines
from briarfall.catalogue import entries
from briarfall.standins import engine
from briarfall.standins import enginelistener
from briarfall.standins import ledger as ledgers
from briarfall.standins import simulation

_ACTIVATION_BYTES = 8192
_KV_BYTES = 32_768
_TOKEN_BYTES = 64
_WEIGHT_BYTES = 1_000_000


class Step(enum.Enum):
    """Steps of a stream at which a hook can be called."""

    PREFILL = "prefill"
    FIRST_TOKEN = "first token"
    MID_ANSWER = "mid-answer"
    LAST_TOKEN = "last token"


class Fleet:
    """Engine stand-ins, their listeners and the links between them.

    Args:
        specs: The engines.
        scale: Factor on simulated time; above 1 the engines are slower.
        kv_bytes: Size of the KV cache for one token on one engine, in bytes.
    """

    def __init__(
        self,
        specs: list[engine.EngineSpec],
        *,
        scale: float = 1.0,
        kv_bytes: float = _KV_BYTES,
    ):
        self.timeline = simulation.Timeline(scale)
        self.links = simulation.Links(self.timeline)
        self.ledger = ledgers.Ledger()
        self.engines = {spec.id: engine.Engine(spec, self) for spec in specs}
        self.listeners: dict[str, enginelistener.EngineListener] = {}
        self.restart_s = 0.0
        self.stale_events = False
        self.weight_store = None
        self.kv_imports = 0
        self._step_hooks: list[tuple[Step, object]] = []
        self._kv_bytes = kv_bytes

    def start(self) -> None:
        """Starts the timeline and all listeners."""
        self.timeline.start()
        for target, eng in self.engines.items():
            listener = enginelistener.EngineListener(self, eng)
            listener.start()
            self.listeners[target] = listener

    def stop(self) -> None:
        """Stops all listeners and the timeline."""
        for listener in self.listeners.values():
            listener.close()
        self.timeline.stop()

    def url(self, target: str) -> str:
        """Returns the base URL of an engine."""
        return self.listeners[target].url

    def targets(self, prefix: str = "") -> list[entries.EngineTarget]:
        """Returns catalogue targets of the engines whose id has a prefix."""
        result = []
        for eng in self.engines.values():
            spec = eng.spec
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
        """Kills an engine: resets its connections and drops its state."""
        with self.timeline.lock:
            self.engines[target].die()
        self.listeners[target].cut()

    def stall(self, target: str) -> None:
        """Makes an engine unresponsive; its connections stay open."""
        with self.timeline.lock:
            self.engines[target].stall()

    def revive(self, target: str) -> None:
        """Restarts or resumes an engine at the same address."""
        listener = self.listeners[target]
        with self.timeline.lock:
            self.engines[target].revive()
        listener.reopen()

    def add_step_hook(self, step: Step, action) -> None:
        """Calls `action(call)` once, when a stream reaches a step."""
        with self.timeline.lock:
            self._step_hooks.append((step, action))

    def _run_step_hooks(self, step: Step, sequence: engine.Sequence) -> None:
        for hook in list(self._step_hooks):
            if hook[0] is step:
                self._step_hooks.remove(hook)
                hook[1](sequence.call)

    def start_sequence(self, sequence: engine.Sequence) -> None:
        """Starts a sequence at the first engine of its route."""
        with self.timeline.lock:
            route = sequence.call.route
            positions = self._positions(sequence)
            for hop in route:
                self.ledger.record_start(hop.target, sequence.call.stream)
            item = engine.WorkItem(sequence, 0, positions)
            delay_s = self._import_kv(sequence)
            head = self.engines[route[0].target]
            self.timeline.call_later(delay_s, head.enqueue, item)
            self._run_step_hooks(Step.PREFILL, sequence)

    def cancel(self, stream: str, attempt: int) -> None:
        """Cancels the attempts of a stream up to number `attempt`."""
        with self.timeline.lock:
            for listener in self.listeners.values():
                listener.cancel(stream, attempt)
            for eng in self.engines.values():
                eng.drop_cancelled(stream)

    def load_weights(self, eng: engine.Engine, command) -> None:
        """Fetches weights if a command changes the model or version.

        Raises:
            LimitError: The weight store refuses the fetch.
        """
        wanted = (command.model, command.version)
        if self.weight_store is None:
            return
        if wanted != (eng.deployed.model, eng.deployed.version):
            self.weight_store.fetch(eng.spec.id, _WEIGHT_BYTES)

    def running(self) -> set[str]:
        """Returns the streams with a sequence that is not cancelled."""
        with self.timeline.lock:
            return {
                sequence.call.stream
                for listener in self.listeners.values()
                for sequence in listener.sequences()
                if not sequence.cancelled
            }

    def forward(self, item: engine.WorkItem, eng: engine.Engine) -> None:
        """Sends an item to its next stage, or a token to the first engine."""
        sequence = item.sequence
        route = sequence.call.route
        positions = item.positions[item.stage]
        next_stage = item.stage + 1
        if next_stage < len(route):
            target = self.engines[route[next_stage].target]
            item.stage = next_stage
            size = _ACTIVATION_BYTES * positions
            self.links.send(
                eng.spec.zone, target.spec.zone, size, target.enqueue, item
            )
            return
        head = self.engines[route[0].target]
        self._run_token_hooks(sequence)
        if sequence.cancelled:
            return
        token = self._generate_token(sequence)
        self.links.send(
            eng.spec.zone,
            head.spec.zone,
            _TOKEN_BYTES,
            self._deliver,
            sequence,
            token,
            head,
        )

    def _run_token_hooks(self, sequence: engine.Sequence) -> None:
        index, length = sequence.index, sequence.call.max_tokens
        if index == 0:
            self._run_step_hooks(Step.FIRST_TOKEN, sequence)
        if index == length // 2:
            self._run_step_hooks(Step.MID_ANSWER, sequence)
        if index == length - 1:
            self._run_step_hooks(Step.LAST_TOKEN, sequence)

    def fail(self, sequence: engine.Sequence, code: str, target: str):
        """Ends a sequence with an error in the response of its first engine."""
        if sequence.cancelled:
            return
        sequence.cancelled = True
        sequence.emit(engines.TokenBatch(error=code, target=target))
        sequence.emit(enginelistener.END)

    def crash(self, eng: engine.Engine, stream: str, item) -> None:
        """Kills an engine as the result of a request that it ran."""
        self.ledger.record_crash(eng.spec.id, stream)
        eng.die()
        self.fail(item.sequence, "stage_lost", eng.spec.id)
        self.listeners[eng.spec.id].cut()
        if self.restart_s:
            timer = threading.Timer(self.restart_s, self.revive, [eng.spec.id])
            timer.daemon = True
            timer.start()

    def _generate_token(self, sequence: engine.Sequence) -> engines.Token:
        call = sequence.call
        index = sequence.index
        text = sequence.next_token()
        layers = [(hop.start, hop.end) for hop in call.route]
        finish = "length" if sequence.index >= call.max_tokens else ""
        self.ledger.record_token(
            ledgers.GeneratedToken(
                call.stream, call.attempt, index, text, layers
            )
        )
        return engines.Token(index, text, call.attempt, layers, finish)

    def _deliver(self, sequence, token: engines.Token, head) -> None:
        if sequence.cancelled or head.state is not engine.State.UP:
            return
        if self.stale_events:
            _emit_stale(sequence, token)
        head.store_text(sequence, token)
        sequence.emit(
            engines.TokenBatch(tokens=[token], running=head.running())
        )
        if token.finish:
            sequence.cancelled = True
            sequence.emit(enginelistener.END)
            return
        positions = [1] * len(sequence.call.route)
        head.enqueue(engine.WorkItem(sequence, 0, positions))

    def _positions(self, sequence: engine.Sequence) -> list[int]:
        """Returns how many positions each stage must run before a token.

        A stage must run all positions that it or any later stage does not
        have in its cache, because later stages need its activations.
        """
        call = sequence.call
        needed = sequence.context_tokens
        missing = []
        for hop in call.route:
            eng = self.engines[hop.target]
            cached = max(
                eng.kv.get(call.stream, 0), eng.cached_tokens(call.prompt)
            )
            if hop.kv_from:
                cached = max(
                    cached, self._cached_positions_at(hop.kv_from, call.stream)
                )
            missing.append(max(1, needed - cached))
        for stage in range(len(missing) - 2, -1, -1):
            missing[stage] = max(missing[stage], missing[stage + 1])
        return missing

    def _cached_positions_at(self, url: str, stream: str) -> int:
        eng = self._engine_by_url(url)
        if eng is None or eng.state is not engine.State.UP:
            return 0
        return eng.kv.get(stream, 0)

    def _import_kv(self, sequence: engine.Sequence) -> float:
        """Imports KV caches into the route's engines; returns the duration."""
        longest_s = 0.0
        for hop in sequence.call.route:
            if not hop.kv_from:
                continue
            cached = self._cached_positions_at(
                hop.kv_from, sequence.call.stream
            )
            source = self._engine_by_url(hop.kv_from)
            if source is None or not cached:
                continue
            target = self.engines[hop.target]
            target.kv[sequence.call.stream] = cached
            self.kv_imports += 1
            link = self.links.link(source.spec.zone, target.spec.zone)
            transfer_s = cached * self._kv_bytes / link.bytes_per_s
            cost_s = (transfer_s + link.delay_s) * link.factor
            longest_s = max(longest_s, cost_s)
        return longest_s

    def _engine_by_url(self, url: str) -> engine.Engine | None:
        for target, listener in self.listeners.items():
            if listener.url == url:
                return self.engines[target]
        return None


def _emit_stale(sequence: engine.Sequence, token: engines.Token) -> None:
    """Emits three tokens that the router must not accept."""
    stale = engines.Token(
        token.index, "stale ", token.attempt - 1, token.layers
    )
    repeated = engines.Token(
        token.index - 1, "again ", token.attempt, token.layers
    )
    uncovered = engines.Token(
        token.index, "gap ", token.attempt, token.layers[1:]
    )
    sequence.emit(engines.TokenBatch(tokens=[stale, repeated, uncovered]))
