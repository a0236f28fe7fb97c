"""Authenticates clients and operators by their keys."""

from briarfall import exceptions
from briarfall import httpserver
from briarfall import ids
from briarfall.catalogue import entries
from briarfall.catalogue import follower

_BEARER_PREFIX = "bearer "


def authenticate_client(
    req: httpserver.Request, view: follower.View
) -> tuple[ids.ClientId, entries.Client]:
    """Returns the client whose key the request carries.

    Raises:
        AuthenticationError: The key is missing or unknown, or isn't the key
            of a client.
    """
    name, value = _find_account(req, view)
    if not isinstance(value, entries.Client):
        raise exceptions.AuthenticationError("the key is no client's")
    return ids.ClientId(name), value


def authenticate_operator(
    req: httpserver.Request, view: follower.View
) -> tuple[str, entries.Operator]:
    """Returns the operator whose key the request carries.

    Raises:
        AuthenticationError: The key is missing or unknown, or isn't the key
            of an operator.
    """
    name, value = _find_account(req, view)
    if not isinstance(value, entries.Operator):
        raise exceptions.AuthenticationError("the key is no operator's")
    return name, value


def _find_account(req: httpserver.Request, view: follower.View):
    header = req.header("Authorization")
    if not header.lower().startswith(_BEARER_PREFIX):
        raise exceptions.AuthenticationError("Authorization is missing")
    digest = entries.hash_key(header[len(_BEARER_PREFIX) :].strip())
    # The look-up uses the digest of the key, so that its duration reveals
    # nothing about the key itself; the comparison is constant-time.
    name = view.keys.get(digest, "")
    value = view.values.get(name)
    if value is None or not entries.has_key(value, digest):
        raise exceptions.AuthenticationError("the key is unknown")
    return name, value
