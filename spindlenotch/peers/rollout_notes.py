"""
Messages that gateways exchange about a service that is rolling out a version.

Types only. A note reports the phase of a rollout order; an evidence record holds what
its sender has counted since the order, cumulatively, so that a lost or duplicated
record does no harm. Both are added fields of ``messages.Message``, omitted while there
is no order.
"""

import enum

import msgspec

from spindlenotch import ids

#: Maximum number of notes in a message: services that roll out versions concurrently.
NOTES_PER_MESSAGE = 16
#: Maximum number of rows in a record; each takes some 40 bytes, compressed less than
#: half of that.
ROWS_PER_RECORD = 96


class Phase(enum.IntEnum):
    """The phase of a rollout order; a higher phase replaces a lower one."""

    RUNNING = 1
    PROMOTING = 2
    ROLLED_BACK = 3


class PhaseNote(msgspec.Struct, frozen=True):
    """The phase of the rollout order written at ``revision`` of the source."""

    service: ids.ServiceName
    revision: int
    phase: Phase


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """
    Outcomes of calls: judged ones, the failed of these, timed ones, the slow of these.

    A call is timed unless its upstream was cold; it is judged unless its caller
    disconnected or the upstream refused it.
    """

    judged: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum of each count with that of ``other``."""
        return Counts(
            self.judged + other.judged,
            self.failed + other.failed,
            self.timed + other.timed,
            self.slow + other.slow,
        )

    def minus(self, other: "Counts") -> "Counts":
        """Return the difference of each count from that of ``other``."""
        return Counts(
            self.judged - other.judged,
            self.failed - other.failed,
            self.timed - other.timed,
            self.slow - other.slow,
        )


NO_COUNTS = Counts()


class Row(msgspec.Struct, frozen=True, array_like=True):
    """
    The counts of a route at one upstream of the target version.

    ``upstream`` is empty for upstreams of other versions, which are counted together.
    """

    route: str
    upstream: ids.UpstreamId
    counts: Counts


class EvidenceRecord(msgspec.Struct, frozen=True):
    """
    What one process has counted since the order written at ``revision``.

    ``number`` increases with each record. ``sent`` calls were sent to the target
    version while it was on trial, ``answered`` ones were answered by the service.
    ``is_empty``: the sender is in ``phase`` and has no calls in progress on other
    versions. ``left_s``: for how many more seconds the order may run.
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
