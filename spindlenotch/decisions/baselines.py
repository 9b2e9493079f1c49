"""
The baseline policies: random, round robin, least outstanding, two choices.

They stay because a signed bundle may name them. None reads load reports or
limits how much an upstream gets; the project recommends ``owned_slots``.
"""

from collections import abc

import msgspec

from spindlenotch import ids, selection
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Which upstreams are compared.
Options = abc.Callable[
    [upstream_pool.Pool, ids.Instant, selection.Exclusion], list[upstreams.Upstream]
]
#: Which of them, at least one, is taken.
Pick = abc.Callable[[upstream_pool.Pool, list[upstreams.Upstream]], upstreams.Upstream]


class Baseline(msgspec.Struct, frozen=True):
    """Takes one of some upstreams by a single comparison."""

    rule: selection.Rule
    pick: Pick
    options: Options = selection.eligible

    def choose(
        self,
        pool: upstream_pool.Pool,
        call: wait_queue.Call,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> selection.Choice | None:
        """Pick one; None where no upstream may take the call."""
        options = self.options(pool, now, exclude)
        if not options:
            return None
        return selection.Choice(self.pick(pool, options), self.rule)

    def reported(
        self, pool: upstream_pool.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Ignore the report."""


@selection.POLICIES.register("random")
def random_upstream() -> selection.Policy:
    """Return a policy that takes any upstream."""
    return Baseline(selection.Rule.RANDOM, _any)


@selection.POLICIES.register("round-robin")
def round_robin() -> selection.Policy:
    """Return a policy that takes each upstream in turn, from a random start."""
    return Baseline(selection.Rule.ROUND_ROBIN, _RoundRobin().pick)


@selection.POLICIES.register("least-outstanding")
def least_outstanding() -> selection.Policy:
    """Return a policy that takes the fewest own calls, ties broken at random."""
    return Baseline(selection.Rule.LEAST_OUTSTANDING, _any_of_least)


@selection.POLICIES.register("two-choices")
def two_choices() -> selection.Policy:
    """Return a policy that takes the better of two random upstreams."""
    return Baseline(selection.Rule.TWO_CHOICES, _first_of_least, _two)


class _RoundRobin:
    """The position in the order of upstreams."""

    def __init__(self) -> None:
        self.position: int | None = None

    def pick(
        self, pool: upstream_pool.Pool, options: list[upstreams.Upstream]
    ) -> upstreams.Upstream:
        if self.position is None:
            self.position = pool.rng.randrange(len(options))
        self.position += 1
        return options[self.position % len(options)]


def _any(
    pool: upstream_pool.Pool, options: list[upstreams.Upstream]
) -> upstreams.Upstream:
    return pool.rng.choice(options)


def _any_of_least(
    pool: upstream_pool.Pool, options: list[upstreams.Upstream]
) -> upstreams.Upstream:
    least = min(u.outstanding for u in options)
    return pool.rng.choice([u for u in options if u.outstanding == least])


def _first_of_least(
    pool: upstream_pool.Pool, options: list[upstreams.Upstream]
) -> upstreams.Upstream:
    return min(options, key=_outstanding)


def _outstanding(upstream: upstreams.Upstream) -> int:
    return upstream.outstanding


def _two(
    pool: upstream_pool.Pool, now: ids.Instant, exclude: selection.Exclusion
) -> list[upstreams.Upstream]:
    return selection.sample(pool.usable_order, 2, pool.rng, now, exclude)
