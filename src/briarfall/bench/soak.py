"""Soak test: seeded random faults, with results checked against ledgers."""

import random
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall import sessions
from briarfall.bench import checks
from briarfall.bench import workload
from briarfall.catalogue import entries
from briarfall.catalogue import fold
from briarfall.catalogue import records
from briarfall.cli import console
from briarfall.orders import keys
from briarfall.standins import platform
from briarfall.standins import single

_TOKENS = 20
_DRAFT_CALLERS = 8
_ORDER_CALLERS = 4
_EDITORS = 2
_STEP_S = 0.4
_FAULT_S = 1.2
_RETRY_TIMEOUT_S = 20.0


class Booking(msgspec.Struct):
    """Outcomes that a caller received for one key, in order."""

    key: str
    outcomes: list[str]


class Soak:
    """One run of callers and operators under a schedule of faults."""

    def __init__(self, seed: int, seconds: float):
        self._seed = seed
        self._seconds = seconds
        self.platform = platform.Platform(single.default_specs("draft"))
        self.bookings: list[Booking] = []
        self.accepted: list[tuple[str, int]] = []
        self._lock = threading.Lock()

    def run(self) -> list[checks.GuaranteeResult]:
        """Runs the soak test and returns the results by guarantee."""
        plat = self.platform
        plat.start()
        plat.put_accounts()
        plat.put("draft", plat.model("draft", 24))
        plat.put("booking", plat.service())
        for number in range(_EDITORS):
            plat.put(f"note-{number}", _make_note(0))
        for _ in range(3):
            plat.add_instance()
        if not plat.wait_ready():
            raise RuntimeError("instances were not ready in time")
        workers = [
            workload.Workers(self._draft, _DRAFT_CALLERS, self._seed),
            workload.Workers(self._place_order, _ORDER_CALLERS, self._seed + 1),
            workload.Workers(self._edit, _EDITORS, self._seed + 2),
        ]
        for group in workers:
            group.start()
        self._inject_faults()
        self._clear_faults()
        drafts = workers[0].stop(60.0)
        workers[1].stop(60.0)
        workers[2].stop(60.0)
        self._retry_open_orders()
        guarantees = self._check(drafts)
        plat.stop()
        return guarantees

    def schedule(self) -> list[tuple[str, int]]:
        """Returns the faults in order, given by the seed and the duration."""
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
            return workload.stream_draft(
                session,
                "draft",
                workload.make_prompt(rng, 16),
                max_tokens=_TOKENS,
                seed=rng.randrange(1 << 30),
            )

    def _place_order(self, number: int, rng: random.Random):
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
            "value": msgspec.to_builtins(_make_note(rng.randrange(1, 1000))),
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

    def _inject_faults(self) -> None:
        for fault, choice in self.schedule():
            _FAULTS[fault](self, choice)
            time.sleep(_STEP_S)

    def _clear_faults(self) -> None:
        plat = self.platform
        plat.log.fault_injector.set(down=False, slow_s=0.0, lose_share=0.0)
        plat.instance_list.fault_injector.set(down=False)
        for target in plat.orders:
            target.fault_injector.set(down=False, lose_share=0.0)
        for name in plat.fleet.engines:
            plat.fleet.revive(name)
        time.sleep(_FAULT_S)

    def _retry_open_orders(self) -> None:
        """Retries every key without an answer until it gets one."""
        deadline = time.monotonic() + _RETRY_TIMEOUT_S
        for booking in list(self.bookings):
            while "answered" not in booking.outcomes:
                if time.monotonic() > deadline:
                    return
                booking.outcomes.append(self._send(booking.key, 0))

    def _check(self, drafts) -> list[checks.GuaranteeResult]:
        plat = self.platform
        runs = plat.order_ledger.runs
        answered = [b.key for b in self.bookings if "answered" in b.outcomes]
        false_refusals = [
            b.key
            for b in self.bookings
            if b.outcomes[-1:] == ["not_run"] and runs[b.key]
        ]
        wrong = [r for r in drafts if r.code == "ok" and not _is_complete(r)]
        return [
            checks.GuaranteeResult(
                "no draft is wrong or mixed up", not wrong, f"{len(wrong)}"
            ),
            checks.check_layers(plat.fleet.ledger, {}),
            checks.check_orders(runs, answered),
            checks.GuaranteeResult(
                "no order told as not run ran",
                not false_refusals,
                f"{len(false_refusals)}",
            ),
            self._check_catalogue(),
        ]

    def _check_catalogue(self) -> checks.GuaranteeResult:
        plat = self.platform
        end = len(plat.log.records(records.CONFIG_STREAM))
        live = [i for i in plat.instances if not i.wait_stopped(0)]
        reached = all(i.follower.wait_offset(end, 10.0) for i in live)
        digests = {i.follower.snapshot().digest for i in live}
        lost = 0
        folded = self._fold_log()
        digests.add(folded.digest())
        applied = {
            (line.entry, line.offset + 1)
            for line in folded.audit
            if line.verdict is records.Verdict.APPLIED
        }
        for accepted in self.accepted:
            lost += accepted not in applied
        return checks.GuaranteeResult(
            "one catalogue, no accepted edit lost",
            reached and len(digests) == 1 and not lost,
            f"{len(self.accepted)} accepted, {lost} lost, {len(live)} "
            f"instances, reached {reached}, {len(digests)} states",
        )

    def _fold_log(self) -> fold.CatalogueState:
        """Folds the configuration stream from its first record."""
        folded = fold.CatalogueState()
        for record in self.platform.log.records(records.CONFIG_STREAM):
            folded.apply(record.offset, record.data, record.time_s)
        return folded


