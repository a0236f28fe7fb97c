"""Requests through complete instances, over stand-ins of the platform."""

import threading

import pytest

from briarfall import exceptions
from briarfall.gateway.catalogue import sources
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.gossip import peerresponder
from briarfall.gateway.targets import liveness
from briarfall.platform import topics
from briarfall.standins.prepared import engines as engine_standins
from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed


class TestPlainCalls:
    def test_forwards_unchanged_and_sets_its_own_headers(self, world):
        desk = world.service("d1")
        inst = world.instance()
        answer = testbed.call(
            inst,
            "/orders/new?x=1",
            method="POST",
            body=b"two liners",
            X_Tenant="somebody",
            X_Expect_Instance="forged",
            X_Other="kept",
        )
        assert answer.status == 200
        assert answer.body == b"ran:two liners"
        assert answer.headers["X-Response-Signature"] == "d1"
        ran = desk.ran[0]
        assert ran.method == "POST"
        assert ran.target == "/orders/new?x=1"
        assert ran.headers["x-tenant"] == "crew"
        assert ran.headers["x-expect-instance"] == "d1"
        assert ran.headers["x-other"] == "kept"
        assert "x-api-key" not in ran.headers
        assert int(ran.headers["x-deadline-ms"]) <= 3000

    def test_longest_prefix_wins_and_unknown_is_404(self, world):
        desk = world.service("d1")
        other = world.service("o1", "other")
        rows = [
            testbed.route("a", "/a/", "idempotent", "desk"),
            testbed.route("ab", "/a/b/", "idempotent", "other"),
        ]
        world.publish(testbed.manifest(2, routes=rows))
        inst = world.instance()
        world.wait_for_targets(desk, other)
        assert testbed.call(inst, "/a/b/c").status == 200
        assert other.ran_ids() == ["r1"]
        assert testbed.call(inst, "/ab").status == 404

    def test_unknown_key_is_refused_and_public_route_needs_none(self, world):
        desk = world.service("d1")
        rows = [
            testbed.route("p", "/p/", "idempotent", "desk", public=True),
            testbed.route("k", "/k/", "idempotent", "desk"),
        ]
        world.publish(testbed.manifest(2, routes=rows))
        inst = world.instance()
        assert testbed.call(inst, "/k/x", key="no").status == 401
        assert testbed.call(inst, "/p/x", key="").status == 200
        assert len(desk.ran) == 1
        assert "x-tenant" not in desk.ran[0].headers

    def test_keeps_the_target_connection(self, world):
        desk = world.service("d1")
        inst = world.instance()
        for number in range(5):
            testbed.call(inst, "/views/x", request_id=f"r{number}")
        assert len(desk.ran) == 5
        assert desk.server.opened == 1

    def test_refusal_keeps_the_target_connection(self, world):
        desk = world.service("d1")
        desk.fault = registeredtarget.Fault.REFUSE
        inst = world.instance()
        for number in range(4):
            answer = testbed.call(inst, "/views/x", request_id=f"r{number}")
            assert answer.status == 503
        assert desk.ran == []
        assert desk.server.opened == 1

    @pytest.mark.parametrize("path", ["/views/x", "/unknown/x"])
    def test_head_request_is_answered_without_a_body(self, world, path):
        desk = world.service("d1")
        inst = world.instance()
        for number in range(2):
            answer = testbed.call(
                inst, path, method="HEAD", request_id=f"r{number}"
            )
            assert answer.status == (200 if path == "/views/x" else 404)
            assert answer.body == b""
        assert [row.method for row in desk.ran] in ([], ["HEAD", "HEAD"])


