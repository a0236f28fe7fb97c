"""The checks of the fault soak report what they are made for, and only that."""

import pathlib
import signal
import time

import msgspec
import pytest

from briarfall.standins.prepared import exchangeends
from briarfall.standins.prepared import links
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared.faultsoak import answerdelays
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import changecompare
from briarfall.standins.prepared.faultsoak import cutchecks
from briarfall.standins.prepared.faultsoak import faultsets
from briarfall.standins.prepared.faultsoak import keptchecks
from briarfall.standins.prepared.faultsoak import latechecks
from briarfall.standins.prepared.faultsoak import listchecks
from briarfall.standins.prepared.faultsoak import lostchecks
from briarfall.standins.prepared.faultsoak import lostexceptions
from briarfall.standins.prepared.faultsoak import records
from briarfall.standins.prepared.faultsoak import requestfacts
from briarfall.standins.prepared.faultsoak import soak

# Times of the records; a catalogue is in force from before them on.
START_S = time.monotonic() + 1000.0


@pytest.fixture
def scene(tmp_path: pathlib.Path):
    """A scene whose processes are not started."""
    run = soak.Soak(3, 1.0, tmp_path, 2, (faultsets.FaultSet.CUTS,))
    yield run.scene
    run.scene.close()


def make_outcome(request_id="r1", **extra):
    """Returns a whole request that got status 200 within 0.5 s."""
    row = callers.RequestOutcome(
        request_id, "notes", "stable", START_S, 200, b"", True, "i0"
    )
    row.is_sent = True
    row.ended_s = START_S + 0.5
    for name, value in extra.items():
        setattr(row, name, value)
    return row


def arrive(target, request_id, time_s=START_S, path=""):
    """Records that a request reached a target."""
    target.arrivals.append(
        registeredtarget.Arrival(time_s, request_id, path=path)
    )


class TestLost:
    """Requests without a complete answer."""

    def test_answer_that_ends_early(self, scene):
        assert lostchecks.check(scene, [make_outcome(is_complete=False)])

    def test_no_answer_at_all(self, scene):
        row = make_outcome(status=0, is_complete=False)
        assert lostchecks.check(scene, [row])

    def test_silence_of_its_target_is_no_excuse(self, scene):
        row = make_outcome(is_complete=False)
        arrive(scene.engines[0], row.id)
        scene.records.play("silence", "e0", START_S)
        assert lostchecks.check(scene, [row])

    def test_target_that_broke_off(self, scene):
        row = make_outcome(is_complete=False)
        arrive(scene.engines[0], row.id)
        scene.records.impair("e0", START_S + 0.4, START_S + 0.4)
        assert lostchecks.check(scene, [row]) == []

    def test_later_stage_that_broke_off(self, scene):
        row = make_outcome(is_complete=False)
        stages = [f"{scene.engines[n].address}=0-4" for n in (0, 1)]
        arrive(scene.engines[0], row.id, path=",".join(stages))
        scene.records.impair("e1", START_S + 0.4, START_S + 0.4)
        assert lostchecks.check(scene, [row]) == []

    def test_other_target_that_broke_off(self, scene):
        row = make_outcome(is_complete=False)
        arrive(scene.engines[0], row.id)
        scene.records.impair("e1", START_S + 0.4, START_S + 0.4)
        assert lostchecks.check(scene, [row])

    def test_time_that_was_over(self, scene):
        row = make_outcome(is_complete=False, ended_s=START_S + 10.0)
        assert lostchecks.check(scene, [row]) == []

    def test_instance_that_was_disturbed(self, scene):
        row = make_outcome(is_complete=False)
        scene.records.disturbed.append(
            records.Disturbance("i0", START_S, START_S + 0.1)
        )
        assert lostchecks.check(scene, [row]) == []

    @pytest.mark.parametrize(
        ("cut", "has_arrived", "is_broken"),
        [
            (links.Cut.RESET, True, False),
            (links.Cut.HANG, True, False),
            (links.Cut.RESET, False, True),
            (links.Cut.REFUSE_NEW, True, True),
        ],
    )
    def test_instance_that_was_cut_off(
        self, scene, cut, has_arrived, is_broken
    ):
        row = make_outcome(is_complete=False)
        if has_arrived:
            arrive(scene.engines[0], row.id)
        scene.records.cuts.append(
            records.InstanceCut(
                frozenset(["i0"]), cut, START_S + 0.1, START_S + 3.0
            )
        )
        assert bool(lostchecks.check(scene, [row])) == is_broken

    def make_cut(self, scene, name, start_s):
        scene.records.cuts.append(
            records.InstanceCut(
                frozenset([name]), links.Cut.HANG, start_s, START_S + 3.0
            )
        )

    def test_cut_from_before_the_request_is_no_excuse(self, scene):
        row = make_outcome(is_complete=False)
        arrive(scene.engines[0], row.id)
        self.make_cut(scene, "i0", START_S - 1.0)
        assert lostchecks.check(scene, [row])

    def test_cut_of_the_instance_that_a_cut_one_uses(self, scene):
        row = make_outcome(is_complete=False)
        arrive(scene.engines[0], row.id)
        self.make_cut(scene, "i0", START_S - 1.0)
        self.make_cut(scene, "i1", START_S + 0.2)
        assert lostchecks.check(scene, [row]) == []

    def test_cut_of_another_instance_is_no_excuse(self, scene):
        row = make_outcome(is_complete=False)
        arrive(scene.engines[0], row.id)
        self.make_cut(scene, "i1", START_S + 0.2)
        assert lostchecks.check(scene, [row])


