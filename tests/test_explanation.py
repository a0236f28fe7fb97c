"""`briarfall explain` names the cause of failed requests."""

import copy
import logging
import pathlib

import pytest

from briarfall import exceptions
from briarfall import logs
from briarfall.cli import explanation
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

# Targets are drawn at random; so many orders never miss one of two.
_ORDERS = 30


class _Recorder(logging.Handler):
    """Records log lines in the format that an instance writes."""

    def __init__(self):
        super().__init__()
        self.setFormatter(logs.JsonFormatter("i1"))
        self.lines = []

    def emit(self, record):
        self.lines.append(self.format(record))


@pytest.fixture
def recorded(tmp_path):
    recorder = _Recorder()
    logger = logging.getLogger("absl")
    level = logger.level
    logger.addHandler(recorder)
    logger.setLevel(logging.INFO)
    with testbed.world() as scene:

        def path():
            file = tmp_path / "i1.log"
            file.write_text("\n".join(recorder.lines))
            return str(file)

        yield scene, path
    logger.removeHandler(recorder)
    logger.setLevel(level)


class TestExplain:
    def test_refused_for_lack_of_room(self, recorded, capsys):
        scene, path = recorded
        narrow = copy.deepcopy(testbed.manifest(2))
        for service in narrow["services"]:
            if "engine" in service:
                service["engine"]["act_bytes"] = 1e6
                service["engine"]["pipe_mbps"] = 1.0
        scene.publish(narrow)
        scene.engine("a", zone="z1")
        scene.engine("b", zone="z2")
        inst = scene.instance()
        scene.wait_for_layers()
        testbed.call(inst, "/drafts/x", method="POST", request_id="abc1")
        assert explanation.explain("abc1", path()) == 0
        lines = capsys.readouterr().out.splitlines()
        refused = [line for line in lines if "room refused" in line]
        assert len(refused) == 1
        assert "room=link" in refused[0]
        assert "let_in_by=more link, its class gets" in refused[0]
        assert lines[-1].startswith("cause: i1: request failed")

    def test_refused_before_it_ran(self, recorded, capsys):
        scene, path = recorded
        target = scene.service("d1")
        target.fault = registeredtarget.Fault.REFUSE
        inst = scene.instance()
        testbed.call(inst, "/orders/x", method="POST", request_id="abc1")
        assert explanation.explain("abc1", path()) == 0
        last = capsys.readouterr().out.splitlines()[-1]
        assert last.startswith("cause: i1: request failed")
        assert "outcome=not_run" in last

    def test_lines_of_an_order_name_its_targets_and_why_it_went_on(
        self, recorded, capsys
    ):
        scene, path = recorded
        targets = [scene.service(f"d{number}") for number in range(2)]
        targets[0].fault = registeredtarget.Fault.REFUSE
        inst = scene.instance()
        scene.wait_for_targets(*targets)
        for number in range(_ORDERS):
            order = f"/orders/{number}"
            testbed.call(inst, order, method="POST", request_id=f"abc{number}")
        # A line is written after its response.
        testbed.until(
            lambda: (
                pathlib.Path(path()).read_text().count("targets=") == _ORDERS
            ),
            "all orders are logged",
        )
        refused = 0
        for number in range(_ORDERS):
            assert explanation.explain(f"abc{number}", path()) == 0
            out = capsys.readouterr().out
            assert "fingerprint=" in out
            if "targets=d0,d1" in out:
                assert "target=d0 status=503 not_run=True" in out
                refused += 1
        assert refused

    def test_failure_of_the_target_itself(self, recorded, capsys):
        scene, path = recorded
        target = scene.service("d1")
        target.fault = registeredtarget.Fault.FAIL
        inst = scene.instance()
        testbed.call(inst, "/orders/x", method="POST", request_id="abc5")
        # The log line is written after the response is sent.
        testbed.until(
            lambda: (
                "request done request=abc5" in pathlib.Path(path()).read_text()
            ),
            "the last line",
        )
        assert explanation.explain("abc5", path()) == 0
        last = capsys.readouterr().out.splitlines()[-1]
        assert last.startswith("cause: i1: its target itself answered 500")

    def test_broken_in_mid_stream(self, recorded, capsys):
        scene, path = recorded
        for number in range(4):
            engine = scene.engine(f"e{number}")
            engine.reset_after_event = 3
        inst = scene.instance()
        scene.wait_for_layers()
        testbed.call(
            inst,
            "/drafts/x",
            method="POST",
            request_id="abc2",
            X_Token_Usage="20,20",
        )
        explanation.explain("abc2", path())
        out = capsys.readouterr().out
        assert "stream broken" in out
        assert "last_event=3" in out

    def test_poison_request_with_the_crashes_under_its_other_ids(
        self, recorded, capsys
    ):
        scene, path = recorded
        target = scene.service("d1")
        target.fault = registeredtarget.Fault.CRASH_AND_RESTART
        inst = scene.instance()
        scene.wait_for_targets(target)
        for number in range(4):
            incarnation = inst.targets.get("d1").entry.started_ms
            testbed.call(
                inst, "/orders/x", method="POST", request_id=f"abc{number}"
            )
            if number == 3:
                break
            testbed.until(
                lambda incarnation=incarnation: (
                    inst.targets.get("d1").entry.started_ms > incarnation
                ),
                "the next incarnation is known",
            )
        assert target.incarnation == inst.targets.get("d1").entry.started_ms
        explanation.explain("abc3", path())
        out = capsys.readouterr().out
        assert out.count("target crashed") == 3
        assert "cause: i1: request failed request=abc3 code=poison" in out

    def test_unknown_outcome(self, recorded, capsys):
        scene, path = recorded
        target = scene.service("d1")
        target.fault = registeredtarget.Fault.RESET_AFTER_RUN
        inst = scene.instance()
        testbed.call(inst, "/orders/x", method="POST", request_id="abc3")
        explanation.explain("abc3", path())
        last = capsys.readouterr().out.splitlines()[-1]
        assert "outcome=unknown" in last

    def test_unknown_request_is_a_typed_error(self, tmp_path):
        file = tmp_path / "empty.log"
        file.write_text("no json\n{broken\n")
        with pytest.raises(exceptions.NotFoundError):
            explanation.explain("abc4", str(file))
