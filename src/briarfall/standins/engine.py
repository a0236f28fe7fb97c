"""Stand-in engines that simulate batches, caches and faults."""

import collections
import enum
import time

import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall.adapters import engine as engines

_BLOCK_TOKENS = 16
_LOAD_SAMPLE_S = 0.1
_LOAD_SAMPLES = 100
_MAX_TEXTS = 4096


class EngineSpec(msgspec.Struct, frozen=True):
    """Identity, layer range and speed of an engine.

    Attributes:
        id: Target id.
        zone: Availability zone.
        start: First layer held.
        end: Layer after the last one held.
        kind: Kind of accelerator.
        base_s: Fixed duration of a batch step, in seconds.
        item_s: Added duration for each sequence in a batch.
        prefill_s: Added duration for each prompt token.
        max_batch: Maximum number of sequences in one batch.
        cache_blocks: Capacity of the prefix cache, in blocks of 16 tokens.
        load_lag_s: Age of load reports, in seconds.
        fencing: Whether commands with an old fencing number are refused.
    """

    id: str
    zone: str
    start: int
    end: int
    kind: str = "a"
    base_s: float = 0.004
    item_s: float = 0.0005
    prefill_s: float = 0.00005
    max_batch: int = 16
    cache_blocks: int = 4096
    load_lag_s: float = 0.5
    fencing: bool = True

    @property
    def tokens_per_s(self) -> float:
        """Decode throughput over the whole range at full batch."""
        step_s = self.base_s + self.item_s * self.max_batch
        return self.max_batch / step_s


class State(enum.Enum):
    """Whether an engine runs, is dead or is stalled."""

    UP = "up"
    DEAD = "dead"
    STALLED = "stalled"


class Sequence:
    """Generation state of one attempt of a stream, shared by its engines."""

    def __init__(self, call: engines.GenerateCall, emit):
        self.call = call
        self.emit = emit
        self.index = len(call.accepted)
        self.cancelled = False
        self.prompt_tokens = max(1, len(call.prompt.split()))
        self.texts = list(call.accepted)
        self._chain = hashing.digest64(call.prompt, call.seed)
        for text in call.accepted:
            self._advance(text)

    @property
    def context_tokens(self) -> int:
        """Positions that must be in the KV cache before the next token."""
        return self.prompt_tokens + self.index

    def next_token(self) -> str:
        """Returns the next token and advances the state."""
        text = _WORDS[self._chain % len(_WORDS)] + " "
        self._advance(text)
        self.texts.append(text)
        self.index += 1
        return text

    def _advance(self, text: str) -> None:
        self._chain = hashing.digest64(text, self._chain)


class WorkItem(msgspec.Struct):
    """A sequence queued at one stage of its route.

    Attributes:
        sequence: The sequence.
        stage: Index of the stage in the route.
        positions: Number of token positions to run, by stage.
        serial: Order of arrival at the engine.
    """

    sequence: Sequence
    stage: int
    positions: list[int]
    serial: int = 0


