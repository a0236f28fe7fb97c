"""Test of the gateway demo on the prepared platform."""

from briarfall.bench import gatewaydemo


class TestGatewayDemo:
    def test_every_promise_is_kept(self, capsys):
        assert gatewaydemo.run() == 0
        out = capsys.readouterr().out
        assert "False" not in out
        assert "every stream is whole" in out
