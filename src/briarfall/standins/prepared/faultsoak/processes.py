"""Gateway processes that the soak test starts, signals and ends."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

from briarfall.standins.prepared import links

# Number of the loopback host at which the processes listen.
_HOST_NUMBER = 249
# Checkout of this release.
CHECKOUT = pathlib.Path(__file__).parents[5]
_START = pathlib.Path("deploy") / "gateway.py"
_TRANSLATED_START = pathlib.Path(__file__).parent / "translatedstart.py"
# Pause between two looks whether the interpreter of a process has started.
_BEGIN_PAUSE_S = 0.002
# Time that a process has for a planned stop.
GRACE_S = 8.0
# Ports of all processes so far.
_given_ports: set[int] = set()


class GatewayProcess:
    """A gateway instance in a process of its own.

    Args:
        name: Name of the instance.
        zone: Its availability zone.
        store: Address of the store, or of a proxy in front of it.
        folder: Folder for its settings and logs.
        limits: Limits of the process in its settings, such as its memory.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
        limits: dict[str, float] | None = None,
    ):
        self.name = name
        self.zone = zone
        host = links.own_host(_HOST_NUMBER)
        front, ready = _free_ports(host, socket.SOCK_STREAM, 2)
        # Instances exchange datagrams.
        (peer,) = _free_ports(host, socket.SOCK_DGRAM, 1)
        self.front = (host, front)
        self.ready = (host, ready)
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        # Exists once the interpreter of the process runs its first script.
        self._begun = folder / f"{name}.begun"
        self._settings.write_text(
            json.dumps(
                {
                    "node": name,
                    "zone": zone,
                    "ip": host,
                    "listen": {
                        "front": f"{host}:{front}",
                        "ready": f"{host}:{ready}",
                    },
                    "port_range": [peer, peer + 1],
                    "platform": {"address": store},
                    "bounds": {"grace_s": GRACE_S, "retry_slack": 400},
                    "limits": limits or {},
                }
            )
        )
        self._checkout = CHECKOUT
        self._translated: tuple[str, ...] = ()
        self._process: subprocess.Popen | None = None
        self._lock = threading.Lock()
        self._is_closed = False
        # Whether the running process was told to end.
        self._is_ending = False
        # Exit codes of processes that ended by themselves.
        self.own_ends: list[int] = []
        self.is_paused = False

    def translate_host(self, host: str, own_host: str) -> None:
        """Makes the process connect to one host instead of another one.

        Args:
            host: The host in the addresses that the process knows.
            own_host: The host that it connects to instead.
        """
        self._translated = (host, own_host)

    def run_release(self, checkout: pathlib.Path) -> None:
        """Makes the next start run the release of a checkout."""
        self._checkout = checkout

    @property
    def _command(self) -> list[str]:
        return [
            sys.executable,
            str(_TRANSLATED_START),
            str(self._begun),
            str(self._checkout / _START),
            *self._translated,
        ]

    def start(self) -> None:
        """Starts the process unless it is running or closed."""
        with self._lock:
            if not self._is_closed and not self.is_running:
                self._start()

    def close(self) -> None:
        """Kills the process; later calls of `start` have no effect."""
        with self._lock:
            self._is_closed = True
        self.record_own_end()
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def record_own_end(self) -> None:
        """Records the exit of a process that was not told to end."""
        if self._process is None or self.is_running or self._is_ending:
            return
        self.own_ends.append(self._process.returncode)
        self._is_ending = True

    def _start(self) -> None:
        self.record_own_end()
        self._is_ending = False
        self._begun.unlink(missing_ok=True)
        env = {**os.environ, "BRIARFALL_SETTINGS": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    @property
    def pid(self) -> int:
        """Id of the process that was started last."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running.

        A reload signal waits until the interpreter of the process has started:
        before, no code of the process can handle it.
        """
        if number is signal.SIGHUP:
            self._wait_begun()
        if not self.is_running:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_ending = True
        self._process.send_signal(number)
        self.is_paused = number is signal.SIGSTOP

    def _wait_begun(self) -> None:
        while self.is_running and not self._begun.exists():
            time.sleep(_BEGIN_PAUSE_S)

    def wait(self, timeout_s: float = GRACE_S + 2) -> bool:
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


def _free_ports(host: str, kind: socket.SocketKind, count: int) -> list[int]:
    """Returns ports of a host that only this process takes ports of.

    No port is returned twice: the kernel may offer one again that is not bound
    yet by the process it is meant for.
    """
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        if port in _given_ports:
            continue
        _given_ports.add(port)
        ports.append(port)
    return ports
