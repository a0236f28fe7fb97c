"""The check of open descriptors fails a run that leaves many of them."""

import os
import pathlib
import subprocess
import sys

import pytest

from tests import descriptors

_ROOT = pathlib.Path(__file__).parent.parent
_CONFTEST = """
from tests import descriptors

def pytest_configure(config):
    config.pluginmanager.register(descriptors.DescriptorCheck(config))
"""
_TESTS = """
import os

KEPT = []

def test_leaves_some():
    KEPT.extend(os.dup(2) for _ in range({count}))

def test_leaves_none():
    os.close(os.dup(2))
"""
SIDE_BY_SIDE = pytest.mark.parametrize(
    "args", [[], ["-p", "xdist", "-n", "2"]], ids=["alone", "side_by_side"]
)


def _run(folder, count, args):
    (folder / "conftest.py").write_text(_CONFTEST)
    (folder / "test_some.py").write_text(_TESTS.format(count=count))
    env = {**os.environ, "PYTHONPATH": str(_ROOT)}
    for name in list(env):
        if name.startswith("PYTEST_"):
            del env[name]
    env["PYTEST_DISABLE_PLUGIN_AUTOLOAD"] = "1"
    return subprocess.run(
        [sys.executable, "-m", "pytest", "--rootdir", folder, *args],
        env=env,
        cwd=folder,
        capture_output=True,
        text=True,
    )


class TestDescriptorCheck:
    @SIDE_BY_SIDE
    def test_many_fail_the_run_and_name_the_test(self, tmp_path, args):
        done = _run(tmp_path, descriptors.MAX_OPEN, args)
        assert done.returncode == 1
        assert "2 passed" in done.stdout
        assert f"+{descriptors.MAX_OPEN} test_some.py" in done.stdout
        assert "test_leaves_none" not in done.stdout

    @SIDE_BY_SIDE
    def test_few_pass(self, tmp_path, args):
        done = _run(tmp_path, 100, args)
        assert done.returncode == 0
        assert "descriptors open at the end: " in done.stdout
