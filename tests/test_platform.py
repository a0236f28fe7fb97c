"""Tests of `briarfall.platform`: settings, manifest, entries and store."""

import json
import socket
import threading

import pytest

from briarfall import exceptions
from briarfall.gateway.callers import listener
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.instance import settingswatcher
from briarfall.gateway.instance import summary
from briarfall.platform import earlylisteners
from briarfall.platform import headers
from briarfall.platform import leasetopic
from briarfall.platform import manifest
from briarfall.platform import settings
from briarfall.platform import store
from briarfall.platform import topics
from briarfall.standins.prepared import testbed


def settings_file(**changes) -> bytes:
    fields = {
        "node": "edge-1",
        "zone": "suva",
        "ip": "10.1.0.40",
        "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
        "port_range": [7340, 7355],
        "platform": {"address": "10.200.1.7:8223"},
        "bounds": {"revoke_ms": 5000, "strict_revoke": True, "grace_s": 8},
        "field_of_the_future": [1],
    }
    fields.update(changes)
    return json.dumps(fields).encode()


class TestSettings:
    def test_wire_names_become_project_names(self):
        cfg = settings.parse(settings_file())
        assert cfg.instance == "edge-1"
        assert cfg.caller.port == 8227
        assert cfg.peer.port == 7340
        assert cfg.key_ttl_s == 5.0
        assert cfg.drain_grace_s == 8

    def test_keys_do_not_expire_without_strict_revoke(self):
        cfg = settings.parse(settings_file(bounds={"strict_revoke": False}))
        assert cfg.key_ttl_s == 0.0

    @pytest.mark.parametrize(
        ("changes", "is_first"),
        [
            ({"bootstrap": False}, False),
            ({"bootstrap": True}, True),
            ({"bootstrap": None}, True),
            ({"bootstrap": {"odd": 1}}, True),
            ({}, True),
        ],
    )
    def test_only_a_later_start_is_no_first_start(self, changes, is_first):
        cfg = settings.parse(settings_file(**changes))
        assert cfg.is_first_start is is_first

    @pytest.mark.parametrize(
        "changes",
        [
            {"node": 3},
            {"node": ""},
            {"listen": {"front": "10.1.0.40:8227"}},
            {"listen": {"front": "nowhere", "ready": "10.1.0.40:1"}},
            {"platform": {}},
            {"port_range": "7340"},
            {"bounds": {"grace_s": 0}},
            {"bounds": {"retry_ratio": -1}},
        ],
    )
    def test_invalid_fields_raise_settings_error(self, changes):
        with pytest.raises(exceptions.SettingsError):
            settings.parse(settings_file(**changes))

    def test_malformed_json_raises_settings_error(self):
        with pytest.raises(exceptions.SettingsError):
            settings.parse(b"\xff{")


class TestReload:
    def watch(self, tmp_path, applied):
        path = tmp_path / "node.json"
        path.write_bytes(settings_file())
        done = threading.Event()

        def apply(cfg):
            applied.append(cfg)
            done.set()

        watcher = settingswatcher.SettingsWatcher(
            str(path), settings_file(), settings.parse, apply
        )
        watcher.request_reload()
        return path, watcher

    # Guards against a change that is lost, since the file is read once for the
    # start and once more as what later changes are compared with.
    def test_change_during_the_start_is_applied_without_a_signal(
        self, tmp_path
    ):
        path = tmp_path / "node.json"
        path.write_bytes(settings_file(bounds={"revoke_ms": 4000}))
        applied = []
        watcher = settingswatcher.SettingsWatcher(
            str(path), settings_file(), settings.parse, applied.append
        )
        watcher.step()
        assert applied[0].key_ttl_s == 4.0

    def test_changed_bounds_are_applied(self, tmp_path):
        applied = []
        path, watcher = self.watch(tmp_path, applied)
        path.write_bytes(settings_file(bounds={"revoke_ms": 4000}))
        watcher.step()
        assert applied[0].key_ttl_s == 4.0

    def test_malformed_file_changes_nothing(self, tmp_path):
        applied = []
        path, watcher = self.watch(tmp_path, applied)
        path.write_bytes(b"{")
        watcher.step()
        assert applied == []

    def test_instance_applies_bounds(self, tmp_path):
        with testbed.world() as scene:
            inst = scene.instance()
            inst.reload(settings.parse(settings_file(bounds={"grace_s": 3})))
            inst.stop.request()
            assert inst.stop.left_s < 3


class TestManifest:
    def parse(self, **changes):
        value = testbed.manifest(4)
        value.update(changes)
        return manifest.parse(json.dumps(value).encode())

    def test_wire_names_become_project_names(self):
        view = self.parse()
        route = view.match("shop.example", "/drafts/x")
        assert route.kind is views.RouteKind.STREAM
        assert route.is_retryable
        assert route.event_gap_slo_s == 0.2
        model = view.services["pool"].model
        assert model.layers == 8
        assert model.kinds["large"].memory_mb == 124.0

    def test_non_resumable_stream_is_not_retryable(self):
        rows = [testbed.route("s", "/s/", "streaming", "pool")]
        view = self.parse(routes=rows)
        assert not view.match("shop.example", "/s/x").is_retryable

    def test_split_routes_keep_their_weights(self):
        row = testbed.route("s", "/s/", "idempotent", "desk")
        del row["service"]
        row["backends"] = [
            {"service": "desk", "weight": 90},
            {"service": "other", "weight": 10},
        ]
        route = self.parse(routes=[row]).match("shop.example", "/s/x")
        assert [share.weight for share in route.shares] == [90, 10]

    @pytest.mark.parametrize(
        "changes",
        [
            {"version": "many"},
            {"routes": [{"name": "x"}]},
            {"routes": [testbed.route("x", "/x/", "dancing", "desk")]},
        ],
    )
    def test_malformed_manifest_raises_catalogue_error(self, changes):
        with pytest.raises(exceptions.CatalogueError):
            self.parse(**changes)


