"""Decides which tokens of a stream are accepted."""

from briarfall import hashing
from briarfall.adapters import engine as engines


class Accepted:
    """Tokens that were accepted, once each and in order.

    Args:
        start: Index of the first token that is expected.
        digest: Digest of the text before it.

    Attributes:
        texts: Texts of the tokens from `start` on.
        digest: Digest chained over the whole text.
        dropped: Tokens that were not accepted.
    """

    def __init__(self, start: int = 0, digest: int = 0):
        self.start = start
        self.texts: list[str] = []
        self.digest = digest
        self.dropped = 0

    @property
    def index(self) -> int:
        """Index of the next token."""
        return self.start + len(self.texts)

    def take(
        self,
        batch: engines.TokenBatch,
        attempt: int,
        layers: list[tuple[int, int]],
    ) -> list[engines.Token]:
        """Returns the acceptable tokens of a batch, dropping the others.

        Args:
            batch: What the engine sent.
            attempt: The current attempt.
            layers: The complete layer trace of the attempt's route.
        """
        taken = []
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
            taken.append(token)
        return taken
