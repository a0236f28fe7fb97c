"""Slots of engines that are the head of chains, in costs and in capacities.

An engine runs a limited number of requests as the head of chains; further ones
wait in its queue. Requests of which it runs later layers take no slot.
"""

import random

from briarfall.gateway.catalogue import views

# The charge begins at a share of the slots, since other instances choose heads
# by loads that are some hundred ms old.
_FREE_SHARE = 0.8
# Charge for the last free slot of a head; it grows linearly with the slots
# taken. It lies above that for a head in another zone, so that requests begin
# there before they wait, and below that of a hop over the inter-zone link.
_LAST_SLOT_MS = 1500.0
# Spread of the random factor on the taken slots. Without it, all instances
# that hear of a head's last free slots would leave it at once, and come back
# at once.
_SPREAD = 0.5
# Smallest share of a head's KV capacity that counts, so that the other blocks
# keep replicas too where heads have few slots.
_MIN_SHARE = 0.6


def wait_ms(heads: float, slots: int | None) -> float:
    """Returns the charge for a wait in the queue of a chain's head.

    An engine without requests is never charged.

    Args:
        heads: Requests that the engine received as a head and that it runs or
            holds in its queue.
        slots: Requests that it runs at once as a head; 0 or None if that
            is not known.
    """
    if not slots or slots < 0:
        return 0.0
    beyond = heads + 1 - max(1.0, _FREE_SHARE * slots)
    return max(0.0, beyond / slots) * _LAST_SLOT_MS / (1.0 - _FREE_SHARE)


def charge_ms(
    heads: int, slots: int | None, rng: random.Random | None
) -> float:
    """Returns the charge for a wait, as one instance estimates it.

    The estimates of instances differ, so that they don't all choose the same
    head. A head with many free slots is not charged by any of them.

    Args:
        heads: Requests that the engine received as a head, as far as known.
        slots: Requests that it runs at once as a head; 0 or None if that
            is not known.
        rng: Random number generator; None for the charge without spread.
    """
    if rng is None:
        return wait_ms(heads, slots)
    if not wait_ms(heads * (1 + _SPREAD), slots):
        return 0.0
    return wait_ms(heads * (1 + _SPREAD * rng.random()), slots)


def usable_capacity(model: views.ModelLayout, capacity: float) -> float:
    """Returns the tokens that count of an engine with the first layers.

    A head runs a limited number of requests, so that KV capacity beyond its
    slots is of little use.

    Args:
        model: The model's layout.
        capacity: KV capacity of the engine, in tokens.
    """
    if not model.slots:
        return capacity
    usual = model.mean_prompt_tokens + model.mean_answer_tokens
    return min(capacity, max(model.slots * usual, capacity * _MIN_SHARE))
