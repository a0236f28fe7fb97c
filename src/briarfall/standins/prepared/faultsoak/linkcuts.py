"""Faults of the links between instances and all targets."""

import random
import time

from briarfall.standins.prepared import links
from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes

# Shortest and longest time of a cut. Only a long one leaves time to judge
# instances whose connections hang: their callers send few requests.
_DURATIONS_S = ((2.0, 5.0), (2.0, 5.0), (6.0, 9.0))


class LinkCut(faults.FaultKind):
    """Cuts some, most or all instances, or a zone, off from all targets."""

    name = "link_cut"
    durations_s: tuple[tuple[float, float], ...] = _DURATIONS_S

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Cuts instances off and ends that."""
        names = self._claim(scene, rng)
        if not names:
            return "none"
        kinds = list(links.Cut)
        kind = rng.choice(kinds[1:])
        cut_s = rng.uniform(*rng.choice(self.durations_s))
        with scene.records.cut(names, kind):
            scene.set_cut(names, kind)
            time.sleep(cut_s)
            scene.set_cut(names, links.Cut.NONE)
        with scene.lock:
            scene.cut_names.difference_update(names)
        return f"{','.join(sorted(names))} {kind.value} for {cut_s:.1f} s"

    def _claim(self, scene: scenes.Scene, rng: random.Random) -> frozenset[str]:
        """Picks and marks instances that are not cut off.

        Beside another cut, one instance at least stays connected.
        """
        rows = scene.instances
        how = rng.choice(["one", "most", "zone", "zone", "all"])
        count = {"one": 1, "most": len(rows) - 1, "all": len(rows)}.get(how, 0)
        picked = rng.sample(rows, count)
        if how == "zone":
            zone = rng.choice(rows).zone
            picked = [row for row in rows if row.zone == zone]
        names = frozenset(row.name for row in picked)
        with scene.lock:
            if scene.cut_names & names:
                return frozenset()
            if scene.cut_names and len(scene.cut_names | names) == len(rows):
                return frozenset()
            scene.cut_names.update(names)
        return names
