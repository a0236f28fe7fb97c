"""Claims when the log comes back from an older copy of its contents."""

import collections
import threading
import time

import hypothesis
from hypothesis import strategies
import pytest

from briarfall import exceptions
from briarfall import httpclient
from briarfall import ids
from briarfall.adapters import log
from briarfall.catalogue import entries
from briarfall.orders import claimrouting
from briarfall.orders import claims
from briarfall.orders import dispatch
from briarfall.orders import keys
from briarfall.orders import partitions
from briarfall.pipelines import targets as target_tables
from briarfall.standins import log as log_standins

_WAIT_S = 10.0
_STREAM = "orders.s.0"
_SKEW_S = 0.0


def _until(condition):
    deadline_s = time.monotonic() + _WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s
        threading.Event().wait(0.01)


def _later_key():
    """Returns a key of a later millisecond than all that happened so far."""
    since_s = time.time()
    _until(lambda: time.time() > since_s + 0.002)
    return keys.new_key()


class _Target:
    """A service that counts the calls that it runs."""

    def __init__(self):
        self.ran = 0
        self.ran_by_body = collections.Counter()

    def send(self, call, timeout_s):
        self.ran += 1
        self.ran_by_body[call.body] += 1
        return httpclient.Reply(200, b"done")


class _RestoringLog(log.HttpLogAdapter):
    """A log that is restored right before the first append."""

    def __init__(self, standin, copy):
        super().__init__(standin.url)
        self._standin = standin
        self._copy = copy

    def append(self, stream, data):
        if self._copy is not None:
            self._standin.restore(self._copy)
            self._copy = None
        return super().append(stream, data)


@pytest.fixture
def standin():
    part = log_standins.LogStandin()
    part.start()
    yield part
    part.stop()


@pytest.fixture
def target():
    return _Target()


@pytest.fixture
def instance(standin, target):
    """Starts instances that send calls under claims in the log."""
    opened = []

    def start(name):
        found = _start(standin, target, name)
        opened.append(found)
        return found

    yield start
    for found in opened:
        found.partitions.stop()


def _start(standin, target, name):
    """Starts an instance."""
    adapter = log.HttpLogAdapter(standin.url)
    # An instance reads the catalogue before it serves anybody.
    adapter.read("catalogue", 0, limit=1, wait_s=0.0)
    found = partitions.PartitionSet(adapter, _SKEW_S)
    directory = claimrouting.StandaloneDirectory(ids.InstanceId(name))
    return _Instance(name, found, directory, target)


class _Instance:
    """What one instance needs to send calls at most once."""

    def __init__(self, name, partition_set, directory, target):
        self.partitions = partition_set
        self.service = entries.Service(
            owner="crew",
            targets=[entries.ServiceTarget("t", "http://127.0.0.1:1", "z1")],
            partitions=1,
        )
        router = claimrouting.ClaimRouter(
            ids.InstanceId(name), partition_set, directory
        )
        table = target_tables.TargetTable()
        self._dispatcher = dispatch.Dispatcher(
            ids.InstanceId(name),
            router,
            table,
            lambda url: target,
            lambda instance: True,
            _SKEW_S,
        )

    @property
    def partition(self):
        return self.partitions.get("s", 0, self.service.window_s)

    def send(self, key, timeout_s=3.0, body=b"x"):
        req = dispatch.OrderRequest(
            ids.ClientId("crew"),
            ids.EntryName("s"),
            self.service,
            dispatch.services.ServiceCall("POST", "/orders", body, {}),
            key,
            time.monotonic() + timeout_s,
        )
        return self._dispatcher.send(req)

    def wait_recorded(self, key):
        _until(lambda: self._is_done(key))

    def _is_done(self, key):
        state = self.partition.wait_done(f"crew/{key}", 0.0)
        return state is not None and state.done is not None


