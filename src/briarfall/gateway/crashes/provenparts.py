"""Parts of prompts on which targets recently wrote answers."""

from briarfall.gateway.crashes import crashevidence

# Time for which a part that a target wrote an answer on is not suspected.
_PROOF_S = 60.0
# Answers of an instance in `_PROOF_S`, at some 30 requests/s, with two shared
# parts each.
_MAX_PARTS = 4096


class ProvenParts:
    """Times of the last proof of each part; the oldest are forgotten."""

    def __init__(self):
        # Time on the boot clock, oldest first.
        self._proven_s: dict[crashevidence.SuspectKey, float] = {}

    def record(self, part: crashevidence.SuspectKey, now_s: float) -> None:
        """Records that a target wrote an answer on a part."""
        self._proven_s.pop(part, None)
        self._proven_s[part] = now_s
        if len(self._proven_s) > _MAX_PARTS:
            del self._proven_s[next(iter(self._proven_s))]

    def has(self, part: crashevidence.SuspectKey, now_s: float) -> bool:
        """Whether a part was proven recently."""
        proven_s = self._proven_s.get(part)
        return proven_s is not None and now_s - proven_s < _PROOF_S
