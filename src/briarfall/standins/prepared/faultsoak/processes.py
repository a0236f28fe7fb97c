"""Gateway processes that the soak test starts, signals and ends."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading

_START = pathlib.Path(__file__).parents[5] / "deploy" / "gateway.py"
_GRACE_S = 8.0


class GatewayProcess:
    """A gateway instance in a process of its own.

    Args:
        name: Name of the instance.
        zone: Its availability zone.
        store: Address of the store, or of a proxy in front of it.
        folder: Folder for its settings and logs.
    """

    def __init__(self, name: str, zone: str, store: str, folder: pathlib.Path):
        self.name = name
        front, ready, peer = _free_ports(3)
        self.front = ("127.0.0.1", front)
        self.ready = ("127.0.0.1", ready)
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            json.dumps(
                {
                    "node": name,
                    "zone": zone,
                    "ip": "127.0.0.1",
                    "listen": {
                        "front": f"127.0.0.1:{front}",
                        "ready": f"127.0.0.1:{ready}",
                    },
                    "port_range": [peer, peer + 1],
                    "platform": {"address": store},
                    "bounds": {"grace_s": _GRACE_S, "retry_slack": 400},
                }
            )
        )
        self._process: subprocess.Popen | None = None
        self._lock = threading.Lock()
        self._is_closed = False
        self.is_paused = False

    def start(self) -> None:
        """Starts the process unless it is running or closed."""
        with self._lock:
            if not self._is_closed and not self.is_running:
                self._start()

    def close(self) -> None:
        """Kills the process; later calls of `start` have no effect."""
        with self._lock:
            self._is_closed = True
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def _start(self) -> None:
        env = {**os.environ, "BRIARFALL_SETTINGS": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(_START)],
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if not self.is_running:
            return
        self._process.send_signal(number)
        self.is_paused = number is signal.SIGSTOP

    def wait(self, timeout_s: float = _GRACE_S + 2) -> bool:
        """Waits for the exit; kills the process and returns False if late."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            self._process.wait()
            return False
        return True


def accepts_connections(address: tuple[str, int]) -> bool:
    """Whether a process listens on an address."""
    try:
        socket.create_connection(address, 1.0).close()
    except OSError:
        return False
    return True


def _free_ports(count: int) -> list[int]:
    socks = []
    for _ in range(count):
        socks.append(socket.create_server(("127.0.0.1", 0)))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
