"""
The requests a second that an upstream says it takes, and this process's part of them.

The limit holds for all processes together, for as long as the upstream's answers name
it. Who hears of it tells the others; ``shared_rate`` says who sends how much. Pure.
"""

from spindlenotch import ids
from spindlenotch.kernel import shared_rate

#: What an upstream that names a limit gets is summed up over four seconds.
WINDOW = shared_rate.Window(seconds=4.0, trial_after_s=4.0)
#: Least requests a second that are sent whatever limit is named: only answers tell that
#: it is over.
MIN_PER_S = 0.5
#: Parts of the limit for each process of the fleet while a process sees too few others
#: to know that no further ones share it: both sides together get less than one and a
#: half times the limit.
PARTS_PER_ISOLATED_PROCESS = 2
#: Seconds without any word of the limit after which a process that holds no part of it
#: asks with one request whether it is still named.
TRIAL_AFTER_S = 30.0


class AdvertisedLimit:
    """
    What one process knows of the limit of one upstream, and may send it.

    ``per_s`` is None while it names none; ``reported_at`` is when it was told so last,
    by an own answer (``heard_at``) or a peer; ``ended_at`` when it ended last. ``sent``
    counts the requests that were sent while it was named.
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
        """Return how many requests a second this process may send."""
        return self._pacer.part_per_s

    def record_response(self, per_s: float | None, now: ids.Instant) -> None:
        """Take in what an answer to this process said."""
        self.heard_at = now
        self.update(per_s, now, now)

    def update(self, per_s: float | None, at: ids.Instant, now: ids.Instant) -> None:
        """Take in what an answer said at ``at``, unless a later one has spoken."""
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
        """Take in who shares rates: as seen now, last, and a while ago."""
        self._views = views
        if self.per_s is not None:
            self._update_part()

    def request_sent(self, now: ids.Instant) -> None:
        """Record that a request goes out."""
        self._last_sent_at = now
        if self.per_s is not None:
            self.sent += 1
        if self.per_s is not None or now < ids.later(self.ended_at, WINDOW.seconds):
            # It may name its limit again at once: what it gets meanwhile counts.
            self._pacer.sent(now)

    def may_send(self, now: ids.Instant, read_until: ids.Instant) -> bool:
        """
        Tell whether one more request may go out.

        ``read_until``: what was sent to it before that instant has been read.
        """
        return self._pacer.may_send(now, read_until) or self._may_send_trial(now)

    def free_at(self, now: ids.Instant, read_until: ids.Instant) -> ids.Instant:
        """Return from when one more may go out, as far as that is known now."""
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
        """Work out anew what part this process has."""
        if self.per_s is None:
            self._pacer.set_part(shared_rate.UNLIMITED)
            return
        per_s = max(MIN_PER_S, self.per_s)
        view = self._views[-1] if self._views else shared_rate.EMPTY_VIEW
        if not view.members:
            self._update_isolated_part(per_s, view)
            return
        # A part of one request a second at least: each holder may be one request ahead.
        most = max(1, int(per_s))
        holders = self.participant.holders(view, most)
        if self.participant.local_host not in holders:
            self._pacer.set_part(0.0)
            return
        since = max(
            self._advertised_at, self.participant.held_since(self._views, most, WINDOW)
        )
        # The holders begin one after the other, and upstreams apart from each other:
        # where all name a limit at once they would else all be free at once, too.
        position = holders.index(self.participant.local_host) + self.participant.phase
        self._pacer.set_part(per_s / len(holders), ids.later(since, position / per_s))

    def _update_isolated_part(self, per_s: float, view: shared_rate.View) -> None:
        """Take a small part, that leaves room for all others that may do the same."""
        parts = PARTS_PER_ISOLATED_PROCESS * view.fleet_size
        if not parts:
            self._pacer.set_part(0.0)
            return
        part_per_s = per_s / parts
        # Each at another time: all of them hear of the limit at once, and one request
        # each would be many in a large fleet.
        since = max([self._advertised_at, *(one.until for one in self._views[:-1])])
        self._pacer.set_part(
            part_per_s, ids.later(since, self.participant.local_phase / part_per_s)
        )
