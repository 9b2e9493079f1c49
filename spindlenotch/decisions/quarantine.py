"""
Quarantine of requests that crash the upstreams that run them.

An upstream may crash for unrelated reasons while it runs any request. A request that
causes crashes does so each time: it is never answered, and each retry crashes another
upstream. So a request is taken to be the cause once three upstreams have crashed while
running it, not all of them during concurrent attempts, and none has answered it since.
A request that was lost in a crash is suspect until it is answered; meanwhile only one
call of it is sent at a time.

Performs no I/O and reads no clock. Owns what this process knows of such requests; the
crash records of peers are merged into it.
"""

import collections
import enum
import zlib
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import crash_records, fingerprints

#: Crashed upstreams from which a request is quarantined: the smallest number that
#: chance does not explain. Where 3 in 100 attempts lose their upstream, as happens
#: while such a request is sent, three in a row hit a harmless request with a
#: probability of 3 in 10^5.
MIN_CRASHED_UPSTREAMS = 3
#: Crashes among these that must have happened one after the other, each during an
#: attempt sent when the previous crash was known: upstreams that fail together, with
#: their host or zone, fail during many concurrent attempts of a popular request.
MIN_CRASH_DEPTH = 2
#: Seconds for which a request is quarantined: a day, in which operators see the event
#: and can fix the upstreams.
QUARANTINE_S = 86_400.0
#: Seconds after which a quarantined request is sent once more, by a gateway that
#: detected it: while one request crashes upstreams, a harmless one may be lost in three
#: of these crashes by chance. By then the cause is no longer sent, so the harmless
#: request is answered, which releases it everywhere; the cause itself crashes one more
#: upstream. The delay is randomised up to twice as long, so that of several gateways
#: that detected it together one informs the others first.
RECHECK_AFTER_S = 10.0
#: Seconds for which a suspect request is remembered while nobody sends it: a rare one
#: is identified from few attempts, but attempts an hour apart are weak evidence.
KEEP_SUSPECT_S = 3_600.0
#: Seconds for which an answer to a request is remembered, so that crash records of the
#: previous round, which may be in transit for as long as gossip takes, do not count.
KEEP_ANSWERED_S = 30.0
#: Most requests that are remembered: each crash adds as many as the upstream was
#: running, so this has room for some hundred upstreams with six slots. The least
#: recently changed are evicted first.
MAX_RECORDS = 1_024


class CrashStatus(enum.IntEnum):
    """Whether a request is taken to crash upstreams; a higher value is worse."""

    CLEAR = 0
    #: An upstream crashed while running it, and none has answered it since.
    SUSPECT = 1
    #: It crashes the upstreams that run it, and is not sent.
    QUARANTINED = 2


class CrashSnapshot(msgspec.Struct, frozen=True):
    """
    What was known of a request when an attempt of it was sent.

    ``round`` and ``depth`` are those of its ``CrashRecord``.
    """

    round: int = 0
    depth: int = 0


EMPTY_SNAPSHOT = CrashSnapshot()


class Change(msgspec.Struct, frozen=True):
    """A request was quarantined or released; for the log."""

    record: crash_records.CrashRecord
    status: CrashStatus


class KeptRecord(msgspec.Struct):
    """A crash record and when it expires."""

    record: crash_records.CrashRecord
    until: ids.Instant

    @property
    def status(self) -> CrashStatus:
        """Return the status of the request."""
        return status_of(self.record)


