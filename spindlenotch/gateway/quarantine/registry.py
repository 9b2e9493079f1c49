"""
The quarantined requests of one gateway, kept in step with those in the source.

Owns the copy of the records that the source holds; the rules are in
``decisions.quarantine``. Performs no I/O but reads the clock, as records carry the
wall-clock time at which they expire.
"""

from collections import abc

from spindlenotch import clock, ids
from spindlenotch.decisions import quarantine
from spindlenotch.gateway.source import sources


class Registry:
    """Quarantined requests known to this gateway, and those the source holds."""

    def __init__(self, host: ids.HostId, gateway_clock: clock.Clock) -> None:
        self.clock = gateway_clock
        self.known = quarantine.Quarantine(host)
        self.stored_by_fingerprint: dict[ids.Fingerprint, sources.StoredQuarantine] = {}

    def replace(self, snapshot: sources.Snapshot) -> None:
        """Replace the stored records with those of a snapshot."""
        self.stored_by_fingerprint.clear()
        self._apply(snapshot.quarantines)

    def change(self, changes: sources.Changes) -> None:
        """Apply changes from the source; operators release a request by deleting it."""
        for fingerprint in changes.released:
            self.stored_by_fingerprint.pop(fingerprint, None)
            self.known.clear(fingerprint, self.clock.now())
        self._apply(changes.quarantines)

    def unstored(self) -> list[sources.StoredQuarantine]:
        """Return the quarantines, and ends of quarantines, that the source lacks."""
        missing = [
            self._to_store(record.fingerprint)
            for record in self.known.quarantined()
            if not self._is_stored(record.fingerprint, record.round)
        ]
        return missing + [
            sources.StoredQuarantine(record, self.clock.unix_s(), stored.revision)
            for stored in self.stored_by_fingerprint.values()
            if (record := self.known.record_of(stored.note.fingerprint)).round
            > stored.note.round
            and quarantine.status_of(record) is not quarantine.CrashStatus.QUARANTINED
        ]

    def _apply(
        self, stored_quarantines: abc.Iterable[sources.StoredQuarantine]
    ) -> None:
        now = self.clock.now()
        for stored in stored_quarantines:
            self.stored_by_fingerprint[stored.note.fingerprint] = stored
            remaining_s = stored.until_unix_s - self.clock.unix_s()
            if not stored.note.depth:
                # The quarantine has ended: older records of it no longer count.
                self.known.merge(stored.note, now)
            elif remaining_s > 0.0:
                self.known.merge(stored.note, now, ids.later(now, remaining_s))

    def _is_stored(self, fingerprint: ids.Fingerprint, round_: int) -> bool:
        stored = self.stored_by_fingerprint.get(fingerprint)
        if stored is None or stored.note.round < round_:
            return False
        return stored.until_unix_s > self.clock.unix_s()

    def _to_store(self, fingerprint: ids.Fingerprint) -> sources.StoredQuarantine:
        kept = self.known.kept_by_fingerprint[fingerprint]
        stored = self.stored_by_fingerprint.get(fingerprint)
        remaining_s = kept.until - self.clock.now()
        return sources.StoredQuarantine(
            kept.record,
            self.clock.unix_s() + remaining_s,
            0 if stored is None else stored.revision,
        )
