import concurrent.futures
import socket
import threading
import types

import cbor2
import msgspec
import pytest
import trustme
from websockets.sync import client as ws_client

from briarfall import clock
from briarfall import exceptions
from briarfall import settings
from briarfall.adapters import instancelist
from briarfall.membership import gossip
from briarfall.membership import links
from briarfall.membership import messages
from briarfall.membership import table as tables
from briarfall.standins.prepared import testbed

STATES = tables.MemberState


def member(name="r2", incarnation=1, sequence=0, state=STATES.ALIVE, **more):
    return tables.Member(
        name, "127.0.0.1:1", "suva", incarnation, sequence, state, **more
    )


class TestMemberTable:
    def _table(self):
        self.time = clock.ManualClock()
        return tables.MemberTable(member("r1", 5), self.time)

    def test_newer_version_wins(self):
        table = self._table()
        assert table.merge(member(sequence=2))
        assert not table.merge(member(sequence=1))
        assert table.merge(member(incarnation=2))
        assert table.get("r2").incarnation == 2

    def test_suspect_becomes_dead(self):
        table = self._table()
        table.merge(member())
        table.suspect("r2")
        assert table.live() == ["r1"]
        assert table.is_live("r2")
        self.time.advance(5.0)
        table.expire(4.0)
        assert not table.is_live("r2")

    def test_suspected_instance_refutes(self):
        table = self._table()
        claim = member("r1", 5, state=STATES.SUSPECT)
        assert table.merge(claim)
        assert table.me.state is STATES.ALIVE
        assert table.me.version > claim.version

    def test_restart_under_the_same_name(self):
        table = self._table()
        table.merge(member(state=STATES.DEAD))
        table.merge(member(incarnation=9))
        assert table.live() == ["r1", "r2"]

    def test_instance_list_does_not_revive_a_dead_member(self):
        table = self._table()
        table.merge(member(state=STATES.DEAD))
        table.merge_listed(
            instancelist.ListedInstance("r2", "127.0.0.1:1", "suva")
        )
        assert table.live() == ["r1"]

    def test_count_applied(self):
        table = self._table()
        table.announce(applied=8)
        table.merge(member(applied=7))
        assert table.count_applied(6) == (2, 2)
        assert table.count_applied(7) == (1, 2)


class TestHeartbeat:
    def _gossip(self, table):
        follower = types.SimpleNamespace(
            next_offset=0, caught_up=threading.Event()
        )
        return gossip.Gossip(
            table, None, None, types.SimpleNamespace(), None, follower, None
        )

    def test_member_that_is_merged_meanwhile_does_not_block_it(self):
        table = tables.MemberTable(member("r1", 5), clock.ManualClock())
        row = self._gossip(table)
        reached = threading.Event()
        merged = threading.Event()
        read = table.digest
        notify = table.on_change

        def digest():
            reached.set()
            return read()

        def compose():
            row.handle_heartbeat(messages.Heartbeat("r3", 0, False, 0))

        def change(changed):
            # The table is locked here.
            threading.Thread(target=compose, daemon=True).start()
            assert reached.wait(10)
            notify(changed)

        def merge():
            table.merge(member())
            merged.set()

        table.digest = digest
        table.on_change = change
        threading.Thread(target=merge, daemon=True).start()
        assert merged.wait(10)


class _Echo(msgspec.Struct):
    text: str


