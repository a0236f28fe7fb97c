"""Signals that reach an instance at moments at which a handler would fail."""

import pathlib
import random
import signal
import sys

import pytest

from briarfall.standins.prepared import store
from briarfall.standins.prepared import testbed
from briarfall.standins.prepared.faultsoak import catalogues
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import rotation

_HANDLED = {signal.SIGTERM, signal.SIGHUP}
# Sends SIGTERM while the main thread holds the lock of the event for which it
# is about to wait.
_SIGNALLED_START = """
import os, runpy, signal, sys, threading

checkout = sys.argv[1]
sys.path.insert(0, checkout + "/src")
from briarfall.gateway.callers import plannedstop

condition_wait = threading.Condition.wait
stop_wait = plannedstop.PlannedStop.wait
is_due = False


def send_and_wait(self, timeout=None):
    global is_due
    is_main = threading.current_thread() is threading.main_thread()
    if is_due and is_main:
        is_due = False
        os.kill(os.getpid(), signal.SIGTERM)
    return condition_wait(self, timeout)


def wait_with_signal(self):
    global is_due
    is_due = True
    stop_wait(self)


threading.Condition.wait = send_and_wait
plannedstop.PlannedStop.wait = wait_with_signal
sys.path.insert(0, checkout)
runpy.run_path(checkout + "/deploy/gateway.py", run_name="__main__")
"""


class _SignalledProcess(processes.GatewayProcess):
    """A gateway that is told to stop when its main thread begins to wait."""

    @property
    def _command(self):
        return [sys.executable, "-c", _SIGNALLED_START, str(self._checkout)]


@pytest.fixture
def platform():
    standin = store.StoreStandin()
    catalogues.Catalogue(standin, random.Random(1), False)
    yield standin
    standin.close()


class TestPlannedStop:
    # Guards against a stop that waits for a lock of the waiting main thread.
    def test_a_stop_amid_the_begin_of_the_wait_is_carried_out(
        self, platform, tmp_path
    ):
        row = _SignalledProcess("i0", "z0", platform.address, tmp_path)
        row.start()
        try:
            assert row.wait(processes.GRACE_S + 20)
        finally:
            row.close()


class TestSignalMask:
    # Guards against a signal that interrupts the main thread right before its
    # wait, which then goes on without it. The kernel shows the signals of a
    # thread that waits for them as not blocked.
    def test_only_the_receiver_can_take_a_signal(self, platform, tmp_path):
        row = processes.GatewayProcess("i0", "z0", platform.address, tmp_path)
        row.start()
        try:
            testbed.until(lambda: rotation.is_ready(row), "ready")
            tasks = pathlib.Path(f"/proc/{row._process.pid}/task")
            main = _blocked(tasks / str(row._process.pid))
            masks = [_blocked(task) for task in tasks.iterdir()]
        finally:
            row.close()
        assert _HANDLED <= main
        takers = [mask for mask in masks if not _HANDLED <= mask]
        assert len(takers) <= 1


def _blocked(task: pathlib.Path) -> set[int]:
    """Returns the signals that a thread blocks; all if it has ended."""
    try:
        text = (task / "status").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return set(signal.Signals)
    for line in text.splitlines():
        if line.startswith("SigBlk:"):
            bits = int(line.split()[1], 16)
            return {number for number in range(1, 65) if bits >> number - 1 & 1}
    return set()
