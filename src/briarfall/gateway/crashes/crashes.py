"""Detects requests and parts of prompts that crash the targets that run them.

Requests that share a part of their prompt may differ in everything else, so
that each of them would be new to a guard that knows whole requests only.
"""

import collections
import collections.abc
import random
import threading

from absl import logging
import xxhash

from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.crashes import partholds
from briarfall.gateway.crashes import poisonlist
from briarfall.gateway.crashes import provenparts
from briarfall.gateway.crashes import withdrawals
from briarfall.gateway.targets import incarnations

# Number of crashed targets from which a request counts as poison. A harmless
# request that shares targets with a poison request is involved in one or two
# crashes.
_MAX_CRASHES = 3
# Number of crashes from which requests with a part of prompts are held back
# before the next one is tried. The request of the first crash is tried at once.
_HOLD_CRASHES = 2
_RETENTION_S = poisonlist.POISON_S
# Shortest time for which a crash is reported to other instances.
_REPORT_S = 3.0
_MAX_REPORTED = 40
_MAX_CRASH_ROWS = 5000


def fingerprint(call: calls.Call) -> crashevidence.SuspectKey:
    """Returns a hash of a request that stays the same over its retries."""
    account = call.account.name if call.account is not None else ""
    digest = xxhash.xxh64(account.encode())
    for part in (call.req.method, call.req.request_target, call.req.body):
        digest.update(b"\0" + part)
    return crashevidence.SuspectKey(digest.hexdigest())


def shared_parts(call: calls.Call) -> list[crashevidence.SuspectKey]:
    """Returns the keys of the parts that other prompts may have too."""
    return [crashevidence.part_key(part) for part in call.parts.shared]


def _report_period_s(interval_s: float) -> float:
    """Returns the seconds for which news are reported to other instances.

    Args:
        interval_s: Longest interval at which any other instance gets a status
            of this one.
    """
    return max(_REPORT_S, interval_s * 3)


PoisonListener = collections.abc.Callable[[poisonlist.PoisonRow], None]
ChangeListener = collections.abc.Callable[[], None]


