"""
Combines the evidence of all gateways, counting none of it twice.

Performs no I/O and reads no clock. Records are cumulative since the order, so the
newest record of each process replaces its earlier ones and only the difference is new;
a restarted process is another process. Owns the newest record of each process.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.rollout import evidence
from spindlenotch.peers import rollout_notes


class Source(msgspec.Struct, frozen=True):
    """A process that reports counts: one incarnation of a gateway on a host."""

    host: ids.HostId
    incarnation: ids.Incarnation


class Delta(msgspec.Struct, frozen=True):
    """What a process has counted since its previous record, by route and upstream."""

    source: Source
    counts_by_cell: dict[evidence.Cell, rollout_notes.Counts]


class MergedEvidence:
    """The newest record of each process."""

    def __init__(self) -> None:
        self.record_by_source: dict[Source, rollout_notes.EvidenceRecord] = {}

    def merge_record(
        self, source: Source, record: rollout_notes.EvidenceRecord
    ) -> Delta | None:
        """Add a record; return what is new in it, None if it is not newer."""
        known = self.record_by_source.get(source)
        if known is not None and known.number >= record.number:
            return None
        self.record_by_source[source] = record
        before = _counts_by_cell(known)
        new_by_cell: dict[evidence.Cell, rollout_notes.Counts] = {}
        for cell, counts in _counts_by_cell(record).items():
            new = counts.minus(before.get(cell, rollout_notes.NO_COUNTS))
            if new != rollout_notes.NO_COUNTS:
                new_by_cell[cell] = new
        return Delta(source, new_by_cell)

    def newest_by_host(
        self, incarnation_by_host: abc.Mapping[ids.HostId, ids.Incarnation]
    ) -> dict[ids.HostId, rollout_notes.EvidenceRecord]:
        """
        Return the record of each host's running process.

        ``incarnation_by_host`` are the processes known to be running: calls in flight
        at an earlier process of the host ended with it.
        """
        return {
            source.host: record
            for source, record in self.record_by_source.items()
            if incarnation_by_host.get(source.host, source.incarnation)
            == source.incarnation
        }

    def sent(self) -> int:
        """Return how many calls were placed on the target while it was on trial."""
        return sum(record.sent for record in self.record_by_source.values())

    def answered(self) -> int:
        """Return how many calls of the service were answered, over all gateways."""
        return sum(record.answered for record in self.record_by_source.values())


def _counts_by_cell(
    record: rollout_notes.EvidenceRecord | None,
) -> dict[evidence.Cell, rollout_notes.Counts]:
    rows = () if record is None else record.rows
    return {(row.route, row.upstream): row.counts for row in rows}
