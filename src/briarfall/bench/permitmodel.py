"""Models many instances that send to one target with a rate limit.

The homes, permits and holds are those of the gateway; clock, links and callers
are modelled. Each instance wants to send far more than the target takes.
"""

import collections.abc
import contextlib
import enum
import random

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.ratelimits import permitgrants
from briarfall.gateway.ratelimits import permithomes
from briarfall.gateway.targets import incarnations

WINDOW_S = 4.0
# The rule: in any window this many times what the limit allows, and more.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5

_TICK_S = 0.05
_LOOK_TICKS = 5
# Requests per second of all instances, as a multiple of the limit.
_DEMAND = 10.0
_NO_HOME_WAIT_S = 0.5
_ALIVE_S = 2.5
_ALIVE_INTERVALS = 2.5
_SECONDS = 24.0
_FAULT_S = 10.0
_FAULT_END_S = 16.0
_TARGET = incarnations.Incarnation(ids.TargetId("t"), 1)


class Trouble(enum.Enum):
    """What happens to the instances."""

    NONE = "none"
    KILL_HALF = "kill half, start again after 2 s"
    RESTART_ALL = "restart all"
    HALVES = "two halves don't hear each other for 6 s"
    FREEZE_HOME = "freeze the home for 3 s"
    CUT_HOME = "the home hears no other for 6 s"
    HALF_OLD = "half of the instances run an older release"


class Sending(enum.Enum):
    """When the instances send their status."""

    TOGETHER = "all at the same time"
    SPREAD = "spread over the interval"


class Action(enum.Enum):
    """What an event does to instances."""

    KILL = "ends them"
    START = "starts them without any knowledge"
    START_LISTED = "starts them; they have read the list of instances"
    FREEZE = "suspends them"
    WAKE = "lets them run again"
    CUT = "no instance outside of them hears them, nor they it"
    HEAL = "ends all cuts"


class Event(msgspec.Struct, frozen=True):
    """Something that happens to instances.

    Attributes:
        at_s: Seconds after the start of the model.
        action: What happens.
        instances: Their numbers; None for the home of the target at the time
            of the first such event.
    """

    at_s: float
    action: Action
    instances: list[int] | None


class Result(msgspec.Struct, frozen=True):
    """What reached the target.

    Attributes:
        fullest: Most requests in any window.
        allowed: Requests that the rule allows in a window.
        used: Requests per second as a share of the limit.
    """

    fullest: int
    allowed: float
    used: float


class _Node:
    def __init__(self, fleet: "Fleet", name: ids.InstanceId):
        self.name = name
        self.fleet = fleet
        self.is_running = True
        self.gives_permits = True
        self.start()

    def start(self) -> None:
        """Starts without any knowledge."""
        self.heard_s: dict[ids.InstanceId, float] = {}
        self.book = permitgrants.PermitBook()
        self.homes = permithomes.PermitHomes(self.name, self._members)
        self.held_until_s = 0.0
        # Instances that it knows, whether it has heard them or not.
        self.listed_count = 1
        self.is_running = True

    def _members(self) -> permithomes.Members:
        oldest_s = self.fleet.now_s - max(
            _ALIVE_S, self.fleet.interval_s * _ALIVE_INTERVALS
        )
        live = [self.name]
        for name, heard_s in self.heard_s.items():
            if heard_s >= oldest_s and self.fleet.nodes[name].gives_permits:
                live.append(name)
        return permithomes.Members(
            tuple(sorted(live)),
            max(self.listed_count, 1 + len(self.heard_s)),
            self.fleet.interval_s,
        )

    def request(self, per_s: float) -> permitgrants.Grant:
        """Answers a request for a permit."""
        rate = self.homes.rate(_TARGET, per_s)
        if rate is None:
            self.book.forget(_TARGET)
            return permitgrants.Grant(False, _NO_HOME_WAIT_S)
        return self.book.request(_TARGET, rate)