class Engine:
    """One engine of a fleet; callers must hold the timeline's lock."""

    def __init__(self, spec: EngineSpec, fleet):
        self.spec = spec
        self.state = State.UP
        self.draining = False
        self.crash_on = ""
        self.slow_factor = 1.0
        self.deployed = engines.EngineState(model="", version="")
        self.kv: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._fleet = fleet
        self._queue: list[WorkItem] = []
        self._batch: list[WorkItem] = []
        self._epoch = 0
        self._serial = 0
        self._texts: collections.OrderedDict[str, list[str]] = (
            collections.OrderedDict()
        )
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[engines.CacheEvent] = []
        self._samples: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_LOAD_SAMPLES)
        )

    def enqueue(self, item: WorkItem) -> None:
        """Queues an item; a dead engine fails the sequence instead."""
        if self.state is State.DEAD:
            self._fleet.fail(item.sequence, "stage_lost", self.spec.id)
            return
        self._serial += 1
        item.serial = self._serial
        self._queue.append(item)
        self._start_step()

    def die(self) -> None:
        """Drops all work and state and fails the affected sequences."""
        lost = self._queue + self._batch
        self._reset(State.DEAD)
        for item in lost:
            self._fleet.fail(item.sequence, "stage_lost", self.spec.id)

    def stall(self) -> None:
        """Stops working without an error to any caller; keeps the queue."""
        self._epoch += 1
        self._queue = self._batch + self._queue
        self._batch = []
        self.state = State.STALLED

    def revive(self) -> None:
        """Resumes work; items queued before a stall run late."""
        self.state = State.UP
        self._start_step()

    def drop_cancelled(self, stream: str) -> None:
        """Removes the queued work of a stream's cancelled sequences."""
        self._queue = [
            item
            for item in self._queue
            if item.sequence.call.stream != stream
            or not item.sequence.cancelled
        ]

    def store_text(self, sequence: Sequence, token: engines.Token) -> None:
        """Stores a token's text for a stream whose head is this engine."""
        texts = self._texts.get(sequence.call.stream)
        if texts is None or len(texts) != token.index:
            texts = list(sequence.texts[: token.index])
            self._texts[sequence.call.stream] = texts
            while len(self._texts) > _MAX_TEXTS:
                self._texts.popitem(last=False)
        texts.append(token.text)

    def restore_texts(self, call: engines.GenerateCall) -> bool:
        """Prepends the stored texts of a stream to the accepted tokens.

        Returns:
            False if fewer texts are stored than the call resumes after.
        """
        texts = self._texts.get(call.stream, [])
        if len(texts) < call.resume_index:
            return False
        call.accepted = texts[: call.resume_index] + call.accepted
        return True

    def load(self) -> engines.LoadReport:
        """Returns the load as of `load_lag_s` seconds ago."""
        limit = time.monotonic() - self.spec.load_lag_s
        running, waiting = 0, 0
        for taken_s, then_running, then_waiting in self._samples:
            if taken_s > limit:
                break
            running, waiting = then_running, then_waiting
        return engines.LoadReport(
            running, waiting, self.spec.load_lag_s, self.draining
        )

    def running(self) -> int:
        """Returns the current number of sequences in batch and queue."""
        return len(self._batch) + len(self._queue)

    def cached_tokens(self, prompt: str) -> int:
        """Returns the number of prompt tokens in the prefix cache."""
        covered = 0
        for key in prefix_keys(prompt):
            if key not in self._prefixes:
                break
            self._prefixes.move_to_end(key)
            covered += _BLOCK_TOKENS
        return covered

    def events(self, since: int) -> list[engines.CacheEvent]:
        """Returns cache events after a sequence number.

        The two newest events and every seventh one are left out, which
        simulates lag and loss.
        """
        ready = self._events[:-2]
        return [
            event
            for event in ready
            if event.sequence > since and event.sequence % 7
        ]

    def apply_command(
        self, engine_command: engines.EngineCommand
    ) -> engines.EngineState:
        """Applies a command, or refuses it for an old fencing number."""
        if self.spec.fencing and engine_command.fence < self.deployed.fence:
            raise exceptions.FencedError(f"seen fence {self.deployed.fence}")
        self._fleet.load_weights(self, engine_command)
        self.deployed = engines.EngineState(
            engine_command.model,
            engine_command.version,
            engine_command.adapter,
            engine_command.role,
            max(engine_command.fence, self.deployed.fence),
        )
        return self.deployed

    def _reset(self, state: State) -> None:
        self._epoch += 1
        self._queue = []
        self._batch = []
        self.kv.clear()
        self._texts.clear()
        self._prefixes.clear()
        self.state = state

    def _start_step(self) -> None:
        if self._batch or self.state is not State.UP:
            return
        live = [item for item in self._queue if not item.sequence.cancelled]
        if not live:
            self._queue = []
            return
        live.sort(key=lambda item: (item.sequence.call.priority, item.serial))
        self._batch = live[: self.spec.max_batch]
        self._queue = live[self.spec.max_batch :]
        self._sample_load()
        duration_s = self._duration_s() * self.slow_factor
        self._fleet.timeline.call_later(
            duration_s, self._finish_step, self._epoch
        )

    def _duration_s(self) -> float:
        spec = self.spec
        total_s = spec.base_s
        for item in self._batch:
            hop = item.sequence.call.route[item.stage]
            share = (hop.end - hop.start) / (spec.end - spec.start)
            positions = item.positions[item.stage]
            if positions <= 1:
                total_s += spec.item_s * share
            else:
                total_s += spec.prefill_s * positions * share
        return total_s

    def _finish_step(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        batch = self._batch
        self._batch = []
        for item in batch:
            if item.sequence.cancelled:
                continue
            if self._crash_if_triggered(item):
                return
            self._run_layers(item)
            self._fleet.forward(item, self)
        self._start_step()

    def _crash_if_triggered(self, item: WorkItem) -> bool:
        call = item.sequence.call
        if not self.crash_on or self.crash_on not in call.prompt:
            return False
        self._fleet.crash(self, call.stream, item)
        return True

    def _run_layers(self, item: WorkItem) -> None:
        call = item.sequence.call
        hop = call.route[item.stage]
        positions = item.positions[item.stage]
        self._fleet.ledger.record_work(
            call.stream, hop.end - hop.start, positions, time.monotonic()
        )
        self.kv[call.stream] = item.sequence.context_tokens
        self.kv.move_to_end(call.stream)
        while len(self.kv) > 4096:
            self.kv.popitem(last=False)
        if positions > 1:
            self._store_prefix(call.prompt)

    def _store_prefix(self, prompt: str) -> None:
        for key in prefix_keys(prompt):
            is_new = key not in self._prefixes
            self._prefixes[key] = None
            self._prefixes.move_to_end(key)
            if is_new:
                self._record_event(key, True)
        while len(self._prefixes) > self.spec.cache_blocks:
            old, _ = self._prefixes.popitem(last=False)
            self._record_event(old, False)

    def _record_event(self, key: str, stored: bool) -> None:
        sequence = len(self._events) + 1
        self._events.append(engines.CacheEvent(sequence, key, stored))

    def _sample_load(self) -> None:
        now = time.monotonic()
        if self._samples and now - self._samples[-1][0] < _LOAD_SAMPLE_S:
            return
        self._samples.append((now, len(self._batch), len(self._queue)))


def prefix_keys(prompt: str) -> list[str]:
    """Returns a hash for each full block, chained over its prefix."""
    words = prompt.split()
    keys = []
    chain = 0
    for start in range(0, len(words) - _BLOCK_TOKENS + 1, _BLOCK_TOKENS):
        block = " ".join(words[start : start + _BLOCK_TOKENS])
        chain = hashing.digest64(block, chain)
        keys.append(f"{chain:016x}")
    return keys


_WORDS = (
    "pipe liner resin cure joint crack root silt bend shaft seal grout "
    "crew site flow water steel clay slope drain survey camera metre "
    "depth north south east west coat shirt wool linen sleeve collar "
    "cuff hem fit size navy grey olive sand slate stone brown black "
    "season spring autumn winter summer light warm layer capsule box"
).split()
