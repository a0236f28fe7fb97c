import json

import pytest

from briarfall import exceptions
from briarfall import settings

VALID = {
    "instance": "router-1",
    "zone": "suva",
    "log_url": "http://127.0.0.1:9000",
    "secret": "0123456789abcdef",
}


class TestParse:
    def test_defaults(self):
        cfg = settings.parse(json.dumps(VALID).encode())
        assert cfg.instance == "router-1"
        assert cfg.caller.port == 0

    @pytest.mark.parametrize(
        ("changes", "part"),
        [
            ({"instance": ""}, "instance is empty"),
            ({"zone": ""}, "zone is empty"),
            ({"zone": 3}, "$.zone"),
            ({"secret": "short"}, "secret is shorter"),
            ({"log_url": "127.0.0.1:9000"}, "log_url"),
            ({"log_adapter": "grpc"}, "log_adapter"),
            ({"colour": "red"}, "colour"),
            ({"caller": {"host": "localhost"}}, "caller.host"),
            ({"caller": {"port": 70_000}}, "caller.port"),
            ({"drain_grace_s": 0}, "drain_grace_s"),
            ({"drain_notice_s": 90}, "drain_notice_s"),
            ({"clock_skew_s": -1}, "clock_skew_s"),
            ({"snapshot_s": "5m"}, "$.snapshot_s"),
            ({"membership": {"suspect_s": 1.5}}, "suspect_s"),
            ({"membership": {"max_links": 0}}, "max_links"),
            (
                {
                    "caller": {"port": 8080},
                    "admin": {"port": 8080},
                },
                "same address",
            ),
        ],
    )
    def test_invalid_value_raises_settings_error(self, changes, part):
        data = json.dumps({**VALID, **changes}).encode()
        with pytest.raises(exceptions.SettingsError) as info:
            settings.parse(data)
        assert part in info.value.message
        assert info.value.remedy

    @pytest.mark.parametrize("data", [b"", b"{", b"\xff", b"[]", b"null"])
    def test_malformed_json_raises_settings_error(self, data):
        with pytest.raises(exceptions.SettingsError):
            settings.parse(data)

    def test_missing_file_raises_settings_error(self, tmp_path):
        with pytest.raises(exceptions.SettingsError):
            settings.load(str(tmp_path / "absent.json"))
