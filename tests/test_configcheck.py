"""Tests of the check of a configuration before it is sent."""

import copy
import json
import pathlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from briarfall import exceptions
from briarfall.cli import configchecks
from briarfall.cli import main
from briarfall.gateway.catalogue import configcheck
from briarfall.gateway.catalogue import configdiff
from briarfall.gateway.catalogue import configfindings
from briarfall.platform import configreading
from briarfall.platform import manifest
from briarfall.standins.prepared import testbed

_Code = configfindings.Code
_PAGE = pathlib.Path(__file__).parents[1] / "docs" / "operators" / "check.md"
_KEY = "yhks8nbkxxmibw6kpqk8"
_OTHER_KEY = "bdk9eevyxq2yyazax6pw"
# A configuration of the sort that the platform's pages show.
_STREAM = {
    "name": "r-4y8x7n2",
    "host": "ficu95.example",
    "path_prefix": "/pufi791/",
    "kind": "streaming",
    "timeout_ms": 20000,
    "slo_ms": 502,
    "priority": 1,
    "service": "huvo11a",
    "attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gap_aim_ms": 200,
}
_SPLIT = _STREAM | {
    "name": "r-mk6bxty",
    "path_prefix": "/lohu930/",
    "backends": [
        {"service": "huvo11a", "weight": 90},
        {"service": "wuno96b", "weight": 10},
    ],
    "gap_aim_ms": 250,
}
del _SPLIT["service"]
_READ = {
    "name": "r-read",
    "host": "ficu95.example",
    "path_prefix": "/cufi504/",
    "kind": "idempotent",
    "timeout_ms": 1200,
    "slo_ms": 150,
    "priority": 2,
    "service": "wuno96b",
    "attempts": 2,
    "public": False,
}
_ORDER = _READ | {
    "name": "r-order",
    "path_prefix": "/puxa403/",
    "kind": "mutating",
    "attempts": 1,
}
_ENGINE = {
    "slots": 96,
    "kv_capacity": 50000,
    "kv_token_bytes": 656000,
    "link_mbps": 480000.0,
    "stride": 2,
    "models": [
        {"name": "daka510000", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}
    ],
    "step_ms": 0.85,
    "per_seq_ms": 0.00424,
    "context_per_k": 0.0057,
    "read_per_s": 353000.0,
    "pairs_per_m": 0.0921,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "loads_per_s": 0.0,
    "loads_at_once": 16,
    "delays": [{"from": "kozep-a", "target": "kozep-b", "delay_ms": 0.62}],
    "usual": {"prompt": 772, "answer": 138},
    "layers": 80,
    "layer_mb": 1750.0,
    "act_bytes": 32800,
    "pipe_mbps": 4300.0,
    "kinds": [
        {"name": "a100s", "mb": 36000.0, "pace": 3.1, "read_x": 3.2},
        {"name": "l4", "mb": 21600.0, "pace": 16.0, "read_x": 8.2},
        {"name": "t4", "mb": 14400.0, "pace": 15.0, "read_x": 15.0},
    ],
}
_EXAMPLE = {
    "version": 7,
    "routes": [_STREAM, _SPLIT, _READ, _ORDER],
    "services": [
        {
            "name": "huvo11a",
            "health_path": "/healthz",
            "max_conns": 1258,
            "protocol": "h1",
            "tls": False,
            "engine": _ENGINE,
        },
        {"name": "wuno96b", "health_path": "/healthz", "max_conns": 440},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "hule930", "api_keys": [_KEY, _OTHER_KEY], "priority": 1}
    ],
}


def example(**changes) -> dict:
    """Returns the example with changed fields, named like `routes__0__host`.

    A value of `...` removes the field.
    """
    found = copy.deepcopy(_EXAMPLE)
    for path, value in changes.items():
        *parents, last = path.split("__")
        row = found
        for name in parents:
            row = row[int(name)] if name.isdigit() else row[name]
        if value is ...:
            del row[int(last) if last.isdigit() else last]
        elif last == "more":
            row.append(value)
        else:
            row[int(last) if last.isdigit() else last] = value
    return found


def encode(config: dict) -> bytes:
    return json.dumps(config).encode()


def findings(**changes) -> list[configfindings.Finding]:
    return list(configchecks.check(encode(example(**changes))).findings)


def only(**changes) -> configfindings.Finding:
    """Returns the only finding of the changed example."""
    found = findings(**changes)
    assert len(found) == 1, found
    return found[0]


def codes(**changes) -> set[configfindings.Code]:
    return {finding.code for finding in findings(**changes)}


def is_error(finding: configfindings.Finding) -> bool:
    return finding.severity is configfindings.Severity.ERROR


