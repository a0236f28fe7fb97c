"""Commands `briarfall serve`, `check`, `status`, `drain` and `key`."""

import gc
import secrets
import signal
import threading
import typing

import msgspec

from briarfall import exceptions
from briarfall import logs
from briarfall import settings
from briarfall import sockets
from briarfall.catalogue import entries
from briarfall.cli import catalogue
from briarfall.cli import console

_KEY_BYTES = 32


def serve(config: str, *, verbose: bool = True) -> None:
    """Runs an instance until SIGTERM or SIGINT, then drains and stops it.

    Args:
        config: JSON file with the settings.
        verbose: Log requests and edits, not only warnings.
    """
    from briarfall.daemon import instance

    cfg = settings.load(config)
    logs.configure(cfg.instance, as_json=cfg.json_logs, verbose=verbose)
    sockets.raise_descriptor_limit()
    inst = instance.Instance(cfg)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    inst.start()
    # Imported objects live as long as the process; freezing them spares each
    # garbage collection the time to scan them.
    gc.collect()
    gc.freeze()
    print(f"callers {inst.caller_url} admin {inst.admin_url}", flush=True)
    while not stop_requested.wait(1.0):
        if inst.wait_stopped(0):
            return
    inst.drain()


def check(
    file: str = "",
    *,
    against: str = "",
    format: typing.Literal["text", "json"] = "text",
    config: str = "",
    entries_file: str = "",
) -> int:
    """Checks a platform's configuration, a settings file, a catalogue file.

    For a platform's configuration the exit code is 0 without findings, 1 with
    warnings only, 2 with errors and 3 if a file can't be read.

    Args:
        file: Configuration that an operator is about to send to the platform,
            or `-` for standard input.
        against: Configuration in force, to show what differs from it.
        format: Output of the check of a configuration.
        config: JSON file with settings.
        entries_file: JSON file with one entry, or entries by name.
    """
    if not file and not config and not entries_file:
        raise exceptions.SettingsError(
            "nothing to check",
            remedy="give a file, or use --config or --entries-file",
        )
    if against and not file:
        raise exceptions.SettingsError(
            "--against has nothing to compare", remedy="give a file"
        )
    if config:
        cfg = settings.load(config)
        print(f"settings of {cfg.instance} are valid")
    if entries_file:
        print(f"{catalogue.check_file(entries_file)} valid")
    if not file:
        return console.ExitCode.OK
    from briarfall.cli import configchecks

    return configchecks.check_file(file, against, format)


def status(
    *,
    admin_url: str = catalogue.DEFAULT_ADMIN_URL,
    key_file: str = "",
    json: bool = False,
) -> None:
    """Shows an instance's view of targets, peers, offsets and streams.

    Args:
        admin_url: Administration URL of the instance.
        key_file: File with the operator's key.
        json: Print JSON.
    """
    with console.operator_session(admin_url, key_file) as session:
        reply = session.send("GET", "/status")
    console.show(msgspec.json.decode(reply.body), as_json=json)


def drain(
    *, admin_url: str = catalogue.DEFAULT_ADMIN_URL, key_file: str = ""
) -> None:
    """Tells an instance to finish its work and stop.

    Args:
        admin_url: Administration URL of the instance.
        key_file: File with the operator's key.
    """
    with console.operator_session(admin_url, key_file) as session:
        session.send("POST", "/drain")
    print("draining")


def new_key() -> None:
    """Prints a new random key."""
    print(secrets.token_urlsafe(_KEY_BYTES))


def hash_key(file: str) -> None:
    """Prints the digest of a key in the form that entries contain.

    Args:
        file: File with the key, or `-` for standard input.
    """
    key = console.read_file(file).decode().strip()
    print(entries.hash_key(key))
