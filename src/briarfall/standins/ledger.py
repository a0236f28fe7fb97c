"""Ledger of the tokens and layers that engine stand-ins ran."""

import collections
import threading

import msgspec


class GeneratedToken(msgspec.Struct, array_like=True):
    """One token that the last stage of a pipeline generated."""

    stream: str
    attempt: int
    index: int
    text: str
    layers: list[tuple[int, int]]


class Ledger:
    """Records tokens, layer runs, starts and crashes of all engines."""

    def __init__(self):
        self._lock = threading.Lock()
        self.tokens: dict[str, list[GeneratedToken]] = collections.defaultdict(
            list
        )
        self.starts: dict[str, list[str]] = collections.defaultdict(list)
        self.token_count = 0
        self.layer_runs = 0
        self.prefill_runs = 0
        self.crashes: list[tuple[str, str]] = []
        self.last_work_s: dict[str, float] = {}

    def record_token(self, token: GeneratedToken) -> None:
        """Records a token that a last stage generated."""
        with self._lock:
            self.tokens[token.stream].append(token)
            self.token_count += 1

    def record_work(
        self, stream: str, layers: int, positions: int, now_s: float
    ) -> None:
        """Records layers that ran for a number of positions."""
        with self._lock:
            if positions > 1:
                self.prefill_runs += layers * positions
            else:
                self.layer_runs += layers
            self.last_work_s[stream] = now_s

    def record_start(self, target: str, stream: str) -> None:
        """Records that a target got a new stream."""
        with self._lock:
            self.starts[target].append(stream)

    def record_crash(self, target: str, stream: str) -> None:
        """Records that a request crashed a target."""
        with self._lock:
            self.crashes.append((target, stream))

    def generated_tokens(self, stream: str) -> list[GeneratedToken]:
        """Returns all tokens generated for a stream, in order of time."""
        with self._lock:
            return list(self.tokens[stream])

    def streams(self) -> list[str]:
        """Returns all streams for which a token was generated."""
        with self._lock:
            return list(self.tokens)
