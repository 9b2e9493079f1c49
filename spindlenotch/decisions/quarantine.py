"""
Which requests end the upstreams that run them, and must not be sent any more.

An upstream may end for reasons of its own while it runs any request. A request that
ends what runs it does so each time: it is never answered, and the next try ends the
next upstream. So it is held to be the cause once three upstreams have ended under it,
not all of them under tries that ran side by side, and none has answered it since. One
that was lost with its upstream is suspect until it is answered; meanwhile it is tried
by one call at a time.

Pure. Owns what this process knows of such requests; notes of peers are merged into it.
"""

import collections
import enum
import zlib
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import crash_records, fingerprints

#: Upstreams that have ended under a request that is no longer sent: the fewest that are
#: not told from chance. Where 3 in 100 tries lose their upstream, as beside such a
#: request, three in a row hit a harmless request with a probability of 3 in 10^5.
LEAST_ENDED = 3
#: Ends of these that must have followed from one another: upstreams that end together,
#: with their host or zone, end under many tries of a popular request at one moment.
LEAST_DEPTH = 2
#: Seconds for which such a request is not sent: a day, in which operators see the event
#: and can mend what it ends.
QUARANTINE_S = 86_400.0
#: Seconds after which a quarantined request is sent once more, by a gateway that found
#: it out: beside a request that ends upstreams, another one may be lost with three of
#: them by chance. By then the first is sent no more, and the other is answered, which
#: releases it everywhere; else it costs one upstream more. Up to twice as late, so that
#: of gateways which found it out together one tells the others first.
RETRIAL_S = 10.0
#: Seconds for which a suspect that nobody sends is kept: one that comes seldom is told
#: from others by few tries, but an hour apart they tell little.
SUSPECT_S = 3_600.0
#: Seconds for which it is kept that a request was answered, so that notes of the round
#: before, which may be under way for as long as gossip takes, do not count.
ANSWERED_S = 30.0
#: Requests that are kept: each end of an upstream adds as many as it runs, here some
#: hundred upstreams with six slots. Those that changed longest ago go first.
MOST_KEPT = 1_024


class Standing(enum.IntEnum):
    """What is held of a request; a higher one is worse."""

    CLEAR = 0
    #: An upstream ended under it, and none has answered it since.
    SUSPECT = 1
    #: It ends the upstreams that run it.
    QUARANTINED = 2


class Mark(msgspec.Struct, frozen=True):
    """What was known of a request when a try of it was sent."""

    round: int = 0
    depth: int = 0


UNMARKED = Mark()


class Change(msgspec.Struct, frozen=True):
    """That a request was quarantined, or is no longer; for the log."""

    note: crash_records.CrashRecord
    standing: Standing


class Kept(msgspec.Struct):
    """A note, and until when it is kept."""

    note: crash_records.CrashRecord
    until: ids.Instant

    @property
    def standing(self) -> Standing:
        """Return what is held of the request."""
        return standing_of(self.note)


