"""
The quarantined requests of one gateway, in step with what the source holds of them.

Owns which of them the source holds; relies on ``decisions.quarantine``. No input or
output but the clock: records tell the wall-clock time until which they hold.
"""

from collections import abc

from spindlenotch import clock, ids
from spindlenotch.decisions import quarantine
from spindlenotch.gateway.source import sources


class Registry:
    """What is known here, and what of it the source holds."""

    def __init__(self, host: ids.HostId, gateway_clock: clock.Clock) -> None:
        self.clock = gateway_clock
        self.known = quarantine.Quarantine(host)
        self.stored_by_fingerprint: dict[ids.Fingerprint, sources.StoredQuarantine] = {}

    def replace(self, snapshot: sources.Snapshot) -> None:
        """Take in all that the source holds."""
        self.stored_by_fingerprint.clear()
        self._apply(snapshot.quarantines)

    def change(self, changes: sources.Changes) -> None:
        """Take in what has changed in the source; operators release by deleting."""
        for fingerprint in changes.released:
            self.stored_by_fingerprint.pop(fingerprint, None)
            self.known.clear(fingerprint, self.clock.now())
        self._apply(changes.quarantines)

    def unstored(self) -> list[sources.StoredQuarantine]:
        """Return what the source does not hold yet: quarantines, and their ends."""
        missing = [
            self._to_store(note.fingerprint)
            for note in self.known.quarantined()
            if not self._is_stored(note.fingerprint, note.round)
        ]
        return missing + [
            sources.StoredQuarantine(note, self.clock.unix_s(), stored.revision)
            for stored in self.stored_by_fingerprint.values()
            if (note := self.known.note(stored.note.fingerprint)).round
            > stored.note.round
            and quarantine.standing_of(note) is not quarantine.Standing.QUARANTINED
        ]

    def _apply(
        self, stored_quarantines: abc.Iterable[sources.StoredQuarantine]
    ) -> None:
        now = self.clock.now()
        for stored in stored_quarantines:
            self.stored_by_fingerprint[stored.note.fingerprint] = stored
            left_s = stored.until_unix_s - self.clock.unix_s()
            if not stored.note.depth:
                # A quarantine that has ended: older notes of it count no longer.
                self.known.merge(stored.note, now)
            elif left_s > 0.0:
                self.known.merge(stored.note, now, ids.later(now, left_s))

    def _is_stored(self, fingerprint: ids.Fingerprint, round_: int) -> bool:
        stored = self.stored_by_fingerprint.get(fingerprint)
        if stored is None or stored.note.round < round_:
            return False
        return stored.until_unix_s > self.clock.unix_s()

    def _to_store(self, fingerprint: ids.Fingerprint) -> sources.StoredQuarantine:
        kept = self.known.kept_by_fingerprint[fingerprint]
        stored = self.stored_by_fingerprint.get(fingerprint)
        left_s = kept.until - self.clock.now()
        return sources.StoredQuarantine(
            kept.note,
            self.clock.unix_s() + left_s,
            0 if stored is None else stored.revision,
        )
