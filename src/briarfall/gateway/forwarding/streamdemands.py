"""Work that a stream needs, and its class among requests that need room."""

from briarfall import decoding
from briarfall.gateway.calls import calls
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.placement import chains
from briarfall.gateway.scheduling import accountshares
from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import kvreserve

# A request that states more tokens counts as one that states none.
_MAX_TOKENS = 10**9
# A request counts in the demand as this many mean ones at most. More is rarely
# served, and a single one would hide the demand of all others.
_MAX_COUNTED = 16


class StreamDemands:
    """Finds what streams need and records it.

    Args:
        header_names: Header names of the platform.
        reserve: Demand of this instance for KV caches.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        reserve: kvreserve.KvReserve,
    ):
        self._names = header_names
        self._reserve = reserve
        self._accounts = accountshares.AccountShares()

    def of(self, call: calls.Call) -> tuple[chains.Demand, classes.DemandClass]:
        """Returns the tokens and the class of a new stream."""
        demand = self._estimate(call)
        model = call.service.model
        mean_tokens = model.mean_prompt_tokens + model.mean_answer_tokens
        counted = demand.tokens
        if mean_tokens > 0:
            counted = min(counted, mean_tokens * _MAX_COUNTED)
        is_excess = call.account is not None and self._accounts.record(
            call.account.name, counted
        )
        cls = classes.class_of(
            call.urgency, demand.tokens, mean_tokens, is_excess=is_excess
        )
        self._reserve.record(cls, counted)
        return demand, cls

    def _estimate(self, call: calls.Call) -> chains.Demand:
        model = call.service.model
        prompt = model.mean_prompt_tokens
        answer = model.mean_answer_tokens
        is_prompt_stated = False
        usage = call.req.header(self._names.token_usage)
        if usage is not None:
            prompt_text, _, answer_text = usage.partition(b",")
            stated = _parse_tokens(prompt_text, -1)
            is_prompt_stated = stated >= 0
            prompt = stated if is_prompt_stated else prompt
            answer = min(answer, _parse_tokens(answer_text, answer))
        hint = call.req.header(self._names.length_hint)
        if hint is not None:
            answer = _parse_tokens(hint, answer)
        return chains.Demand(int(prompt), int(answer), is_prompt_stated)


def _parse_tokens(text: bytes, default: float) -> float:
    """Returns a number of tokens; `default` if the text is none."""
    count = decoding.parse_count(text.strip(), _MAX_TOKENS)
    return default if count is None else count
