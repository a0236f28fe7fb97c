"""Engines in this process, and the pipeline part of instances that use them."""

import itertools
import time

from briarfall import exceptions
from briarfall.adapters import engine
from briarfall.catalogue import entries
from briarfall.pipelines import models
from briarfall.pipelines import planning
from briarfall.pipelines import poison
from briarfall.pipelines import promptwords
from briarfall.pipelines import relay as relays
from briarfall.pipelines import streams
from briarfall.pipelines import targets
from briarfall.pipelines import trialreservations

TOKENS = 24
HEADS = ["h1", "h2", "h3"]
LASTS = ["l1", "l2", "l3"]
EXPECTED = [f"t{index} " for index in range(TOKENS)]


class Engines:
    """Engines in this process, whose deaths a test decides.

    Attributes:
        dead: Engines that refuse connections.
        crashed: Engines that a poison prompt killed, in order.
        crash_index: Token at which a poison prompt kills the first engine
            of its route.
        restarts: Whether killed engines are up again at once.
        poison: Whether a prompt kills engines.
        on_token: Called with the call and the index before each token.
    """

    def __init__(self):
        self.dead = set()
        self.crashed = []
        self.crash_index = 0
        self.restarts = False
        self.poison = lambda prompt: "poison" in prompt
        self.on_token = lambda call, index: None

    def connect(self, url):
        return _Adapter(self, url)

    def next_batch(self, call, index):
        """Returns the batch after `index` tokens, or the failure."""
        self.on_token(call, index)
        head = call.route[0].target
        if self.poison(call.prompt) and index >= self.crash_index:
            self.crashed.append(head)
            if not self.restarts:
                self.dead.add(head)
            return engine.TokenBatch(error="stage_lost", target=head)
        for hop in call.route:
            if hop.target in self.dead:
                return engine.TokenBatch(error="stage_lost", target=hop.target)
        layers = [(hop.start, hop.end) for hop in call.route]
        finish = "length" if index + 1 == call.max_tokens else ""
        token = engine.Token(index, f"t{index} ", call.attempt, layers, finish)
        return engine.TokenBatch([token])


class _Adapter(engine.EngineAdapter):
    def __init__(self, engines, url):
        self._engines = engines
        self._target = url

    def generate(self, call):
        self._check()
        return _Stream(self._engines, call)

    def load(self, timeout_s):
        self._check()
        return engine.LoadReport(0, 0)

    def _check(self):
        if self._target in self._engines.dead:
            raise exceptions.TargetUnreachableError(f"{self._target} is dead")

    def cancel(self, stream, attempt):
        return

    def cache_events(self, since):
        return []

    def command(self, command):
        raise NotImplementedError

    def state(self):
        raise NotImplementedError

    def close(self):
        return


class _Stream(engine.EngineStream):
    def __init__(self, engines, call):
        self._engines = engines
        self._call = call
        self._index = max(0, call.resume_index) + len(call.accepted)
        self._ended = False

    def read(self):
        if self._ended:
            return None
        batch = self._engines.next_batch(self._call, self._index)
        self._index += len(batch.tokens)
        self._ended = bool(batch.error)
        return [batch]

    def close(self):
        self._ended = True


class _Alone:
    """Peers of an instance that knows no others."""

    def __init__(self, name):
        self._name = name

    def live(self):
        return [self._name]


class Instance:
    """The pipeline part of one instance."""

    def __init__(
        self,
        engines,
        seed=1,
        heads=HEADS,
        lasts=LASTS,
        name="i0",
        clock=None,
    ):
        self.guard = poison.PoisonGuard(name, clock)
        self._ids = itertools.count()
        table = targets.TargetTable(clock)
        self.relay = relays.Relay(
            planning.Planner(table, seed=seed),
            table,
            streams.Watchdog(table, engines.connect),
            self.guard,
            trialreservations.TrialReservations(name, _Alone(name)),
            engines.connect,
        )
        self.model = entries.Model("draft", 24, _stage(heads, 0))
        self.model.targets.extend(_stage(lasts, 12))

    def run(self, prompt="a prompt", **changes):
        """Returns the run of a request."""
        return self.relay.run(self._request(prompt, **changes))

    def parts_of(self, prompt):
        """Returns the keys of the parts of a prompt."""
        return promptwords.shared_parts(self._request(prompt))

    def _request(self, prompt, model_name="draft", **changes):
        return models.StreamRequest(
            f"s{next(self._ids)}",
            "crew",
            model_name,
            self.model,
            prompt,
            TOKENS,
            1,
            entries.Priority.STANDARD,
            time.monotonic() + 30.0,
            fingerprint=prompt,
            **changes,
        )


def texts(run):
    """Returns the texts of the tokens that a run yields."""
    return [token.text for tokens in run for token in tokens]


def _stage(names, start):
    return [
        entries.EngineTarget(name, name, "suva", start, start + 12)
        for name in names
    ]
