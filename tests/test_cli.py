"""Commands of the command line, against a running instance."""

import json

import pytest

from briarfall.cli import main
from briarfall.standins import engine
from briarfall.standins import platform


@pytest.fixture(scope="module")
def inst():
    plat = platform.Platform([engine.EngineSpec("draft-a", "suva", 0, 24)])
    plat.start()
    plat.put_accounts()
    plat.put("draft", plat.model("draft", 24))
    made = plat.add_instance()
    assert plat.wait_ready()
    yield made
    plat.stop()


@pytest.fixture
def run(inst, capsys, monkeypatch):
    monkeypatch.setenv("BRIARFALL_KEY", "admin-key")

    def call(*argv, admin=True):
        extra = ["--admin-url", inst.admin_url] if admin else []
        code = main.main([*argv, *extra])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call


class TestCatalogueCommands:
    def test_edit_cycle(self, run, tmp_path):
        file = tmp_path / "crew.json"
        value = {"kind": "client", "owner": "tuvatu", "key_sha256": []}
        file.write_text(json.dumps(value))
        code, out, _ = run("catalogue", "put", "crew", str(file))
        assert code == 0 and "in force on 1 of 1" in out
        _, out, _ = run("catalogue", "get", "crew", "--json")
        version = json.loads(out)["version"]
        value["limits"] = {"requests_per_s": 5.0}
        file.write_text(json.dumps(value))
        code, _, err = run("catalogue", "put", "crew", str(file))
        assert code == 6 and "[conflict]" in err and "remedy" in err
        put = ["catalogue", "put", "crew", str(file)]
        code, _, _ = run(*put, "--if-version", str(version))
        assert code == 0
        _, out, _ = run("catalogue", "get", "crew", "--json")
        newer = json.loads(out)["version"]
        diff = ["catalogue", "diff", "crew", str(version), str(newer)]
        _, out, _ = run(*diff, "--json")
        assert json.loads(out)[0]["field"] == "limits"
        _, out, _ = run("catalogue", "history", "crew", "--json")
        verdicts = [line["verdict"] for line in json.loads(out)]
        assert verdicts == ["applied", "conflict", "applied"]
        code, _, _ = run("catalogue", "delete", "crew", str(newer))
        assert code == 0
        code, _, err = run("catalogue", "get", "crew")
        assert code == 5 and err.count("\n") == 1

    def test_list_and_status(self, run):
        code, out, _ = run("catalogue", "list")
        assert code == 0 and "draft" in out
        code, out, _ = run("status", "--json")
        assert json.loads(out)["stage"] == "ready"

    def test_bad_entry(self, run, tmp_path):
        file = tmp_path / "x.json"
        file.write_text('{"kind": "client", "owner": ""}')
        code, _, err = run("catalogue", "put", "x", str(file))
        assert code == 3 and "[bad_entry]" in err


class TestCheck:
    def test_settings(self, run, tmp_path):
        file = tmp_path / "s.json"
        file.write_text("{}")
        code, _, err = run("check", "--config", str(file), admin=False)
        assert code == 3 and "instance" in err

    @pytest.mark.parametrize(
        ("value", "part"),
        [
            (
                {"kind": "model", "owner": "x", "layers": 0, "targets": []},
                "layers",
            ),
            (
                {
                    "kind": "model",
                    "owner": "x",
                    "layers": 4,
                    "targets": [
                        {
                            "id": "a",
                            "url": "http://127.0.0.1:1",
                            "zone": "z",
                            "start": 2,
                            "end": 9,
                        }
                    ],
                },
                "targets[a]",
            ),
            (
                {
                    "kind": "service",
                    "owner": "x",
                    "targets": [],
                    "lookup": "/orders",
                },
                "lookup",
            ),
            (
                {"kind": "client", "owner": "x", "key_sha256": ["short"]},
                "key_sha256",
            ),
            (
                {
                    "kind": "client",
                    "owner": "x",
                    "key_sha256": [],
                    "limits": {"concurrency": 0},
                },
                "limits.concurrency",
            ),
            ({"kind": "robot", "owner": "x"}, "robot"),
        ],
    )
    def test_entries(self, run, tmp_path, value, part):
        file = tmp_path / "e.json"
        file.write_text(json.dumps({"entry": value}))
        code, _, err = run("check", "--entries-file", str(file), admin=False)
        assert code == 3 and part in err and "entry" in err


class TestKeyCommands:
    def test_hash(self, run, tmp_path):
        file = tmp_path / "key"
        file.write_text("admin-key\n")
        code, out, _ = run("key", "hash", str(file), admin=False)
        assert code == 0 and len(out.strip()) == 64
