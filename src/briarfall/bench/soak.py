"""Random faults from a seed, checked against the ledgers."""

import random
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall import sessions
from briarfall.bench import checks
from briarfall.bench import load
from briarfall.catalogue import entries
from briarfall.catalogue import fold
from briarfall.catalogue import records
from briarfall.cli import console
from briarfall.orders import keys
from briarfall.standins import platform
from briarfall.standins import single

_TOKENS = 20
_DRAFTERS = 8
_BOOKERS = 4
_EDITORS = 2
_STEP_S = 0.4
_HEAL_S = 1.2
_SETTLE_S = 20.0


class Booking(msgspec.Struct):
    """What a caller was told about one key, in order."""

    key: str
    outcomes: list[str]


class Soak:
    """One run: callers, operators and a schedule of faults."""

    def __init__(self, seed: int, seconds: float):
        self._seed = seed
        self._seconds = seconds
        self.platform = platform.Platform(single.default_specs("draft"))
        self.bookings: list[Booking] = []
        self.accepted: list[tuple[str, int]] = []
        self._lock = threading.Lock()

    def run(self) -> list[checks.Promise]:
        """Runs and returns the promises."""
        part = self.platform
        part.start()
        part.put_accounts()
        part.put("draft", part.model("draft", 24))
        part.put("booking", part.service())
        for number in range(_EDITORS):
            part.put(f"note-{number}", _note(0))
        for _ in range(3):
            part.add_instance()
        if not part.wait_ready():
            raise RuntimeError("the instances did not become ready")
        workers = [
            load.Workers(self._draft, _DRAFTERS, self._seed),
            load.Workers(self._book, _BOOKERS, self._seed + 1),
            load.Workers(self._edit, _EDITORS, self._seed + 2),
        ]
        for group in workers:
            group.start()
        self._disturb()
        self._heal()
        drafts = workers[0].stop(60.0)
        workers[1].stop(60.0)
        workers[2].stop(60.0)
        self._settle_orders()
        promises = self._check(drafts)
        part.stop()
        return promises

    def schedule(self) -> list[tuple[str, int]]:
        """Returns the faults in order, from the seed alone."""
        rng = random.Random(self._seed)
        steps = int(self._seconds / _STEP_S)
        return [
            (rng.choice(sorted(_FAULTS)), rng.randrange(1 << 16))
            for _ in range(steps)
        ]

    def _session(self, number: int, client: str = "tuvatu"):
        live = [i for i in self.platform.instances if not i.wait_stopped(0)]
        urls = [inst.caller_url for inst in live]
        turn = number % len(urls)
        key = platform.client_key(client)
        return sessions.Session(urls[turn:] + urls[:turn], key, 15.0)

    def _draft(self, number: int, rng: random.Random):
        with self._session(number) as session:
            return load.draft(
                session,
                "draft",
                load.prompt_of(rng, 16),
                max_tokens=_TOKENS,
                seed=rng.randrange(1 << 30),
            )

    def _book(self, number: int, rng: random.Random):
        booking = Booking(keys.new_key(), [])
        with self._lock:
            self.bookings.append(booking)
        for turn in range(3):
            outcome = self._send(booking.key, number + turn)
            booking.outcomes.append(outcome)
            if outcome == "answered":
                break
        time.sleep(0.02)

    def _send(self, key: str, number: int) -> str:
        with self._session(number) as session:
            try:
                session.call("booking", "/orders", b"{}", key=key)
                return "answered"
            except exceptions.BriarfallError as exc:
                if isinstance(exc, exceptions.TargetUnreachableError):
                    return "unsent"
                return exc.outcome.value

    def _edit(self, number: int, rng: random.Random):
        name = f"note-{number}"
        live = [i for i in self.platform.instances if not i.wait_stopped(0)]
        inst = rng.choice(live)
        body = {
            "if_version": inst.queries.entry(name).version,
            "value": msgspec.to_builtins(_note(rng.randrange(1, 1000))),
        }
        with sessions.Session(
            inst.admin_url, platform.ADMIN_KEY, 15.0
        ) as session:
            try:
                reply = session.send(
                    "PUT", f"/catalogue/{name}", msgspec.json.encode(body)
                )
            except exceptions.BriarfallError:
                time.sleep(0.1)
                return
        version = msgspec.json.decode(reply.body)["version"]
        with self._lock:
            self.accepted.append((name, version))
        time.sleep(0.1)

    def _disturb(self) -> None:
        for fault, choice in self.schedule():
            _FAULTS[fault](self, choice)
            time.sleep(_STEP_S)

    def _heal(self) -> None:
        part = self.platform
        part.log.gate.set(down=False, slow_s=0.0, lose_share=0.0)
        part.listing.gate.set(down=False)
        for target in part.orders:
            target.gate.set(down=False, lose_share=0.0)
        for name in part.fleet.engines:
            part.fleet.revive(name)
        time.sleep(_HEAL_S)

    def _settle_orders(self) -> None:
        """Sends every open key again until it is answered."""
        deadline = time.monotonic() + _SETTLE_S
        for booking in list(self.bookings):
            while "answered" not in booking.outcomes:
                if time.monotonic() > deadline:
                    return
                booking.outcomes.append(self._send(booking.key, 0))

    def _check(self, drafts) -> list[checks.Promise]:
        part = self.platform
        runs = part.order_ledger.runs
        answered = [b.key for b in self.bookings if "answered" in b.outcomes]
        denied = [
            b.key
            for b in self.bookings
            if b.outcomes[-1:] == ["not_run"] and runs[b.key]
        ]
        wrong = [r for r in drafts if r.code == "ok" and not _is_whole(r)]
        return [
            checks.Promise(
                "no draft is wrong or mixed up", not wrong, f"{len(wrong)}"
            ),
            checks.check_layers(part.fleet.ledger, {}),
            checks.check_orders(runs, answered),
            checks.Promise(
                "no order told as not run ran", not denied, f"{len(denied)}"
            ),
            self._check_catalogue(),
        ]

    def _check_catalogue(self) -> checks.Promise:
        part = self.platform
        end = len(part.log.records(records.CONFIG_STREAM))
        live = [i for i in part.instances if not i.wait_stopped(0)]
        reached = all(i.follower.wait_offset(end, 10.0) for i in live)
        digests = {i.follower.snapshot().digest for i in live}
        lost = 0
        reader = self._read_log()
        digests.add(reader.digest())
        trail = {
            (line.entry, line.offset + 1)
            for line in reader.audit
            if line.verdict is records.Verdict.APPLIED
        }
        for accepted in self.accepted:
            lost += accepted not in trail
        return checks.Promise(
            "one catalogue, no accepted edit lost",
            reached and len(digests) == 1 and not lost,
            f"{len(self.accepted)} accepted, {lost} lost, {len(live)} "
            f"instances, reached {reached}, {len(digests)} states",
        )

    def _read_log(self) -> fold.Fold:
        """Folds the whole configuration stream anew."""
        reader = fold.Fold()
        for record in self.platform.log.records(records.CONFIG_STREAM):
            reader.apply(record.offset, record.data, record.time_s)
        return reader


