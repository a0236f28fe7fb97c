"""A router for model pipelines spread over mixed accelerators."""

import importlib

from briarfall.exceptions import BriarfallError
from briarfall.exceptions import Outcome

__version__ = "0.1.0"
__all__ = ["BriarfallError", "Outcome", "Session", "__version__"]


def __getattr__(name: str):
    """Imports `Session` on first use: daemons do without its libraries."""
    if name == "Session":
        return importlib.import_module("briarfall.sessions").Session
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
