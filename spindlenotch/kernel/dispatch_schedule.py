"""
When upstreams that all name limits take the calls that wait, one after the other.

Pure. Relies on ``upstreams`` for what this process may send to each.
"""

import heapq
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import shared_rate, upstreams


class NextDispatch(msgspec.Struct, frozen=True, order=True):
    """When an upstream that names a limit takes its next request, and any further."""

    at: ids.Instant
    spacing_s: float


class DispatchSchedule(msgspec.Struct, frozen=True):
    """The next turns of upstreams that all name limits; there is one at least."""

    dispatches: tuple[NextDispatch, ...]

    def at(self, ahead: int) -> ids.Instant:
        """Return when a call behind ``ahead`` others has its turn."""
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
    Return the turns of upstreams where every one names a limit.

    None where one names none, or none takes any from this process: other things bound
    what they take then.
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
