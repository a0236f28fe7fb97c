"""The folders of the gateway import only those below them."""

import ast
import pathlib

import pytest

import briarfall.gateway

_ROOT = pathlib.Path(briarfall.gateway.__file__).parent
_PACKAGE = "briarfall.gateway"
# From the top down, as in docs/design.md. The last one holds the modules that
# lie in no folder.
ROOMS = (
    "instance",
    "callers",
    "forwarding",
    "ratelimits",
    "gossip",
    "placement",
    "crashes",
    "calls",
    "scheduling",
    "targets",
    "exchanges",
    "peers",
    "catalogue",
    "",
)


def _room_of(path: pathlib.Path) -> str:
    room = path.relative_to(_ROOT).parent
    return "" if room == pathlib.Path() else room.name


def _imported_rooms(path: pathlib.Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        package, _, room = node.module.rpartition(".")
        if node.module == _PACKAGE:
            found.update(name.name for name in node.names)
        elif package == _PACKAGE:
            found.add(room)
    return found & set(ROOMS)


class TestRooms:
    def test_each_folder_has_its_place_in_the_order(self):
        folders = {path.parent.name for path in _ROOT.glob("*/*.py")}
        assert folders == set(ROOMS[:-1])

    @pytest.mark.parametrize("room", ROOMS, ids=lambda room: room or "base")
    def test_no_module_imports_a_folder_above_its_own(self, room):
        above = set(ROOMS[: ROOMS.index(room)])
        upward = []
        for path in sorted(_ROOT.rglob("*.py")):
            if _room_of(path) != room:
                continue
            for other in _imported_rooms(path) & above:
                upward.append(f"{path.stem} imports {other}")
        assert upward == []
