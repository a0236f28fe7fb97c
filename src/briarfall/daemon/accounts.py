"""Authenticates clients and operators by their keys."""

from briarfall import exceptions
from briarfall import httpserver
from briarfall import ids
from briarfall.catalogue import entries
from briarfall.catalogue import follower

_SCHEME = "bearer "


def client_of(
    req: httpserver.Request, view: follower.View
) -> tuple[ids.ClientId, entries.Client]:
    """Returns the client whose key the request carries.

    Raises:
        AuthenticationError: The key is missing or unknown.
    """
    name, value = _account_of(req, view)
    if not isinstance(value, entries.Client):
        raise exceptions.AuthenticationError("the key is no client's")
    return ids.ClientId(name), value


def operator_of(
    req: httpserver.Request, view: follower.View
) -> tuple[str, entries.Operator]:
    """Returns the operator whose key the request carries.

    Raises:
        AuthenticationError: The key is missing or unknown.
    """
    name, value = _account_of(req, view)
    if not isinstance(value, entries.Operator):
        raise exceptions.AuthenticationError("the key is no operator's")
    return name, value


def _account_of(req: httpserver.Request, view: follower.View):
    header = req.header("Authorization")
    if not header.lower().startswith(_SCHEME):
        raise exceptions.AuthenticationError("Authorization is missing")
    digest = entries.hash_key(header[len(_SCHEME) :].strip())
    # Digests of keys are looked up, not keys, so that the time of the
    # look-up tells nothing about a key; the comparison is constant-time.
    name = view.keys.get(digest, "")
    value = view.values.get(name)
    if value is None or not entries.has_key(value, digest):
        raise exceptions.AuthenticationError("the key is unknown")
    return name, value