class TestPlannedStop:
    """Requests without a complete answer beside a planned stop."""

    def stop(self, scene, start_s=START_S, end_s=START_S + 9.0):
        scene.records.disturbed.append(
            records.Disturbance("i0", start_s, end_s, is_planned=True)
        )

    def unanswered(self, **extra):
        fields = {
            "status": 0,
            "is_complete": False,
            "opened_s": START_S - 1.0,
            "written_s": START_S + 0.4,
        }
        return make_outcome(**{**fields, **extra})

    def is_lost(self, scene, row):
        return bool(lostchecks.check(scene, [row]))

    def work_on(self, target, request_id, end_s):
        arrive(target, request_id)
        if end_s is None:
            return
        target.exchange_ends.append(exchangeends.ExchangeEnd(end_s, request_id))

    def test_request_that_was_passed_on(self, scene):
        self.stop(scene)
        row = self.unanswered()
        arrive(scene.engines[0], row.id)
        assert self.is_lost(scene, row)

    def test_answer_that_ends_early(self, scene):
        self.stop(scene)
        assert self.is_lost(scene, self.unanswered(status=200))

    def test_request_that_crosses_the_close(self, scene):
        self.stop(scene)
        assert not self.is_lost(scene, self.unanswered())

    def test_close_long_after_the_last_byte(self, scene):
        self.stop(scene)
        row = self.unanswered(written_s=START_S + 0.2)
        assert self.is_lost(scene, row)

    def test_connection_that_is_newer_than_the_stop(self, scene):
        self.stop(scene, START_S - 9.0, START_S - 0.5)
        assert not self.is_lost(scene, self.unanswered())
        row = self.unanswered(opened_s=START_S - 0.4)
        assert self.is_lost(scene, row)

    def test_stop_of_another_instance_is_no_excuse(self, scene):
        self.stop(scene)
        assert self.is_lost(scene, self.unanswered(instance="i1"))

    @pytest.mark.parametrize(
        ("work_end_s", "sent_s", "ended_s", "is_lost"),
        [
            (7.0, 2.9, 7.0, False),
            (None, 2.9, 7.0, False),
            (6.5, 2.9, 7.0, True),
            (7.0, 3.1, 7.0, True),
            (7.0, 2.9, 6.5, True),
        ],
    )
    def test_target_at_work_in_the_last_sixth_of_the_grace(
        self, scene, work_end_s, sent_s, ended_s, is_lost
    ):
        self.stop(scene)
        row = self.unanswered(
            sent_s=START_S + sent_s, ended_s=START_S + ended_s
        )
        end_s = None if work_end_s is None else START_S + work_end_s
        self.work_on(scene.engines[0], row.id, end_s)
        assert self.is_lost(scene, row) == is_lost

    def test_seven_tenths_of_the_time_are_no_excuse_at_a_stop(self, scene):
        self.stop(scene)
        row = self.unanswered(ended_s=START_S + 7.5)
        self.work_on(scene.engines[0], row.id, START_S + 0.1)
        assert lostexceptions.has_used_its_time(
            requestfacts.RequestFacts(scene), row
        )
        assert self.is_lost(scene, row)


