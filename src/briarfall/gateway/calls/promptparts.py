"""Parts of a prompt, which requests share with each other."""

import typing

import msgspec

from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import messages

PartId = typing.NewType("PartId", str)

# Parts of one prompt beyond this number are ignored.
_MAX_PARTS = 64
_MAX_ID_CHARS = 64


class PromptParts(msgspec.Struct, frozen=True):
    """Ids of the parts of a request's prompt.

    Attributes:
        shared: Parts that other requests may have too, in their order.
        own: The last part, which belongs to the request or its session; None
            if the request names no parts.
    """

    shared: tuple[PartId, ...] = ()
    own: PartId | None = None

    def describe(self) -> str:
        """Returns the ids as text for logs."""
        if self.own is None:
            return "none"
        return ",".join([*self.shared, self.own])


def parse(
    req: messages.CallerRequest, header_names: headernames.HeaderNames
) -> PromptParts:
    """Returns the parts that a request names; entries without id are skipped.

    Args:
        req: The request.
        header_names: Header names of the platform.
    """
    value = req.header(header_names.prompt_parts)
    if value is None:
        return PromptParts()
    found = []
    for entry in value.decode("latin-1").split(",")[:_MAX_PARTS]:
        part_id = entry.partition(":")[0].strip().lower()[:_MAX_ID_CHARS]
        if part_id:
            found.append(PartId(part_id))
    if not found:
        return PromptParts()
    return PromptParts(tuple(found[:-1]), found[-1])
