"""
Whether an entry may decide anything now: a small pure state machine.

An entry must not serve before it holds a bundle it may trust, nor after a
pause until someone has confirmed that its bundle is still the newest, nor
take itself for ready while it is being stopped.
"""

import enum

from spindlenotch import ids


class Phase(enum.Enum):
    """Where an entry is in its life."""

    STARTING = "starting"
    READY = "ready"
    RESYNCHRONISING = "resynchronising"
    LEAVING = "leaving"


class Readiness:
    """
    The phase of one entry.

    Invariants: ``serves`` is false before the first confirmation and from a
    pause until the next; ``LEAVING`` is final. A leaving entry still serves
    those who were told of it.
    """

    def __init__(self, pause_s: float, now: ids.Instant) -> None:
        self.pause_s = pause_s
        self.phase = Phase.STARTING
        self.confirmed = False
        self.seen_at = now

    @property
    def serves(self) -> bool:
        """Tell whether requests may be decided on."""
        return self.confirmed

    @property
    def handed_out(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.phase is Phase.READY

    def observe(self, now: ids.Instant) -> bool:
        """Note that the process runs; tell whether it was paused before."""
        paused = now - self.seen_at > self.pause_s
        self.seen_at = now
        if not paused or not self.confirmed:
            return False
        self.confirmed = False
        if self.phase is Phase.READY:
            self.phase = Phase.RESYNCHRONISING
        return True

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
