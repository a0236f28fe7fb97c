"""`briarfall demo`: runs all components in one process, with faults."""

import random
import time

import msgspec

from briarfall import sessions
from briarfall.bench import checks
from briarfall.bench import workload
from briarfall.catalogue import entries
from briarfall.cli import console
from briarfall.orders import keys
from briarfall.pipelines import graph
from briarfall.pipelines import maxflow
from briarfall.standins import platform
from briarfall.standins import single

_LAYERS = 24
_TOKENS = 30
# Slows the engines down so that this process is not the bottleneck.
_SCALE = 2.5
_BATCH = 6
_WORKERS = 40
_SEED = 7
_MEASURE_S = 3.0
_READY_TIMEOUT_S = 10.0
_DRAIN_WAIT_S = 3.0
_RECOVERY_TARGET_S = 1.7


class _Demo:
    """The platform of the demo, its callers and the results."""

    def __init__(self):
        self.platform = platform.Platform(
            single.default_specs("draft", _BATCH), scale=_SCALE
        )
        self.order_keys: list[str] = []
        self.guarantees: list[checks.GuaranteeResult] = []

    def start(self) -> None:
        plat = self.platform
        plat.start()
        plat.put_accounts()
        self.version = plat.put("draft", plat.model("draft", _LAYERS))
        plat.put("booking", plat.service())
        for _ in range(3):
            plat.add_instance()
        if not plat.wait_ready(_READY_TIMEOUT_S):
            raise RuntimeError(
                f"instances were not ready within {_READY_TIMEOUT_S} s"
            )

    def session(self, number: int, client: str) -> sessions.Session:
        urls = [inst.caller_url for inst in self.platform.instances]
        urls = urls[number % 3 :] + urls[: number % 3]
        return sessions.Session(urls, platform.client_key(client))

    def send_draft(
        self, number: int, rng: random.Random
    ) -> workload.CallResult:
        client = platform.CLIENTS[number % 2]
        with self.session(number, client) as session:
            return workload.stream_draft(
                session,
                "draft",
                workload.make_prompt(rng, 24),
                max_tokens=_TOKENS,
                seed=rng.randrange(1 << 30),
            )

    def place_orders(self, count: int) -> None:
        """Places orders, sending each key through two instances."""
        for number in range(count):
            key = keys.new_key()
            for attempt in range(2):
                with self.session(number + attempt, "tuvatu") as session:
                    session.call("booking", "/orders", b"{}", key=key)
            self.order_keys.append(key)

    def throughput_share(self) -> float:
        """Measures the current throughput as a share of the bound."""
        ledger = self.platform.fleet.ledger
        before = ledger.token_count
        time.sleep(_MEASURE_S)
        rate = (ledger.token_count - before) / _MEASURE_S
        model = self.platform.model("draft", _LAYERS)
        return (
            rate
            / maxflow.FlowResult(graph.LayerGraph(_LAYERS, model.targets)).total
        )

    def drain_target(self, target: str) -> None:
        """Marks a target as draining and checks that it gets no new work."""
        plat = self.platform
        model = plat.model("draft", _LAYERS)
        targets = [
            msgspec.structs.replace(item, state=entries.TargetState.DRAINING)
            if item.id == target
            else item
            for item in model.targets
        ]
        model = msgspec.structs.replace(model, targets=targets)
        self.version = plat.put("draft", model, if_version=self.version)
        time.sleep(_DRAIN_WAIT_S)
        ledger = plat.fleet.ledger
        before = len(ledger.starts[target])
        time.sleep(1.0)
        late = len(ledger.starts[target]) - before
        self.guarantees.append(
            checks.GuaranteeResult(
                "no new work for a leaving target after 3 s",
                late == 0,
                f"{late} streams in the second after that",
            )
        )

    def check(self, results: list[workload.CallResult]) -> None:
        plat = self.platform
        self.guarantees += [
            checks.check_answers(results, _TOKENS),
            checks.check_layers(plat.fleet.ledger, {}),
            checks.check_orders(plat.order_ledger.runs, self.order_keys),
            self._check_offsets(),
        ]

    def _check_offsets(self) -> checks.GuaranteeResult:
        offsets = {i.follower.next_offset for i in self.platform.instances}
        digests = {
            i.follower.snapshot().digest for i in self.platform.instances
        }
        return checks.GuaranteeResult(
            "the same catalogue in force everywhere",
            len(offsets) == 1 and len(digests) == 1,
            f"offsets {sorted(offsets)}",
        )

    def recovery_summary(self) -> str:
        """Returns a summary of recovery times against the target time."""
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
    """Runs the demo and returns the exit code."""
    started = time.monotonic()
    demo = _Demo()
    demo.start()
    workers = workload.Workers(demo.send_draft, _WORKERS, _SEED)
    workers.start()
    demo.place_orders(10)
    share = demo.throughput_share()
    demo.platform.fleet.kill("draft-b2")
    demo.platform.fleet.stall("draft-a2")
    demo.place_orders(10)
    time.sleep(1.0)
    demo.platform.fleet.revive("draft-b2")
    demo.platform.fleet.revive("draft-a2")
    demo.drain_target("draft-b3")
    results = workers.stop()
    demo.check(results)
    console.show_table(msgspec.to_builtins(demo.guarantees))
    print(
        f"throughput {share:.2f} of the bound with {_WORKERS} callers; "
        f"{len(results)} drafts, {len(demo.order_keys)} orders, "
        f"{time.monotonic() - started:.1f} s\n{demo.recovery_summary()}"
    )
    if keep:
        _keep_running(demo)
    demo.platform.stop()
    return 0 if all(item.held for item in demo.guarantees) else 1


def _keep_running(demo: _Demo) -> None:
    inst = demo.platform.instances[0]
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
