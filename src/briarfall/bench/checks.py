"""Checks the results of callers against the ledgers of the stand-ins."""

import collections

import msgspec

from briarfall.adapters import engine as engines
from briarfall.bench import workload
from briarfall.pipelines import graph
from briarfall.standins import engine
from briarfall.standins import ledger as ledgers


class GuaranteeResult(msgspec.Struct):
    """A guarantee of the system and whether it held in a run."""

    promise: str
    held: bool
    detail: str


def expected_text(prompt: str, seed: int, tokens: int) -> str:
    """Returns the text that the engines must generate for a request."""
    call = engines.GenerateCall("", 1, prompt, [], tokens, seed, 0, 0, [])
    sequence = engine.Sequence(call, None)
    return "".join(sequence.next_token() for _ in range(tokens))


def check_answers(
    results: list[workload.CallResult], tokens: int
) -> GuaranteeResult:
    """Checks that every answer is complete and belongs to its caller."""
    complete = 0
    wrong = 0
    failed: collections.Counter = collections.Counter()
    for result in results:
        if result.code != "ok":
            failed[result.code] += 1
            continue
        if result.text == expected_text(result.prompt, result.seed, tokens):
            complete += 1
        else:
            wrong += 1
    return GuaranteeResult(
        "answers whole, to their own callers",
        wrong == 0 and not failed,
        f"{complete} whole, {wrong} wrong, failed {dict(failed)}",
    )


def check_layers(
    ledger: ledgers.Ledger, layers: dict[str, int]
) -> GuaranteeResult:
    """Checks that each token passed every layer exactly once, in order.

    A token that was lost because a stage failed may be generated again in a
    later attempt.
    """
    invalid = 0
    tokens = 0
    for stream in ledger.streams():
        seen: set[tuple[int, int]] = set()
        for token in ledger.generated_tokens(stream):
            tokens += 1
            token_id = (token.attempt, token.index)
            total = layers[stream] if stream in layers else token.layers[-1][1]
            if token_id in seen or not graph.covers(token.layers, total):
                invalid += 1
            seen.add(token_id)
    return GuaranteeResult(
        "layers once per token and attempt, in order",
        invalid == 0,
        f"{tokens} tokens, {invalid} broken",
    )


def check_orders(runs: collections.Counter, keys: list[str]) -> GuaranteeResult:
    """Checks that each accepted order ran exactly once."""
    repeated = [key for key, count in runs.items() if count > 1]
    missing = [key for key in keys if runs[key] == 0]
    return GuaranteeResult(
        "orders run exactly once",
        not repeated and not missing,
        f"{len(keys)} confirmed, {len(repeated)} twice, {len(missing)} missing",
    )