class TestKeptConnections:
    """Kept connections that are closed after their request was passed on."""

    def make_rows(self, scene, count=4, **extra):
        fields = {"status": 0, "is_complete": False, "is_kept": True}
        rows = []
        for number in range(count):
            row = make_outcome(f"k{number}", **{**fields, **extra})
            arrive(scene.engines[0], row.id)
            rows.append(row)
        return rows

    @pytest.mark.parametrize(("count", "is_broken"), [(3, False), (4, True)])
    def test_more_than_three(self, scene, count, is_broken):
        rows = self.make_rows(scene, count)
        assert bool(keptchecks.check(scene, rows)) == is_broken

    def test_they_are_counted_over_all_instances(self, scene):
        rows = self.make_rows(scene)
        rows[0].instance = "i1"
        assert keptchecks.check(scene, rows)

    def test_planned_stop_is_no_excuse(self, scene):
        scene.records.disturbed.append(
            records.Disturbance("i0", START_S, START_S + 9.0, is_planned=True)
        )
        assert keptchecks.check(scene, self.make_rows(scene))

    def test_time_limit_is_no_excuse(self, scene):
        rows = self.make_rows(scene, ended_s=START_S + 10.0)
        assert keptchecks.check(scene, rows)

    @pytest.mark.parametrize(
        "extra",
        [
            {"is_kept": False},
            {"status": 200},
            {"has_given_up": True},
            {"is_sent": False},
        ],
    )
    def test_other_ends_do_not_count(self, scene, extra):
        rows = self.make_rows(scene, **extra)
        assert keptchecks.check(scene, rows) == []

    def test_request_that_was_not_passed_on(self, scene):
        rows = self.make_rows(scene)
        scene.engines[0].arrivals.clear()
        assert keptchecks.check(scene, rows) == []

    def test_target_that_is_not_sound(self, scene):
        rows = self.make_rows(scene)
        scene.records.impair("e0", START_S + 0.4, START_S + 0.4)
        assert keptchecks.check(scene, rows) == []

    def test_instance_that_was_paused(self, scene):
        rows = self.make_rows(scene)
        scene.records.disturbed.append(
            records.Disturbance("i0", START_S, START_S + 0.1)
        )
        assert keptchecks.check(scene, rows) == []

    def test_links_that_were_cut(self, scene):
        rows = self.make_rows(scene)
        scene.records.cuts.append(
            records.InstanceCut(
                frozenset(["i0"]), links.Cut.RESET, START_S + 0.1, START_S + 3.0
            )
        )
        assert keptchecks.check(scene, rows) == []


