"""Stand-in engines: batches, caches and faults of one layer range each."""

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
    """What an engine is and how fast.

    Attributes:
        id: Target id.
        zone: Availability zone.
        start: First layer held.
        end: Layer after the last one held.
        kind: Kind of accelerator.
        base_s: Fixed duration of a batch step, in seconds.
        item_s: Added duration for each sequence in a batch.
        prefill_s: Added duration for each prompt token.
        max_batch: Sequences in one batch.
        cache_blocks: Prompt blocks of 16 tokens kept in the prefix cache.
        load_lag_s: Age of load reports.
        fencing: Whether orders with an old fencing number are refused.
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
    """Whether an engine works."""

    UP = "up"
    DEAD = "dead"
    STALLED = "stalled"


class Sequence:
    """One attempt of a stream as the engines see it."""

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
        """Samples the next token and advances the state."""
        text = _WORDS[self._chain % len(_WORDS)] + " "
        self._advance(text)
        self.texts.append(text)
        self.index += 1
        return text

    def _advance(self, text: str) -> None:
        self._chain = hashing.digest64(text, self._chain)


class WorkItem(msgspec.Struct):
    """A sequence at one stage: `positions` tokens to run there."""

    sequence: Sequence
    stage: int
    positions: list[int]
    serial: int = 0


class Engine:
    """One engine of a fleet; all methods run under the timeline's lock."""

    def __init__(self, spec: EngineSpec, fleet):
        self.spec = spec
        self.state = State.UP
        self.leaving = False
        self.crash_on = ""
        self.slow_factor = 1.0
        self.held = engines.EngineState(model="", version="")
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
        """Takes work; a dead engine fails the sequence instead."""
        if self.state is State.DEAD:
            self._fleet.fail(item.sequence, "stage_lost", self.spec.id)
            return
        self._serial += 1
        item.serial = self._serial
        self._queue.append(item)
        self._start_step()

    def die(self) -> None:
        """Loses all work and state; upstream notices the reset."""
        lost = self._queue + self._batch
        self._reset(State.DEAD)
        for item in lost:
            self._fleet.fail(item.sequence, "stage_lost", self.spec.id)

    def stall(self) -> None:
        """Stops working without telling anyone; keeps its queue."""
        self._epoch += 1
        self._queue = self._batch + self._queue
        self._batch = []
        self.state = State.STALLED

    def revive(self) -> None:
        """Works again; after a stall the old queue runs late."""
        self.state = State.UP
        self._start_step()

    def drop(self, stream: str) -> None:
        """Forgets a cancelled stream's queued work."""
        self._queue = [
            item
            for item in self._queue
            if item.sequence.call.stream != stream
            or not item.sequence.cancelled
        ]

    def remember(self, sequence: Sequence, token: engines.Token) -> None:
        """Keeps the text of a stream that has this engine as its head."""
        texts = self._texts.get(sequence.call.stream)
        if texts is None or len(texts) != token.index:
            texts = list(sequence.texts[: token.index])
            self._texts[sequence.call.stream] = texts
            while len(self._texts) > _MAX_TEXTS:
                self._texts.popitem(last=False)
        texts.append(token.text)

    def recall(self, call: engines.GenerateCall) -> bool:
        """Fills in the accepted tokens of a stream that is remembered."""
        texts = self._texts.get(call.stream, [])
        if len(texts) < call.resume_index:
            return False
        call.accepted = texts[: call.resume_index] + call.accepted
        return True

    def load(self) -> engines.LoadReport:
        """Returns the load as it was `load_lag_s` ago."""
        limit = time.monotonic() - self.spec.load_lag_s
        running, waiting = 0, 0
        for taken_s, then_running, then_waiting in self._samples:
            if taken_s > limit:
                break
            running, waiting = then_running, then_waiting
        return engines.LoadReport(
            running, waiting, self.spec.load_lag_s, self.leaving
        )

    def running(self) -> int:
        """Returns the sequences in the batch and the queue now."""
        return len(self._batch) + len(self._queue)

    def cached_tokens(self, prompt: str) -> int:
        """Returns the prompt tokens that the prefix cache covers."""
        covered = 0
        for key in prefix_keys(prompt):
            if key not in self._prefixes:
                break
            self._prefixes.move_to_end(key)
            covered += _BLOCK_TOKENS
        return covered

    def events(self, since: int) -> list[engines.CacheEvent]:
        """Returns old cache events, every seventh one missing."""
        ready = self._events[:-2]
        return [
            event
            for event in ready
            if event.sequence > since and event.sequence % 7
        ]

    def command(self, order: engines.EngineCommand) -> engines.EngineState:
        """Obeys an order, or refuses an old fencing number."""
        if self.spec.fencing and order.fence < self.held.fence:
            raise exceptions.FencedError(f"seen fence {self.held.fence}")
        self._fleet.load_weights(self, order)
        self.held = engines.EngineState(
            order.model,
            order.version,
            order.adapter,
            order.role,
            max(order.fence, self.held.fence),
        )
        return self.held

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
        self._sample()
        duration_s = self._duration_s() * self.slow_factor
        self._fleet.timeline.at(duration_s, self._finish_step, self._epoch)

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
            if self._crashes(item):
                return
            self._run_layers(item)
            self._fleet.forward(item, self)
        self._start_step()

    def _crashes(self, item: WorkItem) -> bool:
        call = item.sequence.call
        if not self.crash_on or self.crash_on not in call.prompt:
            return False
        self._fleet.crash(self, call.stream, item)
        return True

    def _run_layers(self, item: WorkItem) -> None:
        call = item.sequence.call
        hop = call.route[item.stage]
        positions = item.positions[item.stage]
        self._fleet.ledger.note_work(
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
                self._note_event(key, True)
        while len(self._prefixes) > self.spec.cache_blocks:
            old, _ = self._prefixes.popitem(last=False)
            self._note_event(old, False)

    def _note_event(self, key: str, stored: bool) -> None:
        sequence = len(self._events) + 1
        self._events.append(engines.CacheEvent(sequence, key, stored))

    def _sample(self) -> None:
        now = time.monotonic()
        if self._samples and now - self._samples[-1][0] < _LOAD_SAMPLE_S:
            return
        self._samples.append((now, len(self._batch), len(self._queue)))


def prefix_keys(prompt: str) -> list[str]:
    """Returns a chained hash for each full block of a prompt."""
    words = prompt.split()
    keys = []
    chain = 0
    for begin in range(0, len(words) - _BLOCK_TOKENS + 1, _BLOCK_TOKENS):
        block = " ".join(words[begin : begin + _BLOCK_TOKENS])
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
