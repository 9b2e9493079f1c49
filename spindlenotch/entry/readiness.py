"""
Whether an entry may decide anything now: a small pure state machine.

An entry must not serve before it holds a bundle it may trust, nor after a
pause until someone has confirmed that its bundle is still the newest, nor
take itself for ready while it is being stopped. It also tells how long a
request that was just read may have lain unread while the process stood still.
"""

import enum

from spindlenotch import ids

#: The process is observed at least this often while it runs.
OBSERVED_EVERY_S = 0.05
#: A longer gap than this between observations counts as a stall.
STALL_S = 0.1
#: Requests read this soon after a stall may have been sent before it ended.
BACKLOG_S = 0.25


class Phase(enum.Enum):
    """Where an entry is in its life."""

    STARTING = "starting"
    READY = "ready"
    RESYNCHRONISING = "resynchronising"
    LEAVING = "leaving"


class Gap(enum.Enum):
    """How long the process has stood still before an observation."""

    NONE = "none"
    STALL = "stall"
    PAUSE = "pause"


class Readiness:
    """
    The phase of one entry.

    Invariants: ``serves`` is false before the first confirmation and from a
    pause until the next; ``LEAVING`` is final. A leaving entry still serves
    those who were told of it. ``sent_by`` never returns an instant later than
    the one at which the request was sent, but for ``STALL_S``.
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
        """Tell whether requests may be decided on."""
        return self.confirmed

    @property
    def handed_out(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.phase is Phase.READY

    def observe(self, now: ids.Instant) -> Gap:
        """Note that the process runs; tell whether it stood still before."""
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
        """Return the earliest instant at which a request just read was sent."""
        return self.stalled_from if now < self.backlog_until else now

    def confirm(self) -> bool:
        """Note that the bundle here is the newest; tell whether that is news."""
        if self.confirmed:
            return False
        self.confirmed = True
        if self.phase in (Phase.STARTING, Phase.RESYNCHRONISING):
            self.phase = Phase.READY
        return True

    def leave(self) -> None:
        """Begin a planned stop."""
        self.phase = Phase.LEAVING