class Quarantine:
    """
    The requests during which upstreams crashed, by fingerprint.

    ``changes`` are kept until they are taken out for the log. ``salt`` varies the delay
    of rechecks from process to process.

    Invariant: while a record of a fingerprint is kept, its round never decreases, and
    within a round its depth never decreases.
    """

    def __init__(self, salt: str = "") -> None:
        self.salt = salt
        self.kept_by_fingerprint: dict[ids.Fingerprint, KeptRecord] = {}
        self.changes: list[Change] = []
        self._recheck_at: dict[ids.Fingerprint, ids.Instant] = {}
        self._checks_pending: collections.Counter[ids.Fingerprint] = (
            collections.Counter()
        )
        self._count_by_target: collections.Counter[str] = collections.Counter()

    def knows_target(self, target: str) -> bool:
        """Return whether anything is known of requests with this target; cheap."""
        if not self._count_by_target:
            return False
        return fingerprints.target_digits(target) in self._count_by_target

    def status(self, known: fingerprints.Fingerprints) -> CrashStatus:
        """Return the status of a request: the worse one of its two fingerprints."""
        return max(self._status(one) for one in known.as_tuple())

    def until(self, known: fingerprints.Fingerprints) -> ids.Instant:
        """Return until when a request is quarantined."""
        kept = [self.kept_by_fingerprint.get(one) for one in known.as_tuple()]
        return max(
            one.until
            for one in kept
            if one is not None and one.status is CrashStatus.QUARANTINED
        )

    def snapshot(self, fingerprint: ids.Fingerprint) -> CrashSnapshot:
        """
        Return what is known of a request, to be kept with an attempt that is sent now.
        """
        record = self.record_of(fingerprint)
        return CrashSnapshot(
            record.round, record.depth + (fingerprint in self._checks_pending)
        )

    def record_of(self, fingerprint: ids.Fingerprint) -> crash_records.CrashRecord:
        """Return what is known of a request, in the form in which peers get it."""
        kept = self.kept_by_fingerprint.get(fingerprint)
        return crash_records.CrashRecord(fingerprint) if kept is None else kept.record

    def begin_check(self, fingerprint: ids.Fingerprint) -> None:
        """Treat a request as suspect while its upstream is checked for a crash."""
        self._checks_pending[fingerprint] += 1
        self._count_target(fingerprint, 1)

    def end_check(self, fingerprint: ids.Fingerprint) -> None:
        """End one ``begin_check``: it is known whether the upstream crashed."""
        self._checks_pending[fingerprint] -= 1
        if not self._checks_pending[fingerprint]:
            del self._checks_pending[fingerprint]
        self._count_target(fingerprint, -1)

    def record_crash(
        self,
        fingerprint: ids.Fingerprint,
        snapshot: CrashSnapshot,
        upstream: ids.UpstreamId,
        now: ids.Instant,
    ) -> bool:
        """
        Record that an upstream crashed during an attempt with this snapshot.

        Return whether that changes what is known, like ``merge``.
        """
        before = status_of(self.record_of(fingerprint))
        crash = crash_records.CrashRecord(
            fingerprint, snapshot.round, snapshot.depth + 1, (upstream,)
        )
        is_news = self.merge(crash, now)
        after = status_of(self.record_of(fingerprint))
        if before is not CrashStatus.QUARANTINED is after:
            self._recheck_at[fingerprint] = ids.later(
                now, self._recheck_after_s(fingerprint)
            )
        return is_news

    def take_recheck(self, known: fingerprints.Fingerprints, now: ids.Instant) -> bool:
        """
        Return whether a quarantined request is due to be sent once more, now.

        The recheck is then taken: further calls return False.
        """
        due = [one for one in known.as_tuple() if self._is_recheck_due(one, now)]
        for fingerprint in due:
            record = self.record_of(fingerprint)
            self.merge(msgspec.structs.replace(record, is_retried=True), now)
        return bool(due)

    def clear(self, fingerprint: ids.Fingerprint, now: ids.Instant) -> bool:
        """Record that a request was answered; return whether it was suspect."""
        record = self.record_of(fingerprint)
        if not record.depth:
            return False
        return self.merge(crash_records.CrashRecord(fingerprint, record.round + 1), now)

    def merge(
        self,
        told: crash_records.CrashRecord,
        now: ids.Instant,
        until: ids.Instant = ids.NEVER,
    ) -> bool:
        """
        Merge a crash record; return whether it changes what is known.

        A quarantine that it begins ends at ``until``, or earlier.
        """
        known = self.record_of(told.fingerprint)
        merged = known.merged(told)
        if merged == known:
            return False
        self._keep(merged, now, until)
        return True

    def expire(self, now: ids.Instant) -> None:
        """Drop expired records and release requests whose quarantine is over."""
        kept = self.kept_by_fingerprint
        over = [name for name, one in kept.items() if one.until <= now]
        for fingerprint in over:
            if kept[fingerprint].status is CrashStatus.QUARANTINED:
                # Begins a new round, so that records of peers that have not released
                # the request yet do not quarantine it again.
                self.clear(fingerprint, now)
            else:
                self._forget(fingerprint)

    def quarantined(self) -> abc.Iterator[crash_records.CrashRecord]:
        """Return the records of all quarantined requests."""
        for kept in self.kept_by_fingerprint.values():
            if kept.status is CrashStatus.QUARANTINED:
                yield kept.record

    def _recheck_after_s(self, fingerprint: ids.Fingerprint) -> float:
        spread = zlib.crc32(f"{self.salt}/{fingerprint}".encode()) / 2**32
        return RECHECK_AFTER_S * (1.0 + spread)

    def _is_recheck_due(self, fingerprint: ids.Fingerprint, now: ids.Instant) -> bool:
        return self._recheck_at.get(fingerprint, ids.NEVER) <= now

    def _status(self, fingerprint: ids.Fingerprint) -> CrashStatus:
        status = status_of(self.record_of(fingerprint))
        if fingerprint in self._checks_pending:
            return max(status, CrashStatus.SUSPECT)
        return status

    def _keep(
        self, record: crash_records.CrashRecord, now: ids.Instant, until: ids.Instant
    ) -> None:
        before = status_of(self.record_of(record.fingerprint))
        after = status_of(record)
        until = min(until, ids.later(now, KEEP_S_BY_STATUS[after]))
        if before is CrashStatus.QUARANTINED is after:
            until = self.kept_by_fingerprint[record.fingerprint].until
        elif CrashStatus.QUARANTINED in (before, after):
            self.changes.append(Change(record, after))
            self._recheck_at.pop(record.fingerprint, None)
        if record.is_retried:
            self._recheck_at.pop(record.fingerprint, None)
        # Removed first, so that the dict is ordered by the last change.
        self._forget(record.fingerprint)
        self.kept_by_fingerprint[record.fingerprint] = KeptRecord(record, until)
        self._count_target(record.fingerprint, 1)
        if len(self.kept_by_fingerprint) > MAX_RECORDS:
            self._forget(self._eviction_candidate())

    def _eviction_candidate(self) -> ids.Fingerprint:
        """Return the least recently changed request, quarantined ones last."""
        kept = self.kept_by_fingerprint.items()
        return min(kept, key=lambda item: item[1].status is CrashStatus.QUARANTINED)[0]

    def _forget(self, fingerprint: ids.Fingerprint) -> None:
        if self.kept_by_fingerprint.pop(fingerprint, None) is not None:
            self._count_target(fingerprint, -1)

    def _count_target(self, fingerprint: ids.Fingerprint, change: int) -> None:
        digits = fingerprint[: fingerprints.TARGET_DIGITS]
        self._count_by_target[digits] += change
        if not self._count_by_target[digits]:
            del self._count_by_target[digits]


#: Seconds for which a record is kept after its last change.
KEEP_S_BY_STATUS = {
    CrashStatus.CLEAR: KEEP_ANSWERED_S,
    CrashStatus.SUSPECT: KEEP_SUSPECT_S,
    CrashStatus.QUARANTINED: QUARANTINE_S,
}


def status_of(record: crash_records.CrashRecord) -> CrashStatus:
    """Return the status of a request with this crash record."""
    if not record.depth:
        return CrashStatus.CLEAR
    if record.depth >= MIN_CRASH_DEPTH and len(record.ended) >= MIN_CRASHED_UPSTREAMS:
        return CrashStatus.QUARANTINED
    return CrashStatus.SUSPECT
