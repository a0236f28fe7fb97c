"""Tells crashes of targets from lost responses."""

from briarfall.gateway import calls
from briarfall.gateway import crashes
from briarfall.gateway import evidence
from briarfall.gateway import targets


class CrashDetector:
    """Notes the targets that ended while they ran a request.

    Args:
        crash_table: Requests that crashed their targets.
    """

    def __init__(self, crash_table: crashes.CrashTable):
        self._crashes = crash_table

    def note_cut(
        self,
        call: calls.Call,
        target: targets.Target,
        reach: evidence.Reach,
    ) -> None:
        """Takes in that a target broke off a request.

        Args:
            call: The request.
            target: The target.
            reach: How the target answers an attempt to connect since.
        """
        if reach is not evidence.Reach.REFUSED:
            return
        self._crashes.note(
            crashes.Crash(
                crashes.fingerprint(call),
                target.id,
                target.entry.started_ms,
            )
        )
