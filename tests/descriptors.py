"""Fails a run of tests that leaves many descriptors open in its process.

Also names the tests during which the number of open descriptors rose most.
"""

import heapq
import os

import pytest

# A process with this many open descriptors at the end fails the run.
MAX_OPEN = 300
_NAMED_TESTS = 10
_OUTPUT = "descriptors"


def count_open() -> int:
    """Returns the number of descriptors that this process holds."""
    # One of them belongs to the listing itself.
    return len(os.listdir("/proc/self/fd")) - 1


class DescriptorCheck:
    """Counts open descriptors, in each process that runs tests.

    Args:
        config: Configuration of the process.
    """

    def __init__(self, config: pytest.Config):
        self._config = config
        self._rises: list[tuple[int, str]] = []
        # Number and names of tests by process.
        self._found: dict[str, tuple[int, list[str]]] = {}

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_protocol(self, item):
        """Records how many descriptors are open that were not before."""
        before = count_open()
        try:
            return (yield)
        finally:
            rise = count_open() - before
            if rise > 0:
                self._rises.append((rise, item.nodeid))

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node):
        """Takes over the count of a process that runs tests beside others."""
        found = getattr(node, "workeroutput", {}).get(_OUTPUT)
        if found is not None:
            self._found[node.gateway.id] = (found[0], found[1])

    def pytest_sessionfinish(self, session):
        """Counts, and fails the run if a process holds too many."""
        names = []
        for rise, name in heapq.nlargest(_NAMED_TESTS, self._rises):
            names.append(f"{rise:+d} {name}")
        own = (count_open(), names)
        output = getattr(self._config, "workeroutput", None)
        if output is not None:
            output[_OUTPUT] = own
            return
        self._found["main"] = own
        if self._has_too_many() and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter):
        """Prints the counts."""
        counts = [f"{key} {row[0]}" for key, row in sorted(self._found.items())]
        terminalreporter.write_line(
            f"descriptors open at the end: {', '.join(counts)}"
        )
        if not self._has_too_many():
            return
        terminalreporter.write_line(
            f"failed: {MAX_OPEN} or more descriptors are open; they rose most "
            "in these tests:",
            red=True,
        )
        for _, names in self._found.values():
            for name in names:
                terminalreporter.write_line(f"  {name}")

    def _has_too_many(self) -> bool:
        return any(count >= MAX_OPEN for count, _ in self._found.values())