class TestLostClaim:
    def test_call_does_not_run_again_at_the_instance_that_knows(
        self, standin, instance, target
    ):
        first = instance("i1")
        first.send(keys.new_key())
        copy = standin.snapshot()
        key = keys.new_key()
        first.send(key)
        first.wait_recorded(key)
        standin.restore(copy)
        again = first.send(key)
        assert (target.ran, again.body) == (2, b"done")

    def test_claim_is_written_again_for_an_instance_that_starts_later(
        self, standin, instance, target
    ):
        first = instance("i1")
        copy = standin.snapshot()
        key = keys.new_key()
        first.send(key)
        first.wait_recorded(key)
        standin.restore(copy)
        _until(lambda: b"done" in _text(standin))
        again = instance("i2").send(key)
        assert (target.ran, again.body) == (1, b"done")

    def test_call_does_not_run_again_when_all_that_knew_have_died(
        self, standin, instance, target
    ):
        first = instance("i1")
        copy = standin.snapshot()
        key = keys.new_key()
        first.send(key)
        first.wait_recorded(key)
        first.partitions.stop()
        standin.restore(copy)
        with pytest.raises(exceptions.KeyExpiredError) as caught:
            instance("i2").send(key)
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN
        assert target.ran == 1

    def test_call_runs_once_when_it_is_sent_before_claims_are_written_again(
        self, standin, instance, target
    ):
        first = instance("i1")
        copy = standin.snapshot()
        key = keys.new_key()
        first.send(key)
        first.wait_recorded(key)
        standin.restore(copy)
        with pytest.raises(exceptions.KeyExpiredError):
            instance("i2").send(key)
        assert target.ran == 1
        _until(lambda: b"is_rewritten" in _text(standin))
        assert instance("i3").send(key).body == b"done"
        assert target.ran == 1

    def test_claim_that_is_appended_after_a_restore_does_not_win(self, standin):
        standin.put(_STREAM, claims.encode([]))
        copy = standin.snapshot()
        standin.put(_STREAM, claims.encode([]))
        adapter = _RestoringLog(standin, copy)
        partition = partitions.Partition(adapter, _STREAM, 3600.0)
        partition.start()
        claim = claims.Claim("k", ids.Nonce("n"), "d", ids.InstanceId("i1"))
        with pytest.raises(exceptions.LogUnavailableError) as caught:
            partition.claim(claim, _WAIT_S)
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN
        partition.stop()


class TestCallsAfterARestore:
    def test_later_key_runs(self, standin, instance, target):
        first = instance("i1")
        first.send(keys.new_key())
        standin.restore(standin.snapshot())
        with pytest.raises(exceptions.BriarfallError):
            first.send(keys.new_key(time.time() - 1.0))
        first.send(_later_key())
        assert target.ran == 2

    def test_key_runs_at_an_instance_that_started_after_it_was_made(
        self, standin, instance, target
    ):
        first = instance("i1")
        standin.restore(standin.snapshot())
        with pytest.raises(exceptions.BriarfallError):
            first.send(keys.new_key(time.time() - 1.0))
        first.send(_later_key())
        key = _later_key()
        instance("i2").send(key)
        assert target.ran == 2

    def test_log_that_was_never_restored_refuses_no_key(self, instance, target):
        instance("i1").send(keys.new_key(time.time() - 60.0))
        assert target.ran == 1


def _text(standin):
    return b"\n".join(row.data for row in standin.records(_STREAM))


class _RandomDay:
    """Instances that claim calls in a log that is restored at random."""

    def __init__(self):
        self._standin = log_standins.LogStandin()
        self._standin.start()
        self._target = _Target()
        self._instances = []
        for number in range(2):
            self._instances.append(self._start(number))
        self._keys = [keys.new_key()]
        self._copies = [self._standin.snapshot()]

    def _start(self, number):
        return _start(self._standin, self._target, f"i{number}")

    def close(self) -> None:
        """Ends all instances and the log."""
        for inst in self._instances:
            inst.partitions.stop()
        self._standin.stop()

    def make_key(self, number) -> None:
        """A caller makes a key."""
        del number
        self._keys.append(keys.new_key())

    def send(self, number) -> None:
        """A caller sends one of the newest keys to an instance."""
        key = self._keys[-1 - number // 2 % len(self._keys)]
        body = key.encode()
        try:
            self._instances[number % 2].send(key, _SEND_S, body)
        except exceptions.BriarfallError:
            return
        finally:
            assert self._target.ran_by_body[body] <= 1

    def copy(self, number) -> None:
        """A copy of the log is made."""
        del number
        self._copies.append(self._standin.snapshot())

    def restore(self, number) -> None:
        """The log comes back from one of the newest copies."""
        del self._copies[max(1, len(self._copies) - number) :]
        self._standin.restore(self._copies[-1])

    def restart(self, number) -> None:
        """An instance ends and another one knows nothing."""
        number %= 2
        self._instances[number].partitions.stop()
        self._instances[number] = self._start(number)


_SEND_S = 0.5
_STEPS = "make_key send send copy restore restart".split()


class TestRandomRestores:
    @hypothesis.settings(max_examples=30)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_STEPS), strategies.integers(0, 3)
            ),
            min_size=10,
            max_size=30,
        )
    )
    def test_no_call_runs_twice(self, steps):
        day = _RandomDay()
        try:
            for name, number in steps:
                getattr(day, name)(number)
        finally:
            day.close()
