"""Streams whose engine is silent while its entry changes."""

import threading

from briarfall.gateway.forwarding import rerouting
from briarfall.standins.prepared import rawcaller
from briarfall.standins.prepared import testbed


class TestSilentStream:
    def test_stream_outlives_the_end_of_its_engines_entry(
        self, world, monkeypatch
    ):
        checked = threading.Event()
        reroute = rerouting.StreamRerouter.reroute

        def record(self, stream, run):
            try:
                reroute(self, stream, run)
            finally:
                if self._targets.get(run.chain.head.target) is None:
                    checked.set()

        monkeypatch.setattr(rerouting.StreamRerouter, "reroute", record)
        engine = world.engine("e1", kind="large")
        engine.events = 8
        engine.on_event[3] = threading.Event()
        engine.resume_events[3] = threading.Event()
        inst = world.instance()
        world.wait_for_layers()
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(
            rawcaller.request(
                "/drafts/x", method="POST", headers={"X-Deadline-Ms": "20000"}
            )
        )
        assert engine.on_event[3].wait(testbed.WAIT_S)
        engine.remove()
        testbed.until(lambda: inst.targets.get("e1") is None, "e1 is gone")
        assert checked.wait(testbed.WAIT_S)
        engine.resume_events[3].set()
        answer = caller.read(b"POST")
        caller.close()
        assert answer.ending is rawcaller.Ending.COMPLETE
        assert testbed.event_ids(answer.body) == list(range(1, 9))
