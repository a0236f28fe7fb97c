"""A router for model pipelines spread over mixed accelerators."""

from briarfall.exceptions import BriarfallError
from briarfall.exceptions import Outcome
from briarfall.sessions import Session

__version__ = "0.1.0"
__all__ = ["BriarfallError", "Outcome", "Session", "__version__"]
