"""A crowd of clients of one instance, as a process of its own.

Usage: crowd2.py PORT COUNT ID KEY

Each client sends a body in chunks of one byte, stops short of its end and stays
open. The process ends when its standard input is closed.
"""

import contextlib
import socket
import sys
import threading
import time

# 12,288 bytes that hold 2,048 bytes of a body.
_CHUNKS = b"1\r\na\r\n" * 2048
_GROUPS = 2000
_TIMEOUT_S = 30.0
# The clients come one after the other.
_PAUSE_S = 0.002


def _send(port: int, head: bytes) -> None:
    with contextlib.suppress(OSError):
        sock = socket.create_connection(("127.0.0.1", port), _TIMEOUT_S)
        _socks.append(sock)
        sock.sendall(head)
        for _ in range(_GROUPS):
            sock.sendall(_CHUNKS)


_socks: list[socket.socket] = []


def main() -> None:
    """Starts the clients and waits for the end of the input."""
    port, count = int(sys.argv[1]), int(sys.argv[2])
    for number in range(count):
        head = (
            "POST /orders/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Api-Key: {sys.argv[4]}\r\n"
            f"X-Request-Id: {sys.argv[3]}-{number}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        threading.Thread(
            target=_send, args=(port, head.encode()), daemon=True
        ).start()
        time.sleep(_PAUSE_S)
    sys.stdin.read()


if __name__ == "__main__":
    main()
