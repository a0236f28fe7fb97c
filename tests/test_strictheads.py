"""Responses whose head is cut or not valid, in the product's own path."""

import contextlib
import http.client
import socket
import threading

import pytest
import urllib3

from briarfall import exceptions
from briarfall import httpclient
from briarfall import strictheads
from tests import headforms
from tests import statusforms

CUTS = {
    "after the status": b"HTTP/1.1 200 OK\r\n",
    "within the status": b"HTTP/1.1 200 O",
    "after a header": b"HTTP/1.1 200 OK\r\nX-One: 1\r\n",
    "within a name": b"HTTP/1.1 200 OK\r\nX-One: 1\r\nX-Tw",
    "within a value": b"HTTP/1.1 200 OK\r\nX-One: 1",
    "within a length": b"HTTP/1.1 200 OK\r\nContent-Length: 1",
    "within the blank line": b"HTTP/1.1 200 OK\r\nX-One: 1\r\n\r",
    "after an interim status": b"HTTP/1.1 100 Continue\r\n",
    "after an interim head": b"HTTP/1.1 100 Continue\r\n\r\n",
}
WHOLE = b"HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def serve():
    """Returns a function that serves bytes once; it returns the address."""
    socks = []

    def run(data, piece_bytes=headforms.LONGEST_PIECE):
        sock = socket.create_server(("127.0.0.1", 0))
        socks.append(sock)

        def answer():
            conn, _ = sock.accept()
            with conn:
                conn.recv(65536)
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                # A client that refuses the response resets its connection.
                with contextlib.suppress(OSError):
                    for start in range(0, len(data), piece_bytes):
                        conn.sendall(data[start : start + piece_bytes])
                    conn.shutdown(socket.SHUT_WR)
                    while conn.recv(65536):
                        continue

        threading.Thread(target=answer, daemon=True).start()
        return "{}:{}".format(*sock.getsockname())

    yield run
    for sock in socks:
        sock.close()


class TestHttpClient:
    @pytest.mark.parametrize("name", CUTS)
    def test_head_without_its_end_is_no_answer(self, serve, name):
        client = httpclient.HttpClient(f"http://{serve(CUTS[name])}")
        with pytest.raises(exceptions.TargetError):
            client.send("GET", "/", timeout_s=5.0)

    @pytest.mark.parametrize("name", CUTS)
    def test_started_request_gets_no_answer_from_a_cut_head(self, serve, name):
        client = httpclient.HttpClient(f"http://{serve(CUTS[name])}")
        conn = client.start("GET", "/", b"", 5.0)
        with pytest.raises((http.client.HTTPException, OSError)):
            conn.getresponse()
        conn.close()

    def test_whole_head_is_read(self, serve):
        client = httpclient.HttpClient(f"http://{serve(WHOLE)}")
        reply = client.send("GET", "/", timeout_s=5.0)
        assert (reply.status, reply.body) == (200, b"ok")
        assert reply.headers["X-One"] == "1"


class TestStatus:
    # Guards against a response that HTTP doesn't have, taken for an answer.
    @statusforms.EACH_INVALID
    def test_of_an_invalid_form_is_no_answer(self, serve, name):
        client = httpclient.HttpClient(
            f"http://{serve(statusforms.response(name))}"
        )
        with pytest.raises(exceptions.TargetError):
            client.send("GET", "/", timeout_s=5.0)

    @statusforms.EACH_INVALID
    def test_of_an_invalid_form_ends_a_started_request(self, serve, name):
        client = httpclient.HttpClient(
            f"http://{serve(statusforms.response(name))}"
        )
        conn = client.start("GET", "/", b"", 5.0)
        with pytest.raises((http.client.HTTPException, OSError)):
            conn.getresponse()
        conn.close()

    # Guards against rules that sound targets don't meet.
    @statusforms.EACH_VALID
    def test_of_a_valid_form_is_an_answer(self, serve, name):
        client = httpclient.HttpClient(
            f"http://{serve(statusforms.valid_response(name))}"
        )
        reply = client.send("GET", "/", timeout_s=5.0)
        assert reply.status == statusforms.VALID[name][1]
        assert reply.body == statusforms.BODY


