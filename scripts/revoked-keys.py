#!/usr/bin/env python3
"""Plays review/13, or a pause in place of the cut, and counts sound keys too.

Run it from the root of the repository, after review/build-3.sh:

    PYTHONPATH=src:target/deps:review python3 scripts/revoked-keys.py cut 5
    PYTHONPATH=src:target/deps:review python3 scripts/revoked-keys.py pause 5

One line for each round: the requests with the revoked key that ran though they
were sent over 5 s after its end, and how long after the end of the cut or pause
a request with a sound key was first served and last refused.
"""

import importlib.util
import pathlib
import signal
import sys
import tempfile
import time

import scene3

_HOWS = ("cut", "pause")
_CASE = pathlib.Path(scene3.ROOT, "review", "13", "case.py")


def _load_case():
    """Returns the module of review/13."""
    spec = importlib.util.spec_from_file_location("case13", _CASE)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


_case = _load_case()


class _Breaker:
    """Cuts an instance off, or stops its process in place of that.

    Args:
        network: The network of the case.
        instance: The instance.
        how: `cut` or `pause`.

    Attributes:
        healed_s: Monotonic time at which the cut or pause ended.
    """

    def __init__(self, network, instance: scene3.Instance, how: str):
        self._network = network
        self._instance = instance
        self._is_pause = how == "pause"
        self.healed_s = 0.0

    def cut(self) -> None:
        """Begins the cut or the pause."""
        if self._is_pause:
            self._instance.signal(signal.SIGSTOP)
        else:
            self._network.cut()

    def heal(self) -> None:
        """Ends it."""
        self.healed_s = time.monotonic()
        if self._is_pause:
            self._instance.signal(signal.SIGCONT)
        else:
            self._network.heal()


def _report(played, breaker, sound, revoked_key: str, how: str) -> None:
    """Prints the line of a round."""
    served_s = []
    refused_s = []
    for request_id, sent_s in sound.sent_s.items():
        after_s = sent_s - breaker.healed_s
        if after_s < 0:
            continue
        is_served = sound.status.get(request_id) == 200
        (served_s if is_served else refused_s).append(after_s)
    print(
        f"{how} {revoked_key}: late {len(played.late)}, sound keys after the "
        f"end: served {len(served_s)}, first after "
        f"{min(served_s, default=-1):.3f} s, refused {len(refused_s)}, last "
        f"after {max(refused_s, default=-1):.3f} s",
        flush=True,
    )


def _play(scene: scene3.Scene, how: str) -> None:
    """Plays the rounds of the case."""
    scene.publish(_case._manifest(1, (scene3.KEY, *_case._REVOKED_KEYS)))
    target = _case.services.ServiceStandin(scene.store, "desk-1")
    scene.targets.append(target)
    network = _case.Network(scene.store)
    for name in _case._OTHERS:
        scene.start(name, "z2", peer_port=network.other_ports[name])
    inst = scene.start("edge-1", "z1", network.store_address, network.port)
    for row in scene.instances:
        row.wait_ready()
    time.sleep(2.0)
    breaker = _Breaker(network, inst, how)
    version = 2
    for number, key in enumerate(_case._REVOKED_KEYS):
        played = _case.Round(scene, breaker, inst, target)
        sound = _case.Callers(scene, inst, scene3.KEY)
        kept = (scene3.KEY, *_case._REVOKED_KEYS[number + 1 :])
        played.play(key, kept, version)
        sound.stop()
        _report(played, breaker, sound, key, how)
        version += _case._VERSIONS + 1
    network.close()


def main() -> None:
    """Plays the case as often as asked."""
    if len(sys.argv) != 3 or sys.argv[1] not in _HOWS:
        sys.exit(f"got {sys.argv[1:]}, expected one of {_HOWS} and a number")
    how, runs = sys.argv[1], int(sys.argv[2])
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            scene = scene3.Scene(pathlib.Path(folder), _case.BoundedStore())
            try:
                _play(scene, how)
            finally:
                scene.close()


if __name__ == "__main__":
    main()
