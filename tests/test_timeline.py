"""Commands `briarfall timeline` and `briarfall gateway-status`."""

import json

import pytest

from briarfall import exceptions
from briarfall.cli import gateways
from briarfall.cli import timeline
from briarfall.standins.prepared import testbed
from tests import test_gateway_statuses as statuses


def line(second: float, message: str, instance="i1") -> str:
    """Returns a log line in the format that an instance writes."""
    stamp = f"2026-12-04 09:00:{int(second):02d},{int(second % 1 * 1000):03d}"
    return json.dumps({"time": stamp, "instance": instance, "message": message})


class TestTimeline:
    def write(self, tmp_path, *rows):
        file = tmp_path / "i.log"
        file.write_text("\n".join(rows))
        return str(file)

    def test_counts_and_changes_by_interval(self, tmp_path, capsys):
        path = self.write(
            tmp_path,
            line(1.0, "started instance=i1 zone=z"),
            line(1.1, "started instance=i2 zone=z", "i2"),
            "no log line",
            line(3.5, "request failed request=a code=no_route"),
            line(3.6, "stream broken request=b last_event=3"),
            line(3.9, "stream broken request=c last_event=4"),
        )
        assert timeline.timeline(path) == 0
        rows = capsys.readouterr().out.splitlines()
        assert rows == [
            "09:00:00.0 [started x2]",
            "09:00:02.0 failed=1 broken=2",
        ]

    def test_nothing_to_show_is_an_error(self, tmp_path):
        with pytest.raises(exceptions.NotFoundError):
            timeline.timeline(self.write(tmp_path, "nothing"))

    def test_bad_interval_is_an_error(self, tmp_path):
        with pytest.raises(exceptions.SettingsError):
            timeline.timeline(self.write(tmp_path), interval=0)


class TestGatewayStatus:
    def test_running_instance(self, capsys):
        with testbed.world() as world:
            inst = world.instance()
            host, port = inst.status_address
            assert gateways.gateway_status(f"{host}:{port}") == 0
        out = capsys.readouterr().out
        assert "catalogue_version 1.0" in out
        assert "store_calls_total" in out

    def test_missing_instance_is_a_typed_error(self):
        with pytest.raises(exceptions.TargetUnreachableError):
            gateways.gateway_status("127.0.0.1:1")

    # Guards against counters that are read from a broken response.
    @pytest.mark.parametrize(
        "response",
        [
            b"HTTP/1.1 200 OK\r\nX-One: 1\r\n",
            b"HTTP/1.1 000 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX One: 1\r\nContent-Length: 0\r\n\r\n",
        ],
        ids=["cut head", "status 000", "blank in a name"],
    )
    def test_broken_response_is_a_typed_error(self, response):
        with statuses._servers() as serve:
            with pytest.raises(exceptions.TargetUnreachableError):
                gateways.gateway_status(serve(response))
