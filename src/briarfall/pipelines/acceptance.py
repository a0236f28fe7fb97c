"""Filters the tokens that engines send for a stream."""

from briarfall import hashing
from briarfall.adapters import engine as engines


class AcceptedTokens:
    """The accepted tokens of a stream, each index once and in order.

    Args:
        start: Index of the first expected token.
        digest: Digest of the text before that token.

    Attributes:
        texts: Texts of the tokens from `start` on.
        digest: Digest chained over the complete text.
        dropped: Number of tokens that were not accepted.
    """

    def __init__(self, start: int = 0, digest: int = 0):
        self.start = start
        self.texts: list[str] = []
        self.digest = digest
        self.dropped = 0

    @property
    def index(self) -> int:
        """Index of the next expected token."""
        return self.start + len(self.texts)

    def accept(
        self,
        batch: engines.TokenBatch,
        attempt: int,
        layers: list[tuple[int, int]],
    ) -> list[engines.Token]:
        """Accepts the valid tokens of a batch, drops the others.

        A token is valid if it has the next expected index and comes from the
        current attempt and from all layers of its route, in order.

        Args:
            batch: Tokens as the engine sent them.
            attempt: Number of the current attempt.
            layers: The complete layer trace of the attempt's route.

        Returns:
            The accepted tokens.
        """
        accepted = []
        for token in batch.tokens:
            if (
                token.index != self.index
                or token.attempt != attempt
                or token.layers != layers
            ):
                self.dropped += 1
                continue
            self.texts.append(token.text)
            self.digest = hashing.digest64(token.text, self.digest)
            accepted.append(token)
        return accepted
