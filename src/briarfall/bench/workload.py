"""Callers that generate load for demos and measurements."""

import random
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import sessions


class CallResult(msgspec.Struct):
    """Result of one draft request, as its caller saw it.

    Attributes:
        model: The requested model.
        text: The received text.
        tokens: Number of words received, or of tokens if not streamed.
        first_s: Seconds to the first event, or None.
        gaps_s: Seconds between consecutive events.
        total_s: Seconds to the end of the request.
        code: Error code, or `ok`.
        priority: Priority class of the request.
        started_s: Monotonic time of the start.
        outcome: Outcome of a failed request, or empty.
        seed: Seed of the generated text.
        prompt: The prompt.
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


def stream_draft(session: sessions.Session, model: str, prompt: str, **options):
    """Streams one draft and returns its result."""
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


def complete_draft(
    session: sessions.Session, model: str, prompt: str, **options
):
    """Requests one draft without streaming and returns its result."""
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


def make_prompt(rng: random.Random, words: int, prefixes: int = 8) -> str:
    """Returns a random prompt whose first half is a shared prefix."""
    prefix = rng.randrange(prefixes)
    shared = [f"shared{prefix}"] * (words // 2)
    own = [f"word{rng.randrange(10_000)}" for _ in range(words - words // 2)]
    return " ".join(shared + own)


class Workers:
    """Threads that repeat a step until they are stopped.

    Args:
        step: Called with the worker's number and its random generator.
        count: Number of threads.
        seed: Seed of the random generators.
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
        """Waits for the current steps to end and returns all results."""
        self._stopping.set()
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        return self.results

    def _run(self, number: int, rng: random.Random) -> None:
        while not self._stopping.is_set():
            self.results.append(self._step(number, rng))
