"""Crowds of clients outside the limits, at the process of an instance.

Each test checks what doesn't depend on the machine's speed: the process lives,
its memory and descriptors stay under a bound, and an ordinary request is
answered.
"""

import itertools
import threading

import pytest

from tests.crowds import crowd

pytestmark = pytest.mark.crowd

_SIZE = crowd.MAX_BODY_BYTES
_FAR_OVER = 100 * _SIZE
# The unfinished part of a body: one byte is missing.
_SHORT = b"a" * (_SIZE - 1)
_TINY_CHUNKS = b"1\r\na\r\n" * 2048
_MORE = b"a" * 65_536


@pytest.fixture
def gateway(world, tmp_path):
    row = crowd.Gateway(world, tmp_path)
    yield row
    row.close()


@pytest.fixture
def press(gateway):
    """Starts a crowd and waits until it has sent."""
    rows = []

    def start(pieces, count=crowd.CLIENTS, **extra):
        row = crowd.Crowd(gateway.address, count, pieces, **extra)
        rows.append(row)
        row.wait_sent()
        gateway.settle()
        return row

    yield start
    for row in rows:
        row.close()


class TestBodiesWithALength:
    def test_whole_but_one_byte(self, gateway, press):
        press(lambda: [crowd.announced(_SIZE), _SHORT])
        gateway.check()

    def test_piece_by_piece(self, gateway, press):
        pieces = [crowd.announced(_SIZE), *crowd.in_pieces(_SHORT)]
        press(lambda: pieces)
        gateway.check()

    def test_announced_far_over_the_limit(self, gateway, press):
        press(lambda: [crowd.announced(_FAR_OVER), _SHORT])
        gateway.check()

    def test_far_over_the_limit_and_sent(self, gateway, press):
        more = itertools.repeat(_MORE, _FAR_OVER // len(_MORE))
        press(lambda: itertools.chain([crowd.announced(_FAR_OVER)], more))
        gateway.check()


class TestChunkedBodies:
    def test_one_large_chunk(self, gateway, press):
        press(lambda: [crowd.CHUNKED, b"%x\r\n" % _SIZE, _SHORT])
        gateway.check()

    def test_chunks_of_one_byte_without_end(self, gateway, press):
        chunks = itertools.repeat(_TINY_CHUNKS)
        press(lambda: itertools.chain([crowd.CHUNKED], chunks), has_end=False)
        gateway.check()

    def test_chunks_of_one_byte_without_their_end(self, gateway, press):
        chunks = [_TINY_CHUNKS] * 16
        press(lambda: [crowd.CHUNKED, *chunks], has_end=False)
        gateway.check()

    def test_far_over_the_limit(self, gateway, press):
        """Each client first comes up to the limit, then all go beyond it."""
        together = threading.Barrier(crowd.CLIENTS)
        chunk = b"%x\r\n%s\r\n" % (len(_MORE), _MORE)

        def pieces():
            yield crowd.CHUNKED
            for _ in range(_SIZE // len(_MORE) - 1):
                yield chunk
            # A refused client doesn't come here.
            try:
                together.wait(crowd.HANG_S / 6)
            except threading.BrokenBarrierError:
                pass
            for _ in range(_FAR_OVER // len(_MORE)):
                yield chunk

        press(pieces)
        gateway.check()


class TestManyConnections:
    """More clients than the process may have sockets."""

    _MAX_FDS = 280
    _CLIENTS = 120

    @pytest.fixture
    def gateway(self, world, tmp_path):
        row = crowd.Gateway(world, tmp_path, self._MAX_FDS)
        yield row
        row.close()

    def test_small_bodies_without_their_end(self, gateway, press):
        press(lambda: [crowd.announced(200), b"a" * 100], self._CLIENTS)
        gateway.check()

    def test_connections_that_send_nothing(self, gateway, press):
        press(lambda: [], self._CLIENTS)
        gateway.check()


class TestLargestOrders:
    """Complete orders of nearly the largest size, at a usual machine."""

    _RAM_MB = 222
    _CLIENTS = 23

    @pytest.fixture
    def gateway(self, world, tmp_path):
        row = crowd.Gateway(
            world, tmp_path, ram_mb=self._RAM_MB, max_body_bytes=4_194_304
        )
        yield row
        row.close()

    def test_many_at_once(self, gateway, press):
        order = [crowd.announced(4_194_000), b"a" * 4_194_000]
        press(lambda: order, self._CLIENTS)
        gateway.order("ordinary")
        assert gateway.peak_kb() * 1024 < 0.8 * self._RAM_MB * 1_000_000


class TestRequestInsideTheLimits:
    """In calm, a single one is served, however it is sent."""

    def test_largest_body(self, gateway):
        gateway.order("largest", b"a" * _SIZE)

    def test_largest_body_beside_the_crowd(self, gateway, press):
        press(lambda: [crowd.announced(_SIZE), _SHORT])
        gateway.order("largest", b"a" * _SIZE)
        gateway.check()

    def test_small_body_in_chunks_of_one_byte(self, gateway):
        gateway.order("chunked", iter([b"a"] * 20_000))
