"""Relays beside an earlier release, which does not tell the kind of a route."""

import json

import pytest

from briarfall.gateway.calls import relaymessages
from briarfall.gateway.peers import relaypeers
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_secondruns as secondruns


def _leave_out_field(monkeypatch, kind, **changes):
    """Makes private headers of a kind those of an earlier release."""
    encode = relaymessages.header_of

    def header_of(state):
        name, value = encode(state)
        if not isinstance(state, kind):
            return name, value
        fields = json.loads(value)
        del fields["is_single_run"]
        fields.update(changes)
        return name, json.dumps(fields).encode()

    monkeypatch.setattr(relaymessages, "header_of", header_of)


class TestEarlierRelease:
    """It does not tell by which kind of route it judges a request."""

    # Guards against repeats of an order that only the new peer's view allows.
    def test_order_that_it_relays_runs_once(self, world, monkeypatch):
        scene = secondruns.Scene(world)
        scene.change(
            scene.peer, monkeypatch, secondruns.routes(orders="idempotent")
        )
        _leave_out_field(monkeypatch, relaymessages.RelayedRequest, max_runs=3)
        for row in scene.desks:
            row.fault = registeredtarget.Fault.RESET_AFTER_RUN
        secondruns.send_order(scene.cut)
        secondruns.wait_until_idle(scene.cut)
        assert secondruns.runs(scene.desks) == 1

    # Guards against a second peer that runs what the first may have run.
    @pytest.mark.parametrize("is_second_lenient", [False, True])
    def test_order_that_failed_at_it_is_not_relayed_again(
        self, world, monkeypatch, is_second_lenient
    ):
        scene = secondruns.Scene(world, orders="idempotent", resumable=True)
        third = world.instance("i2")
        world.wait_for_targets(*scene.desks)
        world.wait_for_layers()
        testbed.until(
            lambda: len(scene.cut.peers.uncut("desk")) == 2, "both peers"
        )
        keeps_view = [scene.cut, third] if is_second_lenient else [scene.cut]
        views = [inst.follower.view for inst in keeps_view]
        world.publish(testbed.manifest(3, routes=secondruns.routes()))
        secondruns.wait_for_version(3, *world.instances)
        for inst, view in zip(keeps_view, views, strict=True):
            monkeypatch.setattr(inst.follower, "apply", lambda *_: None)
            inst.follower.view = view
        _leave_out_field(monkeypatch, relaymessages.RelayedResponse)
        # The strict peer is asked first.
        choose = relaypeers.RelayPeers.choose

        def choose_strict(choice, service, excluded, *args):
            if "i1" not in excluded:
                excluded = {*excluded, "i2"}
            return choose(choice, service, excluded, *args)

        monkeypatch.setattr(relaypeers.RelayPeers, "choose", choose_strict)
        for row in scene.desks:
            row.fault = registeredtarget.Fault.RESET_AFTER_RUN
        secondruns.send_order(scene.cut)
        secondruns.wait_until_idle(scene.cut)
        assert secondruns.runs(scene.desks) == 1
