"""
Whether this process reaches any upstream at all.

An upstream that does not respond is told from lost links of this host by whether any
other upstream responds. Suspicion arises from failures alone; a check of several
upstreams confirms it. Performs no I/O and reads no clock: every method takes the
instant.
"""

from spindlenotch import ids
from spindlenotch.kernel import shared_rate

#: Distinct upstreams that must fail in a row, without a response of any, before this
#: process suspects its own links.
MIN_FAILED_UPSTREAMS = 3
#: Seconds without any response while requests are in flight, after which a check is
#: due too.
MAX_SILENCE_S = 0.25
#: Seconds between two checks that only such a silence causes: requests may take long.
SILENCE_CHECK_PERIOD_S = 1.0
#: Seconds without any response after which an idle process checks its links.
MAX_IDLE_S = 2.0
#: The same while another process is isolated: this one may get its requests next.
MAX_IDLE_NEAR_ISOLATED_S = 0.6
#: Seconds between two checks while no upstream is reached.
ISOLATED_CHECK_PERIOD_S = 0.4
#: Successful checks in a row that end the isolation: links may come and go.
CHECKS_TO_RECOVER = 2


class Reachability:
    """
    When upstreams last responded, and whether this process is isolated from all.

    Invariant: ``is_isolated`` changes only by ``checked``.
    """

    def __init__(self, now: ids.Instant) -> None:
        self.is_isolated = False
        self.heard_at = now
        self._checked_at = shared_rate.LONG_AGO
        self._in_flight = 0
        self._awaiting_since = now
        self._failed: set[ids.Address] = set()
        self._good_checks = 0

    # Results of requests and probes

    def started(self, now: ids.Instant) -> None:
        """Record that a request was sent."""
        if not self._in_flight:
            self._awaiting_since = now
        self._in_flight += 1

    def ended(self) -> None:
        """Record that a request has got a response or a fault, or was cancelled."""
        self._in_flight -= 1

    def heard(self, now: ids.Instant) -> None:
        """Record a response of any upstream."""
        self.heard_at = now
        self._failed.clear()

    def failed(self, address: ids.Address) -> None:
        """Record that an upstream refused, reset or closed a connection."""
        self._failed.add(address)

    # Checks

    def is_suspect(self) -> bool:
        """Return whether failures suggest that the links of this host are lost."""
        return not self.is_isolated and len(self._failed) >= MIN_FAILED_UPSTREAMS

    def is_idle(self) -> bool:
        """Return whether nothing is in flight and nothing has failed."""
        return not (self.is_isolated or self._in_flight or self._failed)

    def is_check_due(self, now: ids.Instant, *, others_isolated: bool) -> bool:
        """
        Return whether the links must be checked now.

        ``others_isolated``: another process that serves the same callers is isolated.
        """
        since_check_s = now - self._checked_at
        if self.is_isolated:
            return since_check_s >= ISOLATED_CHECK_PERIOD_S
        if self.is_suspect():
            return True
        max_idle_s = MAX_IDLE_NEAR_ISOLATED_S if others_isolated else MAX_IDLE_S
        if min(now - self.heard_at, since_check_s) >= max_idle_s:
            return True
        is_silent = self._in_flight > 0 and (
            now - max(self.heard_at, self._awaiting_since) >= MAX_SILENCE_S
        )
        return is_silent and since_check_s >= SILENCE_CHECK_PERIOD_S

    def checked(self, began_at: ids.Instant, now: ids.Instant) -> bool:
        """
        Apply a check of several upstreams; return whether ``is_isolated`` changed.

        It succeeded if any upstream has responded since ``began_at``.
        """
        self._checked_at = now
        self._failed.clear()
        if self.heard_at < began_at:
            changed = not self.is_isolated
            self.is_isolated = True
            self._good_checks = 0
            return changed
        if not self.is_isolated:
            return False
        self._good_checks += 1
        self.is_isolated = self._good_checks < CHECKS_TO_RECOVER
        return not self.is_isolated
