"""Decisions about links to targets and about peers, without a network."""

import errno
import random

import pytest

from briarfall import ids
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.exchanges import messages
from briarfall.gateway.peers import peers
from briarfall.gateway.peers import relaypeers
from briarfall.gateway.targets import reachability
from briarfall.gateway.targets import targetstate
from tests import test_gateway_decisions as decisions

FAULT = targetstate.LinkFault


def row(name, *, fault=None, since_s=0.0, reached_s=0.0):
    target = decisions.target(name)
    target.link_fault = fault
    target.link_fault_since_s = since_s
    target.reached_s = reached_s
    return target


class TestFaults:
    @pytest.mark.parametrize(
        ("exc", "fault"),
        [
            (ConnectionRefusedError(), FAULT.REFUSED),
            (ConnectionResetError(), FAULT.RESET),
            (TimeoutError(), FAULT.TIMEOUT),
            (OSError(errno.ENETUNREACH, "unreachable"), FAULT.TIMEOUT),
            (OSError(errno.EMFILE, "too many files"), None),
            (ValueError("no port"), None),
            (None, None),
        ],
    )
    def test_only_errors_of_a_link_count(self, exc, fault):
        assert reachability.fault_of(exc) is fault

    def test_resets_of_a_target_that_answers_are_its_limit(self):
        target = row("a")
        target.answered_s = 100.0
        at_limit = reachability.is_at_connection_limit
        assert at_limit(target, FAULT.RESET, 100.5)
        assert not at_limit(target, FAULT.RESET, 101.5)
        assert not at_limit(target, FAULT.TIMEOUT, 100.5)


class TestCutOff:
    def test_holds_only_if_no_target_is_reached(self):
        cut = [row("a", fault=FAULT.TIMEOUT), row("b", fault=FAULT.RESET)]
        assert reachability.is_cut_off(cut)
        assert not reachability.is_cut_off([*cut, row("c")])
        assert not reachability.is_cut_off([])


class TestOwnFault:
    def test_first_failure_may_be_the_links(self):
        failed = row("a", fault=FAULT.TIMEOUT, since_s=10.0)
        others = [row(name, reached_s=9.0) for name in "bcd"]
        assert reachability.is_own_fault(failed, [failed, *others])

    def test_failure_is_the_targets_once_another_one_is_reached(self):
        failed = row("a", fault=FAULT.TIMEOUT, since_s=10.0)
        others = [row("b", reached_s=10.1), row("c"), row("d")]
        assert not reachability.is_own_fault(failed, [failed, *others])

    def test_failures_of_most_targets_are_the_links(self):
        faulty = [
            row(name, fault=FAULT.TIMEOUT, since_s=10.0) for name in "abc"
        ]
        rows = [*faulty, row("d", reached_s=11.0)]
        for failed in faulty:
            assert reachability.is_own_fault(failed, rows)

    def test_failure_without_a_failed_connect_is_the_targets(self):
        rows = [row(name) for name in "abc"]
        assert not reachability.is_own_fault(rows[0], rows)


class TestProbes:
    def due(self, by_service, now_s=20.0):
        found = reachability.probes_due(by_service, now_s, random.Random(1))
        return sorted(target.id for target in found)

    def test_none_while_all_links_are_sound(self):
        assert self.due({"desk": [row("a"), row("b")]}) == []

    def test_one_failed_target_is_compared_with_others_until_one_is_reached(
        self,
    ):
        failed = row("a", fault=FAULT.TIMEOUT, since_s=20.0)
        failed.next_probe_s = 20.25
        others = [row("b", reached_s=19.0), row("c", reached_s=19.0)]
        assert self.due({"desk": [failed, *others]}) == ["b", "c"]
        others[0].reached_s = 20.1
        assert self.due({"desk": [failed, *others]}) == []

    def test_one_target_of_each_other_service_is_probed_in_a_cut(self):
        cut = row("a", fault=FAULT.TIMEOUT, since_s=20.0)
        cut.next_probe_s = 21.0
        others = [row("x", reached_s=19.0), row("y", reached_s=19.0)]
        found = self.due({"desk": [cut], "other": others})
        assert len(found) == 1
        others[0].reached_s = 20.5
        assert self.due({"desk": [cut], "other": others}) == []

    def test_few_are_started_together(self):
        rows = [row(f"t{n}", fault=FAULT.TIMEOUT) for n in range(40)]
        assert len(self.due({"desk": rows})) == 4

    def test_pauses_grow_with_the_length_of_the_fault(self):
        target = row("a", fault=FAULT.TIMEOUT, since_s=10.0)
        pauses = []
        for now_s in (10.0, 10.5, 30.0):
            pauses.append(reachability.next_probe_s(target, now_s) - now_s)
        assert pauses == [0.25, 0.5, 1.0]