class TestFields:
    # Guards against a parser that ends the fields at the first line it can't
    # read: a length or coding after it is lost, and another body is read.
    @headforms.EACH_WAY
    @headforms.EACH_INVALID
    def test_of_an_invalid_form_make_no_answer(
        self, serve, name, is_chunked, piece_bytes
    ):
        data = headforms.response(name, is_chunked=is_chunked)
        client = httpclient.HttpClient(f"http://{serve(data, piece_bytes)}")
        with pytest.raises(exceptions.TargetError) as caught:
            client.send("GET", "/", timeout_s=5.0)
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN

    @pytest.mark.parametrize("status", [b"404", b"429", b"503"])
    @headforms.EACH_OF_SOME
    def test_of_an_invalid_form_make_no_failure(self, serve, name, status):
        line = b"HTTP/1.1 " + status + b" X\r\n"
        data = headforms.response(name, status_line=line)
        client = httpclient.HttpClient(f"http://{serve(data)}")
        with pytest.raises(exceptions.TargetError):
            client.send("GET", "/", timeout_s=5.0)

    @headforms.EACH_FRAMING
    @headforms.EACH_INVALID
    def test_of_an_invalid_form_end_a_started_request(
        self, serve, name, is_chunked
    ):
        data = headforms.response(name, is_chunked=is_chunked)
        client = httpclient.HttpClient(f"http://{serve(data)}")
        conn = client.start("GET", "/", b"", 5.0)
        with pytest.raises(
            (http.client.HTTPException, urllib3.exceptions.HTTPError, OSError)
        ):
            conn.getresponse().read()
        conn.close()

    # Guards against rules that sound targets don't meet.
    @headforms.EACH_PIECE
    @headforms.EACH_VALID
    def test_of_a_valid_form_make_an_answer(self, serve, name, piece_bytes):
        data = headforms.valid_response(name)
        client = httpclient.HttpClient(f"http://{serve(data, piece_bytes)}")
        reply = client.send("GET", "/", timeout_s=5.0)
        assert (reply.status, reply.body) == (200, headforms.BODY)


_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_ODD_CHUNKS = {
    "size cut within zeros": b"2\r\nok\r\n00",
    "size cut before its line feed": b"2\r\nok\r\n0\r",
    "no last chunk": b"2\r\nok\r\n",
    "size with a sign": b"+2\r\nok\r\n0\r\n\r\n",
    "negative size": b"-5\r\nok\r\n0\r\n\r\n",
    "size of -1": b"-1\r\nok\r\n0\r\n\r\n",
    "size of -0": b"2\r\nok\r\n-0\r\n\r\n",
    "size with a prefix": b"0x2\r\nok\r\n0\r\n\r\n",
    "size with an underscore": b"0_2\r\nok\r\n0\r\n\r\n",
    "size of two words": b"2 2\r\nok\r\n0\r\n\r\n",
    "no size": b"\r\nok\r\n0\r\n\r\n",
    "too long a chunk": b"2\r\nokok\r\n0\r\n\r\n",
    "bytes in place of a line end": b"2\r\nokXX0\r\n\r\n",
}
_CHUNKS = {
    "one": b"2\r\nok\r\n0\r\n\r\n",
    "several": b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    "leading zeros": b"0002\r\nok\r\n000\r\n\r\n",
    "extension": b'2;a=1;b="c"\r\nok\r\n0;a\r\n\r\n',
    "blank after the size": b"2 \r\nok\r\n0 \r\n\r\n",
    "line feeds after the sizes": b"2\nok\r\n0\n\n",
}


