"""
What gateways tell each other of a service that changes its version.

Types only. A note says how far an order has come; a record holds what its sender
counted since the order, cumulatively, so that one that is lost or comes twice does no
harm. Both are added fields of ``messages.Message``, left out while there is no order.
"""

import enum

import msgspec

from spindlenotch import ids

#: Notes in a message: services that change their version at the same time.
NOTES_PER_MESSAGE = 16
#: Rows of a record; each takes some 40 bytes, compressed less than half of that.
ROWS_PER_RECORD = 96


class Phase(enum.IntEnum):
    """How far an order has come; a higher phase replaces a lower one."""

    RUNNING = 1
    PROMOTING = 2
    ROLLED_BACK = 3


class PhaseNote(msgspec.Struct, frozen=True):
    """The phase of the order that was written at ``revision`` of the source."""

    service: ids.ServiceName
    revision: int
    phase: Phase


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """
    How calls ended: judged ones and failures of them; timed ones and slow ones of them.

    A call is timed unless its upstream was cold; it is judged unless its caller left or
    the upstream refused it.
    """

    judged: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum."""
        return Counts(
            self.judged + other.judged,
            self.failed + other.failed,
            self.timed + other.timed,
            self.slow + other.slow,
        )

    def minus(self, other: "Counts") -> "Counts":
        """Return the difference."""
        return Counts(
            self.judged - other.judged,
            self.failed - other.failed,
            self.timed - other.timed,
            self.slow - other.slow,
        )


NO_COUNTS = Counts()


class Row(msgspec.Struct, frozen=True, array_like=True):
    """
    The counts of a route at one upstream of the target.

    ``upstream`` is empty for those of other versions, which are counted together.
    """

    route: str
    upstream: ids.UpstreamId
    counts: Counts


class EvidenceRecord(msgspec.Struct, frozen=True):
    """
    What one process counted since the order written at ``revision``; ``number`` rises.

    ``sent`` calls were placed on the target while it was tried, ``answered`` ones were
    answered by the service. ``is_empty``: the sender is in ``phase`` and has nothing
    under way on other versions. ``left_s``: for how many seconds the order may run yet.
    """

    service: ids.ServiceName
    revision: int
    number: int
    phase: Phase
    sent: int
    answered: int
    is_empty: bool
    rows: tuple[Row, ...]
    left_s: float
