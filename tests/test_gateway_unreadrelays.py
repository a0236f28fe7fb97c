"""A peer that starts no thread for a connection has not run its request."""

import socket
import threading
import types

import pytest

from briarfall import ids
from briarfall import strictheads
from briarfall.gateway.callers import listener
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import relayresponses
from briarfall.standins.prepared import network
from briarfall.standins.prepared import testbed

_UNREAD = "briarfall-relay-unread"
_CALLERS = 8
_LONG_BODY_BYTES = 4_000_000


@pytest.fixture
def no_threads(monkeypatch):
    """Returns a function after which listeners start no thread."""
    full = []

    class Thread(threading.Thread):
        def __init__(self, *args, target=None, **options):
            super().__init__(*args, target=target, **options)
            self._owner = getattr(target, "__self__", None)

        def start(self):
            if self._owner in full:
                raise RuntimeError("can't start new thread")
            super().start()

    names = vars(threading) | {"Thread": Thread}
    monkeypatch.setattr(listener, "threading", types.SimpleNamespace(**names))
    return full.append


def _cut_instance(world, no_threads, count):
    """Returns an instance that is cut off; its first peer has no threads."""
    desk = world.service("d1")
    net = network.Network()
    world.on_close(net.close)
    cut = world.instance("i0", dialer=net)
    peers = [world.instance(f"i{number}") for number in range(1, count)]
    testbed.until(
        lambda: len(cut.peers.uncut("desk")) == count - 1,
        "peers accept requests",
    )
    world.wait_for_targets(desk)
    net.cut(network.Cut.REFUSE_NEW, [desk])
    no_threads(peers[0]._relay_listener)
    return cut, desk


class TestRelayedRequests:
    def test_are_answered_as_not_run(self, world, no_threads):
        cut, desk = _cut_instance(world, no_threads, 2)
        answer = testbed.call(cut, "/orders/x", method="POST")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        names = [name.lower() for name in answer.headers]
        assert _UNREAD not in names
        assert desk.ran == []

    def test_are_served_by_another_peer(self, world, no_threads):
        cut, desk = _cut_instance(world, no_threads, 3)
        wanted = [f"r{number}" for number in range(_CALLERS)]
        for request_id in wanted:
            answer = testbed.call(
                cut, "/orders/x", method="POST", request_id=request_id
            )
            assert answer.status == 200
        assert sorted(desk.ran_ids()) == wanted

    def test_longer_than_the_buffers_are_answered_as_not_run(
        self, world, no_threads
    ):
        doc = testbed.manifest(2)
        doc["limits"]["max_body_bytes"] = _LONG_BODY_BYTES
        world.publish(doc)
        cut, desk = _cut_instance(world, no_threads, 2)
        testbed.until(lambda: cut.follower.view.version == 2, "version 2")
        # Accepted connections inherit the size of the buffer.
        world.instances[1]._relay_listener._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
        )
        answer = testbed.call(
            cut, "/orders/x", method="POST", body=b"a" * _LONG_BODY_BYTES
        )
        assert answer.status == 503
        assert desk.ran == []


class TestRefusal:
    @pytest.mark.parametrize("name", ["callers", "peers"])
    def test_says_only_to_peers_that_nothing_was_read(
        self, world, no_threads, name
    ):
        inst = world.instance("i1")
        rows = {
            "callers": (inst._caller_listener, inst.caller_address),
            "peers": (inst._relay_listener, inst.peer_address),
        }
        row, address = rows[name]
        no_threads(row)
        conn = strictheads.StrictConnection(*address, timeout=testbed.WAIT_S)
        conn.request("POST", "/orders/x", body=b"a")
        answer = conn.getresponse()
        assert answer.status == 503
        assert (_UNREAD in answer.headers) == (name == "peers")
        # Older releases read the state of a request from this header.
        assert "briarfall-relay" not in answer.headers
        answer.read()
        conn.close()


class TestCheck:
    def _check(self, headers, *, is_fresh):
        conn = types.SimpleNamespace(
            address="peer",
            is_fresh=is_fresh,
            drain=lambda deadline_s: None,
        )
        state = relaymessages.RelayedRequest(
            "x1", ids.InstanceId("i1"), 0, 0, 1, False
        )
        send = types.SimpleNamespace(conn=conn, state=state)
        call = types.SimpleNamespace(attempt_count=0, deadline_s=0.0)
        relayresponses.validate(
            call,
            send,
            messages.ResponseHead(503, b"", headers),
            None,
            has_others=False,
        )

    def test_takes_it_as_not_run_on_a_fresh_connection(self):
        with pytest.raises(relayresponses.PeerRefusedError):
            self._check([(b"Briarfall-Relay-Unread", b"1")], is_fresh=True)

    def test_takes_it_as_unknown_on_a_reused_connection(self):
        with pytest.raises(targetconnection.BrokenExchangeError):
            self._check([(b"Briarfall-Relay-Unread", b"1")], is_fresh=False)

    @pytest.mark.parametrize("is_fresh", [True, False])
    def test_takes_a_refusal_without_the_header_as_unknown(self, is_fresh):
        with pytest.raises(targetconnection.BrokenExchangeError):
            self._check([(b"Retry-After", b"1")], is_fresh=is_fresh)

    def test_the_state_of_a_request_goes_before_it(self):
        other = relaymessages.header_of(
            relaymessages.RelayedResponse(
                "x2", relaymessages.RelayOutcome.UNKNOWN, 1, 1
            )
        )
        headers = [(b"Briarfall-Relay-Unread", b"1"), other]
        with pytest.raises(targetconnection.BrokenExchangeError):
            self._check(headers, is_fresh=True)
