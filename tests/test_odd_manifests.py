"""Tests that an odd manifest raises one typed error and stops nobody."""

import copy
import json
import random

import pytest

from briarfall import exceptions
from briarfall.gateway.gossip import peermessages
from briarfall.platform import manifest
from briarfall.standins.prepared import testbed
from tests import test_odd_records

_HUGE = 10**400


def changed(path: str, value) -> bytes:
    """Returns a manifest with one field changed, such as `routes.0.kind`."""
    found = copy.deepcopy(testbed.manifest(2))
    *parents, last = path.split(".")
    row = found
    for name in parents:
        row = row[int(name)] if name.isdigit() else row[name]
    row[int(last) if last.isdigit() else last] = value
    return json.dumps(found).encode()


_ODD_FIELDS = [
    ("version", _HUGE),
    ("version", 2**63),
    ("version", -1),
    ("version", None),
    ("routes", None),
    ("routes.0", None),
    ("routes.0.host", None),
    ("routes.0.kind", "k" * 100_000),
    ("routes.0.timeout_ms", "nan"),
    ("routes.0.timeout_ms", "inf"),
    ("routes.0.timeout_ms", _HUGE),
    ("routes.0.slo_ms", "nan"),
    ("routes.0.gap_aim_ms", "nan"),
    ("routes.0.priority", -1),
    ("routes.0.priority", _HUGE),
    ("routes.0.attempts", -1),
    ("routes.0.attempts", _HUGE),
    ("routes.0.backends", [{"service": "desk", "weight": "nan"}]),
    ("services.1.engine.layers", -5),
    ("services.1.engine.layers", 10**15),
    ("services.1.engine.layers", _HUGE),
    ("services.1.engine.layer_mb", 0),
    ("services.1.engine.layer_mb", 1e-300),
    ("services.1.engine.layer_mb", "nan"),
    ("services.1.engine.layer_mb", -1),
    ("services.1.engine.read_per_s", 0),
    ("services.1.engine.slots", _HUGE),
    ("services.1.engine.slots", -1),
    ("services.1.engine.step_ms", "inf"),
    ("services.1.engine.loads_at_once", -1),
    ("services.1.engine.kinds", [{"name": "k", "mb": "nan"}]),
    ("services.1.engine.kinds", [{"name": "k", "mb": 1.0, "pace": -1}]),
    ("services.1.engine.models", [{"name": "m", "load_s": "nan"}]),
    ("services.1.engine.usual", {"prompt": 1e300}),
    ("services.1.engine.usual", {"answer": -1}),
    ("services.1.max_conns", _HUGE),
    ("limits.max_header_bytes", -1),
    ("limits.max_body_bytes", _HUGE),
    ("limits.idle_timeout_ms", "nan"),
    ("tenants.0.priority", _HUGE),
    ("tenants.0.api_keys", None),
]
_NESTED = testbed.manifest(2) | {"more": 1}
ODD_MANIFESTS = {
    **test_odd_records.NO_JSON,
    "nested_field": json.dumps(_NESTED)
    .encode()
    .replace(b'"more": 1', b'"more": ' + b"[" * 100_000 + b"]" * 100_000),
}


class TestParse:
    @pytest.mark.parametrize(
        ("path", "value"),
        _ODD_FIELDS,
        ids=[f"{path}={str(value)[:12]}" for path, value in _ODD_FIELDS],
    )
    def test_odd_field_raises_catalogue_error(self, path, value):
        with pytest.raises(exceptions.CatalogueError) as info:
            manifest.parse(changed(path, value))
        assert len(str(info.value)) < 600

    @pytest.mark.parametrize("name", ODD_MANIFESTS)
    def test_odd_bytes_raise_catalogue_error(self, name):
        with pytest.raises(exceptions.CatalogueError):
            manifest.parse(ODD_MANIFESTS[name])

    @pytest.mark.parametrize(
        "weights", [[0, 1], [5], [0], [1e9, 1], [1e300, 1e300]]
    )
    def test_weights_of_zero_leave_a_service_to_pick(self, weights):
        backends = []
        for weight in weights:
            backends.append({"service": "desk", "weight": weight})
        view = manifest.parse(changed("routes.0.backends", backends))
        route = view.match(testbed.HOST, "/orders/1")
        assert route.pick_service(random.Random(1)) == "desk"


class TestFollower:
    def test_odd_manifest_leaves_the_current_one_in_force(self, world):
        inst = world.instance()
        for name, value in ODD_MANIFESTS.items():
            if value.strip():
                world.store.put("keyed.op", "config", value)
                assert name
        world.publish(testbed.manifest(7))
        testbed.until(
            lambda: inst.follower.view.version == 7, "version 7 is in force"
        )

    def test_listener_that_fails_does_not_stop_the_follower(self, world):
        inst = world.instance()
        failures = []

        def fail():
            failures.append(1)
            raise ValueError("odd")

        inst.follower.add_listener(fail)
        later = []
        inst.follower.add_listener(lambda: later.append(1))
        world.publish(testbed.manifest(2))
        testbed.until(lambda: later, "the other listener is called")
        world.publish(testbed.manifest(3))
        testbed.until(
            lambda: inst.follower.view.version == 3, "version 3 is in force"
        )
        assert failures

    def test_largest_version_fits_into_messages_to_peers(self):
        view = manifest.parse(changed("version", 2**63 - 1))
        message = peermessages.FreshnessResponse(1, 1, view.version, 0, 0, b"")
        assert peermessages.decode(peermessages.encode(message)) == message