class TestChunks:
    # Guards against a cut body that passes as whole, and against an error
    # without a type.
    @headforms.EACH_PIECE
    @pytest.mark.parametrize("name", _ODD_CHUNKS)
    def test_of_an_odd_form_make_no_answer(self, serve, name, piece_bytes):
        address = serve(_CHUNKED + _ODD_CHUNKS[name], piece_bytes)
        client = httpclient.HttpClient(f"http://{address}")
        with pytest.raises(exceptions.TargetError):
            client.send("GET", "/", timeout_s=5.0)

    # Guards against rules that sound targets don't meet.
    @headforms.EACH_PIECE
    @pytest.mark.parametrize("name", _CHUNKS)
    def test_of_a_valid_form_make_an_answer(self, serve, name, piece_bytes):
        address = serve(_CHUNKED + _CHUNKS[name], piece_bytes)
        client = httpclient.HttpClient(f"http://{address}")
        reply = client.send("GET", "/", timeout_s=5.0)
        assert (reply.status, reply.body) == (200, b"ok")


class TestTrailers:
    # Guards against a rule that sound targets don't meet: all chunks came.
    @pytest.mark.parametrize(
        "trailers",
        [b"\r\n", b"X-One: 1\r\n\r\n", b"X-One: 1\r\n", b"X-O", b""],
    )
    def test_may_be_missing_or_cut(self, serve, trailers):
        chunks = b"2\r\nok\r\n0\r\n"
        client = httpclient.HttpClient(
            f"http://{serve(_CHUNKED + chunks + trailers)}"
        )
        reply = client.send("GET", "/", timeout_s=5.0)
        assert (reply.status, reply.body) == (200, b"ok")

    # Guards against a line that is left unread on a connection that is kept,
    # where it begins the next response.
    @headforms.EACH_PIECE
    @pytest.mark.parametrize(
        "trailers",
        [
            b"X-One: " + b"a" * 65_536 + b"\r\n\r\n",
            b"X-One: " + b"a" * 65_529 + b"\r\n\r\n",
            b"X-One: " + b"a" * 1000 + b"\r\n\r\n",
        ],
        ids=["long line", "line as long as a read", "line"],
    )
    def test_are_bounded(self, serve, trailers, piece_bytes):
        chunks = b"2\r\nok\r\n0\r\n"
        address = serve(_CHUNKED + chunks + trailers, piece_bytes)
        client = httpclient.HttpClient(f"http://{address}")
        if len(trailers) < 65_536:
            assert client.send("GET", "/", timeout_s=5.0).body == b"ok"
            return
        with pytest.raises(exceptions.TargetError):
            client.send("GET", "/", timeout_s=5.0)

    def test_of_many_lines_are_bounded(self, serve):
        lines = b"X-One: 1\r\n" * 10_000 + b"\r\n"
        address = serve(_CHUNKED + b"2\r\nok\r\n0\r\n" + lines)
        client = httpclient.HttpClient(f"http://{address}")
        with pytest.raises(exceptions.TargetError):
            client.send("GET", "/", timeout_s=5.0)


class TestStrictConnection:
    @headforms.EACH_FRAMING
    @headforms.EACH_OF_SOME
    def test_callers_of_tests_see_an_invalid_field(
        self, serve, name, is_chunked
    ):
        data = headforms.response(name, is_chunked=is_chunked)
        host, _, port = serve(data).partition(":")
        conn = strictheads.StrictConnection(host, int(port), timeout=5.0)
        conn.request("GET", "/")
        with pytest.raises(http.client.HTTPException):
            conn.getresponse().read()
        conn.close()

    @pytest.mark.parametrize("name", CUTS)
    def test_callers_of_tests_see_a_cut_head(self, serve, name):
        host, _, port = serve(CUTS[name]).partition(":")
        conn = strictheads.StrictConnection(host, int(port), timeout=5.0)
        conn.request("GET", "/")
        with pytest.raises(http.client.HTTPException):
            conn.getresponse()
        conn.close()