class Quarantine:
    """
    The requests under which upstreams ended, by fingerprint.

    ``changes`` are kept until they are taken out for the log. ``salt`` makes this
    process's times differ from those of others.

    Invariant: of a fingerprint the round never falls while it is kept, and in one round
    neither does the depth.
    """

    def __init__(self, salt: str = "") -> None:
        self.salt = salt
        self.kept_by_fingerprint: dict[ids.Fingerprint, Kept] = {}
        self.changes: list[Change] = []
        self._retrial_at: dict[ids.Fingerprint, ids.Instant] = {}
        self._doubts: collections.Counter[ids.Fingerprint] = collections.Counter()
        self._count_by_target: collections.Counter[str] = collections.Counter()

    def knows_target(self, target: str) -> bool:
        """Tell whether anything is known of requests with this target; cheap."""
        if not self._count_by_target:
            return False
        return fingerprints.target_digits(target) in self._count_by_target

    def standing(self, known: fingerprints.Fingerprints) -> Standing:
        """Return what is held of a request: the worse of what both prints tell."""
        return max(self._standing(one) for one in known.as_tuple())

    def until(self, known: fingerprints.Fingerprints) -> ids.Instant:
        """Return until when a request is quarantined."""
        kept = [self.kept_by_fingerprint.get(one) for one in known.as_tuple()]
        return max(
            one.until
            for one in kept
            if one is not None and one.standing is Standing.QUARANTINED
        )

    def mark(self, fingerprint: ids.Fingerprint) -> Mark:
        """Return what is known of a request as a try of it is sent."""
        note = self.note(fingerprint)
        return Mark(note.round, note.depth + (fingerprint in self._doubts))

    def note(self, fingerprint: ids.Fingerprint) -> crash_records.CrashRecord:
        """Return what is known of a request in the form that is passed on."""
        kept = self.kept_by_fingerprint.get(fingerprint)
        return crash_records.CrashRecord(fingerprint) if kept is None else kept.note

    def doubt(self, fingerprint: ids.Fingerprint) -> None:
        """Hold a request to be suspect until ``settle``."""
        self._doubts[fingerprint] += 1
        self._count_target(fingerprint, 1)

    def settle(self, fingerprint: ids.Fingerprint) -> None:
        """End one doubt: it is known what became of the upstream."""
        self._doubts[fingerprint] -= 1
        if not self._doubts[fingerprint]:
            del self._doubts[fingerprint]
        self._count_target(fingerprint, -1)

    def strike(
        self,
        fingerprint: ids.Fingerprint,
        mark: Mark,
        upstream: ids.UpstreamId,
        now: ids.Instant,
    ) -> bool:
        """Take in that an upstream ended under a try with this mark; see ``merge``."""
        before = standing_of(self.note(fingerprint))
        strike = crash_records.CrashRecord(
            fingerprint, mark.round, mark.depth + 1, (upstream,)
        )
        is_news = self.merge(strike, now)
        after = standing_of(self.note(fingerprint))
        if before is not Standing.QUARANTINED is after:
            self._retrial_at[fingerprint] = ids.later(now, self._retrial_s(fingerprint))
        return is_news

    def take_retrial(self, known: fingerprints.Fingerprints, now: ids.Instant) -> bool:
        """Tell whether a quarantined request is sent once more, now; only once."""
        due = [one for one in known.as_tuple() if self._is_retrial_due(one, now)]
        for fingerprint in due:
            note = self.note(fingerprint)
            self.merge(msgspec.structs.replace(note, is_retried=True), now)
        return bool(due)

    def clear(self, fingerprint: ids.Fingerprint, now: ids.Instant) -> bool:
        """Take in that a request was answered; tell whether it was suspect."""
        note = self.note(fingerprint)
        if not note.depth:
            return False
        return self.merge(crash_records.CrashRecord(fingerprint, note.round + 1), now)

    def merge(
        self,
        told: crash_records.CrashRecord,
        now: ids.Instant,
        until: ids.Instant = ids.NEVER,
    ) -> bool:
        """
        Take in a note; tell whether it changes what is known.

        A quarantine that it begins ends at ``until``, or earlier.
        """
        known = self.note(told.fingerprint)
        merged = known.merged(told)
        if merged == known:
            return False
        self._keep(merged, now, until)
        return True

    def expire(self, now: ids.Instant) -> None:
        """Let go of what was kept for long enough."""
        kept = self.kept_by_fingerprint
        over = [name for name, one in kept.items() if one.until <= now]
        for fingerprint in over:
            if kept[fingerprint].standing is Standing.QUARANTINED:
                # A new round: peers that are a moment behind must not bring it back.
                self.clear(fingerprint, now)
            else:
                self._forget(fingerprint)

    def quarantined(self) -> abc.Iterator[crash_records.CrashRecord]:
        """Return the notes on all requests that are not sent any more."""
        for kept in self.kept_by_fingerprint.values():
            if kept.standing is Standing.QUARANTINED:
                yield kept.note

    def _retrial_s(self, fingerprint: ids.Fingerprint) -> float:
        spread = zlib.crc32(f"{self.salt}/{fingerprint}".encode()) / 2**32
        return RETRIAL_S * (1.0 + spread)

    def _is_retrial_due(self, fingerprint: ids.Fingerprint, now: ids.Instant) -> bool:
        return self._retrial_at.get(fingerprint, ids.NEVER) <= now

    def _standing(self, fingerprint: ids.Fingerprint) -> Standing:
        standing = standing_of(self.note(fingerprint))
        if fingerprint in self._doubts:
            return max(standing, Standing.SUSPECT)
        return standing

    def _keep(
        self, note: crash_records.CrashRecord, now: ids.Instant, until: ids.Instant
    ) -> None:
        before = standing_of(self.note(note.fingerprint))
        after = standing_of(note)
        until = min(until, ids.later(now, KEPT_S_BY_STANDING[after]))
        if before is Standing.QUARANTINED is after:
            until = self.kept_by_fingerprint[note.fingerprint].until
        elif Standing.QUARANTINED in (before, after):
            self.changes.append(Change(note, after))
            self._retrial_at.pop(note.fingerprint, None)
        if note.is_retried:
            self._retrial_at.pop(note.fingerprint, None)
        # Taken out first, so that the order is that of the last changes.
        self._forget(note.fingerprint)
        self.kept_by_fingerprint[note.fingerprint] = Kept(note, until)
        self._count_target(note.fingerprint, 1)
        if len(self.kept_by_fingerprint) > MOST_KEPT:
            self._forget(self._least_needed())

    def _least_needed(self) -> ids.Fingerprint:
        """Return whose note changed longest ago, quarantined requests last."""
        kept = self.kept_by_fingerprint.items()
        return min(kept, key=lambda item: item[1].standing is Standing.QUARANTINED)[0]

    def _forget(self, fingerprint: ids.Fingerprint) -> None:
        if self.kept_by_fingerprint.pop(fingerprint, None) is not None:
            self._count_target(fingerprint, -1)

    def _count_target(self, fingerprint: ids.Fingerprint, change: int) -> None:
        digits = fingerprint[: fingerprints.TARGET_DIGITS]
        self._count_by_target[digits] += change
        if not self._count_by_target[digits]:
            del self._count_by_target[digits]


#: For how many seconds a note is kept since it changed.
KEPT_S_BY_STANDING = {
    Standing.CLEAR: ANSWERED_S,
    Standing.SUSPECT: SUSPECT_S,
    Standing.QUARANTINED: QUARANTINE_S,
}


def standing_of(note: crash_records.CrashRecord) -> Standing:
    """Return what is held of a request of which this is known."""
    if not note.depth:
        return Standing.CLEAR
    if note.depth >= LEAST_DEPTH and len(note.ended) >= LEAST_ENDED:
        return Standing.QUARANTINED
    return Standing.SUSPECT
