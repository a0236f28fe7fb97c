"""What the HTTP client of briarfall's own path says about a failed send."""

import pytest

from briarfall import exceptions
from briarfall import httpclient
from briarfall.standins.prepared import rawhttp

_TIMEOUT_S = 5.0


@pytest.fixture
def serve():
    servers = []

    def start(handler):
        servers.append(rawhttp.RawServer(handler))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def _reset(conn, req):
    conn.reset()
    return False


def _close(conn, req):
    return False


class TestSendOnANewConnection:
    """Only a refused connect says that a call was not sent."""

    @pytest.mark.parametrize("end", [_reset, _close])
    @pytest.mark.parametrize("size", [2, 2**24], ids=["short", "long"])
    def test_connection_that_ends_after_the_request_is_no_refusal(
        self, serve, end, size
    ):
        arrived = []

        def handle(conn, req):
            arrived.append(req)
            return end(conn, req)

        client = httpclient.HttpClient(
            f"http://{serve(handle).address}", keep_alive=False
        )
        with pytest.raises(exceptions.TargetError) as caught:
            client.send("POST", "/x", timeout_s=_TIMEOUT_S, body=b"x" * size)
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN
        assert len(arrived) == 1

    def test_connection_that_is_reset_on_a_part_of_the_body_is_no_refusal(
        self, serve
    ):
        def handle(conn, req):
            conn.reset()
            return False

        client = httpclient.HttpClient(
            f"http://{serve(handle).address}", keep_alive=False
        )
        # The server takes the body for finished and resets on the rest.
        with pytest.raises(exceptions.TargetError) as caught:
            client.send(
                "POST",
                "/x",
                timeout_s=_TIMEOUT_S,
                body=b"x" * 2**24,
                headers={"Content-Length": "1"},
            )
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN

    def test_refused_connect_is_a_refusal(self, serve):
        server = serve(_close)
        server.close()
        client = httpclient.HttpClient(
            f"http://{server.address}", keep_alive=False
        )
        with pytest.raises(exceptions.TargetUnreachableError) as caught:
            client.send("POST", "/x", timeout_s=_TIMEOUT_S)
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN

    def test_each_call_has_a_connection_of_its_own(self, serve):
        def handle(conn, req):
            conn.respond(200, b"ok")
            return True

        server = serve(handle)
        client = httpclient.HttpClient(
            f"http://{server.address}", keep_alive=False
        )
        for _ in range(3):
            client.send("POST", "/x", timeout_s=_TIMEOUT_S)
        assert server.opened == 3
