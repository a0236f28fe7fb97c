"""Compares what callers saw with the stand-ins' ledgers."""

import collections

import msgspec

from briarfall.adapters import engine as engines
from briarfall.bench import load
from briarfall.pipelines import graph
from briarfall.standins import engine
from briarfall.standins import ledger as ledgers


class Promise(msgspec.Struct):
    """One promise and whether it held."""

    promise: str
    held: bool
    detail: str


def expected_text(prompt: str, seed: int, tokens: int) -> str:
    """Returns the answer that the engines must give."""
    call = engines.GenerateCall("", 1, prompt, [], tokens, seed, 0, 0, [])
    sequence = engine.Sequence(call, None)
    return "".join(sequence.next_token() for _ in range(tokens))


def check_answers(results: list[load.CallResult], tokens: int) -> Promise:
    """Checks that every answer is whole and its caller's own."""
    whole = 0
    wrong = 0
    failed: collections.Counter = collections.Counter()
    for result in results:
        if result.code != "ok":
            failed[result.code] += 1
            continue
        if result.text == expected_text(result.prompt, result.seed, tokens):
            whole += 1
        else:
            wrong += 1
    return Promise(
        "answers whole, to their own callers",
        wrong == 0 and not failed,
        f"{whole} whole, {wrong} wrong, failed {dict(failed)}",
    )


def check_layers(ledger: ledgers.Ledger, layers: dict[str, int]) -> Promise:
    """Checks that each token ran every layer once, in order.

    A token that was lost with a stage may run again in a later attempt.
    """
    broken = 0
    tokens = 0
    for stream in ledger.streams():
        seen: set[tuple[int, int]] = set()
        for token in ledger.answer(stream):
            tokens += 1
            identity = (token.attempt, token.index)
            total = layers[stream] if stream in layers else token.layers[-1][1]
            if identity in seen or not graph.covers(token.layers, total):
                broken += 1
            seen.add(identity)
    return Promise(
        "layers once per token and attempt, in order",
        broken == 0,
        f"{tokens} tokens, {broken} broken",
    )


def check_orders(runs: collections.Counter, keys: list[str]) -> Promise:
    """Checks that each accepted order ran exactly once."""
    twice = [key for key, count in runs.items() if count > 1]
    missing = [key for key in keys if runs[key] == 0]
    return Promise(
        "orders run exactly once",
        not twice and not missing,
        f"{len(keys)} confirmed, {len(twice)} twice, {len(missing)} missing",
    )
