"""What the engine stand-ins really ran."""

import collections
import threading

import msgspec


class RanToken(msgspec.Struct, array_like=True):
    """One token that left the last stage of a pipeline."""

    stream: str
    attempt: int
    index: int
    text: str
    layers: list[tuple[int, int]]


class Ledger:
    """Counts tokens and layer runs over all engines."""

    def __init__(self):
        self._lock = threading.Lock()
        self.tokens: dict[str, list[RanToken]] = collections.defaultdict(list)
        self.starts: dict[str, list[str]] = collections.defaultdict(list)
        self.token_count = 0
        self.layer_runs = 0
        self.prefill_runs = 0
        self.crashes: list[tuple[str, str]] = []
        self.last_work_s: dict[str, float] = {}

    def note_token(self, token: RanToken) -> None:
        """Notes a token that left a last stage."""
        with self._lock:
            self.tokens[token.stream].append(token)
            self.token_count += 1

    def note_work(
        self, stream: str, layers: int, positions: int, now_s: float
    ) -> None:
        """Notes layers run for a number of positions."""
        with self._lock:
            if positions > 1:
                self.prefill_runs += layers * positions
            else:
                self.layer_runs += layers
            self.last_work_s[stream] = now_s

    def note_start(self, target: str, stream: str) -> None:
        """Notes that a target was given new work."""
        with self._lock:
            self.starts[target].append(stream)

    def note_crash(self, target: str, stream: str) -> None:
        """Notes that a request crashed a target."""
        with self._lock:
            self.crashes.append((target, stream))

    def answer(self, stream: str) -> list[RanToken]:
        """Returns all tokens run for a stream, in order of running."""
        with self._lock:
            return list(self.tokens[stream])

    def streams(self) -> list[str]:
        """Returns all streams that ran a token."""
        with self._lock:
            return list(self.tokens)