class TestStart:
    def test_early_call_waits_for_the_catalogue(self, world, monkeypatch):
        desk = world.service("d1")
        gate = threading.Event()
        read = topics.CatalogueTopic.read_newest

        def read_late(topic, timeout_s):
            gate.wait(testbed.WAIT_S)
            return read(topic, timeout_s)

        monkeypatch.setattr(topics.CatalogueTopic, "read_newest", read_late)
        inst = world.starting_instance()
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(testbed.call(inst, "/views/x"))
        )
        thread.start()
        testbed.until(
            lambda: inst.open_connections == 1, "the call has arrived"
        )
        gate.set()
        thread.join(testbed.WAIT_S)
        assert answers[0].status == 200
        assert len(desk.ran) == 1

    def test_call_is_refused_if_the_store_is_unavailable(self, world):
        world.store.status = 503
        inst = world.starting_instance()
        answer = testbed.call(inst, "/views/x")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0


class TestAtMostOnce:
    @pytest.mark.parametrize(
        "fault",
        [
            registeredtarget.Fault.RESET_AFTER_RUN,
            registeredtarget.Fault.CUT_BODY,
            registeredtarget.Fault.GARBAGE,
        ],
    )
    def test_unknown_outcome_is_not_retried_and_answers_502_or_504(
        self, world, fault
    ):
        rows = [world.service("d1"), world.service("d2")]
        for row in rows:
            row.fault = fault
        inst = world.instance()
        world.wait_for_targets(*rows)
        answer = testbed.call(inst, "/orders/new", method="POST", body=b"x")
        assert answer.status in (502, 504)
        assert sum(len(row.ran) for row in rows) == 1

    def test_refused_call_goes_to_another_target(self, world):
        rows = [world.service("d1"), world.service("d2")]
        rows[0].fault = registeredtarget.Fault.REFUSE
        inst = world.instance()
        world.wait_for_targets(*rows)
        for number in range(6):
            answer = testbed.call(
                inst,
                "/orders/new",
                method="POST",
                body=b"x",
                request_id=f"r{number}",
            )
            assert answer.status == 200
        assert rows[0].ran == []
        assert len(rows[1].ran) == 6

    def test_target_at_a_reused_address_does_not_run_the_call(self, world):
        rows = [world.service("d1"), world.service("d2")]
        rows[0].fault = registeredtarget.Fault.MISDIRECTED
        inst = world.instance()
        world.wait_for_targets(*rows)
        answer = testbed.call(inst, "/orders/new", method="POST", body=b"x")
        assert answer.status == 200
        assert rows[0].ran == []

    def test_refusal_by_all_targets_is_a_503_with_retry_after(self, world):
        desk = world.service("d1")
        desk.fault = registeredtarget.Fault.REFUSE
        inst = world.instance()
        answer = testbed.call(inst, "/orders/new", method="POST", body=b"x")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert desk.ran == []

    def test_hanging_target_ends_in_504_at_the_deadline(self, world):
        desk = world.service("d1")
        desk.fault = registeredtarget.Fault.HANG
        inst = world.instance()
        answer = testbed.call(
            inst, "/orders/new", method="POST", body=b"x", deadline_ms=400
        )
        assert answer.status == 504
        assert len(desk.ran) == 1


class TestRetryableCalls:
    @pytest.mark.parametrize(
        "fault",
        [
            registeredtarget.Fault.RESET_AFTER_RUN,
            registeredtarget.Fault.CUT_BODY,
            registeredtarget.Fault.GARBAGE,
            registeredtarget.Fault.FAIL,
            registeredtarget.Fault.HANG,
        ],
    )
    def test_failed_call_is_retried_at_another_target(self, world, fault):
        rows = [world.service("d1"), world.service("d2")]
        rows[0].fault = fault
        inst = world.instance()
        world.wait_for_targets(*rows)
        for number in range(4):
            answer = testbed.call(
                inst, "/views/x", request_id=f"r{number}", deadline_ms=1500
            )
            assert answer.status == 200
            assert answer.body == b"ran:"

    def test_extra_answer_never_reaches_the_next_caller(self, world):
        desk = world.service("d1")
        desk.fault = registeredtarget.Fault.EXTRA_ANSWER
        inst = world.instance()
        for number in range(4):
            answer = testbed.call(
                inst,
                "/views/x",
                method="POST",
                body=b"%d" % number,
                request_id=f"r{number}",
            )
            assert answer.body == b"ran:%d" % number

    def test_failure_of_all_targets_forwards_a_targets_response(self, world):
        rows = [world.service("d1"), world.service("d2")]
        for row in rows:
            row.fault = registeredtarget.Fault.FAIL
        inst = world.instance()
        world.wait_for_targets(*rows)
        answer = testbed.call(inst, "/views/x")
        assert answer.status == 500
        assert answer.headers["X-Response-Signature"] in ("d1", "d2")


