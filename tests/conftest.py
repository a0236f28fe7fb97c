"""Fixtures that several test files share."""

import pytest

from briarfall.gateway import clocks


@pytest.fixture
def clock(monkeypatch):
    """A boot clock that only moves when told to."""

    class _Clock:
        now_s = 1000.0

    monkeypatch.setattr(clocks, "boot_s", lambda: _Clock.now_s)
    return _Clock
