"""
When waiting calls are sent to upstreams that all advertise a limit.

Pure. Relies on ``upstreams`` for what this process may send to each.
"""

import heapq
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import shared_rate, upstreams


class NextDispatch(msgspec.Struct, frozen=True, order=True):
    """When an upstream may be sent its next request, and the spacing of later ones."""

    at: ids.Instant
    spacing_s: float


class DispatchSchedule(msgspec.Struct, frozen=True):
    """The next dispatches to upstreams that all advertise a limit; at least one."""

    dispatches: tuple[NextDispatch, ...]

    def at(self, ahead: int) -> ids.Instant:
        """Return when a call with ``ahead`` others before it is sent."""
        heap = list(self.dispatches)
        heapq.heapify(heap)
        for _ in range(ahead):
            at = ids.later(heap[0].at, heap[0].spacing_s)
            heapq.heapreplace(heap, NextDispatch(at, heap[0].spacing_s))
        return heap[0].at


def create(
    usable: abc.Iterable[upstreams.Upstream], now: ids.Instant
) -> DispatchSchedule | None:
    """
    Return the dispatch schedule of upstreams that all advertise a limit.

    None if one advertises no limit, or if this process may send to none of them: what
    they accept then depends on other things.
    """
    dispatches: list[NextDispatch] = []
    for upstream in usable:
        if upstream.state is upstreams.State.EJECTED:
            continue
        part_per_s = upstream.backpressure.limit.part_per_s
        if part_per_s == shared_rate.UNLIMITED:
            return None
        if part_per_s > 0.0:
            dispatches.append(NextDispatch(upstream.free_at(now), 1.0 / part_per_s))
    return DispatchSchedule(tuple(dispatches)) if dispatches else None
