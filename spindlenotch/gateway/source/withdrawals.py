"""
Withholds upstreams that were draining or had ended before the source was restored.

Pure. An older backup may list such a withdrawn upstream as ready. It gets no work until
the writers of the source have had time to write their entries again, and entries that
nobody renews have expired.
"""

import typing
from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.source import leases, sources

#: Seconds after a restore for which withdrawn upstreams get no work, whatever the
#: source says. Exceeds three heartbeats of 1.5 s, after which entries that are not
#: renewed expire.
WITHHOLD_S = 6.0
#: Seconds for which ended upstreams are remembered; must exceed the age of a backup.
ENDED_RETENTION_S = 60.0


class UpstreamStart(typing.NamedTuple):
    """One start of an upstream; ``born`` is None if unknown."""

    upstream_id: ids.UpstreamId
    born: int | None


class Withdrawals:
    """
    Upstreams withdrawn before the last restore, and until when they are withheld.

    Invariant: ``withheld_starts`` changes only with a restore.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.withheld_starts: frozenset[UpstreamStart] = frozenset()
        self.withheld_until = ids.Instant(float("-inf"))
        self._is_released = True
        self._ended_at_by_start: dict[UpstreamStart, ids.Instant] = {}

    def note_ended(self, listed: sources.ListedUpstream, now: ids.Instant) -> None:
        """Record that an upstream has ended."""
        start = start_of(listed)
        # Reinsert it, so that the starts are sorted by the time at which they ended.
        self._ended_at_by_start.pop(start, None)
        self._ended_at_by_start[start] = now
        self._remove_expired(now)

    def note_era(
        self,
        era: int | None,
        known: abc.Collection[leases.Lease],
        now: ids.Instant,
    ) -> None:
        """
        Record the era of the source; withhold withdrawn upstreams if it has risen.

        ``known`` are the leases from before the source was read at this era.
        """
        if era is None:
            return
        if self.era is not None and era > self.era:
            self._withhold(known, now)
        self.era = era if self.era is None else max(era, self.era)

    def is_withheld(self, listed: sources.ListedUpstream, now: ids.Instant) -> bool:
        """Tell whether a listed upstream is withheld after a restore."""
        return now < self.withheld_until and start_of(listed) in self.withheld_starts

    def is_withholding(self, now: ids.Instant) -> bool:
        """Tell whether withdrawn upstreams are still withheld after a restore."""
        return now < self.withheld_until

    def release_due(self, now: ids.Instant) -> bool:
        """Tell whether withheld upstreams were released since the last call."""
        if self._is_released or now < self.withheld_until:
            return False
        self._is_released = True
        return True

    def _withhold(self, known: abc.Collection[leases.Lease], now: ids.Instant) -> None:
        self._remove_expired(now)
        ended = self._ended_at_by_start
        ready = sources.UpstreamState.READY
        in_use = {
            start_of(lease.listed)
            for lease in known
            if lease.listed.state is ready and not self.is_withheld(lease.listed, now)
        }
        withdrawn = {start_of(lease.listed) for lease in known} | ended.keys()
        self.withheld_starts = frozenset(withdrawn - in_use)
        self.withheld_until = ids.later(now, WITHHOLD_S)
        self._is_released = False

    def _remove_expired(self, now: ids.Instant) -> None:
        ended = self._ended_at_by_start
        while ended:
            start, ended_at = next(iter(ended.items()))
            if now - ended_at <= ENDED_RETENTION_S:
                return
            del ended[start]


def start_of(listed: sources.ListedUpstream) -> UpstreamStart:
    """Return the start of the upstream that an entry describes."""
    return UpstreamStart(listed.id, listed.born)
