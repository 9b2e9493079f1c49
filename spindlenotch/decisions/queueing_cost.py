"""
What a call would cost at an upstream, by its queue: for the policy of own slots.

Unlike ``soonest.expected_s`` it does not need reports of slowdowns: it knows
queue, latency ratio, silence and zone only. Pure.
"""

from spindlenotch import ids, selection
from spindlenotch.decisions import silence
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Least latency ratio that counts: a few quick answers must not draw all calls.
LEAST_LATENCY_RATIO = 0.5


def estimate(
    pool: upstream_pool.Pool,
    upstream: upstreams.Upstream,
    load: float,
    now: ids.Instant,
) -> float:
    """
    Estimate what a typical call would take there, as a ratio.

    The unit is the service's typical latency: one is an idle, healthy upstream
    in this zone. ``load`` is the estimated number of requests in it.
    """
    slots = upstream.slots
    typical_s = pool.latencies.overall.value
    # The chance that all slots are taken, and what queues once they are.
    all_taken = min(1.0, load / slots) ** slots
    queued = all_taken + max(0.0, load + 1 - slots)
    latency_ratio = max(LEAST_LATENCY_RATIO, upstream.latency_ratio.value)
    latency_ratio += silence.overdue_cost(upstream, typical_s, now)
    crossing_s = 0.0
    if upstream.spec.zone != pool.local_member.zone:
        crossing_s = wait_queue.CROSS_ZONE_S
    return float(latency_ratio * (1 + queued / slots) + crossing_s / typical_s)


def appraise(
    pool: upstream_pool.Pool, upstream: upstreams.Upstream, now: ids.Instant
) -> selection.Candidate:
    """Return what is estimated of ``upstream`` and what a call would cost there."""
    load = pool.estimated_load(upstream, now)
    return selection.Candidate(
        upstream=upstream.spec.id,
        cost=estimate(pool, upstream, load, now),
        load=load,
        report_age_s=now - upstream.report_at,
        owned_slots=upstream.owned_slots,
    )