class TestEntries:
    def entry(self, **changes):
        fields = {
            "service": "pool",
            "address": "10.1.64.9:8080",
            "zone": "suva",
            "state": "ready",
            "slots": 96,
            "seq": 4,
            "born": 17,
            "kind": "l4",
            "layers": {"from": 8, "target": 16, "version": 1},
        }
        fields.update(changes)
        return topics.parse_entry("i-1", json.dumps(fields).encode())

    def test_wire_names_become_project_names(self):
        row = self.entry()
        assert row.layers == sources.LayerRange(8, 16)
        assert row.state is sources.TargetState.READY
        assert row.started_ms == 17

    @pytest.mark.parametrize("layers", [None, {}, {"from": 3, "target": 3}])
    def test_empty_engine_has_no_layers(self, layers):
        assert self.entry(layers=layers).layers is None

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": None},
            {"address": "here"},
            {"address": "10.1.64.9:port"},
            {"state": "sleeping"},
            {"slots": "many"},
        ],
    )
    def test_invalid_fields_raise_catalogue_error(self, changes):
        with pytest.raises(exceptions.CatalogueError):
            self.entry(**changes)


class TestChainHeader:
    def test_lists_addresses_and_layers_in_order(self):
        parts = [
            ("10.1.64.9:8080", sources.LayerRange(0, 20)),
            ("10.2.64.3:8080", sources.LayerRange(20, 80)),
        ]
        text = headers.encode_chain(parts)
        assert text == b"10.1.64.9:8080=0-20,10.2.64.3:8080=20-80"


class TestEarlyListeners:
    def settings_file(self, sock):
        host, port = sock.getsockname()
        listen = {"front": f"{host}:{port}", "ready": "127.0.0.1:0"}
        return json.dumps({"listen": listen}).encode()

    def test_early_connection_is_served_by_the_instance(self):
        free = socket.create_server(("127.0.0.1", 0))
        data = self.settings_file(free)
        free.close()
        opened = earlylisteners.open_listeners(data)
        address, sock = next(iter(opened.items()))
        host, _, port = address.rpartition(":")
        caller = socket.create_connection((host, int(port)), 5.0)
        served = threading.Event()

        def serve(conn):
            conn.sendall(b"here")
            served.set()

        row = listener.Listener(host, int(port), serve, name="t", sock=sock)
        row.start()
        assert served.wait(20)
        assert caller.recv(4) == b"here"
        caller.close()
        row.stop()
        opened["127.0.0.1:0"].close()

    @pytest.mark.parametrize(
        "data", [b"", b"[]", b"{}", b'{"listen": {"front": 5, "ready": "x"}}']
    )
    def test_malformed_settings_open_no_listener(self, data):
        assert earlylisteners.open_listeners(data) == {}


def position(offset) -> sources.LogPosition:
    """Returns a position in the first epoch of the stand-in."""
    return sources.LogPosition(sources.StoreEpoch(1), offset)


class TestStore:
    @pytest.fixture
    def scene(self):
        with testbed.world() as scene:
            yield (
                scene,
                store.StoreClient(
                    scene.store.address, summary.CallCounts(), "test"
                ),
            )

    def test_lost_response_to_append_raises_log_unavailable(self, scene):
        world, client = scene
        world.store.loses_appends = True
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"x", 1.0)
        world.store.loses_appends = False
        records, end = client.read("t", position(0), 1.0)
        assert records == [b"x"]
        assert end == position(1)

    def test_append_at_another_end_is_refused(self, scene):
        _, client = scene
        assert client.append("t", b"x", 1.0, at=position(0)) == position(0)
        assert client.append("t", b"y", 1.0, at=position(0)) is None

    def test_read_of_expired_records_raises_log_gap(self, scene):
        world, client = scene
        world.store.append("t", b"x")
        world.store.forget("t")
        with pytest.raises(exceptions.LogGapError) as caught:
            client.read("t", position(0), 1.0)
        assert caught.value.first == 1

    @pytest.mark.parametrize("status", [429, 503, -1])
    def test_error_statuses_raise_log_unavailable(self, scene, status):
        world, client = scene
        world.store.status = status
        with pytest.raises(exceptions.LogUnavailableError):
            client.newest("keyed.op", 1.0)

    def test_only_one_of_two_instances_acquires_the_lease(self, scene):
        _, client = scene
        lease = leasetopic.LeaseTopic(client)
        grant = lease.read_grant(1.0)
        first = lease.try_acquire("i1", 3.0, grant.end, 1.0)
        assert first is not None
        assert lease.try_acquire("i2", 3.0, grant.end, 1.0) is None
        again = lease.read_grant(1.0)
        assert (again.holder, again.fence) == ("i1", first.fence)
