"""Stand-in targets that fall silent, lose links or repeat refusals."""

import pathlib
import socket
import subprocess
import sys
import threading

import pytest

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import exchangefaults
from briarfall.standins.prepared import gates
from briarfall.standins.prepared import links
from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import services
from briarfall.standins.prepared import store
from briarfall.standins.prepared.faultsoak import scenes
from briarfall.standins.prepared.faultsoak import translatedstart

# Long enough for an answer on loopback, also beside load.
ANSWER_S = 5.0
# Time in which a wrong answer would have arrived.
SILENT_S = 0.3
HOST = links.own_host(0)
LINK_HOST = links.own_host(1)


@pytest.fixture
def service():
    platform = store.StoreStandin()
    target = services.ServiceStandin(platform, "d0", host=HOST)
    target.add_link(LINK_HOST)
    yield target
    target.silence.open()
    target.close()
    platform.close()


class Client:
    """A connection to a target."""

    def __init__(self, target, host=HOST):
        address = (host, target.server.port)
        self.sock = socket.create_connection(address, ANSWER_S)

    def ask(self, request_id="r1"):
        """Sends a request."""
        head = f"POST /x HTTP/1.1\r\nX-Request-Id: {request_id}\r\n\r\n"
        self.sock.sendall(head.encode())

    def read(self, timeout_s=ANSWER_S):
        """Returns the next bytes, or None if there are none in time."""
        self.sock.settimeout(timeout_s)
        try:
            return self.sock.recv(65_536)
        except TimeoutError:
            return None

    def read_until(self, text, count=1):
        """Returns what arrives until a text has come that often."""
        data = b""
        while data.count(text) < count:
            data += self.read()
        return data


class TestGate:
    def test_half_of_a_send_passes_first(self):
        gate = gates.Gate()
        ours, theirs = socket.socketpair()
        conn = rawhttp.RawConnection(ours, (gate,))
        gate.shut(splits_sends=True)
        sender = threading.Thread(target=conn.send, args=(b"abcd",))
        sender.start()
        assert theirs.recv(10) == b"ab"
        gate.open()
        assert theirs.recv(10) == b"cd"
        sender.join(ANSWER_S)


class TestSilence:
    def test_silent_target_accepts_and_answers_later(self, service):
        service.silence.shut()
        client = Client(service)
        client.ask()
        assert client.read(SILENT_S) is None
        assert service.ran == []
        service.silence.open()
        assert b"200" in client.read()

    def test_open_connections_go_on_while_new_ones_are_refused(self, service):
        client = Client(service)
        service.refuse_connections()
        with pytest.raises(ConnectionRefusedError):
            Client(service)
        client.ask()
        assert b"200" in client.read()
        service.accept_connections()
        Client(service)


class TestLinkCut:
    def test_link_serves_beside_the_target_itself(self, service):
        client = Client(service, LINK_HOST)
        client.ask()
        assert b"200" in client.read()

    def test_others_are_served_while_a_link_is_cut(self, service):
        service.links[LINK_HOST].set_cut(links.Cut.RESET)
        client = Client(service)
        client.ask()
        assert b"200" in client.read()

    def test_hanging_link(self, service):
        client = Client(service, LINK_HOST)
        service.links[LINK_HOST].set_cut(links.Cut.HANG)
        client.ask()
        assert client.read(SILENT_S) is None
        with pytest.raises(TimeoutError):
            socket.create_connection((LINK_HOST, service.server.port), SILENT_S)
        service.links[LINK_HOST].set_cut(links.Cut.NONE)
        assert b"200" in client.read()

    def test_reset_link(self, service):
        client = Client(service, LINK_HOST)
        client.ask()
        assert b"200" in client.read()
        service.links[LINK_HOST].set_cut(links.Cut.RESET)
        with pytest.raises(ConnectionRefusedError):
            Client(service, LINK_HOST)
        try:
            assert client.read() == b""
        except ConnectionResetError:
            pass

    def test_link_that_refuses_new_connections(self, service):
        client = Client(service, LINK_HOST)
        service.links[LINK_HOST].set_cut(links.Cut.REFUSE_NEW)
        with pytest.raises(ConnectionRefusedError):
            Client(service, LINK_HOST)
        client.ask()
        assert b"200" in client.read()

    def test_target_that_restarts_leaves_the_link_cut(self, service):
        service.links[LINK_HOST].set_cut(links.Cut.RESET)
        service.close()
        service.restart()
        with pytest.raises(ConnectionRefusedError):
            Client(service, LINK_HOST)
        service.links[LINK_HOST].set_cut(links.Cut.NONE)
        Client(service, LINK_HOST)


