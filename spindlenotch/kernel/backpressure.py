"""
What an upstream says with its answers of how much it will take.

``Signals`` is what one answer says, decoded by the protocol's dialect;
``Backpressure`` is what one process holds of one upstream by its answers. Pure: every
method takes the instant.
"""

import enum

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import advertised_limit, shared_rate

#: Least seconds between two lines of the log on a limit that moves.
MIN_LOG_INTERVAL_S = 4.0


class InvalidHeader(msgspec.Struct, frozen=True):
    """A header by its name, and the beginning of its value, which means nothing."""

    name: str
    value: str


class Signals(msgspec.Struct, frozen=True):
    """
    What one answer says.

    ``limit_per_s``: the requests a second that the upstream takes from all processes
    together, None where it names none. ``backoff_s``: the seconds for which it wants
    nothing from this process, None where it asks for no rest. ``is_leaving``: it ends.
    """

    limit_per_s: float | None = None
    backoff_s: float | None = None
    is_leaving: bool = False
    unreadable: tuple[InvalidHeader, ...] = ()


class Change(enum.Enum):
    """What has changed by an answer."""

    LIMITED = "limited"
    LIMIT_ENDED = "limit ended"
    BACKOFF = "rests"
    UNREADABLE = "unreadable"


class ChangeEvent(msgspec.Struct, frozen=True):
    """A change that the log tells, with what the answer said of it."""

    change: Change
    limit_per_s: float = 0.0
    backoff_s: float = 0.0
    unreadable: InvalidHeader | None = None


class Backpressure:
    """
    What one upstream has said to one process of how much it will take.

    ``is_leaving`` holds for good, for this start of it. ``backoff_until`` is when it
    may be sent something again.
    """

    def __init__(self, participant: shared_rate.Participant) -> None:
        self.limit = advertised_limit.AdvertisedLimit(participant)
        self._limit_logged_at = shared_rate.LONG_AGO
        self.is_leaving = False
        self.backoff_until = shared_rate.LONG_AGO
        self._unreadable_names: set[str] = set()

    def in_backoff(self, now: ids.Instant) -> bool:
        """Tell whether it wants nothing from this process now."""
        return now < self.backoff_until

    def may_send(self, now: ids.Instant, read_until: ids.Instant) -> bool:
        """
        Tell whether it may be sent one more request.

        An upstream that turns requests away answers at once, and so would seem to have
        all its slots free. ``read_until``: what it got before that instant was read.
        """
        if self.in_backoff(now):
            return False
        # Asked for each upstream that is compared for a call: most name no limit.
        return self.limit.per_s is None or self.limit.may_send(now, read_until)

    def free_at(self, now: ids.Instant, read_until: ids.Instant) -> ids.Instant:
        """Return from when it may be sent one more, as far as that is known now."""
        return max(self.backoff_until, self.limit.free_at(now, read_until))

    def record_signals(
        self,
        signals: Signals,
        *,
        sent_at: ids.Instant,
        is_whole: bool,
        now: ids.Instant,
    ) -> list[ChangeEvent]:
        """
        Take in what an answer says; return what the log is to tell of it.

        ``sent_at`` is when its request was sent. Only an answer that ``is_whole``, to
        a request that was run, says by its silence that there is no limit: refusals
        may leave it out.
        """
        events = self._invalid_header_events(signals.unreadable)
        self.is_leaving |= signals.is_leaving
        if signals.backoff_s is not None:
            events += self._backoff_events(signals.backoff_s, now)
        before = self.limit.per_s
        if signals.limit_per_s is not None:
            self.limit.record_response(signals.limit_per_s, now)
        elif is_whole and not signals.unreadable and sent_at > self.limit.reported_at:
            self.limit.record_response(None, now)
        return events + self._limit_events(before, now)

    def _backoff_events(self, backoff_s: float, now: ids.Instant) -> list[ChangeEvent]:
        """Take in a rest; of those that overlap one is told."""
        is_new = not self.in_backoff(now)
        self.backoff_until = max(self.backoff_until, ids.later(now, backoff_s))
        return [ChangeEvent(Change.BACKOFF, backoff_s=backoff_s)] if is_new else []

    def _limit_events(
        self, before: float | None, now: ids.Instant
    ) -> list[ChangeEvent]:
        limit_per_s = self.limit.per_s
        if limit_per_s is None:
            self._limit_logged_at = shared_rate.LONG_AGO
            return [] if before is None else [ChangeEvent(Change.LIMIT_ENDED)]
        if limit_per_s == before or now - self._limit_logged_at < MIN_LOG_INTERVAL_S:
            return []
        self._limit_logged_at = now
        return [ChangeEvent(Change.LIMITED, limit_per_s)]

    def _invalid_header_events(
        self, unreadable: tuple[InvalidHeader, ...]
    ) -> list[ChangeEvent]:
        """Return what is told once of each header, however often it is sent."""
        new = [one for one in unreadable if one.name not in self._unreadable_names]
        self._unreadable_names.update(one.name for one in new)
        return [ChangeEvent(Change.UNREADABLE, unreadable=one) for one in new]