class Fleet:
    """All instances, with a clock of their own.

    Args:
        count: Number of instances.
        per_s: Limit of the target in requests per second.
        events: What happens to the instances.
        seed: Determines which instance sends when.
        sending: When the instances send their status.
    """

    def __init__(
        self,
        count: int,
        per_s: float,
        events: collections.abc.Iterable[Event],
        seed: int,
        sending: Sending = Sending.TOGETHER,
    ):
        self.now_s = 1000.0
        self._start_s = self.now_s
        self._per_s = per_s
        self._events = sorted(events, key=lambda event: event.at_s)
        self._rng = random.Random(seed)
        self.interval_s = max(1.0, 0.03 * count * 2 / 3)
        self._sending = sending
        self._parts: dict[ids.InstanceId, int] = {}
        self.nodes: dict[ids.InstanceId, _Node] = {}
        for number in range(count):
            name = ids.InstanceId(f"i{number}")
            self.nodes[name] = _Node(self, name)
        self._rows = list(self.nodes.values())
        # Instance that an event without numbers affects.
        self._chosen: _Node | None = None
        self._last_part = 0
        self._sent_s: list[float] = []

    def make_old(self) -> None:
        """Makes half of the instances run a release without permits."""
        for node in self._rows[::2]:
            node.gives_permits = False

    def run(self) -> Result:
        """Plays the model."""
        for node in self._rows:
            for other in self._rows:
                if other is not node:
                    node.heard_s[other.name] = self.now_s
        ticks = int(_SECONDS / _TICK_S)
        for tick in range(ticks):
            self.now_s += _TICK_S
            self._play(tick * _TICK_S)
            self._exchange_status(tick)
            if tick % _LOOK_TICKS == 0:
                for node in self._rows:
                    if node.is_running:
                        node.homes.refresh()
            self._send()
        return self._result()

    def _play(self, since_s: float) -> None:
        """Applies the events whose time has come."""
        while self._events and self._events[0].at_s <= since_s + _TICK_S / 2:
            event = self._events.pop(0)
            self._apply(event.action, self._affected(event))

    def _affected(self, event: Event) -> "list[_Node]":
        if event.instances is not None:
            return [self._rows[number] for number in event.instances]
        if self._chosen is None:
            self._chosen = self._home()
        return [self._chosen] if self._chosen is not None else []

    def _apply(self, action: Action, rows: "list[_Node]") -> None:
        if action is Action.HEAL:
            self._parts = {}
            return
        self._last_part += 1
        for node in rows:
            if action is Action.START:
                node.start()
            elif action is Action.START_LISTED:
                node.start()
                node.listed_count = len(self._rows)
            elif action is Action.CUT:
                self._parts[node.name] = self._last_part
            else:
                node.is_running = action is Action.WAKE

    def _home(self) -> "_Node | None":
        name = self._rows[-1].homes.home_of(_TARGET)
        return self.nodes.get(name) if name is not None else None

    def _hears(self, one: _Node, other: _Node) -> bool:
        if not (one.is_running and other.is_running):
            return False
        return self._parts.get(one.name, 0) == self._parts.get(other.name, 0)

    def _exchange_status(self, tick: int) -> None:
        period = max(1, int(self.interval_s / _TICK_S))
        for number, other in enumerate(self._rows):
            due = 0
            if self._sending is Sending.SPREAD:
                due = number * period // len(self._rows)
            if tick % period != due:
                continue
            for node in self._rows:
                if node is not other and self._hears(node, other):
                    node.heard_s[other.name] = self.now_s

    def _send(self) -> None:
        mean = max(1.0, self._per_s) * _DEMAND * _TICK_S
        count = int(mean) + (self._rng.random() < mean - int(mean))
        for _ in range(count):
            node = self._rng.choice(self._rows)
            if node.is_running and node.gives_permits:
                self._ask(node)

    def _ask(self, node: _Node) -> None:
        if node.held_until_s > self.now_s:
            return
        name = node.homes.home_of(_TARGET)
        grant = permitgrants.Grant(False, _NO_HOME_WAIT_S)
        home = self.nodes.get(name) if name is not None else None
        if home is node or (home is not None and self._hears(node, home)):
            grant = home.request(self._per_s)
        if grant.is_granted:
            self._sent_s.append(self.now_s)
            return
        node.held_until_s = self.now_s + grant.wait_s

    def _result(self) -> Result:
        fullest = 0
        first = 0
        for index, sent_s in enumerate(self._sent_s):
            while sent_s - self._sent_s[first] > WINDOW_S:
                first += 1
            fullest = max(fullest, index - first + 1)
        return Result(
            fullest,
            ALLOWED_FACTOR * self._per_s * WINDOW_S + ALLOWED_EXTRA,
            self._used(),
        )

    def _used(self) -> float:
        if not self._per_s:
            return 0.0
        return len(self._sent_s) / (self.now_s - self._start_s) / self._per_s


@contextlib.contextmanager
def _model_clock(fleet: Fleet) -> collections.abc.Iterator[None]:
    """Makes the gateway's decisions use the clock of a fleet."""
    system = clocks.boot_s
    clocks.boot_s = lambda: fleet.now_s
    try:
        yield
    finally:
        clocks.boot_s = system


def play(
    count: int,
    per_s: float,
    trouble: Trouble,
    seed: int = 1,
    sending: Sending = Sending.TOGETHER,
) -> Result:
    """Plays one model.

    Args:
        count: Number of instances.
        per_s: Limit of the target in requests per second.
        trouble: What happens to the instances.
        seed: Determines which instance sends when.
        sending: When the instances send their status.
    """
    fleet = Fleet(count, per_s, _events_of(trouble, count), seed, sending)
    if trouble is Trouble.HALF_OLD:
        fleet.make_old()
    with _model_clock(fleet):
        return fleet.run()


def play_events(
    count: int,
    per_s: float,
    events: collections.abc.Iterable[Event],
    seed: int = 1,
) -> Result:
    """Plays one model with any events, the status spread over its interval.

    Args:
        count: Number of instances.
        per_s: Limit of the target in requests per second.
        events: What happens to the instances.
        seed: Determines which instance sends when.
    """
    fleet = Fleet(count, per_s, events, seed, Sending.SPREAD)
    with _model_clock(fleet):
        return fleet.run()


def _events_of(trouble: Trouble, count: int) -> list[Event]:
    half = list(range(count // 2))
    if trouble is Trouble.KILL_HALF:
        return [
            Event(_FAULT_S, Action.KILL, half),
            Event(_FAULT_S + 2.0, Action.START, half),
        ]
    if trouble is Trouble.RESTART_ALL:
        return [Event(_FAULT_S, Action.START, list(range(count)))]
    if trouble is Trouble.HALVES:
        return [
            Event(_FAULT_S, Action.CUT, half),
            Event(_FAULT_END_S, Action.HEAL, []),
        ]
    if trouble is Trouble.FREEZE_HOME:
        return [
            Event(_FAULT_S, Action.FREEZE, None),
            Event(_FAULT_S + 3.0, Action.WAKE, None),
        ]
    if trouble is Trouble.CUT_HOME:
        return [
            Event(_FAULT_S, Action.CUT, None),
            Event(_FAULT_END_S, Action.HEAL, []),
        ]
    return []
