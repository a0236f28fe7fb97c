"""Receives the signals of a process in a thread that only waits for them.

A handler would run in the main thread between two of its instructions: a signal
that arrives right before a wait interrupts nothing, and a handler that takes a
lock which the main thread holds never returns.
"""

import collections.abc
import signal
import threading

Action = collections.abc.Callable[[], None]


class SignalReceiver:
    """Calls an action for each signal that the process receives.

    All threads of the process have to block these signals, see `block`.

    Args:
        actions: Action of each signal.
    """

    def __init__(
        self, actions: collections.abc.Mapping[signal.Signals, Action]
    ):
        self._actions = dict(actions)

    def start(self) -> None:
        """Starts the thread, which takes pending signals at once."""
        threading.Thread(
            target=self._receive, name="signals", daemon=True
        ).start()

    def _receive(self) -> None:
        while True:
            number = signal.sigwait(self._actions)
            self._actions[number]()


def block(signals: collections.abc.Iterable[signal.Signals]) -> None:
    """Keeps signals pending in this thread and in those that it starts.

    Called by the main thread before it starts another one. The default
    disposition replaces an ignored one, which may discard a signal.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    for number in signals:
        signal.signal(number, signal.SIG_DFL)
