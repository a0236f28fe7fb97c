"""Rendezvous hashing: instances choose the same instance without messages."""

from briarfall import hashing
from briarfall import ids


def score(subject: str, instance: str) -> int:
    """Returns the score of an instance for a subject."""
    return hashing.digest64(f"{subject}|{instance}")


def choose(subject: str, instances: list[ids.InstanceId]) -> ids.InstanceId:
    """Returns the instance with the highest score for a subject."""
    return max(instances, key=lambda name: score(subject, name))


def choose_many(
    subject: str, instances: list[ids.InstanceId], count: int
) -> list[ids.InstanceId]:
    """Returns the `count` instances with the highest scores."""
    ranked = sorted(
        instances, key=lambda name: score(subject, name), reverse=True
    )
    return ranked[:count]