class TestStreams:
    def _start(self, world, count=4, **extra):
        engines = [world.engine(f"e{n}", **extra) for n in range(count)]
        inst = world.instance()
        world.wait_for_layers()
        return engines, inst

    def _draft(self, inst, **extra):
        return testbed.call(
            inst,
            "/drafts/new",
            method="POST",
            body=b"notes",
            deadline_ms=20000,
            X_Token_Usage="20,20",
            **extra,
        )

    def test_each_event_passes_every_layer_once_in_order(self, world):
        engines, inst = self._start(world)
        answer = self._draft(inst)
        assert answer.status == 200
        assert testbed.event_ids(answer.body) == list(range(1, 13))
        for engine in engines:
            for _, _, path in engine.generated_events:
                assert engine_standins.runs_all_layers(path), path
        assert manifests.ENGINE["layers"] == 8

    @pytest.mark.parametrize("is_torn", [False, True])
    def test_stream_resumes_without_lost_events_after_its_head_resets(
        self, world, is_torn
    ):
        engines, inst = self._start(world, 6)
        for engine in engines:
            engine.reset_after_event = 5
            engine.resets_mid_event = is_torn
        heads = [e for e in engines if e.layers[0] == 0]
        for engine in heads[1:]:
            engine.reset_after_event = 0
        answer = self._draft(inst)
        assert answer.error is None
        assert testbed.event_ids(answer.body) == list(range(1, 13))

    def test_events_may_count_from_zero(self, world):
        engines, inst = self._start(world, 6)
        for engine in engines:
            engine.first_event = 0
            engine.reset_after_event = 1
        heads = [e for e in engines if e.layers[0] == 0]
        for engine in heads[1:]:
            engine.reset_after_event = 0
        answer = self._draft(inst)
        assert answer.error is None
        assert testbed.event_ids(answer.body) == list(range(0, 13))

    def test_caller_resumes_after_its_last_event_id(self, world):
        engines, inst = self._start(world)
        answer = self._draft(inst, Last_Event_Id="7")
        assert testbed.event_ids(answer.body) == list(range(8, 13))

    def test_lost_answers_cause_no_more_runs_than_the_route_allows(self, world):
        engines, inst = self._start(world, 8, kind="large")
        for engine in engines:
            engine.reset_after_event = 2
        answer = self._draft(inst)
        assert answer.error is not None
        ran = [engine for engine in engines if engine.ran]
        assert len(ran) <= 2

    def test_unreachable_head_still_counts_as_a_run(self, world, monkeypatch):
        engines, inst = self._start(world, 8, kind="large")
        for engine in engines:
            engine.reset_after_event = 2
        monkeypatch.setattr(
            liveness,
            "probe_target",
            lambda address, **options: liveness.Reachability.UNRESPONSIVE,
        )
        answer = self._draft(inst)
        assert answer.error is not None
        assert len([engine for engine in engines if engine.ran]) <= 2

    def test_lost_answer_does_not_block_the_engine(self, world):
        engines, inst = self._start(world, 4)
        for engine in engines:
            engine.reset_after_event = 2
        self._draft(inst)
        blocked = [
            engine.id
            for engine in engines
            if inst.targets.get(engine.id).failures
        ]
        assert blocked == []

    def _draft_with_unresponsive_engines(self, world, engines, inst, count):
        """Makes middle engines unresponsive at event 5 of a stream.

        The stream must still be complete.

        Returns:
            The head of the chain and the addresses of those engines.
        """
        for engine in engines:
            engine.events = 40
            engine.on_event[5] = threading.Event()
        marks = [engine.on_event[5] for engine in engines]
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self._draft(inst))
        )
        thread.start()
        testbed.until(lambda: any(mark.is_set() for mark in marks), "event 5")
        head = next(e for e in engines if e.on_event[5].is_set())
        unresponsive = [row[0] for row in head.paths["r1"][1 : 1 + count]]
        for address in unresponsive:
            world.fleet[address].become_unresponsive()
        thread.join(testbed.WAIT_S)
        assert answers[0].error is None
        assert testbed.event_ids(answers[0].body) == list(range(1, 41))
        return head, unresponsive

    def test_dead_middle_stage_is_replaced_while_the_stream_runs(self, world):
        engines, inst = self._start(world, 6)
        head, unresponsive = self._draft_with_unresponsive_engines(
            world, engines, inst, 1
        )
        assert len(unresponsive) == 1
        repaths = [o for o in head.commands if o["op"] == "repath"]
        assert len(repaths) >= 1
        assert [run for run in head.ran_ids()] == ["r1"]

    def test_two_dead_middle_stages_are_replaced_together(self, world):
        world.publish(testbed.tiny_kind_manifest(2))
        engines, inst = self._start(world, 12, kind="tiny")
        head, unresponsive = self._draft_with_unresponsive_engines(
            world, engines, inst, 2
        )
        assert len(unresponsive) == 2
        assert [run for run in head.ran_ids()] == ["r1"]

    def test_refusal_by_all_engines_is_a_503_with_retry_after(self, world):
        engines, inst = self._start(world)
        for engine in engines:
            engine.fault = registeredtarget.Fault.REFUSE
        answer = self._draft(inst)
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert all(engine.ran == [] for engine in engines)

    def test_engine_that_refuses_is_not_retried_at_once(self, world):
        (head,), inst = self._start(world, 1, kind="large")
        head.fault = registeredtarget.Fault.REFUSE
        answer = self._draft(inst)
        assert answer.status == 503
        assert 1 <= len(head.arrivals) <= 3

    def test_dead_engine_named_by_a_refusal_is_reported_to_peers(self, world):
        engines, inst = self._start(world)
        other = world.instance("i2")
        for engine in engines:
            engine.refuses_unresponsive = True
        dead = next(row for row in engines if row.layers == (4, 8))
        dead.become_unresponsive()

        def is_refused():
            self._draft(inst)
            arrivals = sum(len(row.arrivals) for row in engines)
            return arrivals > sum(len(row.ran) for row in engines)

        testbed.until(is_refused, "a chain over the dead engine is refused")
        known = [row.id for row, _ in inst.targets.suspicions()]
        assert known == [dead.id]
        testbed.until(
            lambda: other.targets.get(dead.id).failed_s > 0,
            "the other instance has received the report",
        )

    def test_full_engine_named_by_a_refusal_is_not_suspected(self, world):
        engines, inst = self._start(world)
        for engine in engines:
            engine.fault = registeredtarget.Fault.REFUSE
        assert self._draft(inst).status == 503
        assert inst.targets.suspicions() == []

    def test_request_that_crashes_its_engines_stops_after_three(self, world):
        engines, inst = self._start(world, 8, kind="large")
        for engine in engines:
            engine.crashes_as_head = True
        answer = self._draft(inst)
        assert answer.status == 502
        assert "Retry-After" not in answer.headers
        assert sum(len(engine.ran) for engine in engines) <= 3


