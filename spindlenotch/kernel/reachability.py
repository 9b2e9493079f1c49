"""
Whether this process reaches any upstream at all.

An upstream that does not respond is told from lost links of this host by whether any
other upstream responds. Suspicion arises from failures alone; a check of several
upstreams confirms it. Responses over reused connections do not show that new ones can
be opened, which requests that may run only once need; so both are tracked. Performs no
I/O and reads no clock: every method takes the instant.
"""

from spindlenotch import ids
from spindlenotch.kernel import shared_rate

#: Distinct upstreams that must fail in a row before this process suspects its own
#: links. A response of any ends the row; after a failed connect, only one over a new
#: connection does.
MIN_FAILED_UPSTREAMS = 3
#: Seconds without any response while requests are in flight, after which a check is
#: due too.
MAX_SILENCE_S = 0.25
#: Seconds between two checks that only such a silence causes: requests may take long.
SILENCE_CHECK_PERIOD_S = 1.0
#: Seconds without a response over a new connection after which a process checks its
#: links.
MAX_IDLE_S = 2.0
#: The same while another process is isolated: this one may get its requests next.
MAX_IDLE_NEAR_ISOLATED_S = 0.6
#: Seconds between two checks while no upstream is reached.
ISOLATED_CHECK_PERIOD_S = 0.4
#: Successful checks in a row that end the isolation: links may come and go.
CHECKS_TO_RECOVER = 2


class _Exchanges:
    """Requests of one kind that are in flight, and when one last got a response."""

    def __init__(self, now: ids.Instant) -> None:
        self.heard_at = now
        self.in_flight = 0
        self._awaiting_since = now

    def started(self, now: ids.Instant) -> None:
        if not self.in_flight:
            self._awaiting_since = now
        self.in_flight += 1

    def ended(self) -> None:
        self.in_flight -= 1

    def is_silent(self, now: ids.Instant) -> bool:
        """Return whether none has got a response for too long, though one is due."""
        return self.in_flight > 0 and (
            now - max(self.heard_at, self._awaiting_since) >= MAX_SILENCE_S
        )


class Reachability:
    """
    When upstreams last responded, and whether this process is isolated from all.

    A process that can open no new connection counts as isolated, even if upstreams
    respond over open ones: those become fewer. Invariant: ``is_isolated`` changes only
    by ``checked``.
    """

    def __init__(self, now: ids.Instant) -> None:
        self.is_isolated = False
        self._checked_at = shared_rate.LONG_AGO
        self._all = _Exchanges(now)
        self._over_new_connections = _Exchanges(now)
        self._lost: set[ids.Address] = set()
        self._unconnected: set[ids.Address] = set()
        self._good_checks = 0

    @property
    def heard_at(self) -> ids.Instant:
        """When an upstream last responded over any connection."""
        return self._all.heard_at

    @property
    def connected_at(self) -> ids.Instant:
        """When an upstream last responded over a new connection."""
        return self._over_new_connections.heard_at

    # Results of requests and probes

    def started(self, now: ids.Instant, *, new_connection: bool) -> None:
        """Record that a request was sent, if need be over a reused connection."""
        self._all.started(now)
        if new_connection:
            self._over_new_connections.started(now)

    def ended(self, *, new_connection: bool) -> None:
        """Record that a request has got a response or a fault, or was cancelled."""
        self._all.ended()
        if new_connection:
            self._over_new_connections.ended()

    def heard(self, now: ids.Instant, *, new_connection: bool) -> None:
        """Record a response of any upstream."""
        self._all.heard_at = now
        self._lost.clear()
        if new_connection:
            self._over_new_connections.heard_at = now
            self._unconnected.clear()

    def lost(self, address: ids.Address) -> None:
        """Record that an upstream reset or closed an established connection."""
        self._lost.add(address)

    def connect_failed(self, address: ids.Address) -> None:
        """Record that no connection to an upstream could be established."""
        self._unconnected.add(address)

    # Checks

    def is_suspect(self) -> bool:
        """Return whether failures suggest that the links of this host are lost."""
        failed = self._lost | self._unconnected
        return not self.is_isolated and len(failed) >= MIN_FAILED_UPSTREAMS

    def is_idle(self) -> bool:
        """Return whether nothing is in flight and nothing has failed."""
        has_failed = self._lost or self._unconnected
        return not (self.is_isolated or self._all.in_flight or has_failed)

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
        if min(now - self.connected_at, since_check_s) >= max_idle_s:
            return True
        exchanges = (self._all, self._over_new_connections)
        is_silent = any(one.is_silent(now) for one in exchanges)
        return is_silent and since_check_s >= SILENCE_CHECK_PERIOD_S

    def checked(
        self, began_at: ids.Instant, now: ids.Instant, *, can_connect: bool
    ) -> bool:
        """
        Apply a check of several upstreams; return whether ``is_isolated`` changed.

        ``can_connect``: a new connection was established, whether or not it got a
        response. The check succeeded if that is so, and any upstream has responded
        since ``began_at``.
        """
        self._checked_at = now
        self._lost.clear()
        self._unconnected.clear()
        can_connect = can_connect or self.connected_at >= began_at
        if self.heard_at < began_at or not can_connect:
            changed = not self.is_isolated
            self.is_isolated = True
            self._good_checks = 0
            return changed
        if not self.is_isolated:
            return False
        self._good_checks += 1
        self.is_isolated = self._good_checks < CHECKS_TO_RECOVER
        return not self.is_isolated
