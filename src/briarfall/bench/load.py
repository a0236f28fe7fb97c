"""Callers for demos and measurements."""

import random
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import sessions


class CallResult(msgspec.Struct):
    """What one caller saw of one draft.

    Attributes:
        model: The model asked for.
        text: The text that arrived.
        tokens: Number of its words.
        first_s: Seconds to the first event, or None.
        gaps_s: Seconds between events.
        total_s: Seconds to the end.
        code: Error code, or `ok`.
        priority: The request's class.
        started_s: Monotonic time of the start.
        stream: Id of the stream, where known.
    """

    model: str
    text: str = ""
    tokens: int = 0
    first_s: float | None = None
    gaps_s: list[float] = []
    total_s: float = 0.0
    code: str = "ok"
    priority: str = ""
    started_s: float = 0.0
    outcome: str = ""
    seed: int = 0
    prompt: str = ""


def draft(session: sessions.Session, model: str, prompt: str, **options):
    """Streams one draft and returns what its caller saw."""
    started = time.monotonic()
    result = CallResult(
        model,
        started_s=started,
        gaps_s=[],
        prompt=prompt,
        priority=options.get("priority", ""),
        seed=options.get("seed", 0),
    )
    texts = []
    last = started
    try:
        for event in session.stream(model, prompt, **options):
            now = time.monotonic()
            if result.first_s is None:
                result.first_s = now - started
            else:
                result.gaps_s.append(now - last)
            last = now
            texts.append(event.text)
    except exceptions.BriarfallError as exc:
        result.code = exc.code
        result.outcome = exc.outcome.value
    result.total_s = time.monotonic() - started
    result.text = "".join(texts)
    result.tokens = len(result.text.split())
    return result


def whole(session: sessions.Session, model: str, prompt: str, **options):
    """Asks for one draft without streaming."""
    started = time.monotonic()
    result = CallResult(
        model,
        started_s=started,
        prompt=prompt,
        priority=options.get("priority", ""),
        seed=options.get("seed", 0),
    )
    try:
        draft_result = session.complete(model, prompt, **options)
        result.text = draft_result.text
        result.tokens = draft_result.tokens
    except exceptions.BriarfallError as exc:
        result.code = exc.code
        result.outcome = exc.outcome.value
    result.total_s = time.monotonic() - started
    return result


def prompt_of(rng: random.Random, words: int, prefixes: int = 8) -> str:
    """Returns a prompt that shares its first half with others."""
    prefix = rng.randrange(prefixes)
    shared = [f"shared{prefix}"] * (words // 2)
    own = [f"word{rng.randrange(10_000)}" for _ in range(words - words // 2)]
    return " ".join(shared + own)


class Workers:
    """Threads that repeat a step until they are told to stop.

    Args:
        step: Called with the worker's number and its random source.
        count: Number of threads.
        seed: Seed of the random sources.
    """

    def __init__(self, step, count: int, seed: int = 1):
        self._step = step
        self._stopping = threading.Event()
        self.results: list = []
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(i, random.Random(seed * 1000 + i)),
                daemon=True,
            )
            for i in range(count)
        ]

    def start(self) -> None:
        """Starts all threads."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout_s: float = 30.0) -> list:
        """Stops after the current steps and returns all results."""
        self._stopping.set()
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        return self.results

    def _run(self, number: int, rng: random.Random) -> None:
        while not self._stopping.is_set():
            self.results.append(self._step(number, rng))