def _make_note(value: int) -> entries.Client:
    limits = entries.ClientLimits(requests_per_s=1.0 + value)
    return entries.Client("platform", [], limits)


def _is_complete(result: workload.CallResult) -> bool:
    expected = checks.expected_text(result.prompt, result.seed, _TOKENS)
    return result.text == expected


def _kill_engine(soak: Soak, choice: int) -> None:
    fleet = soak.platform.fleet
    names = sorted(fleet.engines)
    name = names[choice % len(names)]
    fleet.kill(name)
    _run_later(fleet.revive, name)


def _stall_engine(soak: Soak, choice: int) -> None:
    fleet = soak.platform.fleet
    names = sorted(fleet.engines)
    name = names[choice % len(names)]
    fleet.stall(name)
    _run_later(fleet.revive, name)


def _log_down(soak: Soak, choice: int) -> None:
    injector = soak.platform.log.fault_injector
    injector.set(down=True)
    _run_later(lambda: injector.set(down=False))


def _log_slow(soak: Soak, choice: int) -> None:
    injector = soak.platform.log.fault_injector
    injector.set(slow_s=0.2)
    _run_later(lambda: injector.set(slow_s=0.0))


def _log_loses_answers(soak: Soak, choice: int) -> None:
    injector = soak.platform.log.fault_injector
    injector.set(lose_share=0.3)
    _run_later(lambda: injector.set(lose_share=0.0))


def _target_loses_answers(soak: Soak, choice: int) -> None:
    injector = soak.platform.orders[choice % 3].fault_injector
    injector.set(lose_share=0.5)
    _run_later(lambda: injector.set(lose_share=0.0))


def _replace_instance(soak: Soak, choice: int) -> None:
    plat = soak.platform
    live = [i for i in plat.instances if not i.wait_stopped(0)]
    if len(live) < 3:
        return
    victim = live[choice % len(live)]
    plat.add_instance()
    threading.Thread(target=victim.kill, daemon=True).start()
    plat.instance_list.remove(victim.cfg.instance)


def _write_snapshot(soak: Soak, choice: int) -> None:
    live = [i for i in soak.platform.instances if not i.wait_stopped(0)]
    try:
        live[choice % len(live)].snapshots.write()
    except exceptions.LogUnavailableError:
        return


def _no_fault(soak: Soak, choice: int) -> None:
    return


def _run_later(action, *args) -> None:
    timer = threading.Timer(_FAULT_S, action, args)
    timer.daemon = True
    timer.start()


_FAULTS = {
    "engine dies": _kill_engine,
    "engine stalls": _stall_engine,
    "log down": _log_down,
    "log slow": _log_slow,
    "log loses answers": _log_loses_answers,
    "target loses answers": _target_loses_answers,
    "instance replaced": _replace_instance,
    "snapshot written": _write_snapshot,
    "nothing": _no_fault,
}


def run(seed: int, seconds: float) -> int:
    """Runs the soak test, prints the verdict and returns the exit code."""
    soak = Soak(seed, seconds)
    faults = soak.schedule()
    schedule_digest = hashing.digest64(repr(faults))
    print(f"seed {seed}, {len(faults)} faults, schedule {schedule_digest:016x}")
    guarantees = soak.run()
    rows = msgspec.to_builtins(guarantees)
    console.show_table(rows)
    verdict = [(item.promise, item.held) for item in guarantees]
    print(f"verdict {hashing.digest64(repr(verdict)):016x}")
    return 0 if all(item.held for item in guarantees) else 1
