"""Plays load on many instances that decide by each other's statuses.

Time is simulated, and nothing is sent: each instance gets the rows of the
others at the interval of statuses.
"""

import collections
import heapq
import random

import msgspec
import pytest

from briarfall import ids
from briarfall.bench import placements
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.scheduling import accountshares
from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import demands
from briarfall.gateway.scheduling import kvreserve

# Room for some 280 requests a second, so that 60 instances get 10 a second each
# at the peak. With few requests, chance outweighs what is decided.
_ROOM_MBPS = 200_000.0
# Share of the link that is used.
_LINK_SHARE = 0.8
MODEL = msgspec.structs.replace(
    placements.layout(), inter_zone_mbps=_ROOM_MBPS / _LINK_SHARE
)
MEAN_TOKENS = MODEL.mean_prompt_tokens + MODEL.mean_answer_tokens
_REPORT_INTERVAL_S = 1.0
_STEP_S = 0.05
# Urgency and tokens, as a multiple of the mean, of each kind of request, with
# its part of the demand in work.
_KINDS = {
    (0, 0.3): 0.05,
    (0, 1.0): 0.15,
    (4, 1.0): 0.2,
    (4, 3.0): 0.2,
    (8, 0.3): 0.1,
    (8, 1.0): 0.3,
}
# What is let in within two seconds is above the room by this share at most, so
# that it is never more than the link carries.
_MAX_ERROR = 1 / _LINK_SHARE - 1


class _Instance:
    """One instance that decides about the link."""

    def __init__(self, fleet, number, *, is_old=False):
        self.name = ids.InstanceId(f"i{number}")
        self.is_old = is_old
        self.is_cut_off = False
        self.table = demands.DemandTable(fleet.now)
        self.accounts = accountshares.AccountShares(fleet.now)
        if is_old:
            # An earlier release takes all demand as one class.
            self.link = linkadmission.LinkAdmission(
                lambda: sum(self.table.link_mbps().values()), fleet.now
            )
        else:
            self.link = linkadmission.LinkAdmission(
                lambda: 0.0, fleet.now, self.table.link_mbps, fleet.rng
            )

    def rows(self):
        if self.is_old:
            return []
        return demands.to_rows(self.link.demand_by_class, {})


class _Fleet:
    """Instances, and what they let in."""

    def __init__(self, count, seed=1):
        self.now_s = 1000.0
        self.rng = random.Random(seed)
        self.instances = [_Instance(self, number) for number in range(count)]
        self.asked = collections.Counter()
        self.served = collections.Counter()
        # Megabits that were let in, by step.
        self.let_in = []
        self._reported_s = 0.0

    def now(self):
        return self.now_s

    def report(self):
        self._reported_s = self.now_s
        reports = []
        for inst in self.instances:
            if not inst.is_cut_off:
                row = (inst.name, inst.rows(), inst.link.demand_mbps)
                reports.append(row)
        for inst in self.instances:
            if inst.is_cut_off:
                continue
            for name, rows, mbps in reports:
                if name != inst.name:
                    inst.table.merge(name, rows, mbps)

    def play(self, seconds, load_at, kinds=None, count_from_s=0.0):
        """Plays Poisson arrivals; `load_at` is a multiple of the room."""
        start_s = self.now_s
        while self.now_s < start_s + seconds:
            self.now_s += _STEP_S
            if self.now_s >= self._reported_s + _REPORT_INTERVAL_S:
                self.report()
            passed_s = self.now_s - start_s
            counts = passed_s >= count_from_s
            step_mb = 0.0
            for kind, part in (kinds or _KINDS).items():
                mb = linkadmission.megabits(MODEL, 1, kind[1] * MEAN_TOKENS)
                mean = load_at(passed_s) * part * _ROOM_MBPS * _STEP_S / mb
                for _ in range(_poisson(self.rng, mean)):
                    if self._ask(kind, counts):
                        step_mb += mb
            self.let_in.append(step_mb)

    def _ask(self, kind, counts):
        inst = self.rng.choice(self.instances)
        urgency, size, *account = kind
        tokens = size * MEAN_TOKENS
        is_excess = bool(account) and inst.accounts.record(account[0], tokens)
        cls = classes.class_of(
            urgency, tokens, MEAN_TOKENS, is_excess=is_excess
        )
        if inst.is_old:
            cls = classes.DEFAULT_CLASS
        is_admitted = inst.link.admit(MODEL, 1, tokens, cls)
        if counts:
            self.asked[kind] += 1
            self.served[kind] += is_admitted
        return is_admitted

    def share(self, *kinds):
        kinds = kinds or list(self.asked)
        asked = sum(self.asked[kind] for kind in kinds)
        return sum(self.served[kind] for kind in kinds) / asked

    def share_of_urgency(self, urgency):
        return self.share(*[kind for kind in self.asked if kind[0] == urgency])

    def most_let_in(self, window_s=2.0):
        """Returns the most that any window let in, as a multiple of room."""
        steps = int(window_s / _STEP_S)
        most = 0.0
        for first in range(len(self.let_in) - steps):
            most = max(most, sum(self.let_in[first : first + steps]))
        return most / (_ROOM_MBPS * window_s)