class TestChangeCompare:
    """Cuts beside changes of the catalogue against those at other times."""

    def compare(self, scene, beside, other, **extra):
        """Compares numbers of cut and whole requests."""
        change_s = scene.catalogue.published[0].time_s + 100.0
        scene.catalogue.published.append(
            msgspec.structs.replace(
                scene.catalogue.published[0], time_s=change_s
            )
        )
        rows = []
        for ended_s, (cuts, whole) in [
            (change_s + 2.9, beside),
            (change_s + 3.1, other),
        ]:
            for number in range(cuts + whole):
                fields = {
                    "sent_s": ended_s - 0.5,
                    "ended_s": ended_s,
                    "is_complete": number >= cuts,
                    **extra,
                }
                rows.append(make_outcome(f"{ended_s}-{number}", **fields))
        return changecompare.compare(scene, rows)[0]

    @pytest.mark.parametrize(
        ("beside", "is_over"), [((6, 94), False), ((7, 93), True)]
    )
    def test_three_times_as_often_is_the_bound(self, scene, beside, is_over):
        row = self.compare(scene, beside, (4, 196))
        assert (row.ratio > changecompare.MAX_RATIO) == is_over
        assert ("over 3 times" in row.text) == is_over

    def test_cuts_beside_changes_only(self, scene):
        assert "over 3 times" in self.compare(scene, (1, 99), (0, 100)).text

    def test_no_cuts_and_no_requests(self, scene):
        assert self.compare(scene, (0, 0), (0, 0)).ratio == 0.0

    def test_seven_tenths_of_the_time_are_used(self, scene):
        row = self.compare(scene, (5, 95), (0, 100), sent_s=0.0)
        assert (row.beside.cuts, row.beside.all_cuts) == (0, 5)

    def test_excused_cuts_are_told_apart(self, scene):
        scene.records.disturbed.append(
            records.Disturbance("i0", 0.0, START_S * 2)
        )
        row = self.compare(scene, (5, 95), (1, 99))
        assert (row.beside.cuts, row.beside.all_cuts) == (0, 5)
        assert (row.other.cuts, row.other.all_cuts) == (0, 1)

    def test_cuts_of_another_instance(self, scene):
        row = self.compare(scene, (5, 95), (0, 100), instance="i1")
        assert row.beside.requests == 0


class TestAnswerDelays:
    """Answers that arrive late after the end of their exchange."""

    @pytest.mark.parametrize(("delay_s", "late"), [(0.1, 0), (0.3, 1)])
    def test_late_answers(self, scene, delay_s, late):
        row = make_outcome()
        scene.engines[0].exchange_ends.append(
            exchangeends.ExchangeEnd(row.ended_s - delay_s, row.id)
        )
        assert answerdelays.count(scene, [row]) == (late, 1)

    def test_answers_of_a_paused_instance_are_not_judged(self, scene):
        row = make_outcome()
        scene.engines[0].exchange_ends.append(
            exchangeends.ExchangeEnd(row.sent_s, row.id)
        )
        scene.records.disturbed.append(
            records.Disturbance("i0", START_S, START_S + 0.1)
        )
        assert answerdelays.count(scene, [row]) == (0, 0)


class TestRecover:
    """Callers of instances that have no links to targets."""

    def check(
        self,
        failed,
        served,
        *,
        others_served=50,
        cut_s=5.0,
        stops=(),
        at_s=3.5,
        more=(),
    ):
        """Checks a cut of i0.

        Args:
            failed: Requests of i0 that failed.
            served: Requests of i0 that were served.
            others_served: Requests of i1 that were served at 3.5 s.
            cut_s: Duration of the cut.
            stops: Name, start and end of planned stops.
            at_s: When the requests of i0 were sent.
            more: Further requests.
        """
        done = records.Records()
        for name, start_s, end_s in stops:
            done.disturbed.append(
                records.Disturbance(
                    name, START_S + start_s, START_S + end_s, is_planned=True
                )
            )
        done.cuts.append(
            records.InstanceCut(
                frozenset(["i0"]), links.Cut.HANG, START_S, START_S + cut_s
            )
        )
        sent_s = START_S + at_s
        rows = list(more)
        for number in range(failed + served):
            status = 503 if number < failed else 200
            rows.append(
                make_outcome(status=status, sent_s=sent_s, ended_s=sent_s)
            )
        sent_s = START_S + 3.5
        for _ in range(others_served):
            rows.append(
                make_outcome(instance="i1", sent_s=sent_s, ended_s=sent_s)
            )
        return cutchecks.check(done, rows)

    def test_nobody_is_served(self):
        assert self.check(failed=20, served=0)

    def test_two_thirds_are_served(self):
        assert self.check(failed=20, served=40) == []

    def test_few_failures_are_allowed(self):
        assert self.check(failed=11, served=0) == []
        assert self.check(failed=12, served=0)

    def test_cut_that_is_over(self):
        assert self.check(failed=20, served=0, cut_s=3.2) == []

    def test_only_instance_with_links_stops(self):
        stops = [("i1", 4.0, 8.0)]
        assert self.check(20, 0, stops=stops, at_s=4.5) == []
        assert self.check(20, 0, stops=stops, at_s=3.9)

    def test_requests_at_no_instance_are_none_of_a_peer(self):
        stops = [("i1", 4.0, 8.0)]
        nowhere = [make_outcome(instance="", sent_s=START_S + 4.5)]
        assert self.check(20, 0, stops=stops, at_s=4.5, more=nowhere) == []
        assert self.check(20, 0, more=nowhere)

    def test_requests_at_no_instance_are_none_of_others(self):
        sent_s = START_S + 3.5
        nowhere = []
        for _ in range(150):
            nowhere.append(
                make_outcome(
                    instance="", status=0, sent_s=sent_s, ended_s=sent_s
                )
            )
        assert self.check(30, 10, more=nowhere)

    def test_stop_of_another_cut_instance_is_no_excuse(self):
        assert self.check(20, 0, stops=[("i2", 4.0, 8.0)], at_s=4.5)

    def test_no_other_instance(self):
        assert self.check(failed=20, served=0, others_served=0) == []


