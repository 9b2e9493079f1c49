"""
The queueing cost model of the ``owned_slots`` policy.

Unlike ``least_latency.expected_s`` it does not need reports of slowdowns: it uses
queue, latency ratio, silence and zone only. Performs no I/O and reads no clock.
"""

from spindlenotch import ids, selection
from spindlenotch.decisions import silence
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Lower bound of the latency ratio: a few quick answers must not attract all calls.
MIN_LATENCY_RATIO = 0.5


def estimate_cost(
    pool: upstream_pool.Pool,
    upstream: upstreams.Upstream,
    load: float,
    now: ids.Instant,
) -> float:
    """
    Estimate the latency of a typical call at an upstream, as a ratio.

    The unit is the service's typical latency: an idle, healthy upstream in this zone
    has a cost of one. ``load`` is the estimated number of requests in the upstream.
    """
    slots = upstream.slots
    typical_s = pool.latencies.overall.value
    # The probability that all slots are in use, and the queue beyond them.
    all_taken = min(1.0, load / slots) ** slots
    queued = all_taken + max(0.0, load + 1 - slots)
    latency_ratio = max(MIN_LATENCY_RATIO, upstream.latency_ratio.value)
    latency_ratio += silence.overdue_cost(upstream, typical_s, now)
    crossing_s = 0.0
    if upstream.spec.zone != pool.local_member.zone:
        crossing_s = wait_queue.CROSS_ZONE_S
    return float(latency_ratio * (1 + queued / slots) + crossing_s / typical_s)


def estimate_candidate(
    pool: upstream_pool.Pool, upstream: upstreams.Upstream, now: ids.Instant
) -> selection.Candidate:
    """Return ``upstream`` as a candidate, with its estimated load and cost."""
    load = pool.estimated_load(upstream, now)
    return selection.Candidate(
        upstream=upstream.spec.id,
        cost=estimate_cost(pool, upstream, load, now),
        load=load,
        report_age_s=now - upstream.report_at,
        owned_slots=upstream.owned_slots,
    )
