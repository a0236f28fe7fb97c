"""Signals that reach an instance while it is frozen."""

import os
import random
import signal

import pytest

from briarfall.standins.prepared import store
from briarfall.standins.prepared import testbed
from briarfall.standins.prepared.faultsoak import catalogues
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import rotation


class TestSignalsToAFrozenInstance:
    @pytest.fixture
    def row(self, tmp_path):
        platform = store.StoreStandin()
        catalogues.Catalogue(platform, random.Random(1), False)
        row = processes.GatewayProcess("i0", "z0", platform.address, tmp_path)
        row.start()
        testbed.until(lambda: rotation.is_ready(row), "ready")
        yield row
        row.close()
        platform.close()

    def is_frozen(self, row):
        flags = os.WSTOPPED | os.WNOHANG | os.WNOWAIT
        return os.waitid(os.P_PID, row._process.pid, flags) is not None

    # Any of the threads may take a signal that waited; five rounds miss it.
    @pytest.mark.parametrize("number", range(5))
    def test_stop_is_not_ignored(self, row, number):
        row.signal(signal.SIGSTOP)
        testbed.until(lambda: self.is_frozen(row), "frozen")
        row.signal(signal.SIGTERM)
        row.signal(signal.SIGCONT)
        assert row.wait()