class TestExample:
    def test_a_configuration_like_the_pages_has_no_finding(self):
        assert findings() == []

    @pytest.mark.parametrize(
        "changes",
        [
            {"tenants": ...},
            {"tenants__0__priority": ...},
            {"limits": ...},
            {"routes__2__slo_ms": ...},
            {"routes__2__public": True},
            {"services__0__engine__layers": ...},
            {
                "routes__more": _READ
                | {"name": "r-deep", "path_prefix": "/cufi504/fi50/"}
            },
            {"routes__more": _READ | {"name": "r-b", "host": "b.example"}},
            {"routes__1__backends__0__weight": 0.5},
            {"routes__1__backends__0__weight": "90"},
            {"more_fields": {"unknown": [1]}},
        ],
        ids=str,
    )
    def test_a_valid_variant_has_no_finding(self, changes):
        assert findings(**changes) == []

    def test_the_configuration_of_the_test_bed_has_no_error(self):
        report = configchecks.check(encode(testbed.manifest(2)))
        assert not any(map(is_error, report.findings))


class TestRefusedAndDropped:
    def test_undecodable(self):
        finding = only(routes__0__timeout_ms="soon")
        assert finding.code is _Code.UNDECODABLE
        assert is_error(finding)
        assert "timeout_ms" in finding.value

    def test_no_json(self):
        report = configchecks.check(b"version: 7")
        assert [row.code for row in report.findings] == [_Code.UNDECODABLE]
        assert report.version is None

    def test_refused_entry_names_each_route_and_service(self):
        found = findings(
            routes__0__kind="safe",
            routes__1__kind="unsafe",
            services__0__engine__layer_mb=0,
        )
        refused = [
            row.subject for row in found if row.code is _Code.REFUSED_ENTRY
        ]
        assert refused == [
            "route r-4y8x7n2",
            "route r-mk6bxty",
            "service huvo11a",
        ]
        assert all(map(is_error, found[:3]))

    @pytest.mark.parametrize(
        "changes",
        [{"services__1__engine": {"layers": 8}}, {"routes__0__kind": "safe"}],
        ids=["service", "route"],
    )
    def test_a_refused_entry_has_no_findings_in_others(self, changes):
        routes = [_STREAM | {"service": "huvo11a"}, _READ]
        assert findings(routes=routes) == []
        finding = only(routes=routes, **changes)
        assert finding.code is _Code.REFUSED_ENTRY

    @pytest.mark.parametrize(
        "raw",
        [b"{}", encode(example(version=8, routes__0__kind="safe"))],
        ids=["undecodable", "refused"],
    )
    def test_a_refused_version_is_not_compared(self, raw):
        report = configchecks.check(raw, encode(example()))
        assert not report.changes
        text = configchecks.render(report, "text")
        assert "differences" not in text
        assert text.endswith("not compared with version 7")
        shape = json.loads(configchecks.render(report, "json"))
        assert shape["differences"] == []
        assert shape["against_version"] == 7

    @pytest.mark.parametrize(
        ("changes", "field", "value"),
        [
            ({"routes__0__slo_ms": -5}, "first_byte_slo_s", "-5 ms"),
            ({"routes__0__timeout_ms": 1e9}, "timeout_s", "1e+09 ms"),
            ({"routes__0__gap_aim_ms": -1}, "event_gap_slo_s", "-1 ms"),
            ({"limits__idle_timeout_ms": 0}, "idle_timeout_s", "0 ms"),
            ({"limits__header_timeout_ms": -2}, "header_timeout_s", "-2 ms"),
            ({"routes__1__backends__0__weight": 1e13}, "weight", "1e+13"),
        ],
        ids=str,
    )
    def test_replaced_value(self, changes, field, value):
        finding = only(**changes)
        assert finding.code is _Code.REPLACED_VALUE
        assert (finding.field, finding.value) == (field, value)
        assert is_error(finding)

    def test_ignored_service(self):
        finding = only(routes__1__service="huvo12b")
        assert finding.code is _Code.IGNORED_SERVICE
        assert is_error(finding)

    def test_a_service_beside_backends_that_hold_it_is_no_finding(self):
        assert findings(routes__1__service="huvo11a") == []

    def test_duplicate_service(self):
        finding = only(services__more={"name": "wuno96b"})
        assert finding.code is _Code.DUPLICATE_SERVICE
        assert is_error(finding)

    def test_shared_key(self):
        finding = only(tenants__more={"name": "b", "api_keys": [_KEY]})
        assert finding.code is _Code.SHARED_KEY
        assert finding.subject == "account b"
        assert "hule930" in finding.expectation
        assert is_error(finding)


