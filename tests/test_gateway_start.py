"""Signals that reach an instance while it starts."""

import os
import pathlib
import signal
import subprocess
import sys

import briarfall
from briarfall.standins.prepared import testbed

# Stands in place of the module of this name and holds its import.
_HELD_MODULE = """
import os

with open(os.environ["HELD"]) as file:
    file.read()
os._exit(0)
"""
_START = pathlib.Path(briarfall.__file__).parents[2] / "deploy" / "gateway.py"


class TestReload:
    def test_reload_signal_during_the_start_does_not_end_the_process(
        self, tmp_path
    ):
        settings = tmp_path / "settings"
        os.mkfifo(settings)
        process = subprocess.Popen(
            [sys.executable, str(_START)],
            env={**os.environ, "BRIARFALL_SETTINGS": str(settings)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            # Opens once the process has begun to read its settings.
            with settings.open("wb") as out:
                process.send_signal(signal.SIGHUP)
                out.write(b"no settings")
            code = process.wait(testbed.WAIT_S)
        finally:
            process.kill()
            process.wait()
        assert code != -signal.SIGHUP

    def test_reload_signal_during_the_first_imports_does_not_end_the_process(
        self, tmp_path
    ):
        held = tmp_path / "held"
        os.mkfifo(held)
        (tmp_path / "pathlib.py").write_text(_HELD_MODULE)
        process = subprocess.Popen(
            # Without `site`, which may import the module itself.
            [sys.executable, "-S", str(_START)],
            env={**os.environ, "PYTHONPATH": str(tmp_path), "HELD": str(held)},
        )
        try:
            # Opens once the start script has begun to import the module.
            with held.open("wb"):
                process.send_signal(signal.SIGHUP)
            code = process.wait(testbed.WAIT_S)
        finally:
            process.kill()
            process.wait()
        assert code == 0
