import uuid

import hypothesis
from hypothesis import strategies as st
import msgspec

from briarfall.catalogue import commands
from briarfall.catalogue import entries
from briarfall.catalogue import fold
from briarfall.catalogue import records

ADMIN = entries.Operator(
    owner="platform",
    key_sha256=["0" * 64],
    role=entries.Role.ADMINISTRATOR,
)
OPERATOR = entries.Operator(owner="tuvatu", key_sha256=["1" * 64])


def edit(name, value, author="admin", if_version=0, **changes):
    data = None if value is None else msgspec.json.encode(value)
    made = commands.make_edit(name, data, author=author, if_version=if_version)
    return msgspec.structs.replace(made, **changes)


def client(requests_per_s=10.0, owner="tuvatu"):
    limits = entries.ClientLimits(requests_per_s=requests_per_s)
    return entries.Client(owner=owner, key_sha256=[], limits=limits)


def apply_all(*items):
    state = fold.CatalogueState()
    start = [
        records.encode(edit("admin", ADMIN, "bootstrap")),
        records.encode(edit("oda", OPERATOR)),
    ]
    data = start + [
        i if isinstance(i, bytes) else records.encode(i) for i in items
    ]
    verdicts = [state.apply(n, d, 100.0 + n) for n, d in enumerate(data)]
    return state, verdicts[2:]


class TestCatalogueState:
    def test_edit_of_a_stale_version_conflicts(self):
        state, verdicts = apply_all(
            edit("crew", client(1.0)),
            edit("crew", client(2.0), if_version=3),
            edit("crew", client(3.0), if_version=3),
        )
        assert verdicts == [
            records.Verdict.APPLIED,
            records.Verdict.APPLIED,
            records.Verdict.CONFLICT,
        ]
        assert state.values["crew"].limits.requests_per_s == 2.0

    def test_edit_id_takes_effect_once(self):
        first = edit("crew", client())
        _, verdicts = apply_all(first, first)
        assert verdicts[1] is records.Verdict.DUPLICATE

    def test_operator_edits_only_entries_of_its_owner(self):
        _, verdicts = apply_all(
            edit("crew", client(), "oda"),
            edit("oslo", client(owner="statens"), "oda"),
            edit("oda2", OPERATOR, "oda"),
            edit("crew", client(), "nobody", if_version=3),
        )
        forbidden = records.Verdict.FORBIDDEN
        assert verdicts == [records.Verdict.APPLIED] + [forbidden] * 3

    def test_operator_cannot_take_over_an_entry(self):
        _, verdicts = apply_all(
            edit("oslo", client(owner="statens")),
            edit("oslo", client(owner="tuvatu"), "oda", if_version=3),
        )
        assert verdicts[1] is records.Verdict.FORBIDDEN

    def test_bootstrap_only_once(self):
        _, verdicts = apply_all(edit("eve", ADMIN, "bootstrap"))
        assert verdicts == [records.Verdict.FORBIDDEN]

    def test_malformed_records_are_skipped(self):
        value = msgspec.Raw(b'{"kind":"client","owner":"x"}')
        broken = msgspec.structs.replace(edit("crew", client()), value=value)
        state, verdicts = apply_all(
            b"garbage", b"\xff", b'{"record":"edit"}', broken
        )
        assert set(verdicts) == {records.Verdict.MALFORMED}
        assert len(state.audit) == 6

    def test_newer_schema_freezes_the_entry(self):
        newer = edit("crew", client(2.0), if_version=3, schema=2)
        state, verdicts = apply_all(
            edit("crew", client(1.0)),
            newer,
            edit("crew", client(3.0), if_version=4),
        )
        assert verdicts[1:] == [records.Verdict.FROZEN] * 2
        assert state.values["crew"].limits.requests_per_s == 1.0

    def test_delete(self):
        state, _ = apply_all(
            edit("crew", client()), edit("crew", None, if_version=3)
        )
        assert "crew" not in state.values

    def test_snapshot_restores_everything(self):
        state, _ = apply_all(edit("crew", client()))
        other = fold.CatalogueState()
        other.load(records.decode(records.encode(state.snapshot())))
        assert other.digest() == state.digest()
        assert other.values == state.values

    def test_older_snapshot_changes_nothing(self):
        early, _ = apply_all(edit("crew", client(1.0)))
        snapshot = early.snapshot()
        late, _ = apply_all(
            edit("crew", client(1.0)), edit("crew", client(2.0), if_version=3)
        )
        digest = late.digest()
        late.load(snapshot)
        assert late.digest() == digest


NAMES = st.sampled_from(["crew", "oslo", "oda"])
EDITS = st.builds(
    lambda name, author, version, rate, number: edit(
        name,
        None if rate == 0 else client(rate),
        author,
        version,
        id=str(uuid.UUID(int=number)),
    ),
    NAMES,
    st.sampled_from(["admin", "oda", "nobody", "bootstrap"]),
    st.integers(0, 12),
    st.integers(0, 3),
    st.integers(1, 6),
)
RECORDS = st.lists(
    st.one_of(EDITS.map(records.encode), st.binary(max_size=20)), max_size=20
)


class TestCatalogueStateProperties:
    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(RECORDS, st.integers(0, 30), st.booleans())
    def test_every_reader_reaches_the_same_state(self, data, cut, deliver):
        start = [
            records.encode(edit("admin", ADMIN, "bootstrap", id="a")),
            records.encode(edit("oda", OPERATOR, id="b")),
        ]
        stream = start + data
        whole = fold.CatalogueState()
        late = fold.CatalogueState()
        for offset, item in enumerate(stream):
            whole.apply(offset, item, 1.0)
            if offset == min(cut, len(stream) - 1):
                late.load(whole.snapshot())
        for offset, item in enumerate(stream):
            if offset >= late.next_offset:
                late.apply(offset, item, 2.0)
        assert late.digest() == whole.digest()
        assert late.values == whole.values

    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(RECORDS)
    def test_version_never_falls(self, data):
        state = fold.CatalogueState()
        versions = {}
        start = [records.encode(edit("admin", ADMIN, "bootstrap"))]
        for offset, item in enumerate(start + data):
            state.apply(offset, item, 1.0)
            for name, entry in state.states.items():
                assert entry.version >= versions.get(name, 0)
                versions[name] = entry.version