class TestMisspeltFields:
    @pytest.mark.parametrize(
        ("changes", "subject", "name", "meant"),
        [
            ({"routes__2__slo_m": 100}, "routes[2]", "slo_m", "slo_ms"),
            ({"routes__0__resumeable": True}, "routes[0]", "resumeable", ""),
            ({"tenants__0__api_key": ["a"]}, "tenants[0]", "api_key", ""),
            ({"limit": {}}, "configuration", "limit", "limits"),
            (
                {"services__0__engine__kinds__0__read": 2.0},
                "services[0].engine.kinds[0]",
                "read",
                "read_x",
            ),
        ],
        ids=str,
    )
    def test_misspelt_field(self, changes, subject, name, meant):
        # The field that is meant is left out, as a misspelt one is.
        (path,) = changes
        written = example(**changes)
        row = written
        for part in path.split("__")[:-1]:
            row = row[int(part)] if part.isdigit() else row[part]
        for field in (meant, "resumable", "api_keys"):
            if field != path.split("__")[-1]:
                row.pop(field, None)
        found = configchecks.check(encode(written)).findings
        (finding,) = [row for row in found if row.code is _Code.MISSPELT_FIELD]
        assert (finding.subject, finding.field) == (subject, name)
        assert meant in finding.expectation

    def test_a_field_that_resembles_a_field_that_is_set_is_no_finding(self):
        assert findings(routes__2__slo_m=100) == []

    def test_a_field_of_the_pages_that_is_not_read_is_no_finding(self):
        # With none of the optional fields that it might resemble.
        bare = {
            name: _STREAM[name]
            for name in ("name", "host", "path_prefix", "kind", "timeout_ms")
        }
        bare |= {"sticky": True, "service": "huvo11a"}
        engine = {
            name: value
            for name, value in _ENGINE.items()
            if name not in ("slots", "kv_token_bytes", "pipe_mbps", "act_bytes")
        }
        services = [
            {"name": "huvo11a", "health_path": "/healthz", "engine": engine},
            {"name": "wuno96b", "protocol": "h1", "tls": False, "cold_s": 1},
        ]
        assert findings(routes__0=bare, services=services) == []

    def test_an_unread_field_that_is_no_text_hides_nothing(self):
        raw = encode(example(unread="*", routes__0__service="typo"))
        raw = raw.replace(b'"*"', b'"\xff"')
        assert manifest.parse(raw).version == 7
        found = configchecks.check(raw).findings
        assert [row.code for row in found] == [_Code.UNKNOWN_SERVICE]


class TestAddresses:
    def test_hidden_route(self):
        hidden = _READ | {"name": "r-late", "host": "FICU95.example".lower()}
        finding = only(routes__more=hidden)
        assert finding.code is _Code.HIDDEN_ROUTE
        assert finding.subject == "route r-late"
        assert "route r-read" in finding.effect

    def test_a_hidden_route_is_the_one_that_the_view_never_returns(self):
        config = example(routes__more=_READ | {"name": "r-late"})
        view = manifest.parse(encode(config))
        assert view.match("ficu95.example", "/cufi504/").name == "r-read"

    def test_host_with_capitals(self):
        finding = only(routes__0__host="Ficu95.example")
        assert finding.code is _Code.HOST_WITH_CAPITALS
        assert not is_error(finding)

    @pytest.mark.parametrize("host", ["", "a.example:80", "a b", "é.example"])
    def test_unmatchable_host(self, host):
        finding = only(routes__0__host=host)
        assert finding.code is _Code.UNMATCHABLE_HOST

    @pytest.mark.parametrize("prefix", ["pufi791/", "/a?b/", "/a b/", "/é/"])
    def test_unmatchable_prefix(self, prefix):
        finding = only(routes__0__path_prefix=prefix)
        assert finding.code is _Code.UNMATCHABLE_PREFIX

    @pytest.mark.parametrize("prefix", ["", "/pufi791"])
    def test_prefix_without_slash(self, prefix):
        finding = only(routes__0__path_prefix=prefix)
        assert finding.code is _Code.PREFIX_WITHOUT_SLASH

    def test_duplicate_route_name(self):
        finding = only(routes__0__name="r-read")
        assert finding.code is _Code.DUPLICATE_ROUTE_NAME


