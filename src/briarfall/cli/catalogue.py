"""Commands of `briarfall catalogue`: show and edit the catalogue."""

import urllib.parse

import msgspec

from briarfall import exceptions
from briarfall.adapters import log
from briarfall.catalogue import commands
from briarfall.catalogue import entries
from briarfall.catalogue import records
from briarfall.cli import console

DEFAULT_ADMIN_URL = "http://127.0.0.1:8081"


def _fetch_and_show(
    path: str, admin_url: str, key_file: str, as_json: bool
) -> None:
    with console.operator_session(admin_url, key_file) as session:
        reply = session.send("GET", path)
    console.show(msgspec.json.decode(reply.body), as_json=as_json)


def list_entries(
    *,
    admin_url: str = DEFAULT_ADMIN_URL,
    key_file: str = "",
    json: bool = False,
) -> None:
    """Lists all entries.

    Args:
        admin_url: Administration URL of any instance.
        key_file: File with the operator's key.
        json: Print JSON.
    """
    _fetch_and_show("/catalogue", admin_url, key_file, json)


def get(
    name: str,
    *,
    admin_url: str = DEFAULT_ADMIN_URL,
    key_file: str = "",
    json: bool = False,
) -> None:
    """Shows one entry with its version.

    Args:
        name: Name of the entry.
        admin_url: Administration URL of any instance.
        key_file: File with the operator's key.
        json: Print JSON.
    """
    _fetch_and_show(f"/catalogue/{_quote(name)}", admin_url, key_file, json)


def put(
    name: str,
    file: str,
    *,
    if_version: int = 0,
    reason: str = "",
    edit_id: str = "",
    admin_url: str = DEFAULT_ADMIN_URL,
    key_file: str = "",
    json: bool = False,
) -> None:
    """Creates or replaces an entry and waits until the edit is applied.

    Args:
        name: Name of the entry.
        file: JSON file with the value, or `-` for standard input.
        if_version: Expected current version, 0 for a new entry.
        reason: Reason for the edit, recorded in the audit trail.
        edit_id: UUID of an earlier attempt, to retry the same edit.
        admin_url: Administration URL of any instance.
        key_file: File with the operator's key.
        json: Print JSON.
    """
    value = console.read_file(file)
    entries.parse(value)
    body = {
        "if_version": if_version,
        "reason": reason,
        "edit_id": edit_id,
        "value": msgspec.Raw(value),
    }
    _edit("PUT", name, body, admin_url, key_file, json)


def delete(
    name: str,
    if_version: int,
    *,
    reason: str = "",
    admin_url: str = DEFAULT_ADMIN_URL,
    key_file: str = "",
    json: bool = False,
) -> None:
    """Deletes an entry.

    Args:
        name: Name of the entry.
        if_version: Expected current version of the entry.
        reason: Reason for the edit, recorded in the audit trail.
        admin_url: Administration URL of any instance.
        key_file: File with the operator's key.
        json: Print JSON.
    """
    body = {"if_version": if_version, "reason": reason}
    _edit("DELETE", name, body, admin_url, key_file, json)


def history(
    name: str = "",
    *,
    admin_url: str = DEFAULT_ADMIN_URL,
    key_file: str = "",
    json: bool = False,
) -> None:
    """Shows the audit trail: author, time and reason of each edit.

    Args:
        name: Name of an entry; empty for all entries.
        admin_url: Administration URL of any instance.
        key_file: File with the operator's key.
        json: Print JSON.
    """
    _fetch_and_show(f"/history?entry={_quote(name)}", admin_url, key_file, json)


def diff(
    name: str,
    older: int,
    newer: int,
    *,
    admin_url: str = DEFAULT_ADMIN_URL,
    key_file: str = "",
    json: bool = False,
) -> None:
    """Shows the fields that differ between two versions of an entry.

    Args:
        name: Name of the entry.
        older: Version to compare from.
        newer: Version to compare to.
        admin_url: Administration URL of any instance.
        key_file: File with the operator's key.
        json: Print JSON.
    """
    path = f"/catalogue/{_quote(name)}/diff?older={older}&newer={newer}"
    _fetch_and_show(path, admin_url, key_file, json)


def bootstrap(
    log_url: str, name: str, key_file: str, *, owner: str = "platform"
) -> None:
    """Appends the first administrator to an empty configuration log.

    Args:
        log_url: Base URL of the platform's log service.
        name: Name of the administrator's entry.
        key_file: File with the administrator's key.
        owner: Owner of the entry.
    """
    key = console.read_file(key_file).decode().strip()
    value = entries.Operator(
        owner=owner,
        key_sha256=[entries.hash_key(key)],
        role=entries.Role.ADMINISTRATOR,
    )
    edit = commands.make_edit(
        name,
        msgspec.json.encode(value),
        author="bootstrap",
        reason="first administrator",
    )
    adapter = log.HttpLogAdapter(log_url)
    offset = adapter.append(records.CONFIG_STREAM, records.encode(edit))
    print(f"administrator {name} appended at offset {offset}")


def _edit(method, name, body, admin_url, key_file, as_json) -> None:
    with console.operator_session(admin_url, key_file) as session:
        reply = session.send(
            method,
            f"/catalogue/{_quote(name)}",
            msgspec.json.encode(body),
        )
    result = msgspec.json.decode(reply.body, type=commands.EditResult)
    if as_json:
        console.show(result, as_json=True)
        return
    print(
        f"{result.entry} is at version {result.version}, in force on "
        f"{result.in_force} of {result.instances} instances"
    )


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def check_file(path: str) -> str:
    """Validates a file with one entry, or with entries by name.

    Returns:
        The number of valid entries, as text for the operator.

    Raises:
        CatalogueError: An entry is malformed; the message names the entry
            and the field.
    """
    data = console.read_file(path)
    try:
        decoded = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError as exc:
        raise exceptions.CatalogueError(f"{path}: {exc}") from exc
    if "kind" in decoded:
        entries.parse(data)
        return "1 entry"
    for name, value in decoded.items():
        entries.check_name(name)
        try:
            entries.parse(bytes(value))
        except exceptions.CatalogueError as exc:
            raise exceptions.CatalogueError(
                f"{name}: {exc.message}", remedy=exc.remedy
            ) from exc
    return f"{len(decoded)} entries"
