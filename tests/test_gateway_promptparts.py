"""Parts of a prompt, and what a stream without a chain is told, in memory."""

import pytest

from briarfall.gateway.calls import promptparts
from briarfall.gateway.exchanges import messages
from briarfall.gateway.placement import paths
from briarfall.platform import headers
from tests import test_gateway_decisions


def _parse(value):
    fields = [] if value is None else [(b"X-Prefix-Hash", value)]
    req = messages.CallerRequest(b"POST", b"/drafts/x", fields, b"", 0.0)
    return promptparts.parse(req, headers.HEADERS)


class TestPromptParts:
    @pytest.mark.parametrize(
        ("value", "shared", "own"),
        [
            (None, (), None),
            (b"", (), None),
            (b" , ,", (), None),
            (b"5c1e07a2:800", (), "5c1e07a2"),
            (b"5C1E:800, 91bd:410,e4:250", ("5c1e", "91bd"), "e4"),
            (b"5c1e,91bd:x", ("5c1e",), "91bd"),
            (b"\xff:1,e4:2", ("\xff",), "e4"),
        ],
    )
    def test_last_part_is_the_requests_own(self, value, shared, own):
        assert _parse(value) == promptparts.PromptParts(shared, own)

    def test_endless_header_gives_a_bounded_number_of_parts(self):
        parts = _parse(b"aa:1," * 5000)
        assert len(parts.shared) < 100


class TestUncoveredLayers:
    def rows(self, *ranges):
        found = []
        for number, layers in enumerate(ranges):
            found.append(
                test_gateway_decisions.target(f"e{number}", layers=layers)
            )
        return found

    @pytest.mark.parametrize(
        ("ranges", "uncovered"),
        [
            ([], [(0, 80)]),
            ([(0, 80)], []),
            ([(40, 80), (0, 40), (20, 60)], []),
            ([(16, 40), (56, 64)], [(0, 16), (40, 56), (64, 80)]),
        ],
    )
    def test_gaps_between_the_held_layers(self, ranges, uncovered):
        found = paths.uncovered_layers(
            test_gateway_decisions.MODEL, self.rows(*ranges)
        )
        assert [(row.first, row.end) for row in found] == uncovered
