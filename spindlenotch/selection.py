"""
Selection policies: which upstream takes a call, or that the call waits.

A policy is registered by name; the bundle names the one a service uses. All
are pure: pool, call, instant and the pool's seeded random numbers in, a
decision with its reason out. The baselines here stay because a signed bundle
may name them; the project recommends ``owned_slots``.
"""

import dataclasses
import enum
import typing
from collections import abc

from spindlenotch import ids, registry
from spindlenotch.kernel import pool as pools, upstreams, waiting


class Rule(enum.Enum):
    """Why an upstream was chosen."""

    OWN_SLOT = "own slot free"
    CHEAPEST = "own slots busy or slow, cheapest of a few"
    RANDOM = "picked at random"
    ROUND_ROBIN = "next in turn"
    LEAST_OUTSTANDING = "fewest own requests in flight"
    TWO_CHOICES = "better of two picked at random"
    SOONEST = "soonest expected end"


class Candidate(typing.NamedTuple):
    """One upstream that was considered, and what was believed of it."""

    upstream: ids.UpstreamId
    cost: float
    believed_running: float
    belief_age_s: float
    owned_slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The upstream that takes the call, the rule and the candidates."""

    upstream: upstreams.Upstream
    rule: Rule
    candidates: tuple[Candidate, ...] = ()


Exclusion = abc.Container[ids.UpstreamId]


class Policy(typing.Protocol):
    """Chooses an upstream, or returns None to let the call wait."""

    def choose(
        self,
        pool: pools.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: Exclusion,
    ) -> Choice | None:
        """Decide on one call."""

    def reported(
        self, pool: pools.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Take in what an upstream said of its queue."""


POLICIES: registry.Registry[abc.Callable[[], Policy]] = registry.Registry("policy")


def eligible(
    pool: pools.Pool, now: ids.Instant, exclude: Exclusion
) -> list[upstreams.Upstream]:
    """Return all upstreams that may take a call."""
    return [
        u for u in pool.usable_order if u.spec.id not in exclude and u.may_take(now)
    ]


def sample(
    pool: pools.Pool, count: int, now: ids.Instant, exclude: Exclusion
) -> list[upstreams.Upstream]:
    """Return up to ``count`` random upstreams that may take a call."""
    found: list[upstreams.Upstream] = []
    order = pool.usable_order
    if not order:
        return found
    for _ in range(3 * count):
        upstream = order[int(pool.rng.random() * len(order))]
        if upstream in found or upstream.spec.id in exclude:
            continue
        if upstream.may_take(now):
            found.append(upstream)
            if len(found) == count:
                break
    return found


class _Heedless:
    """A policy that makes nothing of reports."""

    def reported(
        self, pool: pools.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Do nothing."""


@POLICIES.register("random")
class RandomPolicy(_Heedless):
    """Baseline: any upstream that may take work."""

    def choose(
        self,
        pool: pools.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: Exclusion,
    ) -> Choice | None:
        """Pick one at random."""
        options = eligible(pool, now, exclude)
        return Choice(pool.rng.choice(options), Rule.RANDOM) if options else None


@POLICIES.register("round-robin")
class RoundRobinPolicy(_Heedless):
    """Baseline: each upstream in turn, from a random start."""

    def __init__(self) -> None:
        self.turn: int | None = None

    def choose(
        self,
        pool: pools.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: Exclusion,
    ) -> Choice | None:
        """Pick the next one."""
        options = eligible(pool, now, exclude)
        if not options:
            return None
        if self.turn is None:
            self.turn = pool.rng.randrange(len(options))
        self.turn += 1
        return Choice(options[self.turn % len(options)], Rule.ROUND_ROBIN)


@POLICIES.register("least-outstanding")
class LeastOutstandingPolicy(_Heedless):
    """Baseline: fewest own requests in flight, ties broken at random."""

    def choose(
        self,
        pool: pools.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: Exclusion,
    ) -> Choice | None:
        """Pick the one with the fewest."""
        options = eligible(pool, now, exclude)
        if not options:
            return None
        least = min(u.outstanding for u in options)
        best = [u for u in options if u.outstanding == least]
        return Choice(pool.rng.choice(best), Rule.LEAST_OUTSTANDING)


@POLICIES.register("two-choices")
class TwoChoicesPolicy(_Heedless):
    """Baseline: the better of two at random, by own requests in flight."""

    def choose(
        self,
        pool: pools.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: Exclusion,
    ) -> Choice | None:
        """Compare two."""
        options = sample(pool, 2, now, exclude)
        if not options:
            return None
        best = min(options, key=lambda u: u.outstanding)
        return Choice(best, Rule.TWO_CHOICES)