class TestServices:
    def test_no_service(self):
        finding = only(routes__0__service=...)
        assert finding.code is _Code.NO_SERVICE
        assert is_error(finding)

    def test_unknown_service(self):
        finding = only(routes__0__service="huvo11b")
        assert finding.code is _Code.UNKNOWN_SERVICE
        assert finding.value == "huvo11b"
        assert is_error(finding)

    def test_a_share_without_weight_needs_no_entry(self):
        share = {"service": "huvo12b", "weight": 0}
        finding = only(routes__1__backends__more=share)
        assert finding.code is _Code.WEIGHTLESS_SHARE

    def test_unreached_service(self):
        finding = only(services__more={"name": "spare"})
        assert finding.code is _Code.UNREACHED_SERVICE
        assert finding.subject == "service spare"

    def test_a_service_of_a_hidden_route_only_is_unreached(self):
        hidden = _READ | {"name": "r-late", "service": "spare"}
        found = codes(routes__more=hidden, services__more={"name": "spare"})
        assert found == {_Code.HIDDEN_ROUTE, _Code.UNREACHED_SERVICE}

    @pytest.mark.parametrize("weight", [0, -1])
    def test_split_without_weight(self, weight):
        finding = only(
            routes__1__backends__0__weight=weight,
            routes__1__backends__1__weight=weight,
        )
        assert finding.code is _Code.SPLIT_WITHOUT_WEIGHT
        assert is_error(finding)

    def test_weightless_share(self):
        finding = only(routes__1__backends__1__weight=0)
        assert finding.code is _Code.WEIGHTLESS_SHARE
        assert "gets no request" in finding.effect

    def test_the_only_share_gets_all_requests_without_a_weight(self):
        one = [{"service": "huvo11a", "weight": 0}]
        finding = only(routes__1__backends=one)
        assert finding.code is _Code.WEIGHTLESS_SHARE
        assert "gets all requests" in finding.effect

    def test_repeated_share(self):
        again = {"service": "huvo11a", "weight": 1}
        finding = only(routes__1__backends__more=again)
        assert finding.code is _Code.REPEATED_SHARE


class TestAccounts:
    def test_duplicate_account(self):
        again = {"name": "hule930", "api_keys": ["another-key"]}
        assert only(tenants__more=again).code is _Code.DUPLICATE_ACCOUNT

    @pytest.mark.parametrize("name", ["", " a", "a ", "a\r\nX-Admin: 1"])
    def test_unusable_account_name(self, name):
        finding = only(tenants__0__name=name)
        assert finding.code is _Code.UNUSABLE_ACCOUNT_NAME
        assert is_error(finding)

    def test_account_without_keys(self):
        finding = only(tenants__more={"name": "b"})
        assert finding.code is _Code.ACCOUNT_WITHOUT_KEYS
        assert not is_error(finding)

    def test_no_keys(self):
        finding = only(tenants=[])
        assert finding.code is _Code.NO_KEYS
        assert is_error(finding)

    def test_no_keys_are_needed_on_public_routes(self):
        public = {f"routes__{i}__public": True for i in range(4)}
        assert findings(tenants=[], **public) == []

    def test_empty_key(self):
        finding = only(tenants__0__api_keys__more="")
        assert finding.code is _Code.EMPTY_KEY
        assert is_error(finding)

    def test_the_view_accepts_requests_without_a_key_for_an_empty_key(self):
        view = manifest.parse(encode(example(tenants__0__api_keys__0="")))
        route = view.match("ficu95.example", "/cufi504/")
        assert view.account_of(route, "").name == "hule930"

    @pytest.mark.parametrize("key", [" spaced", "line\nbreak", "é", "\x7f"])
    def test_unusable_key(self, key):
        finding = only(tenants__0__api_keys__more=key)
        assert finding.code is _Code.UNUSABLE_KEY

    def test_repeated_key(self):
        finding = only(tenants__0__api_keys__more=_KEY)
        assert finding.code is _Code.REPEATED_KEY

    def test_the_rank_of_an_account_is_checked(self):
        finding = only(tenants__0__priority=10)
        assert finding.code is _Code.PRIORITY_OUT_OF_RANGE
        assert finding.subject == "account hule930"


class TestLimits:
    def test_no_timeout(self):
        finding = only(routes__0__timeout_ms=0)
        assert finding.code is _Code.NO_TIMEOUT
        assert is_error(finding)

    def test_aim_above_timeout(self):
        finding = only(routes__2__slo_ms=1201)
        assert finding.code is _Code.AIM_ABOVE_TIMEOUT
        assert finding.value == "1.201 s"
        assert "1.2 s" in finding.expectation

    def test_an_aim_equal_to_the_timeout_is_no_finding(self):
        assert findings(routes__2__slo_ms=1200) == []

    def test_gap_aim_above_timeout(self):
        finding = only(routes__0__gap_aim_ms=20001)
        assert finding.code is _Code.GAP_AIM_ABOVE_TIMEOUT

    def test_gap_aim_without_stream(self):
        finding = only(routes__2__gap_aim_ms=100)
        assert finding.code is _Code.GAP_AIM_WITHOUT_STREAM

    @pytest.mark.parametrize("route", [2, 3])
    def test_resumable_without_stream(self, route):
        finding = only(**{f"routes__{route}__resumable": True})
        assert finding.code is _Code.RESUMABLE_WITHOUT_STREAM

    @pytest.mark.parametrize("field", ["resumable", "gap_aim_ms"])
    def test_no_word_that_configurations_lack(self, field):
        finding = only(**{f"routes__3__{field}": 1})
        assert "route without streams" in finding.expectation

    def test_no_attempts(self):
        finding = only(routes__3__attempts=0)
        assert finding.code is _Code.NO_ATTEMPTS

    @pytest.mark.parametrize(
        "changes",
        [{"routes__3__attempts": 2}, {"routes__0__resumable": False}],
        ids=["mutating", "stream"],
    )
    def test_attempts_of_single_run(self, changes):
        finding = only(**changes)
        assert finding.code is _Code.ATTEMPTS_OF_SINGLE_RUN
        assert finding.value == "2"

    def test_priority_out_of_range(self):
        finding = only(routes__0__priority=10)
        assert finding.code is _Code.PRIORITY_OUT_OF_RANGE
        assert findings(routes__0__priority=9) == []

    def test_no_header_bytes(self):
        finding = only(limits__max_header_bytes=0)
        assert finding.code is _Code.NO_HEADER_BYTES
        assert is_error(finding)

    def test_header_limit_above_body_limit(self):
        finding = only(limits__max_body_bytes=16383)
        assert finding.code is _Code.HEADER_LIMIT_ABOVE_BODY_LIMIT

    def test_idle_below_header_timeout(self):
        finding = only(limits__idle_timeout_ms=2999)
        assert finding.code is _Code.IDLE_BELOW_HEADER_TIMEOUT