def _poisson(rng, mean):
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def _wave(peak, seconds):
    """A load that rises from half of the room to a peak and falls again."""

    def load_at(passed_s):
        height = 1 - abs(2 * passed_s / seconds - 1)
        return 0.5 + (peak - 0.5) * height

    return load_at


class TestWave:
    """A wave that peaks at twice the room."""

    def test_the_most_urgent_keep_theirs_and_nobody_starves(self):
        fleet = _Fleet(60)
        fleet.play(30.0, _wave(2.0, 30.0))
        assert fleet.share_of_urgency(0) > 0.97
        assert fleet.share_of_urgency(0) >= fleet.share_of_urgency(4)
        assert fleet.share_of_urgency(4) > fleet.share_of_urgency(8)
        for kind in _KINDS:
            assert fleet.share(kind) > fleet.share() / 3, kind

    def test_large_requests_of_an_urgency_keep_a_share(self):
        fleet = _Fleet(60)
        fleet.play(20.0, lambda _: 2.0, count_from_s=2.0)
        whole = fleet.share_of_urgency(4)
        assert fleet.share((4, 3.0)) >= 0.6 * whole
        assert fleet.share((4, 1.0)) >= fleet.share((4, 3.0))

    def test_all_are_served_while_there_is_room(self):
        fleet = _Fleet(60)
        fleet.play(10.0, lambda _: 0.8)
        assert fleet.share() == 1.0

    def test_one_class_is_admitted_as_without_classes(self):
        only = {(5, 1.0): 1.0}
        by_class = _Fleet(60, seed=3)
        by_class.play(20.0, lambda _: 2.0, only, count_from_s=2.0)
        assert by_class.share() == pytest.approx(0.5, abs=0.03)


class TestDecisionsByOldStatuses:
    """What 60 instances let in together, by statuses that are 1 s old."""

    def test_lasting_peak_stays_within_the_room(self):
        fleet = _Fleet(60)
        fleet.report()
        fleet.play(4.0, lambda _: 2.0)
        fleet.let_in.clear()
        fleet.play(20.0, lambda _: 2.0)
        assert fleet.most_let_in() <= 1 + _MAX_ERROR
        assert sum(fleet.let_in) > 0.9 * _ROOM_MBPS * 20.0

    def test_instances_that_are_cut_off_keep_to_their_share(self):
        fleet = _Fleet(60)
        fleet.play(5.0, lambda _: 2.0)
        for inst in fleet.instances[:6]:
            inst.is_cut_off = True
        fleet.let_in.clear()
        fleet.play(10.0, lambda _: 2.0)
        assert fleet.most_let_in() <= 1 + _MAX_ERROR

    def test_new_instances_let_in_little_more(self):
        fleet = _Fleet(60)
        fleet.play(5.0, lambda _: 2.0)
        fleet.instances[:6] = [
            _Instance(fleet, number) for number in range(100, 106)
        ]
        fleet.let_in.clear()
        fleet.play(10.0, lambda _: 2.0)
        assert fleet.most_let_in() <= 1 + _MAX_ERROR

    def test_earlier_release_beside_keeps_the_room(self):
        fleet = _Fleet(60)
        for number in range(30):
            fleet.instances[number] = _Instance(fleet, number, is_old=True)
        fleet.play(5.0, lambda _: 2.0)
        fleet.let_in.clear()
        fleet.play(20.0, lambda _: 2.0)
        assert fleet.most_let_in() <= 1 + _MAX_ERROR
        for kind in _KINDS:
            assert fleet.share(kind) > fleet.share() / 3, kind


class TestAccounts:
    def test_account_with_ten_times_the_requests_pushes_nobody_out(self):
        kinds = {(5, 1.0, "many"): 10 / 14}
        for name in ("a", "b", "c", "d"):
            kinds[5, 1.0, name] = 1 / 14
        fleet = _Fleet(10)
        fleet.play(20.0, lambda _: 2.0, kinds, count_from_s=3.0)
        many = fleet.share((5, 1.0, "many"))
        for name in ("a", "b", "c", "d"):
            assert fleet.share((5, 1.0, name)) > many
        assert many > fleet.share() / 3


