"""Chains of engines that together run every layer once."""

import msgspec

from briarfall import ids
from briarfall.gateway.catalogue import sources


class Stage(msgspec.Struct, frozen=True):
    """One engine of a chain and the layers that it runs.

    Attributes:
        target: The engine's id.
        address: Its IP number and port.
        zone: Its availability zone.
        layers: The layers that it runs.
        started_ms: Start of its incarnation in Unix milliseconds.
    """

    target: ids.TargetId
    address: str
    zone: ids.ZoneId
    layers: sources.LayerRange
    started_ms: int = 0


class Chain(msgspec.Struct, frozen=True):
    """Engines that run all layers in order.

    Attributes:
        stages: The engines with their layers, the head first.
        cost_ms: Expected time of the complete answer.
    """

    stages: tuple[Stage, ...]
    cost_ms: float

    @property
    def head(self) -> Stage:
        """The first engine, which receives the request and answers it."""
        return self.stages[0]

    @property
    def crosses(self) -> bool:
        """Whether it has hops to another zone."""
        return any(row.zone != self.head.zone for row in self.stages)

    def describe(self) -> str:
        """Returns the engines and their layers as text for logs."""
        rows = []
        for stage in self.stages:
            rows.append(
                f"{stage.target}={stage.layers.first}-{stage.layers.end}"
            )
        return ",".join(rows)

    def stage_at(self, address: str) -> Stage | None:
        """Returns the stage whose engine has an address, or None."""
        for stage in self.stages:
            if stage.address == address:
                return stage
        return None

    def target_ids(self) -> list[ids.TargetId]:
        """Returns the ids of the chain's engines, the head first."""
        return [stage.target for stage in self.stages]


class Demand(msgspec.Struct, frozen=True):
    """The tokens of a request, which its KV cache and its run time depend on.

    Attributes:
        prompt: Number of prompt tokens.
        answer: Expected number of output tokens.
        is_prompt_stated: Whether the caller has told the number of prompt
            tokens; otherwise it is that of the mean request.
    """

    prompt: int
    answer: int
    is_prompt_stated: bool = True

    @property
    def tokens(self) -> int:
        """Tokens in the KV cache at the end of the answer."""
        return self.prompt + self.answer
