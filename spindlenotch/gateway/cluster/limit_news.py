"""
Which limits of upstreams, heard with own answers, peers are to be told of.

Few gateways send to an upstream that names a limit, so that the others hear of it, and
that it has ended, from these. Owns what was told last. Pure; ``load_sharing`` asks it.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import named_limit, shared_rate, upstreams

#: Least seconds between two messages on a limit that stays the same.
REPEAT_S = 0.2
#: Seconds for which it is told that a limit has ended: some rounds, as messages get
#: lost.
END_ANNOUNCED_S = 1.0
#: Seconds between two looks while there is nothing to tell: most upstreams of a large
#: fleet name no limit, and all are looked at.
IDLE_PERIOD_S = 0.2


class _Announced(msgspec.Struct, frozen=True):
    """The limit of an upstream that was told last, when it was heard and told."""

    per_s: float | None
    heard_at: ids.Instant
    announced_at: ids.Instant


class LimitAnnouncements:
    """Tells which upstreams' limits are to be told now."""

    def __init__(self) -> None:
        self._announced_by_id: dict[ids.UpstreamId, _Announced] = {}
        self._next_check_at = shared_rate.LONG_AGO

    def due(
        self, candidates: abc.Iterable[upstreams.Upstream], now: ids.Instant
    ) -> list[upstreams.Upstream]:
        """Return those whose limits are to be told now; they count as told."""
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
        self, upstream: ids.UpstreamId, limit: named_limit.NamedLimit, now: ids.Instant
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


def _is_announceable(limit: named_limit.NamedLimit, now: ids.Instant) -> bool:
    """Tell whether peers may not know it: there is a limit, or one has just ended."""
    if limit.heard_at < limit.told_at:
        return False
    return limit.per_s is not None or now < ids.later(limit.ended_at, END_ANNOUNCED_S)
