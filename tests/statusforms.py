"""Begins of responses whose status line or status is not valid."""

import pytest

# A whole event, so that also a stream could take it for its own.
BODY = b"data: oddity\n\n"
_OK = b" 200 OK\r\n"
_ENDLESS = b"HTTP/1.1 102 X\r\n\r\n" * 5000


def _odd(status: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b" Odd\r\n"


# Up to the end of the status line; headers and a body follow.
INVALID = {
    "000": _odd(b"000"),
    "001": _odd(b"001"),
    "099": _odd(b"099"),
    "600": _odd(b"600"),
    "700": _odd(b"700"),
    "999": _odd(b"999"),
    "no digits": b"HTTP/1.1 \r\n",
    "one digit": _odd(b"2"),
    "two digits": _odd(b"20"),
    "four digits": _odd(b"2000"),
    "0200": _odd(b"0200"),
    "+200": _odd(b"+200"),
    "+20": _odd(b"+20"),
    "-20": _odd(b"-20"),
    "-200": _odd(b"-200"),
    "2e2": _odd(b"2e2"),
    "2_00": _odd(b"2_00"),
    "0xc8": _odd(b"0xc8"),
    "200.0": _odd(b"200.0"),
    "letters": _odd(b"OK"),
    "superscript digits": _odd(b"\xb2\xb2\xb2"),
    "reason without a space": b"HTTP/1.1 200OK\r\n",
    "no status": b"HTTP/1.1\r\n",
    "no space before the status": b"HTTP/1.1200 OK\r\n",
    "two spaces before the status": b"HTTP/1.1  200 OK\r\n",
    "tab before the status": b"HTTP/1.1\t200 OK\r\n",
    "tab after the status": b"HTTP/1.1 200\tOK\r\n",
    "space before the version": b" HTTP/1.1 200 OK\r\n",
    "NUL in the reason": b"HTTP/1.1 200 O\x00K\r\n",
    "HTTP/0.9": b"HTTP/0.9" + _OK,
    "HTTP/2.0": b"HTTP/2.0" + _OK,
    "HTTP/3.1": b"HTTP/3.1" + _OK,
    "HTTP/9.9": b"HTTP/9.9" + _OK,
    "HTTP/1": b"HTTP/1" + _OK,
    "HTTP/2": b"HTTP/2" + _OK,
    "HTTP/1.": b"HTTP/1." + _OK,
    "HTTP/1.10": b"HTTP/1.10" + _OK,
    "HTTP/11.1": b"HTTP/11.1" + _OK,
    "HTTP/+1.1": b"HTTP/+1.1" + _OK,
    "http/1.1": b"http/1.1" + _OK,
    "HTTP-1.1": b"HTTP-1.1" + _OK,
    "other protocol": b"ICY" + _OK,
    "100 as the final one": _odd(b"100"),
    "102 as the final one": _odd(b"102"),
    "150 as the final one": _odd(b"150"),
    "199 as the final one": _odd(b"199"),
    "101 without an upgrade": _odd(b"101"),
    "101 with an upgrade": _odd(b"101") + b"Connection: Upgrade\r\n"
    b"Upgrade: websocket\r\n",
    "1xx without end": _ENDLESS + _odd(b"102"),
    "1xx without end, then 200": _ENDLESS + b"HTTP/1.1" + _OK,
    "600 after 1xx": b"HTTP/1.1 103 X\r\n\r\n" + _odd(b"600"),
    "HTTP/9.9 102, then 200": b"HTTP/9.9 102 X\r\n\r\nHTTP/1.1" + _OK,
    "000 after 1xx": b"HTTP/1.1 100 X\r\n\r\n" + _odd(b"000"),
}
# Forms that may go on, unless the connection ends.
INTERIM = {name for name in INVALID if name.endswith("as the final one")}
# Status lines that recipients have to accept, or that servers often write.
VALID = {
    "no reason": (b"HTTP/1.1 200 \r\n", 200),
    "no reason and no space": (b"HTTP/1.1 200\r\n", 200),
    "long reason": (b"HTTP/1.1 200 O  K \xff\r\n", 200),
    "digits as the reason": (b"HTTP/1.1 200 600\r\n", 200),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\n", 200),
    "HTTP/1.2": (b"HTTP/1.2 200 OK\r\n", 200),
    "103 before": (b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n", 200),
    "102 twice before": (
        b"HTTP/1.1 102 X\r\nX-One: 1\r\n\r\n" * 2 + b"HTTP/1.1 200 OK\r\n",
        200,
    ),
    "299": (b"HTTP/1.1 299 X\r\n", 299),
    "418": (b"HTTP/1.1 418 X\r\n", 418),
    "499": (b"HTTP/1.1 499 X\r\n", 499),
    "599": (b"HTTP/1.1 599 X\r\n", 599),
}
EACH_INVALID = pytest.mark.parametrize("name", INVALID)
EACH_VALID = pytest.mark.parametrize("name", VALID)


def response(name: str, headers: bytes = b"") -> bytes:
    """Returns a whole response that begins with an invalid form."""
    return _complete(INVALID[name], headers)


def valid_response(name: str, headers: bytes = b"") -> bytes:
    """Returns a whole response that begins with a valid form."""
    return _complete(VALID[name][0], headers)


def _complete(begin: bytes, headers: bytes) -> bytes:
    length = b"Content-Length: %d\r\n\r\n" % len(BODY)
    return begin + headers + length + BODY
