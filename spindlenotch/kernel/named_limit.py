"""
The request rate that an upstream advertises as its limit, and this process's part.

The limit applies to all processes together, for as long as the upstream's responses
advertise it. Processes that learn of it notify the others; ``shared_rate`` decides who
sends how much. Performs no I/O and reads no clock.
"""

from spindlenotch import ids
from spindlenotch.kernel import shared_rate

#: Requests to an upstream with a limit are summed up over four seconds.
WINDOW = shared_rate.Window(seconds=4.0, trial_after_s=4.0)
#: Requests per second that are sent however low the limit: only responses tell that it
#: has been lifted.
MIN_PER_S = 0.5
#: Parts of the limit for each process of the fleet while a process sees too few others
#: to rule out that more of them share it: both sides of a partition together send less
#: than one and a half times the limit.
PARTS_PER_ISOLATED_PROCESS = 2
#: Seconds without news of the limit after which a process that holds no part of it
#: sends one request to learn whether it is still advertised.
TRIAL_AFTER_S = 30.0


class AdvertisedLimit:
    """
    The limit of one upstream as one process knows it, and what it may send.

    ``per_s`` is None while the upstream advertises no limit; ``reported_at`` is when
    that was last reported, by a response to this process (``heard_at``) or to a peer;
    ``ended_at`` when the limit was last lifted. ``sent`` counts the requests sent while
    it was advertised.
    """

    def __init__(self, participant: shared_rate.Participant) -> None:
        self.participant = participant
        self.per_s: float | None = None
        self.reported_at = shared_rate.LONG_AGO
        self.heard_at = shared_rate.LONG_AGO
        self.ended_at = shared_rate.LONG_AGO
        self.sent = 0
        self._advertised_at = shared_rate.LONG_AGO
        self._last_sent_at = shared_rate.LONG_AGO
        self._pacer = shared_rate.Pacer(WINDOW)
        self._views: tuple[shared_rate.View, ...] = ()

    @property
    def part_per_s(self) -> float:
        """Return how many requests per second this process may send."""
        return self._pacer.part_per_s

    def record_response(self, per_s: float | None, now: ids.Instant) -> None:
        """Apply the limit in a response to this process, None if it has none."""
        self.heard_at = now
        self.update(per_s, now, now)

    def update(self, per_s: float | None, at: ids.Instant, now: ids.Instant) -> None:
        """Apply the limit in a response at ``at``, unless a later one is known."""
        if at <= self.reported_at:
            return
        self.reported_at = at
        if per_s == self.per_s:
            return
        if self.per_s is None:
            self._advertised_at = now
        if per_s is None:
            self.ended_at = now
        self.per_s = per_s
        self._update_part()

    def set_views(self, views: tuple[shared_rate.View, ...]) -> None:
        """Set the views of who shares rates: recent ones, then the current one."""
        self._views = views
        if self.per_s is not None:
            self._update_part()

    def request_sent(self, now: ids.Instant) -> None:
        """Record that a request is sent."""
        self._last_sent_at = now
        if self.per_s is not None:
            self.sent += 1
        if self.per_s is not None or now < ids.later(self.ended_at, WINDOW.seconds):
            # It may advertise its limit again at once: requests sent meanwhile count.
            self._pacer.sent(now)

    def may_send(self, now: ids.Instant, read_until: ids.Instant) -> bool:
        """
        Return whether one more request may be sent.

        ``read_until``: the upstream has read everything sent to it before that instant.
        """
        return self._pacer.may_send(now, read_until) or self._may_send_trial(now)

    def free_at(self, now: ids.Instant, read_until: ids.Instant) -> ids.Instant:
        """Return when another request may be sent, as far as is known now."""
        return (
            now if self._may_send_trial(now) else self._pacer.free_at(now, read_until)
        )

    def _may_send_trial(self, now: ids.Instant) -> bool:
        if self.part_per_s > 0.0:
            return False
        return now >= ids.later(
            max(self.reported_at, self._last_sent_at), TRIAL_AFTER_S
        )

    def _update_part(self) -> None:
        """Recompute the part of this process."""
        if self.per_s is None:
            self._pacer.set_part(shared_rate.UNLIMITED)
            return
        per_s = max(MIN_PER_S, self.per_s)
        view = self._views[-1] if self._views else shared_rate.EMPTY_VIEW
        if not view.members:
            self._update_isolated_part(per_s, view)
            return
        # At least one request per second each: every holder may be one request ahead.
        max_count = max(1, int(per_s))
        holders = self.participant.holders(view, max_count)
        if self.participant.local_host not in holders:
            self._pacer.set_part(0.0)
            return
        since = max(
            self._advertised_at,
            self.participant.held_since(self._views, max_count, WINDOW),
        )
        # The holders begin one after the other, and at another time for each upstream:
        # otherwise upstreams that advertise limits at the same time would all become
        # free at the same time, too.
        position = holders.index(self.participant.local_host) + self.participant.phase
        self._pacer.set_part(per_s / len(holders), ids.later(since, position / per_s))

    def _update_isolated_part(self, per_s: float, view: shared_rate.View) -> None:
        """Set a small part, which leaves room for all others that may do the same."""
        parts = PARTS_PER_ISOLATED_PROCESS * view.fleet_size
        if not parts:
            self._pacer.set_part(0.0)
            return
        part_per_s = per_s / parts
        # Processes begin at different times: all of them learn of the limit at once,
        # and one request from each would be many in a large fleet.
        since = max([self._advertised_at, *(one.until for one in self._views[:-1])])
        self._pacer.set_part(
            part_per_s, ids.later(since, self.participant.local_phase / part_per_s)
        )