class TestChoiceOfPeers:
    def table(self, clock, **zones):
        table = peers.PeerTable(ids.InstanceId("own"), ids.ZoneId("z1"))
        for name, zone in zones.items():
            peer = table.add(
                decisions.sources.InstanceRecord(
                    ids.InstanceId(name), "127.0.0.1:1", ids.ZoneId(zone), 1.0
                )
            )
            peer.heard_s = clock.now_s
            peer.accepts_relays = True
        return table

    def choice(self, table):
        return relaypeers.RelayPeers(table, ids.ZoneId("z1"), random.Random(1))

    def test_cut_and_starting_peers_are_left_out(self, clock):
        table = self.table(clock, a="z1", b="z1", c="z1")
        rows = {peer.id: peer for peer in table.all()}
        rows["a"].cut_services = frozenset(["desk"])
        rows["b"].accepts_relays = False
        choice = self.choice(table)
        assert choice.choose("desk", set()).id == "c"
        assert choice.choose("desk", {"c"}) is None
        assert choice.choose("other", {"c"}).id == "a"

    def test_peers_of_the_zone_come_first_until_they_have_more(self, clock):
        choice = self.choice(self.table(clock, near="z1", far="z2"))
        chosen = []
        for _ in range(12):
            peer = choice.choose("desk", set())
            choice.start(peer)
            chosen.append(peer.id)
        assert chosen[:3] == ["near"] * 3
        assert 3 <= chosen.count("far") <= 6

    def test_load_is_spread_evenly_within_a_zone(self, clock):
        choice = self.choice(self.table(clock, a="z1", b="z1", c="z1"))
        chosen = []
        for _ in range(30):
            peer = choice.choose("desk", set())
            choice.start(peer)
            chosen.append(peer.id)
        assert {chosen.count(name) for name in "abc"} <= {9, 10, 11}

    def test_peer_that_declined_is_not_asked_again_at_once(self, clock):
        choice = self.choice(self.table(clock, a="z1"))
        choice.record_declined(choice.choose("desk", set()), "desk")
        assert choice.choose("desk", set()) is None
        assert choice.choose("other", set()).id == "a"
        clock.now_s += 0.6
        assert choice.choose("desk", set()).id == "a"


class TestPrivateHeaders:
    def test_are_removed_whatever_their_spelling(self):
        headers = [
            (b"Host", b"a"),
            (b"Briarfall-Relay", b"{}"),
            (b"BRIARFALL-RELAY-SENDS", b"3"),
        ]
        assert relaymessages.without_private(headers) == [(b"Host", b"a")]

    def test_of_targets_and_callers_are_not_passed_on(self):
        headers = [(b"Briarfall-Relay", b"{}"), (b"Age", b"1")]
        assert messages.end_to_end(headers) == [(b"Age", b"1")]

    @pytest.mark.parametrize(
        "value", [b"", b"[]", b"{}", b"\xff", b"[" * 100_000, b'{"runs":"x"}']
    )
    def test_odd_values_raise_a_typed_error(self, value):
        with pytest.raises(relaymessages.exceptions.PeerError):
            relaymessages.decode_request([(b"briarfall-relay", value)])