class TestModels:
    def test_no_accelerators(self):
        finding = only(services__0__engine__kinds=[])
        assert finding.code is _Code.NO_ACCELERATORS
        assert is_error(finding)

    def test_unplaceable_layers(self):
        finding = only(services__0__engine__layer_mb=36001)
        assert finding.code is _Code.UNPLACEABLE_LAYERS
        assert is_error(finding)

    def test_accelerator_too_small(self):
        finding = only(services__0__engine__kinds__2__mb=1749)
        assert finding.code is _Code.ACCELERATOR_TOO_SMALL
        assert "t4" in finding.value

    def test_no_slots(self):
        finding = only(services__0__engine__slots=0)
        assert finding.code is _Code.NO_SLOTS

    def test_request_above_memory(self):
        finding = only(services__0__engine__kv_token_bytes=1e10)
        assert finding.code is _Code.REQUEST_ABOVE_MEMORY

    def test_aim_below_prefill(self):
        # 772 tokens at 353,000 a second take 7 ms on the fastest kind.
        finding = only(routes__0__slo_ms=6)
        assert finding.code is _Code.AIM_BELOW_PREFILL
        assert finding.subject == "route r-4y8x7n2"
        assert findings(routes__0__slo_ms=8) == []

    def test_gap_aim_below_step(self):
        # A step takes 2.6 ms on the fastest kind.
        finding = only(routes__0__gap_aim_ms=2)
        assert finding.code is _Code.GAP_AIM_BELOW_STEP
        assert findings(routes__0__gap_aim_ms=3) == []


class TestVersions:
    def test_version_not_newer(self):
        changed = example(routes__0__slo_ms=400)
        report = configchecks.check(encode(changed), encode(example()))
        assert [row.code for row in report.findings] == [
            _Code.VERSION_NOT_NEWER
        ]
        assert report.exit_code is configchecks.ExitCode.ERRORS

    def test_the_version_in_force_itself_is_no_finding(self):
        report = configchecks.check(encode(example()), encode(example()))
        assert report.findings == ()
        assert report.changes == ()

    def test_a_version_in_force_that_can_not_be_decoded_is_a_finding(self):
        report = configchecks.check(encode(example()), b"{}")
        assert [row.subject for row in report.findings] == [
            "configuration in force"
        ]


def text_of(change) -> str:
    return " | ".join(
        (
            change.change.value,
            change.subject,
            configreading.field_name(change.field),
            change.before,
            change.after,
            change.effect,
        )
    )


def changes_of(**changes) -> list[str]:
    """Returns the differences of the changed example without its version."""
    changed = encode(example(version=8, **changes))
    report = configchecks.check(changed, encode(example()))
    assert report.changes[0].field == "version"
    return [text_of(change) for change in report.changes[1:]]


