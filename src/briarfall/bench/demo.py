"""`briarfall demo`: the whole path in one process, with faults."""

import random
import time

import msgspec

from briarfall import sessions
from briarfall.bench import checks
from briarfall.bench import load
from briarfall.catalogue import entries
from briarfall.cli import console
from briarfall.orders import keys
from briarfall.pipelines import graph
from briarfall.pipelines import maxflow
from briarfall.standins import platform
from briarfall.standins import single

_LAYERS = 24
_TOKENS = 30
# Slower engines keep this process from being the limit.
_SCALE = 2.5
_BATCH = 6
_WORKERS = 40
_SEED = 7
_STEADY_S = 3.0
_WAIT_S = 10.0
_LEAVE_S = 3.0
_RECOVERY_TARGET_S = 1.7


class _Scene:
    """The platform of the demo and its callers."""

    def __init__(self):
        self.platform = platform.Platform(
            single.default_specs("draft", _BATCH), scale=_SCALE
        )
        self.order_keys: list[str] = []
        self.promises: list[checks.Promise] = []

    def start(self) -> None:
        part = self.platform
        part.start()
        part.put_accounts()
        self.version = part.put("draft", part.model("draft", _LAYERS))
        part.put("booking", part.service())
        for _ in range(3):
            part.add_instance()
        if not part.wait_ready(_WAIT_S):
            raise RuntimeError("the instances did not become ready")

    def session(self, number: int, client: str) -> sessions.Session:
        urls = [inst.caller_url for inst in self.platform.instances]
        urls = urls[number % 3 :] + urls[: number % 3]
        return sessions.Session(urls, platform.client_key(client))

    def draft(self, number: int, rng: random.Random) -> load.CallResult:
        client = platform.CLIENTS[number % 2]
        with self.session(number, client) as session:
            return load.draft(
                session,
                "draft",
                load.prompt_of(rng, 24),
                max_tokens=_TOKENS,
                seed=rng.randrange(1 << 30),
            )

    def book(self, count: int) -> None:
        """Books orders, each key through two instances."""
        for number in range(count):
            key = keys.new_key()
            for turn in range(2):
                with self.session(number + turn, "tuvatu") as session:
                    session.call("booking", "/orders", b"{}", key=key)
            self.order_keys.append(key)

    def steady_share(self) -> float:
        """Returns the throughput now as a share of the bound."""
        ledger = self.platform.fleet.ledger
        before = ledger.token_count
        time.sleep(_STEADY_S)
        rate = (ledger.token_count - before) / _STEADY_S
        model = self.platform.model("draft", _LAYERS)
        return (
            rate
            / maxflow.FlowResult(graph.LayerGraph(_LAYERS, model.targets)).total
        )

    def leave(self, target: str) -> None:
        """Takes a target out of the catalogue's active set."""
        part = self.platform
        model = part.model("draft", _LAYERS)
        targets = [
            msgspec.structs.replace(item, state=entries.TargetState.LEAVING)
            if item.id == target
            else item
            for item in model.targets
        ]
        model = msgspec.structs.replace(model, targets=targets)
        self.version = part.put("draft", model, if_version=self.version)
        time.sleep(_LEAVE_S)
        ledger = part.fleet.ledger
        before = len(ledger.starts[target])
        time.sleep(1.0)
        late = len(ledger.starts[target]) - before
        self.promises.append(
            checks.Promise(
                "no new work for a leaving target after 3 s",
                late == 0,
                f"{late} streams in the second after that",
            )
        )

    def check(self, results: list[load.CallResult]) -> None:
        part = self.platform
        self.promises += [
            checks.check_answers(results, _TOKENS),
            checks.check_layers(part.fleet.ledger, {}),
            checks.check_orders(part.order_ledger.runs, self.order_keys),
            self._check_offsets(),
        ]

    def _check_offsets(self) -> checks.Promise:
        offsets = {i.follower.next_offset for i in self.platform.instances}
        digests = {
            i.follower.snapshot().digest for i in self.platform.instances
        }
        return checks.Promise(
            "the same catalogue in force everywhere",
            len(offsets) == 1 and len(digests) == 1,
            f"offsets {sorted(offsets)}",
        )

    def recovery(self) -> str:
        """Returns how long recoveries took, against the target."""
        times = sorted(
            recovered.resume_s
            for inst in self.platform.instances
            for recovered in inst.relay.recoveries
        )
        if not times:
            return "no recoveries"
        late = sum(1 for seconds in times if seconds > _RECOVERY_TARGET_S)
        return (
            f"{len(times)} recoveries, median {times[len(times) // 2]:.2f} s, "
            f"longest {times[-1]:.2f} s, {late} above {_RECOVERY_TARGET_S} s"
        )


def run(*, keep: bool = False) -> int:
    """Plays the scene and returns the exit code."""
    started = time.monotonic()
    scene = _Scene()
    scene.start()
    workers = load.Workers(scene.draft, _WORKERS, _SEED)
    workers.start()
    scene.book(10)
    share = scene.steady_share()
    scene.platform.fleet.kill("draft-b2")
    scene.platform.fleet.stall("draft-a2")
    scene.book(10)
    time.sleep(1.0)
    scene.platform.fleet.revive("draft-b2")
    scene.platform.fleet.revive("draft-a2")
    scene.leave("draft-b3")
    results = workers.stop()
    scene.check(results)
    console.show_table(msgspec.to_builtins(scene.promises))
    print(
        f"throughput {share:.2f} of the bound with {_WORKERS} callers; "
        f"{len(results)} drafts, {len(scene.order_keys)} orders, "
        f"{time.monotonic() - started:.1f} s\n{scene.recovery()}"
    )
    if keep:
        _keep(scene)
    scene.platform.stop()
    return 0 if all(item.held for item in scene.promises) else 1


def _keep(scene: _Scene) -> None:
    inst = scene.platform.instances[0]
    key = platform.client_key("tuvatu")
    print(
        f"\ncurl -N {inst.caller_url}/v1/completions "
        f"-H 'Authorization: Bearer {key}' "
        '-d \'{"model":"draft","prompt":"survey of culvert 12",'
        '"max_tokens":20,"stream":true}\'\n'
        f"\ncurl {inst.caller_url}/services/booking/orders "
        f"-H 'Authorization: Bearer {key}' "
        f"-H 'Idempotency-Key: {keys.new_key()}' -d '{{}}'\n"
        f"\ncurl {inst.admin_url}/status "
        f"-H 'Authorization: Bearer {platform.ADMIN_KEY}'\n"
        "\nCtrl-C ends it.",
        flush=True,
    )
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        return
