import hypothesis
from hypothesis import strategies as st
import pytest

from briarfall import exceptions
from briarfall.adapters import log
from briarfall.orders import claims
from briarfall.orders import keys
from briarfall.orders import partitions
from briarfall.standins import log as log_standins


def claim(key="k", nonce="n", digest="d"):
    return claims.Claim(key, nonce, digest, "router-1")


def folded(*groups):
    state = claims.ClaimTable(3600.0)
    for offset, group in enumerate(groups):
        state.apply(offset, 100.0 + offset, claims.encode(list(group)))
    return state


class TestClaimTable:
    def test_first_claim_wins(self):
        state = folded([claim(nonce="a")], [claim(nonce="b")])
        assert state.lookup("k").nonce == "a"

    def test_done_by_another_claimant_is_ignored(self):
        done = claims.Done("k", "b", 201)
        state = folded([claim(nonce="a")], [done])
        assert state.lookup("k").done is None

    def test_first_done_is_final(self):
        state = folded(
            [claim(nonce="a")],
            [claims.Done("k", "a", 201), claims.Done("k", "a", 500)],
            [claims.Abandon("k", "a")],
        )
        assert state.lookup("k").done.status == 201

    def test_abandoned_claim_frees_the_key(self):
        state = folded(
            [claim(nonce="a")], [claims.Abandon("k", "a")], [claim(nonce="b")]
        )
        assert state.lookup("k").nonce == "b"

    def test_claim_after_its_abandonment_is_ignored(self):
        state = folded(
            [claims.Abandon("k", "a")], [claim(nonce="a")], [claim(nonce="b")]
        )
        assert state.lookup("k").nonce == "b"

    def test_old_keys_expire(self):
        state = claims.ClaimTable(10.0)
        state.apply(0, 100.0, claims.encode([claim(key="old")]))
        state.apply(1, 120.0, claims.encode([claim(key="new")]))
        assert state.lookup("old") is None
        assert state.lookup("new")

    def test_malformed_records_are_counted(self):
        state = claims.ClaimTable(10.0)
        assert state.apply(0, 1.0, b"garbage") == []
        assert state.malformed == 1


KEYS = st.sampled_from(["k1", "k2"])
NONCES = st.sampled_from(["a", "b", "c"])
OPERATIONS = st.one_of(
    st.builds(claim, KEYS, NONCES),
    st.builds(lambda k, n: claims.Done(k, n, 200), KEYS, NONCES),
    st.builds(claims.Abandon, KEYS, NONCES),
)


class TestClaimProperties:
    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        st.lists(st.lists(OPERATIONS, max_size=4), max_size=12), st.data()
    )
    def test_grouping_and_repetition_change_nothing(self, groups, data):
        flat = [operation for group in groups for operation in group]
        one = folded(*[[operation] for operation in flat])
        many = folded(*groups)
        repeated = folded(*[[op, op] for op in flat])
        for key in ("k1", "k2"):
            assert _view(one, key) == _view(many, key) == _view(repeated, key)

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(st.lists(OPERATIONS, max_size=20))
    def test_holder_changes_only_by_its_own_abandonment(self, operations):
        state = claims.ClaimTable(3600.0)
        holder = {}
        for offset, operation in enumerate(operations):
            state.apply(offset, 1.0, claims.encode([operation]))
            for key in ("k1", "k2"):
                found = state.lookup(key)
                nonce = found.nonce if found else None
                before = holder.get(key)
                if before is not None and nonce != before:
                    assert operation == claims.Abandon(key, before)
                holder[key] = nonce


def _view(state, key):
    found = state.lookup(key)
    return found and (found.nonce, found.done)


class TestPartition:
    @pytest.fixture
    def standin(self):
        part = log_standins.LogStandin()
        part.start()
        yield part
        part.stop()

    def _partition(self, standin):
        adapter = log.HttpLogAdapter(standin.server.url)
        partition = partitions.Partition(adapter, "orders.s.0", 3600.0)
        partition.start()
        return partition

    def test_two_owners_agree(self, standin):
        owners = [self._partition(standin), self._partition(standin)]
        results = [
            owner.claim(claim(nonce=f"n{i}"), 5.0)
            for i, owner in enumerate(owners)
        ]
        assert [r.won for r in results] == [True, False]
        assert results[1].state.nonce == "n0"
        for owner in owners:
            owner.stop()

    def test_append_with_lost_answer_is_read_back(self, standin):
        standin.fault_injector.set(lose_answers=2)
        partition = self._partition(standin)
        assert partition.claim(claim(), 5.0).won
        partition.stop()

    def test_unavailable_log_is_reported(self, standin):
        standin.fault_injector.set(down=True)
        partition = self._partition(standin)
        with pytest.raises(exceptions.LogUnavailableError) as info:
            partition.claim(claim(), 0.3)
        assert info.value.outcome is exceptions.Outcome.UNKNOWN
        partition.stop()

    def test_records_dropped_by_the_log_are_reported(self, standin):
        record = claims.encode([claim(key="other")])
        standin.put("orders.s.0", record, time_s=50.0)
        standin.put("orders.s.0", record, time_s=4e9)
        standin.forget("orders.s.0", 1)
        partition = self._partition(standin)
        result = partition.claim(claim(), 5.0)
        assert result.covered_since_s == 4e9
        partition.stop()


class TestKeys:
    def test_time_round_trip(self):
        key = keys.new_key(1_700_000_000.5)
        assert keys.key_time(key) == 1_700_000_000.5

    @pytest.mark.parametrize(
        "key", ["", "x", "6f1b6c9e-8a4f-4c5e-9d7b-0123456789ab"]
    )
    def test_keys_that_are_no_uuid7_are_refused(self, key):
        with pytest.raises(exceptions.KeyRequiredError):
            keys.key_time(key)

    @pytest.mark.parametrize(
        ("age_s", "error"),
        [
            (96.0, exceptions.KeyExpiredError),
            (-6.0, exceptions.KeyRequiredError),
        ],
    )
    def test_age_limits(self, age_s, error):
        now_s = 1_700_000_000.0
        limits = {"now_s": now_s, "window_s": 100.0, "skew_s": 5.0}
        keys.check_age(keys.new_key(now_s - 94.0), **limits)
        with pytest.raises(error):
            keys.check_age(keys.new_key(now_s - age_s), **limits)
