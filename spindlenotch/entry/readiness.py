"""
Whether an entry may serve: a small pure state machine.

Owns the phase of the entry and the record of when the process stood still. An
entry must not serve before its bundle is confirmed, nor after a pause until it
is confirmed again, and callers must not be sent to one that is stopping. Also
tells since when a request that was just read may have waited unread. Relies on
``Readiness.observe`` being called at least every ``OBSERVED_EVERY_S``.
"""

import enum

from spindlenotch import ids

#: Seconds between observations while the process runs.
OBSERVED_EVERY_S = 0.05
#: A gap between observations longer than this, in seconds, is a stall. Twice the period
#: of observations.
STALL_S = 0.1
#: Requests read within this many seconds after a stall may have been sent before its
#: end.
BACKLOG_S = 0.25


class Phase(enum.Enum):
    """The phases of an entry; the values are shown to operators."""

    STARTING = "starting"
    READY = "ready"
    RESYNCHRONISING = "resynchronising"
    LEAVING = "leaving"


class Gap(enum.Enum):
    """How long the process stood still before an observation."""

    NONE = "none"
    STALL = "stall"
    PAUSE = "pause"


class Readiness:
    """
    The phase of one entry.

    ``pause_s`` is the gap in seconds from which a stall counts as a pause.

    Invariants: ``serves`` is false before the first confirmation and from a
    pause until the next; ``LEAVING`` is final. A leaving entry still serves
    callers that hold its address. ``sent_by`` returns an instant at most
    ``STALL_S`` later than the one at which the request was sent.
    """

    def __init__(self, pause_s: float, now: ids.Instant) -> None:
        self.pause_s = pause_s
        self.phase = Phase.STARTING
        self.confirmed = False
        self.seen_at = now
        self.stalled_from = now
        self.backlog_until = now

    @property
    def serves(self) -> bool:
        """Tell whether requests may be served."""
        return self.confirmed

    @property
    def handed_out(self) -> bool:
        """Tell whether callers may be given this entry's address."""
        return self.phase is Phase.READY

    def observe(self, now: ids.Instant) -> Gap:
        """Record that the process runs; return how long it stood still before."""
        gap_s = now - self.seen_at
        if gap_s > STALL_S:
            if now >= self.backlog_until:
                self.stalled_from = self.seen_at
            self.backlog_until = ids.later(now, BACKLOG_S)
        self.seen_at = now
        if gap_s <= STALL_S:
            return Gap.NONE
        if gap_s <= self.pause_s or not self.confirmed:
            return Gap.STALL
        self.confirmed = False
        if self.phase is Phase.READY:
            self.phase = Phase.RESYNCHRONISING
        return Gap.PAUSE

    def sent_by(self, now: ids.Instant) -> ids.Instant:
        """Return the earliest instant at which a request read now was sent."""
        return self.stalled_from if now < self.backlog_until else now

    def confirm(self) -> bool:
        """Record that the bundle is the newest; return False where it was known."""
        if self.confirmed:
            return False
        self.confirmed = True
        if self.phase in (Phase.STARTING, Phase.RESYNCHRONISING):
            self.phase = Phase.READY
        return True

    def leave(self) -> None:
        """Begin a planned stop."""
        self.phase = Phase.LEAVING
