"""Fixtures and settings that several test files use."""

import hypothesis
import pytest

from briarfall.gateway import clocks
from briarfall.standins.prepared import repeatedresponses
from briarfall.standins.prepared import testbed
from tests import descriptors

# Runs use the same examples and no deadline, so that results don't depend on
# chance or on the load of the machine.
hypothesis.settings.register_profile("same", derandomize=True, deadline=None)
hypothesis.settings.load_profile("same")


def pytest_configure(config):
    """Fails the run if it leaves many descriptors open."""
    config.pluginmanager.register(descriptors.DescriptorCheck(config))


@pytest.fixture
def clock(monkeypatch):
    """A boot clock that moves only when a test sets `now_s`."""

    class _Clock:
        now_s = 1000.0

    monkeypatch.setattr(clocks, "boot_s", lambda: _Clock.now_s)
    return _Clock


@pytest.fixture
def world():
    """Stand-ins for the platform with its store, engines and services."""
    with testbed.world() as scene:
        yield scene


@pytest.fixture
def copy_server():
    """Starts servers that write a copy before each later response."""
    rows = []

    def start(*answers):
        rows.append(repeatedresponses.CopyServer(answers))
        return rows[-1]

    yield start
    for row in rows:
        row.close()
