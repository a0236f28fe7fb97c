"""State that the steps of a scenario share: platform, drafts and replies."""

import json
import random
import threading
import time

import urllib3

from briarfall import exceptions
from briarfall.bench import checks
from briarfall.bench import workload
from briarfall.catalogue import entries
from briarfall.orders import keys
from briarfall.pipelines import targets
from briarfall.standins import engine
from briarfall.standins import platform

LAYERS = 24
TOKENS = 24
WAIT_S = 15.0
ZONES = ("suva", "nausori", "lautoka")


def wait_until(condition, timeout_s=WAIT_S):
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.01)
    return True


def specs(fencing=True):
    result = []
    for zone in ZONES:
        result.append(
            engine.EngineSpec(f"draft-{zone}-a", zone, 0, 12, fencing=fencing)
        )
        result.append(
            engine.EngineSpec(
                f"draft-{zone}-b", zone, 12, 24, "b", fencing=fencing
            )
        )
    return result


def log_down():
    return exceptions.LogUnavailableError("the log is down")


class BackgroundDraft:
    """A draft that a caller requests on a thread of its own."""

    def __init__(self, session, prompt, seed, tokens, **options):
        self.prompt, self.seed, self.tokens = prompt, seed, tokens
        self.result = None
        self.session = session
        self.options = options
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        self.result = workload.stream_draft(
            self.session,
            "draft",
            self.prompt,
            max_tokens=self.tokens,
            seed=self.seed,
            **self.options,
        )

    def wait(self):
        self.thread.join(60)
        assert self.result is not None, "the draft did not end within 60 s"
        return self.result

    def is_complete(self):
        result = self.wait()
        expected = checks.expected_text(self.prompt, self.seed, self.tokens)
        return result.code == "ok" and result.text == expected


class World:
    """One scenario's platform."""

    def __init__(self):
        self.platform = None
        self.store = None
        self.http = urllib3.PoolManager(retries=False, timeout=20)
        self.rng = random.Random(5)
        self.drafts = []
        self.replies = []
        self.versions = {}
        self.keys = []

    def start(self, instances=3, fencing=True, settings=None, **service):
        plat = platform.Platform(specs(fencing))
        self.platform = plat
        plat.start()
        plat.put_accounts()
        self.versions["draft"] = plat.put("draft", self.model())
        self.versions["booking"] = plat.put("booking", plat.service(**service))
        for _ in range(instances):
            plat.add_instance(**(settings or {}))
        assert plat.wait_ready(), "the instances are not ready"
        assert wait_until(
            lambda: all(
                len(i.members.live()) == instances for i in plat.instances
            )
        ), "the instances do not know each other"

    def close(self):
        if self.platform:
            self.platform.stop()
        if self.store:
            self.store.stop()
        self.http.clear()

    def model(self, **changes):
        return self.platform.model("draft", LAYERS, **changes)

    def put_model(self, **changes):
        model = self.model(**changes)
        self.versions["draft"] = self.platform.put(
            "draft", model, if_version=self.versions["draft"]
        )

    def session(self, first=0, client="tuvatu"):
        from briarfall import sessions

        urls = [i.caller_url for i in self.platform.instances]
        urls = urls[first:] + urls[:first]
        return sessions.Session(urls, platform.client_key(client))

    def draft(self, tokens=TOKENS, first=0, client="tuvatu", **options):
        prompt = workload.make_prompt(self.rng, 20)
        seed = self.rng.randrange(1 << 30)
        started = BackgroundDraft(
            self.session(first, client), prompt, seed, tokens, **options
        )
        self.drafts.append(started)
        return started

    def order(
        self, key=None, body=b"{}", instance=0, deadline_ms=4000, **headers
    ):
        """Books an order; returns the response, or None if it was lost."""
        key = key or keys.new_key()
        self.keys.append(key)
        url = self.platform.instances[instance].caller_url
        try:
            resp = self.http.request(
                "POST",
                f"{url}/services/booking/orders",
                body=body,
                headers={
                    "Authorization": "Bearer tuvatu-key",
                    "Idempotency-Key": key,
                    "X-Deadline-Ms": str(deadline_ms),
                    **headers,
                },
            )
        except urllib3.exceptions.HTTPError:
            resp = None
        self.replies.append((key, resp))
        return resp

    def admin(self, method, path, body=None, instance=0, key="admin-key"):
        url = self.platform.instances[instance].admin_url
        return self.http.request(
            method,
            url + path,
            body=None if body is None else json.dumps(body),
            headers={"Authorization": f"Bearer {key}"},
        )

    def outcome_of(self, resp):
        if resp is None:
            return "lost"
        if resp.status < 300:
            return "answered"
        return json.loads(resp.data)["error"]["outcome"]

    def drain_target(self, target):
        items = []
        for item in self.model().targets:
            if item.id == target:
                item = entries.EngineTarget(
                    **{
                        **{f: getattr(item, f) for f in item.__struct_fields__},
                        "state": entries.TargetState.DRAINING,
                    }
                )
            items.append(item)
        self.put_model(targets=items)

    def all_see_draining(self, target):
        """Returns whether every instance knows that a target is draining."""
        for inst in self.platform.instances:
            model = inst.view().values["draft"]
            (item,) = [t for t in model.targets if t.id == target]
            if inst.targets.health(item) is not targets.Health.DRAINING:
                return False
        return True

    def check_ledger(self):
        guarantee = checks.check_layers(self.platform.fleet.ledger, {})
        assert guarantee.held, guarantee.detail
        twice = [k for k, n in self.platform.order_ledger.runs.items() if n > 1]
        assert not twice, f"ran twice: {twice}"
        for key, resp in self.replies:
            runs = self.platform.order_ledger.runs[key]
            if self.outcome_of(resp) == "answered":
                assert runs == 1, f"{key} was answered and ran {runs} times"

    def check_not_run(self):
        """Checks that no key ran whose last reply reported it as not run."""
        last = dict(self.replies)
        for key, resp in last.items():
            if self.outcome_of(resp) != "not_run":
                continue
            runs = self.platform.order_ledger.runs[key]
            assert runs == 0, f"{key} was reported as not run and ran"
