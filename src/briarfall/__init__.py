"""A router for model pipelines over heterogeneous accelerators."""

import importlib

from briarfall.exceptions import BriarfallError
from briarfall.exceptions import Outcome

__version__ = "0.1.0"
__all__ = ["BriarfallError", "Outcome", "Session", "__version__"]


def __getattr__(name: str):
    """Imports `Session` on first use.

    Gateway processes don't use it and needn't load its libraries.
    """
    if name == "Session":
        return importlib.import_module("briarfall.sessions").Session
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
