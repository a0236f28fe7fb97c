"""Parts of a prompt that other prompts may share.

Prompts of completion requests declare no parts. The part that crashes engines
may stand anywhere in a prompt, so its words are taken as parts, and the prefix
for which engines keep a cache.
"""

from briarfall import hashing
from briarfall.gateway.calls import promptparts
from briarfall.gateway.crashes import crashevidence
from briarfall.pipelines import models

# Distinct words of one prompt beyond this number are ignored.
_MAX_WORDS = 256


def shared_parts(req: models.StreamRequest) -> list[crashevidence.SuspectKey]:
    """Returns the keys of the parts of a prompt, per model, in their order."""
    seed = hashing.digest64(req.model_name)
    words = list(dict.fromkeys(req.prompt.split()))[:_MAX_WORDS]
    digests = [hashing.digest64(word, seed) for word in words]
    if req.affinity:
        digests.append(hashing.digest64(f"prefix {req.affinity}", seed))
    return [
        crashevidence.part_key(promptparts.PartId(f"{digest:016x}"))
        for digest in digests
    ]