class TestRouteDifferences:
    def test_added_route(self):
        added = _READ | {"name": "r-new", "path_prefix": "/new/"}
        assert changes_of(routes__more=added) == [
            "added | route r-new |  |  | ficu95.example/new/ to wuno96b 100% "
            "| requests that were refused as not found are served"
        ]

    def test_an_added_route_takes_requests_from_a_shorter_prefix(self):
        added = _ORDER | {"name": "r-new", "path_prefix": "/cufi504/x/"}
        (text,) = changes_of(routes__more=added)
        assert "takes requests from route r-read (wuno96b 100%" in text

    def test_removed_route(self):
        assert changes_of(routes__3=...) == [
            "removed | route r-order |  | ficu95.example/puxa403/ |  | "
            "requests are refused as not found"
        ]

    def test_a_removed_route_may_leave_its_requests_to_another(self):
        (text, *_) = changes_of(
            routes__3=_READ | {"name": "r-all", "path_prefix": "/"}
        )
        assert "removed | route r-order" in text
        assert "route r-all takes its requests" in text

    def test_renamed_route(self):
        (text,) = changes_of(routes__2__name="r-other")
        assert text == (
            "changed | route r-other | name | r-read | r-other | none for "
            "callers; logs and metrics use the new name"
        )

    def test_moved_address(self):
        (text,) = changes_of(routes__2__path_prefix="/moved/")
        assert "path_prefix | ficu95.example/cufi504/" in text
        assert "at the old address: requests are refused" in text

    def test_moved_service(self):
        (text,) = changes_of(routes__0__service="wuno96b")
        assert text.endswith("requests move from huvo11a to wuno96b")

    def test_changed_weights(self):
        (text,) = changes_of(routes__1__backends__0__weight=30)
        assert "huvo11a 90%, wuno96b 10% | huvo11a 75%, wuno96b 25%" in text

    def test_weights_in_another_scale_are_no_difference(self):
        scaled = [
            {"service": "huvo11a", "weight": 9},
            {"service": "wuno96b", "weight": 1},
        ]
        assert changes_of(routes__1__backends=scaled) == []

    def test_no_longer_idempotent(self):
        (text,) = changes_of(routes__2__kind="mutating")
        assert "idempotent | at most one run" in text
        assert "not sent again and fails with an unknown outcome" in text

    def test_becomes_idempotent(self):
        (text,) = changes_of(routes__3__kind="idempotent")
        assert text.endswith("a request may run more than once")

    def test_no_longer_resumable(self):
        (text,) = changes_of(routes__0__resumable=False)
        assert "resumable | resumable stream | stream" in text
        assert "not sent again" in text

    @pytest.mark.parametrize(
        ("field", "value", "effect"),
        [
            ("timeout_ms", 1000, "longer than the new timeout fail"),
            ("timeout_ms", 2000, "may wait longer"),
            ("slo_ms", 100, "may count as late"),
            ("attempts", 1, "fewer targets"),
            ("attempts", 3, "more targets"),
            ("priority", 1, "more urgent"),
            ("priority", 3, "less urgent"),
            ("public", True, "need no key"),
        ],
    )
    def test_changed_field(self, field, value, effect):
        (text,) = changes_of(**{f"routes__2__{field}": value})
        assert f"changed | route r-read | {field} | " in text
        assert effect in text

    def test_times_have_a_unit(self):
        (text,) = changes_of(routes__2__timeout_ms=1000)
        assert "timeout_ms | 1.2 s | 1 s" in text


class TestOtherDifferences:
    def test_added_and_removed_service(self):
        found = changes_of(services__1__name="new", routes__2__service="new")
        removed, added = found[1:]
        assert "requests move from wuno96b to new" in found[0]
        assert removed.startswith("removed | service wuno96b")
        assert added.startswith("added | service new")

    def test_changed_service(self):
        (text,) = changes_of(services__0__engine__layers=40)
        assert "service huvo11a | layers | 80 | 40" in text

    def test_a_model_that_becomes_a_pool(self):
        (text,) = changes_of(services__0__engine=...)
        assert "engine | model of 80 layers | pool of targets" in text

    def test_key_taken_away(self):
        (text,) = changes_of(tenants__0__api_keys=[_KEY])
        assert "removed | account hule930 | api_keys | bdk9..." in text
        assert "callers with this key are refused" in text

    def test_key_added(self):
        (text,) = changes_of(tenants__0__api_keys__more="z" * 20)
        assert "added | account hule930 | api_keys |  | zzzz..." in text

    def test_key_of_another_account(self):
        found = changes_of(
            tenants=[
                {"name": "hule930", "api_keys": [_KEY], "priority": 1},
                {"name": "b", "api_keys": [_OTHER_KEY]},
            ]
        )
        assert "added | account b" in found[0]
        assert "count for the other account" in found[1]

    def test_removed_account_loses_its_keys(self):
        found = changes_of(tenants__0__name="b")
        assert "removed | account hule930" in found[0]
        assert "added | account b" in found[1]
        assert len(found) == 4

    def test_account_priority(self):
        (text,) = changes_of(tenants__0__priority=...)
        assert "account hule930 | priority | 1 | none" in text

    def test_accounts_left_out(self):
        found = changes_of(tenants=...)
        assert "tenants | 1 accounts | no accounts" in found[0]
        assert "callers need no key any more" in found[0]

    @pytest.mark.parametrize(
        ("field", "value", "effect"),
        [
            ("max_header_bytes", 8192, "refused"),
            ("max_body_bytes", 5000000, "accepted"),
            ("header_timeout_ms", 2000, "more slowly are refused"),
            ("idle_timeout_ms", 20000, "stay open longer"),
        ],
    )
    def test_limits(self, field, value, effect):
        (text,) = changes_of(**{f"limits__{field}": value})
        assert f"changed | limits | {field} | " in text
        assert effect in text


