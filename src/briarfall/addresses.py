"""Addresses of targets and instances, as `<IP number>:<port>`."""

import ipaddress
import typing

from briarfall import decoding
from briarfall import exceptions

_MAX_PORT = 65_535


class Address(typing.NamedTuple):
    """An IPv4 number and a port."""

    host: str
    port: int


def parse(
    text: str,
    subject: str,
    error: decoding.ErrorType = exceptions.CatalogueError,
) -> Address:
    """Returns the address that a text names.

    Args:
        text: The text.
        subject: Whose address it is, for the error message.
        error: Class of the error.

    Raises:
        BriarfallError: The text is not an IPv4 number and a port from 1 to
            65535; the error is of the class `error`.
    """
    host, _, digits = text.rpartition(":")
    port = decoding.parse_count(digits, _MAX_PORT)
    if not port or digits.startswith("0") or not _is_ipv4(host):
        raise error(
            f"{subject}: address {decoding.excerpt(text)!r} is not "
            f"<IPv4 number>:<port from 1 to {_MAX_PORT}>",
            remedy="correct the address; until then it is not used",
        )
    return Address(host, port)


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