class TestLate:
    """Requests without an answer after their time."""

    @pytest.mark.parametrize(("took_s", "is_broken"), [(10.4, 0), (10.6, 1)])
    def test_answers_after_the_timeout(self, scene, took_s, is_broken):
        rows = [make_outcome(ended_s=START_S + took_s) for _ in range(8)]
        assert len(latechecks.check(scene, rows)) == is_broken


class TestListOfTargets:
    """Targets that join and leave, and routes."""

    def make_member(self, scene, stay_s=6.0):
        target = scene.add_service("n1", "desk", "z0")
        scene.records.memberships.append(
            records.Membership(target, START_S, START_S + stay_s)
        )
        return target

    def run_on(self, target, request_id):
        req = rawhttp.RawRequest("GET", "/", {"x-request-id": request_id}, b"")
        target.record_run(req)

    def make_served(self, target, count, sent_s):
        rows = []
        for number in range(count):
            row = make_outcome(
                f"r{number}", kind="views", sent_s=sent_s, ended_s=sent_s
            )
            self.run_on(target, row.id)
            rows.append(row)
        return rows

    def test_new_target_gets_nothing(self, scene):
        self.make_member(scene)
        rows = self.make_served(scene.plain_services[0], 60, START_S + 4)
        assert listchecks.check(scene, rows)

    def test_new_target_gets_requests(self, scene):
        target = self.make_member(scene)
        rows = self.make_served(scene.plain_services[0], 60, START_S + 4)
        arrive(target, rows[0].id, START_S + 4)
        assert listchecks.check(scene, rows) == []

    def test_instances_of_other_zones_may_prefer_their_own(self, scene):
        self.make_member(scene)
        rows = self.make_served(scene.plain_services[0], 60, START_S + 4)
        for row in rows:
            row.instance = "i1"
        assert listchecks.check(scene, rows) == []

    def test_target_that_left_gets_requests(self, scene):
        target = self.make_member(scene)
        rows = self.make_served(target, 1, START_S + 9.5)
        arrive(target, rows[0].id, START_S + 9.5)
        assert listchecks.check(scene, rows)

    def test_store_fault_excuses_it(self, scene):
        target = self.make_member(scene)
        rows = self.make_served(target, 1, START_S + 9.5)
        arrive(target, rows[0].id, START_S + 9.5)
        scene.records.store_faults.append((START_S + 7, START_S + 8))
        assert listchecks.check(scene, rows) == []

    def test_request_that_runs_at_a_service_without_its_route(self, scene):
        rows = self.make_served(scene.plain_services[-1], 1, START_S)
        assert scene.plain_services[-1].service == "other"
        assert listchecks.check(scene, rows)


class TestOwnEnds:
    """Processes that end by themselves."""

    @pytest.fixture
    def row(self, scene):
        row = scene.instances[0]
        row.start()
        yield row
        row.close()

    def test_process_that_ended_by_itself(self, row):
        row._process.terminate()
        row._process.wait()
        row.start()
        assert len(row.own_ends) == 1

    def test_process_that_was_stopped(self, row):
        row.signal(signal.SIGKILL)
        row.wait()
        row.start()
        assert row.own_ends == []