class TestPlacement:
    def test_one_lease_holder_covers_all_layers_in_each_zone(self, world):
        for zone in ("z1", "z2"):
            for number in range(3):
                world.engine(f"{zone}-e{number}", zone=zone)
        world.instance("i1", "z1")
        world.instance("i2", "z2")
        world.wait_for_layers()
        for zone in ("z1", "z2"):
            held = set()
            for engine in world.fleet.values():
                if engine.zone == zone:
                    held.update(range(*engine.layers))
            assert held == set(range(8))

    def test_restarted_engine_is_loaded_again(self, world):
        engine = world.engine("e0")
        world.engine("e1")
        world.instance()
        world.wait_for_layers()
        engine.layers = None
        engine.fence = 0
        engine.register(born=2)
        testbed.until(
            lambda: engine.layers is not None, "layers after a restart"
        )


class TestFreshness:
    def test_new_manifest_is_in_force_and_never_reverts(self, world):
        world.service("d1")
        inst = world.instance()
        world.publish(testbed.manifest(5, keys=("key-2",)))
        testbed.until(
            lambda: testbed.call(inst, "/views/x", key="key-2").status == 200,
            "version 5",
        )
        world.publish(testbed.manifest(3))
        assert testbed.call(inst, "/views/x").status == 401
        assert inst.follower.view.version == 5

    def test_one_store_poller_serves_all_instances_of_a_zone(self, world):
        world.service("d1")
        rows = [world.instance(f"i{number}") for number in range(4)]
        for inst in rows:
            testbed.until(
                lambda inst=inst: inst.peers.instance_count == 4, "4 members"
            )
        pollers = [inst for inst in rows if inst._is_store_poller()]
        assert len(pollers) == 1
        # Reads that instances sent before they knew of each other have ended.
        testbed.until(lambda: world.store.waiting <= 1, "one store poller left")
        positions = [inst.follower._position for inst in rows]
        world.publish(testbed.manifest(9))
        for inst, position in zip(rows, positions, strict=True):
            testbed.until(
                lambda inst=inst: inst.follower.view.version == 9, "version 9"
            )
            if inst is not pollers[0]:
                # This instance has got the version without reading the store.
                assert inst.follower._position == position

    def test_catalogue_is_fetched_from_another_peer_if_one_fails(
        self, world, monkeypatch
    ):
        world.service("d1")
        rows = [world.instance(f"i{number}") for number in range(3)]
        asking = rows[0].gossip
        testbed.until(
            lambda: len(rows[0].peers.alive()) == 2, "peers are known"
        )
        asked = []
        fetch = asking.fetch_catalogue

        def fetch_second(peer, timeout_s):
            asked.append(peer.id)
            if len(asked) == 1:
                raise exceptions.PeerError("silent")
            return fetch(peer, timeout_s)

        monkeypatch.setattr(asking, "fetch_catalogue", fetch_second)
        testbed.until(
            lambda: all(p.version >= 1 for p in rows[0].peers.alive()),
            "versions of peers",
        )
        assert b'"version"' in asking.fetch_version(1)
        assert len(set(asked)) == 2

    def test_changes_are_encoded_once_for_all_peers(self, world, monkeypatch):
        for number in range(8):
            world.engine(f"e{number}")
        inst = world.instance()
        world.wait_for_layers()
        counted = []
        responder = peerresponder.PeerResponder(inst.targets, inst.follower)
        since = inst.targets.changes_since

        def count(revision):
            counted.append(revision)
            return since(revision)

        monkeypatch.setattr(inst.targets, "changes_since", count)
        found = set()
        for _ in range(40):
            found.add(responder.packed_changes(-1))
        assert len(counted) <= 2
        _, data = max(found)
        assert len(peermessages.unpack_changes(data).changed) == 8

    def test_long_target_list_is_transferred_without_store_reads(
        self, world, monkeypatch
    ):
        entries = {}
        for number in range(300):
            entries[f"t{number}"] = {
                "service": "other",
                "address": f"10.0.{number // 250}.{number % 250}:8000",
                "zone": "z1",
                "version": number * 7919,
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": 1,
                "born": 1_700_000_000_000 + number,
            }
        for target_id, value in entries.items():
            world.store.put("keyed.servers", target_id, value)
        rows = [world.instance(f"i{number}") for number in range(2)]
        for inst in rows:
            testbed.until(
                lambda inst=inst: inst.peers.instance_count == 2, "2 members"
            )
        poller = next(inst for inst in rows if inst._is_store_poller())
        member = next(inst for inst in rows if inst is not poller)
        testbed.until(lambda: not member._is_store_poller(), "one store poller")

        def fail(timeout_s):
            raise exceptions.LogUnavailableError("the store is unavailable")

        monkeypatch.setattr(
            member.target_follower._source, "list_targets", fail
        )
        # As after a change of the store poller: the member knows no revision of
        # its table and asks for all entries.
        member.target_follower._incarnation = 0
        for target_id, value in entries.items():
            world.store.put(
                "keyed.servers", target_id, {**value, "state": "draining"}
            )
        draining = sources.TargetState.DRAINING
        testbed.until(
            lambda: all(
                row.entry.state is draining
                for row in member.targets.of_service("other")
            ),
            "the member knows that all targets drain",
        )
        assert len(member.targets.of_service("other")) == 300
        assert member.peers.reaches_store

    def test_truncated_log_is_read_from_its_newest_entry(self, world):
        world.service("d1")
        inst = world.instance()
        world.store.forget("keyed.op")
        world.publish(testbed.manifest(7))
        testbed.until(lambda: inst.follower.view.version == 7, "version 7")

    def test_keys_are_refused_once_the_catalogue_is_stale(self, world):
        desk = world.service("d1")
        inst = world.instance(key_ttl_s=1.0)
        world.store.status = 503
        testbed.until(lambda: not inst.is_ready, "not ready")
        ran = len(desk.ran)
        answer = testbed.call(inst, "/views/x")
        assert answer.status == 503
        assert len(desk.ran) == ran
        world.store.status = 0
        testbed.until(lambda: inst.is_ready, "ready again")
        assert testbed.call(inst, "/views/x").status == 200

    def test_draining_target_gets_no_new_calls(self, world):
        rows = [world.service("d1"), world.service("d2")]
        inst = world.instance()
        world.wait_for_targets(*rows)
        rows[0].start_draining()
        testbed.until(
            lambda: inst.targets.get("d1").entry.state.value == "leaving",
            "d1 drains",
        )
        for number in range(8):
            testbed.call(inst, "/views/x", request_id=f"r{number}")
        assert rows[0].ran == []

    def test_unreadable_entries_are_ignored(self, world):
        desk = world.service("d1")
        world.store.put("keyed.servers", "bad-1", b"\xff\x00no json")
        world.store.put("keyed.servers", "bad-2", {"service": "desk"})
        entry = {
            "service": "desk",
            "address": "127.0.0.1:1",
            "zone": "z1",
            "state": "dancing",
        }
        world.store.put("keyed.servers", "bad-3", entry)
        inst = world.instance()
        assert testbed.call(inst, "/views/x").status == 200
        assert inst.targets.get("bad-3") is None
        assert len(desk.ran) == 1


class TestPlannedStop:
    def test_instance_is_not_ready_at_once_but_still_serves(self, world):
        world.service("d1")
        inst = world.instance()
        inst.stop.request()
        assert not inst.is_ready
        assert testbed.call(inst, "/views/x").status == 200

    @pytest.mark.parametrize(
        ("path", "method"), [("/views/x", "GET"), ("/orders/x", "POST")]
    )
    def test_request_taken_during_the_stop_is_sent_with_the_time_that_is_left(
        self, world, path, method
    ):
        desk = world.service("d1")
        inst = world.instance(drain_grace_s=2.0)
        world.wait_for_targets(desk)
        inst.stop.request()
        answer = testbed.call(inst, path, method=method, deadline_ms=3000)
        assert answer.status == 200
        left_ms = int(desk.ran[0].headers["x-deadline-ms"])
        assert left_ms < 2000 - 400