class TestLinks:
    @pytest.fixture(autouse=True)
    def wait_for_handshakes(self, monkeypatch):
        """A busy machine needs over a second for one, which is no fault."""
        monkeypatch.setattr(links, "_CONNECT_TIMEOUT_S", testbed.WAIT_S)

    def _listener(self, security):
        handlers = links.Handlers()
        handlers.add("echo", _Echo, lambda message: message)
        handlers.add("fail", _Echo, self._fail)
        listener = links.LinkListener(
            "r1", settings.Listener(), security, handlers, links.Counters()
        )
        listener.start()
        return listener

    def _fail(self, message):
        raise exceptions.LogUnavailableError(
            message.text, outcome=exceptions.Outcome.UNKNOWN
        )

    def _connect(self, listener, security):
        pool = concurrent.futures.ThreadPoolExecutor(1)
        return links.connect(
            "r2",
            listener.address,
            security,
            links.Handlers(),
            pool,
            links.Counters(),
        )

    def test_call(self):
        security = links.Security(["secret"])
        listener = self._listener(security)
        conn = self._connect(listener, security)
        answer = conn.call("echo", _Echo("hello"), _Echo, 2.0)
        assert answer.text == "hello"
        with pytest.raises(exceptions.LogUnavailableError) as info:
            conn.call("fail", _Echo("x"), _Echo, 2.0)
        assert info.value.outcome is exceptions.Outcome.UNKNOWN
        with pytest.raises(exceptions.BadRequestError):
            conn.call("absent", _Echo("x"), _Echo, 2.0)
        conn.close()
        listener.stop()

    def test_wrong_key_is_refused(self):
        listener = self._listener(links.Security(["secret"]))
        with pytest.raises(exceptions.PeerError):
            self._connect(listener, links.Security(["other"]))
        listener.stop()

    def test_old_key_is_accepted_during_replacement(self):
        listener = self._listener(links.Security(["new", "old"]))
        conn = self._connect(listener, links.Security(["old"]))
        assert conn.call("echo", _Echo("x"), _Echo, 2.0).text == "x"
        conn.close()
        listener.stop()

    def test_closed_link_fails_pending_calls(self):
        security = links.Security(["secret"])
        listener = self._listener(security)
        entered, leave = threading.Event(), threading.Event()

        def block(message):
            entered.set()
            leave.wait(5)
            return message

        listener._handlers.add("block", _Echo, block)
        conn = self._connect(listener, security)
        threading.Thread(
            target=lambda: (entered.wait(5), conn.close()), daemon=True
        ).start()
        with pytest.raises(exceptions.PeerError):
            conn.call("block", _Echo("x"), _Echo, 10.0)
        leave.set()
        listener.stop()

    @pytest.mark.parametrize(
        "data", [b"", b"\xff", cbor2.dumps([9, 9]), cbor2.dumps("x"), b"\x9b"]
    )
    def test_malformed_message_closes_the_link_not_the_listener(self, data):
        security = links.Security(["secret"])
        listener = self._listener(security)
        with ws_client.connect(f"ws://{listener.address}", proxy=None) as ws:
            ws.send(data)
        conn = self._connect(listener, security)
        conn._socket.send(data)
        assert conn.closed.wait(5)
        conn = self._connect(listener, security)
        assert conn.call("echo", _Echo("x"), _Echo, 2.0).text == "x"
        conn.close()
        listener.stop()

    def test_mutual_tls(self, tmp_path):
        authority = trustme.CA()
        security = self._tls(tmp_path, authority, "one")
        listener = self._listener(security)
        conn = self._connect(listener, security)
        assert conn.call("echo", _Echo("x"), _Echo, 2.0).text == "x"
        stranger = self._tls(tmp_path, trustme.CA(), "two")
        with pytest.raises(exceptions.PeerError):
            self._connect(listener, stranger)
        conn.close()
        listener.stop()

    def test_tls_session_has_no_ticket(self, tmp_path):
        security = self._tls(tmp_path, trustme.CA(), "one")
        listener = self._listener(security)
        host, _, port = listener.address.rpartition(":")
        context = security.context(server=False)
        with (
            socket.create_connection((host, int(port)), 10) as plain,
            context.wrap_socket(plain, server_hostname=host) as sock,
        ):
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert sock.recv(100)
            assert not sock.session.has_ticket
        listener.stop()

    def _tls(self, folder, authority, name):
        cert = authority.issue_cert("127.0.0.1")
        paths = [str(folder / f"{name}-{part}.pem") for part in "cka"]
        cert.cert_chain_pems[0].write_to_path(paths[0])
        cert.private_key_pem.write_to_path(paths[1])
        authority.cert_pem.write_to_path(paths[2])
        return links.Security(["secret"], settings.Tls(*paths))
