"""Starts a gateway instance from a checkout."""

import gc
import os
import pathlib
import sys

sys.path[0] = str(pathlib.Path(__file__).resolve().parent.parent / "src")

from briarfall.platform import main  # noqa: E402

if __name__ == "__main__":
    gc.freeze()
    main.run()
    os._exit(0)
