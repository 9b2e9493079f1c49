"""
Learns which of several targets serve requests that cannot be served here.

A target that served the last request sent to it is used freely. Another gets a request
only as a trial. Trials start at intervals, which double until one succeeds, whether
others have failed or still wait. So if no target can serve, few requests are sent in
vain. Performs no I/O and reads no clock: every method takes the instant.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import shared_rate

#: Seconds between the starts of two trials, after a success.
MIN_INTERVAL_S = 0.2
#: Maximum of that interval in seconds, which doubles with each trial.
MAX_INTERVAL_S = 2.0
#: Seconds after a failure, or after the start of a trial, in which a target gets no
#: other trial.
TARGET_PAUSE_S = 5.0


class TargetTrials:
    """Results of requests by target; knows only targets that got one."""

    def __init__(self) -> None:
        self._serving: set[ids.Address] = set()
        self._paused_until_by_target: dict[ids.Address, ids.Instant] = {}
        self._next_trial_at = shared_rate.LONG_AGO
        self._interval_s = MIN_INTERVAL_S

    def serving(self, targets: abc.Sequence[ids.Address]) -> list[ids.Address]:
        """Return those of ``targets`` that served their last request; drop others."""
        self._serving.intersection_update(targets)
        return [target for target in targets if target in self._serving]

    def begin_trial(
        self, targets: abc.Iterable[ids.Address], now: ids.Instant
    ) -> ids.Address | None:
        """Return the first of ``targets`` that is due for a trial; None if none is."""
        if now < self._next_trial_at:
            return None
        self._paused_until_by_target = {
            paused: until
            for paused, until in self._paused_until_by_target.items()
            if until > now
        }
        for target in targets:
            if target in self._serving or target in self._paused_until_by_target:
                continue
            self._pause(target, now)
            self._next_trial_at = ids.later(now, self._interval_s)
            self._interval_s = min(MAX_INTERVAL_S, 2 * self._interval_s)
            return target
        return None

    def succeeded(self, target: ids.Address) -> None:
        """Record that a target has served a request."""
        self._serving.add(target)
        self._interval_s = MIN_INTERVAL_S

    def failed(self, target: ids.Address, now: ids.Instant) -> None:
        """Record that a target has not served a request."""
        self._serving.discard(target)
        self._pause(target, now)

    def _pause(self, target: ids.Address, now: ids.Instant) -> None:
        self._paused_until_by_target[target] = ids.later(now, TARGET_PAUSE_S)
