"""Faults of targets that name a rate limit for a while."""

import collections
import random
import time

from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes

_MIN_LIMIT_PER_S = 0.5
_MAX_LIMIT_PER_S = 5.0
# Time for which a limit is named, without the drawn time of the fault.
_LIMITED_S = 6.0


def _pick(scene: scenes.Scene, rng: random.Random) -> list:
    """Returns targets; at most half of each service are limited at once.

    The callers don't wait as told, so that the other half has to serve them.
    """
    spare: dict[str, int] = collections.Counter()
    for target in scene.targets:
        spare[target.service] += -1 if target.rate_limit else 1
    targets = []
    for target in rng.sample(scene.targets, len(scene.targets)):
        # Each limited target needs one without a limit.
        if target.rate_limit or spare[target.service] < 2:
            continue
        if rng.random() < 0.5:
            spare[target.service] -= 2
            targets.append(target)
    return targets


class RateLimits(faults.FaultKind):
    """Lets some targets name a rate limit, which changes once."""

    name = "rate_limits"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Names a limit, then a second one, then none."""
        targets = _pick(scene, rng)
        limits = []
        for _ in range(2):
            per_s = rng.uniform(_MIN_LIMIT_PER_S, _MAX_LIMIT_PER_S)
            limits.append(f"{per_s:.1f}")
            for target in targets:
                target.name_limit(limits[-1])
            time.sleep(_LIMITED_S + fault_s)
        for target in targets:
            target.name_limit("")
        names = ",".join(target.id for target in targets)
        return f"{names} limits={','.join(limits)}"
