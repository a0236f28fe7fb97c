"""Gates that hold back the bytes of a connection while they are shut."""

import threading


class Gate:
    """Holds back what passes while it is shut.

    Attributes:
        splits_sends: Whether the first half of what is sent still passes.
    """

    def __init__(self):
        self._open = threading.Event()
        self._open.set()
        self.splits_sends = False

    @property
    def is_shut(self) -> bool:
        """Whether it holds back what passes."""
        return not self._open.is_set()

    def shut(self, *, splits_sends: bool = False) -> None:
        """Holds back everything from now on, but for half of a send."""
        self.splits_sends = splits_sends
        self._open.clear()

    def open(self) -> None:
        """Lets everything pass, first what was held back."""
        self._open.set()

    def wait(self) -> None:
        """Waits until it is open."""
        self._open.wait()