class TestCommand:
    @pytest.fixture
    def write(self, tmp_path):
        def write_file(name: str, config: dict) -> str:
            path = tmp_path / name
            path.write_bytes(encode(config))
            return str(path)

        return write_file

    @pytest.mark.parametrize(
        ("changes", "code"),
        [
            ({}, 0),
            ({"services__more": {"name": "spare"}}, 1),
            ({"routes__0__service": "typo"}, 2),
            ({"routes": 3}, 2),
        ],
        ids=["none", "warning", "error", "undecodable"],
    )
    def test_exit_code(self, write, changes, code):
        path = write("new.json", example(**changes))
        assert main.main(["check", path]) == code

    def test_a_file_that_is_not_readable(self, write, tmp_path, capsys):
        path = write("new.json", example())
        missing = str(tmp_path / "missing.json")
        assert main.main(["check", missing]) == 3
        assert main.main(["check", path, "--against", missing]) == 3
        assert "cannot read" in capsys.readouterr().err

    def test_differences_alone_do_not_change_the_exit_code(self, write):
        new = write("new.json", example(version=8, routes__3=...))
        old = write("old.json", example())
        assert main.main(["check", new, "--against", old]) == 0

    def test_text(self, write, capsys):
        path = write("new.json", example(routes__0__slo_ms=30000))
        main.main(["check", path])
        assert capsys.readouterr().out.splitlines() == [
            "warning aim_above_timeout route r-4y8x7n2: slo_ms: 30 s; "
            "expected at most the timeout, 20 s; requests end before the time "
            "up to which they are on time; remedy: raise the timeout or lower "
            "the aim",
            "version 7: 0 errors, 1 warnings",
        ]

    def test_errors_come_first(self, write, capsys):
        changes = {"routes__0__slo_ms": 30000, "routes__2__service": "typo"}
        main.main(["check", write("new.json", example(**changes))])
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith("error unknown_service")
        assert lines[1].startswith("warning aim_above_timeout")

    def test_json_shape(self, write, capsys):
        new = write("new.json", example(version=8, routes__2__slo_ms=2000))
        old = write("old.json", example())
        arguments = ["check", new, "--against", old, "--format", "json"]
        assert main.main(arguments) == 1
        found = json.loads(capsys.readouterr().out)
        assert list(found) == [
            "format",
            "file",
            "version",
            "against",
            "against_version",
            "errors",
            "warnings",
            "findings",
            "differences",
        ]
        assert found["format"] == 1
        assert (found["file"], found["against"]) == (new, old)
        assert (found["version"], found["against_version"]) == (8, 7)
        assert (found["errors"], found["warnings"]) == (0, 1)
        (finding,) = found["findings"]
        assert list(finding) == [
            "severity",
            "code",
            "subject",
            "field",
            "value",
            "expectation",
            "effect",
            "remedy",
        ]
        assert finding["severity"] == "warning"
        assert finding["code"] == "aim_above_timeout"
        assert finding["field"] == "slo_ms"
        assert [list(row) for row in found["differences"]] == [
            ["change", "subject", "field", "before", "after", "effect"]
        ] * 2

    @pytest.mark.parametrize("output", ["text", "json"])
    def test_no_key_is_printed_in_full(self, write, capsys, output):
        secrets = ["k" * 15, "wxyz", _KEY, _OTHER_KEY, " spaced key of some"]
        rows = [
            {"name": "a", "api_keys": secrets},
            {"name": "b", "api_keys": [*secrets, *secrets]},
        ]
        new = write("new.json", example(version=8, tenants=rows))
        old = write("old.json", example(tenants__0__api_keys__more="w" * 30))
        for pair in ([new, "-a", old], [old, "-a", new]):
            main.main(["check", *pair, "--format", output])
        printed = capsys.readouterr().out
        for key in (*secrets, "w" * 30):
            assert key not in printed

    def test_a_name_does_not_break_the_line(self, write, capsys):
        path = write("new.json", example(routes__0__name="a\nerror b"))
        main.main(["check", path])
        main.main(["check", write("b.json", example(routes__0__host="a\nb"))])
        for line in capsys.readouterr().out.splitlines():
            assert line.startswith(("version", "error unmatchable", "warning"))

    def test_nothing_to_compare(self, write, capsys):
        code = main.main(["check", "--against", write("a", example())])
        assert code == 3
        assert "give a file" in capsys.readouterr().err


