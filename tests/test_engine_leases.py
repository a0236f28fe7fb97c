"""Leases on engines when the log comes back from an older copy."""

import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.adapters import log
from briarfall.engineorders import leases
from briarfall.standins import log as log_standins


@pytest.fixture
def standin():
    part = log_standins.LogStandin()
    part.start()
    yield part
    part.stop()


def _manager(standin, name):
    adapter = log.HttpLogAdapter(standin.url)
    return leases.LeaseManager(ids.InstanceId(name), adapter)


class TestRestoredLog:
    def test_fencing_number_is_higher_than_all_that_were_lost(self, standin):
        copy = standin.snapshot()
        first = _manager(standin, "i1")
        for _ in range(5):
            before = first.acquire("engine").fence
        standin.restore(copy)
        assert _manager(standin, "i2").acquire("engine").fence > before

    def test_holder_of_a_lost_lease_notices(self, standin):
        copy = standin.snapshot()
        first = _manager(standin, "i1")
        first.acquire("engine")
        standin.restore(copy)
        second = _manager(standin, "i2").acquire("engine")
        with pytest.raises(exceptions.LeaseError):
            first.check("engine")
        assert first.current("engine") == second

    def test_holder_acquires_again_with_a_higher_number(self, standin):
        first = _manager(standin, "i1")
        first.acquire("engine")
        copy = standin.snapshot()
        before = first.acquire("engine").fence
        standin.restore(copy)
        with pytest.raises(exceptions.LeaseError):
            first.check("engine")
        assert first.acquire("engine").fence > before
        assert first.check("engine").fence > before
