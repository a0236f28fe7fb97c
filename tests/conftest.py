"""Fixtures that several test files share."""

import hypothesis
import pytest

from briarfall.gateway import clocks
from briarfall.standins.prepared import scenes

# The same examples in every run, however busy the machine is.
hypothesis.settings.register_profile("same", derandomize=True, deadline=None)
hypothesis.settings.load_profile("same")


@pytest.fixture
def clock(monkeypatch):
    """A boot clock that only moves when told to."""

    class _Clock:
        now_s = 1000.0

    monkeypatch.setattr(clocks, "boot_s", lambda: _Clock.now_s)
    return _Clock


@pytest.fixture
def world():
    """Stand-ins of the prepared platform, closed at the end."""
    with scenes.world() as scene:
        yield scene
