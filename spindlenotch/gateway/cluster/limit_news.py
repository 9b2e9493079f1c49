"""
Selection of the upstream rate limits that are announced to peers.

Few gateways send to an upstream that names a limit; they receive the limit, and its
end, with the upstream's responses and announce both to the others. Pure; owns the last
announcement of each limit. Used by ``load_exchange``.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import named_limit, shared_rate, upstreams

#: Seconds between two announcements of an unchanged limit, at least.
REPEAT_S = 0.2
#: Seconds for which the end of a limit is announced: several rounds, because messages
#: may be lost.
END_ANNOUNCED_S = 1.0
#: Seconds between two checks while there is nothing to announce. Each check iterates
#: over all upstreams, most of which name no limit in a large fleet.
IDLE_PERIOD_S = 0.2


class _Announced(msgspec.Struct, frozen=True):
    """The last announced limit of an upstream, its time of receipt and of sending."""

    per_s: float | None
    heard_at: ids.Instant
    announced_at: ids.Instant


class LimitAnnouncements:
    """Selects the upstreams whose limits are to be announced."""

    def __init__(self) -> None:
        self._announced_by_id: dict[ids.UpstreamId, _Announced] = {}
        self._next_check_at = shared_rate.LONG_AGO

    def due(
        self, candidates: abc.Iterable[upstreams.Upstream], now: ids.Instant
    ) -> list[upstreams.Upstream]:
        """Return the upstreams whose limits are due, and mark them as announced."""
        if now < self._next_check_at:
            return []
        due = []
        is_idle = True
        for upstream in candidates:
            limit = upstream.backpressure.limit
            if not _is_announceable(limit, now):
                self._announced_by_id.pop(upstream.spec.id, None)
                continue
            is_idle = False
            if self._is_due(upstream.spec.id, limit, now):
                due.append(upstream)
        self._next_check_at = ids.later(now, IDLE_PERIOD_S) if is_idle else now
        return due

    def _is_due(
        self,
        upstream: ids.UpstreamId,
        limit: named_limit.AdvertisedLimit,
        now: ids.Instant,
    ) -> bool:
        last = self._announced_by_id.get(upstream)
        if last is not None:
            if limit.per_s is not None and limit.heard_at <= last.heard_at:
                return False
            if limit.per_s == last.per_s and now < ids.later(
                last.announced_at, REPEAT_S
            ):
                return False
        self._announced_by_id[upstream] = _Announced(limit.per_s, limit.heard_at, now)
        return True


def _is_announceable(limit: named_limit.AdvertisedLimit, now: ids.Instant) -> bool:
    """
    Tell whether a limit is to be announced: it is in force or has just ended.

    Not where a peer has announced a newer one than this gateway received itself.
    """
    if limit.heard_at < limit.reported_at:
        return False
    return limit.per_s is not None or now < ids.later(limit.ended_at, END_ANNOUNCED_S)