class TestRepeatedRefusal:
    @pytest.mark.parametrize("has_id", [True, False])
    @pytest.mark.parametrize(
        "when",
        [
            exchangefaults.RefusalCopy.AT_ONCE,
            exchangefaults.RefusalCopy.SHORTLY,
        ],
    )
    def test_copy_follows_the_refusal(self, service, when, has_id):
        service.exchange.refusal_copy = when
        service.exchange.copy_has_id = has_id
        client = Client(service)
        client.ask()
        data = client.read_until(b"full", 2)
        assert data.count(b"X-Request-Id: r1") == 1 + has_id
        assert service.ran == []

    def test_copy_comes_before_the_next_answer(self, service):
        service.exchange.refusal_copy = (
            exchangefaults.RefusalCopy.BEFORE_NEXT_ANSWER
        )
        client = Client(service)
        client.ask("r1")
        assert client.read_until(b"full").count(b"503") == 1
        client.ask("r2")
        data = client.read_until(b"ran:")
        assert data.index(b"X-Request-Id: r1") < data.index(b"r2")
        assert service.ran_ids() == ["r2"]


class TestEarlyClose:
    def test_kept_connection_is_closed_when_a_request_arrives(self, service):
        service.exchange.closing = exchangefaults.Closing.ON_ARRIVAL
        client = Client(service)
        client.ask("r1")
        assert b"200" in client.read()
        client.ask("r2")
        assert client.read() == b""
        assert service.ran_ids() == ["r1"]

    def test_connection_is_closed_after_an_answer(self, service):
        service.exchange.closing = exchangefaults.Closing.AFTER_ANSWER
        client = Client(service)
        client.ask("r1")
        assert b"200" in client.read()
        assert client.read() == b""

    def test_connection_is_reset_after_a_run(self, service):
        service.exchange.closing = exchangefaults.Closing.AFTER_RUN
        client = Client(service)
        client.ask("r1")
        with pytest.raises(ConnectionResetError):
            client.read()
        assert service.ran_ids() == ["r1"]


class TestAnswerWithoutLength:
    """Streams that have begun keep their form when the fault changes."""

    @pytest.fixture
    def engine(self):
        platform = store.StoreStandin()
        engine = engines.EngineStandin(platform, "e0", {}, host=HOST)
        engine.layers = (0, manifests.ENGINE["layers"])
        yield engine
        engine.close()
        platform.close()

    def ask(self, engine):
        client = Client(engine)
        last = manifests.ENGINE["layers"]
        client.sock.sendall(
            b"POST /x HTTP/1.1\r\nX-Request-Id: r1\r\n"
            + f"X-Hop-Count: {engine.address}=0-{last}\r\n\r\n".encode()
        )
        return client

    @pytest.mark.parametrize("was_open", [True, False])
    def test_change_in_the_middle_of_a_stream(self, engine, was_open):
        engine.answers_without_length = was_open
        engine.on_event[3] = threading.Event()
        engine.resume_events[3] = threading.Event()
        client = self.ask(engine)
        assert engine.on_event[3].wait(ANSWER_S)
        engine.answers_without_length = not was_open
        engine.resume_events[3].set()
        if was_open:
            data = client.read_until(b"data: token 12\n\n")
            assert client.read() == b""
            assert b"chunked" not in data
            assert b"\r\n" not in data.partition(b"\r\n\r\n")[2]
            return
        data = client.read_until(b"\r\n0\r\n\r\n")
        assert data.count(b"\r\nid: ") == 12


class TestTranslatedStart:
    def test_process_connects_to_its_own_host(self, service, tmp_path):
        script = tmp_path / "client.py"
        script.write_text(
            "import socket\n"
            f"address = ('{HOST}', {service.server.port})\n"
            "print(socket.create_connection(address).getpeername()[0])\n"
        )
        start = pathlib.Path(translatedstart.__file__)
        begun = tmp_path / "begun"
        done = subprocess.run(
            [sys.executable, start, begun, script, HOST, LINK_HOST],
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.strip() == LINK_HOST
        assert begun.exists()


class TestCrashedTarget:
    """The soak starts crashed targets again with their next heartbeat."""

    _TARGETS = "keyed.servers"

    @pytest.fixture
    def crashed(self):
        platform = store.StoreStandin()
        target = services.ServiceStandin(platform, "d0", host=HOST)
        target.close()
        yield platform, target
        target.close()
        platform.close()

    def test_is_listed_again_in_a_new_incarnation(self, crashed):
        platform, target = crashed
        target.remove()
        scenes.renew_entry(target)
        assert platform.keys(self._TARGETS) == ["d0"]
        assert target.incarnation == 2

    def test_is_not_listed_again_once_it_has_left(self, crashed):
        platform, target = crashed
        target.is_withdrawn = True
        target.remove()
        scenes.renew_entry(target)
        assert platform.keys(self._TARGETS) == []


class TestMisdirectedRequest:
    def test_response_names_its_request(self, service):
        service.fault = registeredtarget.Fault.MISDIRECTED
        client = Client(service)
        client.ask("r1")
        data = client.read()
        assert b" 421 " in data
        assert b"X-Request-Id: r1" in data