def _note(value: int) -> entries.Client:
    limits = entries.ClientLimits(requests_per_s=1.0 + value)
    return entries.Client("platform", [], limits)


def _is_whole(result: load.CallResult) -> bool:
    expected = checks.expected_text(result.prompt, result.seed, _TOKENS)
    return result.text == expected


def _kill_engine(soak: Soak, choice: int) -> None:
    fleet = soak.platform.fleet
    names = sorted(fleet.engines)
    name = names[choice % len(names)]
    fleet.kill(name)
    _later(fleet.revive, name)


def _stall_engine(soak: Soak, choice: int) -> None:
    fleet = soak.platform.fleet
    names = sorted(fleet.engines)
    name = names[choice % len(names)]
    fleet.stall(name)
    _later(fleet.revive, name)


def _log_down(soak: Soak, choice: int) -> None:
    gate = soak.platform.log.gate
    gate.set(down=True)
    _later(lambda: gate.set(down=False))


def _log_slow(soak: Soak, choice: int) -> None:
    gate = soak.platform.log.gate
    gate.set(slow_s=0.2)
    _later(lambda: gate.set(slow_s=0.0))


def _log_loses(soak: Soak, choice: int) -> None:
    gate = soak.platform.log.gate
    gate.set(lose_share=0.3)
    _later(lambda: gate.set(lose_share=0.0))


def _target_loses(soak: Soak, choice: int) -> None:
    gate = soak.platform.orders[choice % 3].gate
    gate.set(lose_share=0.5)
    _later(lambda: gate.set(lose_share=0.0))


def _replace_instance(soak: Soak, choice: int) -> None:
    part = soak.platform
    live = [i for i in part.instances if not i.wait_stopped(0)]
    if len(live) < 3:
        return
    victim = live[choice % len(live)]
    part.add_instance()
    threading.Thread(target=victim.kill, daemon=True).start()
    part.listing.remove(victim.cfg.instance)


def _snapshot(soak: Soak, choice: int) -> None:
    live = [i for i in soak.platform.instances if not i.wait_stopped(0)]
    try:
        live[choice % len(live)].snapshots.write()
    except exceptions.LogUnavailableError:
        return


def _nothing(soak: Soak, choice: int) -> None:
    return


def _later(action, *args) -> None:
    timer = threading.Timer(_HEAL_S, action, args)
    timer.daemon = True
    timer.start()


_FAULTS = {
    "engine dies": _kill_engine,
    "engine stalls": _stall_engine,
    "log down": _log_down,
    "log slow": _log_slow,
    "log loses answers": _log_loses,
    "target loses answers": _target_loses,
    "instance replaced": _replace_instance,
    "snapshot written": _snapshot,
    "nothing": _nothing,
}


def run(seed: int, seconds: float) -> int:
    """Runs a soak, prints the verdict and returns the exit code."""
    soak = Soak(seed, seconds)
    faults = soak.schedule()
    mark = hashing.digest64(repr(faults))
    print(f"seed {seed}, {len(faults)} faults, schedule {mark:016x}")
    promises = soak.run()
    rows = msgspec.to_builtins(promises)
    console.show_table(rows)
    verdict = [(item.promise, item.held) for item in promises]
    print(f"verdict {hashing.digest64(repr(verdict)):016x}")
    return 0 if all(item.held for item in promises) else 1