class CrashTable:
    """Crashes by suspect, seen by this instance and by others.

    Args:
        rng: Spreads the ends of holds over the instances.
    """

    def __init__(self, rng: random.Random | None = None):
        self._lock = threading.Lock()
        self._evidence = crashevidence.CrashEvidence()
        self._proven = provenparts.ProvenParts()
        self._holds = partholds.PartHolds(rng or random.Random())
        self._by_time: collections.deque[tuple[float, crashevidence.Crash]] = (
            collections.deque()
        )
        self._own_crashes: collections.deque[
            tuple[float, crashevidence.Crash]
        ] = collections.deque()
        self._poison = poisonlist.PoisonList()
        self._withdrawn = withdrawals.Withdrawals()
        # Refused suspects that this instance has reported to its listeners.
        self._reported: set[crashevidence.SuspectKey] = set()
        self._survived_s: dict[crashevidence.SuspectKey, float] = {}
        self._origins: collections.Counter[str] = collections.Counter()
        self._listeners: list[PoisonListener] = []
        self._change_listeners: list[ChangeListener] = []

    def add_listener(self, listener: PoisonListener) -> None:
        """Registers a listener for poison suspects to store.

        It gets each one that is new or renewed, and with no time left each one
        that is no longer poison.
        """
        self._listeners.append(listener)

    def add_change_listener(self, listener: ChangeListener) -> None:
        """Calls `listener` when others should learn of a change at once."""
        self._change_listeners.append(listener)

    def origins(self) -> dict[str, int]:
        """Returns the number of crashes so far by origin: `own` or `peer`."""
        with self._lock:
            return dict(self._origins)

    def count(self, suspect: crashevidence.SuspectKey) -> int:
        """Returns how many crashes a suspect is known to be involved in."""
        with self._lock:
            return self._evidence.count(suspect)

    def is_poison(self, suspect: crashevidence.SuspectKey) -> bool:
        """Whether a suspect has crashed too many targets."""
        with self._lock:
            return self._poison.left_s(suspect, clocks.boot_s()) > 0

    def is_suspected(self, part: crashevidence.SuspectKey) -> bool:
        """Whether requests with a part run one at a time, as trials."""
        if part not in self._evidence:
            return False
        with self._lock:
            return self._evidence.blamed_count(part) > 0

    def tells_apart(
        self,
        part: crashevidence.SuspectKey,
        parts: collections.abc.Collection[crashevidence.SuspectKey],
    ) -> bool:
        """Whether a request would tell a part from another suspect.

        It would if the crashes of the part may as well have been caused by a
        part that the request lacks.

        Args:
            part: A part of the request's prompt.
            parts: All shared parts of the request's prompt.
        """
        with self._lock:
            return self._tells_apart(part, parts)

    def held_s(
        self,
        part: crashevidence.SuspectKey,
        parts: collections.abc.Collection[crashevidence.SuspectKey] = (),
    ) -> float:
        """Returns the seconds for which a request with a part must wait.

        After a single crash, or if the request tells the part from another
        suspect, it waits only for the end of another trial.

        Args:
            part: A part of the request's prompt.
            parts: All shared parts of the request's prompt.
        """
        with self._lock:
            return self._held_s(part, parts)

    def _held_s(
        self,
        part: crashevidence.SuspectKey,
        parts: collections.abc.Collection[crashevidence.SuspectKey],
    ) -> float:
        now_s = clocks.boot_s()
        blamed = self._evidence.blamed_count(part)
        if not blamed:
            return 0.0
        if blamed < _HOLD_CRASHES or self._tells_apart(part, parts):
            return self._holds.trial_left_s(part, now_s)
        return self._holds.left_s(part, now_s)

    def _tells_apart(
        self,
        part: crashevidence.SuspectKey,
        parts: collections.abc.Collection[crashevidence.SuspectKey],
    ) -> bool:
        return not self._evidence.twins(part).issubset(parts)

    def start_trials(
        self,
        suspected: collections.abc.Collection[crashevidence.SuspectKey],
        parts: collections.abc.Collection[crashevidence.SuspectKey] = (),
    ) -> float:
        """Makes a request the trial of all its suspected parts, or of none.

        Args:
            suspected: Parts of its prompt that are suspected.
            parts: All shared parts of its prompt.

        Returns:
            The seconds for which the request must wait, as `held_s` returns
            them; 0 if it runs as a trial.
        """
        with self._lock:
            for part in suspected:
                held_s = self._held_s(part, parts)
                if held_s:
                    return held_s
            now_s = clocks.boot_s()
            for part in suspected:
                self._holds.start_trial(part, now_s)
        for part in suspected:
            logging.warning(
                "trial of a suspected part, others are held back "
                "fingerprint=%s",
                part,
            )
        if suspected:
            self._notify_changed()
        return 0.0

    @property
    def has_poison(self) -> bool:
        """Whether any request may have to be refused."""
        return len(self._poison) > 0

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is retained."""
        return not self._evidence.is_empty

    @property
    def poison_count(self) -> int:
        """Number of poison suspects."""
        return len(self._poison)

    @property
    def held_count(self) -> int:
        """Number of parts whose requests are held back."""
        return len(self._holds)

    def record(self, crash: crashevidence.Crash) -> None:
        """Records a crash that this instance saw.

        A part that was proven recently is not suspected.
        """
        now_s = clocks.boot_s()
        with self._lock:
            if self._proven.has(crash.suspect, now_s):
                return
            self._forget_expired(now_s)
            self._origins["own"] += 1
            self._own_crashes.append((now_s, crash))
            is_poison = self._add(crash, now_s)
        logging.warning(
            "target crashed target=%s lifetime=%d fingerprint=%s crashes=%d "
            "held=%s",
            crash.target,
            crash.started_ms,
            crash.suspect,
            self.count(crash.suspect),
            self.is_suspected(crash.suspect),
        )
        if is_poison:
            self._report_poison(crash.suspect, now_s)
        self._notify_changed()

    def merge_crashes(self, reported: list[crashevidence.Crash]) -> None:
        """Merges crashes that another instance saw."""
        now_s = clocks.boot_s()
        for crash in reported:
            with self._lock:
                if self._evidence.has(crash):
                    continue
                if self._withdrawn.has_crash(crash.incarnation, now_s):
                    continue
                if self._withdrawn.has_crash(crash.suspect, now_s):
                    continue
                if self._proven.has(crash.suspect, now_s):
                    self._survived_s[crash.suspect] = now_s
                    continue
                self._forget_expired(now_s)
                self._origins["peer"] += 1
                is_poison = self._add(crash, now_s)
                has_own_crash = any(
                    own_crash.suspect == crash.suspect
                    for _, own_crash in self._own_crashes
                )
            logging.info(
                "crash told by a peer target=%s fingerprint=%s crashes=%d",
                crash.target,
                crash.suspect,
                self.count(crash.suspect),
            )
            if is_poison and has_own_crash:
                self._report_poison(crash.suspect, now_s)

    def merge_poison(self, reported: list[poisonlist.PoisonRow]) -> None:
        """Merges poison suspects that other instances or the store report."""
        now_s = clocks.boot_s()
        for row in reported:
            with self._lock:
                if self._proven.has(row.suspect, now_s):
                    continue
                if self._withdrawn.has_verdict(row.suspect, now_s):
                    continue
                is_new = self._poison.merge(row, now_s)
            if is_new:
                logging.warning(
                    "poison request reported by others fingerprint=%s for_s=%d",
                    row.suspect,
                    min(poisonlist.POISON_S, row.left_ms / 1000),
                )

    def merge_holds(self, reported: list[partholds.HoldRow]) -> None:
        """Merges parts that are on trial at another instance."""
        with self._lock:
            known = [row for row in reported if row.part in self._evidence]
            self._holds.merge(known, clocks.boot_s())

    def renew_poison(self, suspect: crashevidence.SuspectKey) -> None:
        """Renews a poison suspect that has arrived again.

        An arrival in the first half of its time changes nothing.
        """
        now_s = clocks.boot_s()
        with self._lock:
            if not self._poison.renew(suspect, now_s):
                return
        self._report_poison(suspect, now_s)

    def record_survived(self, request: crashevidence.SuspectKey) -> None:
        """Forgets the crashes of a request that now ran without a crash.

        It is no longer refused either: a poison request crashes each target
        that begins to run it.
        """
        now_s = clocks.boot_s()
        with self._lock:
            if request not in self._evidence and request not in self._poison:
                return
            self._survived_s[request] = now_s
            was_poison = self._clear_request(request, now_s)
            if was_poison:
                self._survived_s[withdrawals.innocent_key(request)] = now_s
        logging.info(
            "request ran without a crash, older ones forgotten fingerprint=%s "
            "was_poison=%s",
            request,
            was_poison,
        )
        if was_poison:
            self._report_lifted(request)
            self._notify_changed()

    def _clear_request(
        self, request: crashevidence.SuspectKey, now_s: float
    ) -> bool:
        """Clears a request that survived; returns whether it was refused."""
        self._evidence.clear(request)
        self._withdrawn.add(request, now_s)
        return self._poison.lift(request)

    def _report_lifted(self, suspect: crashevidence.SuspectKey) -> None:
        self._reported.discard(suspect)
        for listener in self._listeners:
            listener(poisonlist.PoisonRow(suspect, 0))

    def record_proven(self, part: crashevidence.SuspectKey) -> None:
        """Records that a target wrote an answer on a part of prompts.

        The part is no longer suspected, nor poison, here and at others.
        """
        now_s = clocks.boot_s()
        with self._lock:
            self._proven.record(part, now_s)
            was_poison = self._poison.lift(part)
            if not was_poison and part not in self._evidence:
                return
            self._clear_part(part)
            self._survived_s[part] = now_s
        logging.info(
            "part of prompts ran without a crash, older ones forgotten "
            "fingerprint=%s was_poison=%s",
            part,
            was_poison,
        )
        if was_poison:
            self._report_lifted(part)
        self._notify_changed()

    def merge_survived(self, suspects: list[crashevidence.SuspectKey]) -> None:
        """Forgets the crashes of suspects that ran elsewhere without one."""
        now_s = clocks.boot_s()
        with self._lock:
            for suspect in suspects:
                withdrawal = withdrawals.parse(suspect)
                if withdrawal is not None:
                    self._merge_withdrawal(withdrawal, now_s)
                    continue
                if not crashevidence.is_part(suspect):
                    if suspect in self._evidence or suspect in self._poison:
                        self._clear_request(suspect, now_s)
                    continue
                self._proven.record(suspect, now_s)
                self._poison.lift(suspect)
                self._clear_part(suspect)
            lifted = [
                suspect
                for suspect in self._reported
                if suspect not in self._poison
            ]
        # The instance that had a verdict stored also has it removed: another
        # one may have lifted it before it was stored.
        for suspect in lifted:
            self._report_lifted(suspect)

    def crashed_s(self) -> dict[incarnations.Incarnation, float]:
        """Returns when the latest crash of each incarnation became known."""
        with self._lock:
            return self._evidence.crashed_s()

    def withdraw(
        self, alive: collections.abc.Iterable[incarnations.Incarnation]
    ) -> None:
        """Withdraws the crashes of incarnations that live on.

        A suspect that is refused for too few further crashes is free again,
        here and at others.
        """
        now_s = clocks.boot_s()
        lifted = []
        with self._lock:
            for incarnation in alive:
                lifted.extend(self._withdraw(incarnation, now_s))
                key = withdrawals.alive_key(incarnation)
                self._survived_s[key] = now_s
                logging.warning(
                    "target lives on, its crash is withdrawn target=%s "
                    "lifetime=%d",
                    incarnation.target,
                    incarnation.started_ms,
                )
            for suspect in lifted:
                self._survived_s[withdrawals.innocent_key(suspect)] = now_s
        for suspect in lifted:
            logging.warning(
                "request no longer refused, its targets live on fingerprint=%s",
                suspect,
            )
            self._report_lifted(suspect)
        self._notify_changed()

    def _withdraw(
        self, incarnation: incarnations.Incarnation, now_s: float
    ) -> list[crashevidence.SuspectKey]:
        """Withdraws a crash; returns the suspects that are free again."""
        self._withdrawn.add(incarnation, now_s)
        lifted = []
        for suspect in self._evidence.withdraw(incarnation):
            blamed = self._evidence.blamed_count(suspect)
            if not blamed:
                self._holds.end(suspect)
            if blamed < _MAX_CRASHES and self._poison.lift(suspect):
                self._withdrawn.add(suspect, now_s)
                lifted.append(suspect)
        return lifted

    def _merge_withdrawal(
        self, row: withdrawals.Withdrawal, now_s: float
    ) -> None:
        """Withdraws what another instance has withdrawn."""
        if row.incarnation is not None:
            if not self._withdrawn.has_crash(row.incarnation, now_s):
                self._withdraw(row.incarnation, now_s)
            return
        if self._evidence.blamed_count(row.suspect) < _MAX_CRASHES:
            self._poison.lift(row.suspect)
            self._withdrawn.add(row.suspect, now_s)

    def crashes_to_report(
        self, interval_s: float = 0.0
    ) -> list[crashevidence.Crash]:
        """Returns recent crashes that this instance saw, to report to others.

        Args:
            interval_s: Longest interval at which any other instance gets a
                status of this one.
        """
        oldest_s = clocks.boot_s() - _report_period_s(interval_s)
        with self._lock:
            fresh = []
            for seen_s, crash in self._own_crashes:
                if seen_s > oldest_s and self._evidence.has(crash):
                    count = self._evidence.count(crash.suspect)
                    fresh.append((count, seen_s, crash))
        # Crashes of suspects closest to poison come first, then the newest.
        fresh.sort(key=lambda row: row[:2], reverse=True)
        return [crash for _, _, crash in fresh[:_MAX_REPORTED]]

    def poison_to_report(self) -> list[poisonlist.PoisonRow]:
        """Returns the poison suspects to report to other instances."""
        with self._lock:
            return self._poison.to_report(clocks.boot_s())

    def holds_to_report(
        self, interval_s: float = 0.0
    ) -> list[partholds.HoldRow]:
        """Returns parts on trial at this instance, to report to others.

        Args:
            interval_s: Longest interval at which any other instance gets a
                status of this one.
        """
        with self._lock:
            return self._holds.to_report(
                clocks.boot_s(), _report_period_s(interval_s)
            )

    def survived_to_report(
        self, interval_s: float = 0.0
    ) -> list[crashevidence.SuspectKey]:
        """Returns suspects that ran without a crash again.

        Args:
            interval_s: Longest interval at which any other instance gets a
                status of this one.
        """
        oldest_s = clocks.boot_s() - _report_period_s(interval_s)
        with self._lock:
            for suspect, seen_s in list(self._survived_s.items()):
                if seen_s <= oldest_s:
                    del self._survived_s[suspect]
            return list(self._survived_s)[-_MAX_REPORTED:]

    def _add(self, crash: crashevidence.Crash, now_s: float) -> bool:
        """Adds a crash; returns whether its suspect is newly poison."""
        if not self._evidence.add(crash, now_s):
            return False
        self._by_time.append((now_s, crash))
        self._holds.end_trial(crash.suspect)
        blamed = self._evidence.blamed_count(crash.suspect)
        if blamed >= _HOLD_CRASHES and crashevidence.is_part(crash.suspect):
            self._holds.start(crash.suspect, now_s)
        if blamed < _MAX_CRASHES:
            return False
        return self._poison.refuse(crash.suspect, now_s)

    def _clear_part(self, part: crashevidence.SuspectKey) -> None:
        self._evidence.clear(part)
        self._holds.end(part)

    def _report_poison(
        self, suspect: crashevidence.SuspectKey, now_s: float
    ) -> None:
        left_s = self._poison.left_s(suspect, now_s)
        self._reported.add(suspect)
        logging.warning(
            "poison request fingerprint=%s crashes=%d",
            suspect,
            self.count(suspect),
        )
        for listener in self._listeners:
            listener(poisonlist.PoisonRow(suspect, int(left_s * 1000)))
        self._notify_changed()

    def _notify_changed(self) -> None:
        for listener in self._change_listeners:
            listener()

    def _forget_expired(self, now_s: float) -> None:
        oldest_s = now_s - _RETENTION_S
        while self._by_time:
            seen_s, crash = self._by_time[0]
            if seen_s >= oldest_s and len(self._by_time) <= _MAX_CRASH_ROWS:
                break
            self._by_time.popleft()
            self._evidence.remove(crash, seen_s)
            if crash.suspect not in self._evidence:
                self._holds.end(crash.suspect)
        while self._own_crashes and self._own_crashes[0][0] < oldest_s:
            self._own_crashes.popleft()
        self._poison.forget_expired(now_s)
