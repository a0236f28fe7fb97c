"""Runs a gateway instance from a checkout."""

import signal

# Until the instance handles it, this signal would end the process. The further
# imports take milliseconds.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

sys.path[0] = str(pathlib.Path(__file__).resolve().parent.parent / "src")

from briarfall.platform import earlylisteners  # noqa: E402


def run() -> None:
    """Opens the listeners first, then imports and runs the instance.

    Callers that connect during the imports wait instead of being refused.
    """
    data = earlylisteners.read_settings()
    listeners = earlylisteners.open_listeners(data)
    from briarfall.platform import main

    gc.freeze()
    main.run(data, listeners)


if __name__ == "__main__":
    run()
    os._exit(0)