class TestPage:
    def test_lists_each_code_with_its_severity(self):
        rows = {}
        for line in _PAGE.read_text().splitlines():
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            if cells[0].strip("`") in {code.value for code in _Code}:
                rows[cells[0].strip("`")] = cells[1]
        expected = {}
        for code in _Code:
            finding = configfindings.Finding(code, *[""] * 6)
            expected[code.value] = finding.severity.value
        assert rows == expected


_NAMES = st.sampled_from(["", "a", "b", "é", "a\nb", "A.example", "x" * 300])
_FINITE = st.floats(-1e300, 1e300) | st.integers(-5, 10**6)
_POSITIVE = st.floats(0, 1e12) | st.sampled_from([0, 1, 100])
_COUNTS = st.integers(0, 12) | st.just(10**12)
_PREFIXES = st.sampled_from(["", "/", "/a", "/a/", "/a/b/", "x", "/?/"])
_ROUTES = st.fixed_dictionaries(
    {
        "name": _NAMES,
        "host": _NAMES,
        "path_prefix": _PREFIXES,
        "kind": st.sampled_from(
            ["idempotent", "mutating", "streaming", "streaming", "odd"]
        ),
        "timeout_ms": _FINITE,
    },
    optional={
        "slo_ms": _FINITE,
        "priority": _COUNTS,
        "service": _NAMES | st.none(),
        "backends": st.lists(
            st.fixed_dictionaries(
                {"service": _NAMES}, optional={"weight": _FINITE}
            ),
            max_size=3,
        )
        | st.none(),
        "attempts": _COUNTS,
        "public": st.booleans(),
        "resumable": st.booleans(),
        "gap_aim_ms": _FINITE,
    },
)
_ENGINES = st.fixed_dictionaries(
    {},
    optional={
        "slots": _COUNTS,
        "kv_token_bytes": _POSITIVE,
        "step_ms": _POSITIVE,
        "per_seq_ms": _POSITIVE,
        "read_per_s": _POSITIVE,
        "loads_at_once": _COUNTS,
        "layers": st.integers(0, 200),
        "layer_mb": _POSITIVE,
        "kinds": st.lists(
            st.fixed_dictionaries(
                {"name": _NAMES, "mb": _POSITIVE},
                optional={"pace": _POSITIVE, "read_x": _POSITIVE},
            ),
            max_size=3,
        ),
        "usual": st.fixed_dictionaries(
            {}, optional={"prompt": _POSITIVE, "answer": _POSITIVE}
        ),
    },
)
_MANIFESTS = st.fixed_dictionaries(
    {"version": _COUNTS, "routes": st.lists(_ROUTES, max_size=4)},
    optional={
        "services": st.lists(
            st.fixed_dictionaries(
                {"name": _NAMES},
                optional={"max_conns": _COUNTS, "engine": _ENGINES},
            ),
            max_size=4,
        ),
        "limits": st.fixed_dictionaries(
            {},
            optional={
                "max_header_bytes": _COUNTS,
                "max_body_bytes": _COUNTS,
                "header_timeout_ms": _FINITE,
                "idle_timeout_ms": _FINITE,
            },
        ),
        "tenants": st.lists(
            st.fixed_dictionaries(
                {"name": _NAMES},
                optional={
                    "api_keys": st.lists(_NAMES, max_size=3),
                    "priority": _COUNTS | st.none(),
                },
            ),
            max_size=3,
        )
        | st.none(),
    },
)


class TestAnyConfiguration:
    @settings(max_examples=300, deadline=None)
    @given(_MANIFESTS, _MANIFESTS)
    def test_is_checked_and_compared_without_an_exception(self, new, old):
        for output in ("text", "json"):
            report = configchecks.check(encode(new), encode(old))
            configchecks.render(report, output)
        assert (report.exit_code is configchecks.ExitCode.OK) == (
            not report.findings
        )

    @settings(max_examples=300, deadline=None)
    @given(_MANIFESTS)
    def test_differs_in_nothing_from_itself(self, config):
        cfg = configreading.read(encode(config)).configuration
        assert configdiff.compare(cfg, cfg) == []
        assert configcheck.check_version(cfg, cfg) == []

    @settings(max_examples=300, deadline=None)
    @given(_MANIFESTS)
    def test_is_refused_exactly_if_instances_refuse_it(self, config):
        reading = configreading.read(encode(config))
        refused = {_Code.UNDECODABLE, _Code.REFUSED_ENTRY}
        is_refused = any(row.code in refused for row in reading.findings)
        try:
            view = manifest.parse(encode(config))
        except exceptions.CatalogueError:
            assert is_refused
            return
        assert not is_refused
        assert reading.configuration.view() == view

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_bytes_that_are_no_configuration_are_a_finding(self, raw):
        report = configchecks.check(raw)
        assert report.exit_code is configchecks.ExitCode.ERRORS