# Part of the requests that are urgent.
_URGENT_PART = 0.3


class _Pool:
    """KV caches of all engines as one, with requests that hold room."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.capacity = 400.0
        self.used = 0.0
        self.ends = []
        self.asked = collections.Counter()
        self.served = collections.Counter()
        self.reserve = kvreserve.KvReserve(clock=lambda: self.now_s)

    def play(self, seconds, per_s, *, reserves):
        """Plays arrivals of urgency 0 and 8; each holds a unit for 1 to 7 s."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += self.rng.expovariate(per_s)
            while self.ends and self.ends[0] <= self.now_s:
                heapq.heappop(self.ends)
                self.used -= 1
            urgency = 0 if self.rng.random() < _URGENT_PART else 8
            self._ask(urgency, reserves)

    def _ask(self, urgency, reserves):
        cls = classes.DemandClass(urgency, classes.Band.USUAL)
        self.reserve.record(cls, 1.0)
        fill = (self.used + 1) / self.capacity
        bound = self.reserve.max_fill(cls) if reserves else kvreserve.MAX_FILL
        self.asked[urgency] += 1
        if fill > bound:
            if fill <= kvreserve.MAX_FILL:
                self.reserve.record_held(cls)
            return
        self.reserve.record_admitted(cls)
        self.served[urgency] += 1
        self.used += 1
        heapq.heappush(self.ends, self.now_s + self.rng.uniform(1.0, 7.0))

    def share(self, urgency):
        return self.served[urgency] / self.asked[urgency]


class TestLossOfEngines:
    """Half of the engines leave amid a peak."""

    def play(self, *, reserves):
        pool = _Pool(1)
        pool.play(10.0, 85.0, reserves=reserves)
        pool.capacity /= 2
        pool.asked.clear()
        pool.served.clear()
        pool.play(30.0, 85.0, reserves=reserves)
        return pool

    def test_urgent_requests_find_room_and_others_are_not_starved(self):
        pool = self.play(reserves=True)
        before = self.play(reserves=False)
        assert 1 - pool.share(0) < (1 - before.share(0)) / 2
        together = sum(pool.served.values()) / sum(pool.asked.values())
        assert pool.share(8) > together / 3
        # No more is unused than what is kept for the part of the demand that
        # is urgent.
        kept = 0.2 * _URGENT_PART / kvreserve.MAX_FILL
        least = (1 - kept) * sum(before.served.values())
        assert sum(pool.served.values()) > least


class TestReserve:
    def reserve(self):
        return kvreserve.KvReserve()

    def cls(self, urgency, band=classes.Band.USUAL):
        return classes.DemandClass(urgency, band)

    def test_one_urgency_may_use_everything(self, clock):
        reserve = self.reserve()
        for band in classes.Band:
            reserve.record(self.cls(7, band), 100)
        for band in classes.Band:
            assert reserve.max_fill(self.cls(7, band)) == kvreserve.MAX_FILL

    def test_room_is_kept_for_more_urgent_demand_of_other_instances(
        self, clock
    ):
        reserve = kvreserve.KvReserve(lambda: {self.cls(0): 100.0})
        reserve.record(self.cls(7), 100)
        kept = []
        for band in classes.Band:
            kept.append(reserve.max_fill(self.cls(7, band)))
        assert kept == sorted(kept, reverse=True)
        assert 0.7 < kept[0] < kvreserve.MAX_FILL
        assert reserve.max_fill(self.cls(0)) == kvreserve.MAX_FILL
        started = reserve.max_fill(self.cls(7), has_started=True)
        assert started == kvreserve.MAX_FILL

    def test_class_that_was_held_some_times_gets_one_in(self, clock):
        reserve = kvreserve.KvReserve(lambda: {self.cls(0): 100.0})
        for _ in range(4):
            assert reserve.max_fill(self.cls(7)) < kvreserve.MAX_FILL
            reserve.record_held(self.cls(7))
        assert reserve.max_fill(self.cls(7)) == kvreserve.MAX_FILL
        reserve.record_admitted(self.cls(7))
        assert reserve.max_fill(self.cls(7)) < kvreserve.MAX_FILL

    def test_class_that_was_held_for_long_gets_one_in(self, clock):
        reserve = kvreserve.KvReserve(lambda: {self.cls(0): 100.0})
        reserve.record_held(self.cls(7))
        clock.now_s += 5.0
        assert reserve.max_fill(self.cls(7)) == kvreserve.MAX_FILL
