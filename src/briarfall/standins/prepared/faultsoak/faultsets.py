"""Sets of kinds of faults that a soak test plays."""

import enum

from briarfall.standins.prepared.faultsoak import cataloguefaults
from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import instancefaults
from briarfall.standins.prepared.faultsoak import keptconnections
from briarfall.standins.prepared.faultsoak import linkcuts
from briarfall.standins.prepared.faultsoak import oddentries
from briarfall.standins.prepared.faultsoak import restores
from briarfall.standins.prepared.faultsoak import storefaults
from briarfall.standins.prepared.faultsoak import targetfaults
from briarfall.standins.prepared.faultsoak import targetlimits
from briarfall.standins.prepared.faultsoak import targetsilence


class FaultSet(enum.Enum):
    """Names of the sets."""

    USUAL = "usual"
    SILENCE = "silence"
    CUTS = "cuts"
    EXCHANGES = "exchanges"
    CATALOGUE = "catalogue"
    ENTRIES = "entries"
    GONE = "gone"
    LIMITS = "limits"
    RESTORES = "restores"
    # Played beside the other sets, in an order of its own; see pairs.py.
    PAIRS = "pairs"


# How often the restore is in its set, so that it is drawn beside others.
_RESTORE_WEIGHT = 5

# The order decides which fault a seed draws.
_KINDS: dict[FaultSet, list[faults.FaultKind]] = {
    FaultSet.USUAL: [
        storefaults.StoreLink(),
        storefaults.Store(),
        instancefaults.Restart(),
        instancefaults.Kill(),
        instancefaults.Pause(),
        targetfaults.ServiceFault(),
        targetfaults.EngineFault(),
        targetfaults.Backoff(),
        targetfaults.Draining(),
        instancefaults.Reload(),
        storefaults.KeyChange(),
        storefaults.KeyChange(),
    ],
    FaultSet.SILENCE: [
        targetsilence.Silence(),
        targetsilence.Silence(),
        targetsilence.SilenceWithoutConnections(),
    ],
    FaultSet.CUTS: [linkcuts.LinkCut()],
    FaultSet.EXCHANGES: [
        keptconnections.RepeatedRefusal(),
        keptconnections.EarlyClose(),
    ],
    FaultSet.CATALOGUE: [
        cataloguefaults.RouteMove(),
        cataloguefaults.TimeoutChange(),
        storefaults.KeyChange(),
    ],
    FaultSet.ENTRIES: [oddentries.OddEntries()],
    FaultSet.GONE: [
        targetsilence.SilenceWithoutEntry(),
        targetsilence.Silence(),
    ],
    FaultSet.LIMITS: [targetlimits.RateLimits()],
    FaultSet.RESTORES: [restores.StoreRestore()] * _RESTORE_WEIGHT,
    FaultSet.PAIRS: [],
}


def kinds_of(names: list[FaultSet]) -> list[faults.FaultKind]:
    """Returns the kinds of faults of several sets."""
    kinds = []
    for name in names:
        kinds += _KINDS[name]
    return kinds
