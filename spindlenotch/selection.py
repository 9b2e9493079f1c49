"""
Selection policies: they choose an upstream for a call, or let the call wait.

A policy is registered by name; the bundle names the one that a service uses. All are
pure: a decision and its reason depend only on the pool, the call, the instant and the
pool's seeded random numbers. The policies are in ``decisions``: ``owned_slots``
(recommended for bundles), ``least_latency`` (the gateway's) and ``baselines``.
"""

import enum
import random
import typing
from collections import abc

import msgspec

from spindlenotch import ids, registry
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Random draws per upstream of a sample: some draw one that is in the sample already or
#: that may not take the call.
DRAWS_PER_SAMPLE = 3


class Rule(enum.Enum):
    """Why an upstream was chosen."""

    OWN_SLOT = "own slot free"
    CHEAPEST = "own slots busy or slow, cheapest of a few"
    RANDOM = "picked at random"
    ROUND_ROBIN = "next in turn"
    LEAST_OUTSTANDING = "fewest own requests in flight"
    TWO_CHOICES = "better of two picked at random"
    LEAST_LATENCY = "soonest expected end"
    CANARY = "within the share of a version that is tried"


class Candidate(typing.NamedTuple):
    """
    One upstream that was compared, with the estimates used.

    The unit of ``cost`` depends on the policy; ``load`` is a number of requests,
    ``report_age_s`` the age of the last load report in seconds.
    """

    upstream: ids.UpstreamId
    cost: float
    load: float
    report_age_s: float
    owned_slots: float


class Choice(msgspec.Struct, frozen=True):
    """The upstream that takes the call, the rule and the candidates."""

    upstream: upstreams.Upstream
    rule: Rule
    candidates: tuple[Candidate, ...] = ()


Exclusion = abc.Container[ids.UpstreamId]


class Policy(typing.Protocol):
    """Chooses an upstream, or returns None to let the call wait."""

    def choose(
        self,
        pool: upstream_pool.Pool,
        call: wait_queue.Call,
        now: ids.Instant,
        exclude: Exclusion,
    ) -> Choice | None:
        """Choose an upstream for ``call`` that is not in ``exclude``."""

    def reported(
        self, pool: upstream_pool.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Record the number of requests that an upstream reports as queued."""


POLICIES: registry.Registry[abc.Callable[[], Policy]] = registry.Registry("policy")


def eligible(
    pool: upstream_pool.Pool, now: ids.Instant, exclude: Exclusion
) -> list[upstreams.Upstream]:
    """Return all upstreams that may take a call."""
    return eligible_among(pool.usable_order, now, exclude)


def eligible_among(
    order: abc.Iterable[upstreams.Upstream], now: ids.Instant, exclude: Exclusion
) -> list[upstreams.Upstream]:
    """Return all upstreams of ``order`` that may take a call."""
    return [u for u in order if u.spec.id not in exclude and u.may_take(now)]


def sample(
    order: abc.Sequence[upstreams.Upstream],
    count: int,
    rng: random.Random,
    now: ids.Instant,
    exclude: Exclusion,
) -> list[upstreams.Upstream]:
    """Return up to ``count`` random upstreams of ``order`` that may take a call."""
    sampled_by_id: dict[ids.UpstreamId, upstreams.Upstream] = {}
    for _ in range(DRAWS_PER_SAMPLE * count if order else 0):
        upstream = order[int(rng.random() * len(order))]
        upstream_id = upstream.spec.id
        if upstream_id in sampled_by_id or upstream_id in exclude:
            continue
        if upstream.may_take(now):
            sampled_by_id[upstream_id] = upstream
            if len(sampled_by_id) == count:
                break
    return list(sampled_by_id.values())
