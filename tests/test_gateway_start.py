"""Signals that reach an instance while it starts."""

import os
import pathlib
import signal
import subprocess
import sys

import briarfall
from briarfall.standins.prepared import testbed

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
