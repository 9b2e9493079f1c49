"""
Backpressure that an upstream signals in its responses.

``Signals`` are the signals of one response, decoded by the protocol's dialect;
``Backpressure`` is what one process has learned from those of one upstream. Performs no
I/O and reads no clock: every method takes the instant.
"""

import enum

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import named_limit, shared_rate

#: Shortest time between two log lines about a limit that changes, in seconds.
MIN_LOG_INTERVAL_S = 4.0
#: Seconds for which an upstream is sent nothing after its id was heard to be leaving by
#: another start, if no health check says that it is well: one that leaves has mostly
#: ended by then.
MAX_WITHHELD_S = 15.0


class InvalidHeader(msgspec.Struct, frozen=True):
    """The name of a header that cannot be parsed, and the beginning of its value."""

    name: str
    value: str


class Signals(msgspec.Struct, frozen=True):
    """
    The backpressure signals of one response.

    ``limit_per_s``: the requests per second that the upstream accepts from all
    processes together, None if it advertises no limit. ``backoff_s``: the seconds for
    which this process is to send it nothing, None if it asks for no backoff.
    ``is_leaving``: it is shutting down.
    """

    limit_per_s: float | None = None
    backoff_s: float | None = None
    is_leaving: bool = False
    unreadable: tuple[InvalidHeader, ...] = ()


class Change(enum.Enum):
    """What a response has changed."""

    LIMITED = "limited"
    LIMIT_ENDED = "limit ended"
    BACKOFF = "rests"
    UNREADABLE = "unreadable"


class ChangeEvent(msgspec.Struct, frozen=True):
    """A change to be logged, with the signal that caused it."""

    change: Change
    limit_per_s: float = 0.0
    backoff_s: float = 0.0
    unreadable: InvalidHeader | None = None


class Backpressure:
    """
    The backpressure of one upstream as one process knows it.

    Once set, ``is_leaving`` holds for the rest of this incarnation of the upstream;
    ``leaving_at`` is when it was last signalled. ``backoff_until`` is when it may be
    sent requests again. Until ``withheld_until`` it is sent nothing because it may be
    the process that signalled that it leaves before this incarnation was listed;
    ``well_at`` is when a health check last said that it is well.
    """

    def __init__(self, participant: shared_rate.Participant) -> None:
        self.limit = named_limit.AdvertisedLimit(participant)
        self._limit_logged_at = shared_rate.LONG_AGO
        self.is_leaving = False
        self.leaving_at = shared_rate.LONG_AGO
        self.backoff_until = shared_rate.LONG_AGO
        self.withheld_until = shared_rate.LONG_AGO
        self._withheld_since = shared_rate.LONG_AGO
        self.well_at = shared_rate.LONG_AGO
        self._unreadable_names: set[str] = set()

    def in_backoff(self, now: ids.Instant) -> bool:
        """Return whether this process is to send it nothing for now."""
        return now < self.backoff_until or now < self.withheld_until

    def inherit(self, earlier: "Backpressure", now: ids.Instant) -> None:
        """
        Apply the signals received as those of an earlier incarnation.

        The list tells of a restart late: what the new process signalled before that
        was recorded for the earlier one. Limits and backoffs end by themselves if they
        were the earlier one's; leaving is undone by a health check.
        """
        self.limit.update(earlier.limit.per_s, earlier.limit.reported_at, now)
        self.backoff_until = max(self.backoff_until, earlier.backoff_until)
        if earlier.leaving_at > self.well_at:
            self._withheld_since = earlier.leaving_at
            self.withheld_until = ids.later(earlier.leaving_at, MAX_WITHHELD_S)

    def record_well(self, at: ids.Instant) -> None:
        """Record that a health check at ``at`` said that this incarnation is well."""
        self.well_at = max(self.well_at, at)
        if at > self._withheld_since:
            self.withheld_until = shared_rate.LONG_AGO

    def may_send(self, now: ids.Instant, read_until: ids.Instant) -> bool:
        """
        Return whether it may be sent one more request.

        An upstream that rejects requests responds at once, and would otherwise seem to
        have all its slots free. ``read_until``: the upstream has read everything sent
        to it before that instant.
        """
        if self.in_backoff(now):
            return False
        # Called for each upstream compared for a call; most advertise no limit.
        return self.limit.per_s is None or self.limit.may_send(now, read_until)

    def free_at(self, now: ids.Instant, read_until: ids.Instant) -> ids.Instant:
        """Return when it may be sent another request, as far as is known now."""
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
        Apply the signals of one response; return the changes to be logged.

        ``sent_at`` is when its request was sent. A missing limit means that there is
        none only if the response ``is_whole``, that is, to a request that was run:
        rejections may leave the limit out.
        """
        events = self._invalid_header_events(signals.unreadable)
        if signals.is_leaving:
            self.is_leaving = True
            self.leaving_at = now
        if signals.backoff_s is not None:
            events += self._backoff_events(signals.backoff_s, now)
        before = self.limit.per_s
        if signals.limit_per_s is not None:
            self.limit.record_response(signals.limit_per_s, now)
        elif is_whole and not signals.unreadable and sent_at > self.limit.reported_at:
            self.limit.record_response(None, now)
        return events + self._limit_events(before, now)

    def _backoff_events(self, backoff_s: float, now: ids.Instant) -> list[ChangeEvent]:
        """Apply a backoff; of overlapping ones, only the first is logged."""
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
        """Return an event for each header that has not been logged before."""
        new = [one for one in unreadable if one.name not in self._unreadable_names]
        self._unreadable_names.update(one.name for one in new)
        return [ChangeEvent(Change.UNREADABLE, unreadable=one) for one in new]
