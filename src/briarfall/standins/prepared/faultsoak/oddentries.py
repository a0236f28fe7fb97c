"""Odd records that another writer leaves in the topics of the store."""

import random
import time

from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes

_DEPTH = 100_000
_DIGITS = 400
# Time for which a new target stays beside the odd entries.
_MIN_STAY_S = 4.0
_TARGETS_TOPIC = "keyed.servers"
_OTHER_TOPICS = (
    "keyed.op",
    "keyed.briarfall-instances",
    "keyed.briarfall-poison",
)
_DEEP = b"[" * _DEPTH + b"]" * _DEPTH
_HUGE = b"9" * _DIGITS


def _entry(**fields: bytes) -> bytes:
    """Returns an entry of a service with some fields replaced."""
    usual = {
        "service": b'"desk"',
        "address": b'"127.0.0.1:1"',
        "zone": b'"z0"',
        "state": b'"ready"',
        "slots": b"8",
        "seq": b"1",
        "born": b"1",
    }
    usual.update(fields)
    pairs = []
    for name, value in usual.items():
        pairs.append(b'"%s": %s' % (name.encode(), value))
    return b"{" + b", ".join(pairs) + b"}"


ODD_RECORDS = {
    "deep": _DEEP,
    "deep_field": _entry(notes=_DEEP),
    "deep_layers": _entry(layers=b'{"from": ' + _DEEP + b"}"),
    "deep_object": b'{"a":' * _DEPTH + b"1" + b"}" * _DEPTH,
    "port_high": _entry(address=b'"127.0.0.1:99999"'),
    "port_zero": _entry(address=b'"127.0.0.1:0"'),
    "port_long": _entry(address=b'"127.0.0.1:' + b"1" * 30 + b'"'),
    "port_power": _entry(address='"127.0.0.1:²"'.encode()),
    "host_lines": _entry(address=b'"127.0.0.1\\r\\nX: y:80"'),
    "host_name": _entry(address=b'"no such host:80"'),
    "slots_negative": _entry(slots=b"-5"),
    "slots_huge": _entry(slots=_HUGE),
    "seq_huge": _entry(seq=_HUGE),
    "born_huge": _entry(born=b"1e400"),
    "born_text": _entry(born=b'"yesterday"'),
    "layers_huge": _entry(
        service=b'"pool"',
        kind=b'"small"',
        layers=b'{"from": 0, "target": 1000000000000000}',
    ),
    "layers_negative": _entry(
        service=b'"pool"',
        kind=b'"small"',
        layers=b'{"from": -5, "target": 3}',
    ),
    "state_list": _entry(state=b"[1]"),
    "service_null": _entry(service=b"null"),
    "nan": _entry(slots=b"NaN"),
    "no_text": b"\xff\xfe\x00\x80",
    "no_text_field": _entry(zone=b'"\xff\xfe"'),
    "surrogate": _entry(zone=b'"\\ud800"'),
    "list": b"[]",
    "null": b"null",
    "number": _HUGE,
    "cut": b'{"service": "desk", "addr',
}


class OddEntries(faults.FaultKind):
    """Adds odd records; meanwhile a target joins the list and leaves it."""

    name = "odd_entries"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Adds records, starts and removes a service, removes the records."""
        names = rng.sample(sorted(ODD_RECORDS), 3)
        written = []
        for name in names:
            key = f"odd-{name}-{rng.randint(0, 9999)}"
            scene.store.put(_TARGETS_TOPIC, key, ODD_RECORDS[name])
            written.append((_TARGETS_TOPIC, key))
        topic = rng.choice(_OTHER_TOPICS)
        other = rng.choice(sorted(ODD_RECORDS))
        scene.store.put(topic, f"odd-{other}", ODD_RECORDS[other])
        written.append((topic, f"odd-{other}"))
        self._join_and_leave(scene, rng, fault_s)
        for topic, key in written:
            scene.store.drop(topic, key)
        return f"{','.join(names)}; {topic} {other}"

    def _join_and_leave(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> None:
        name = f"n{rng.randint(0, 99999)}"
        target = scene.add_service(name, "desk", rng.choice(["z0", "z1"]))
        row = scene.records.join(target)
        time.sleep(_MIN_STAY_S + fault_s)
        target.is_withdrawn = True
        target.remove()
        row.end_s = time.monotonic()
