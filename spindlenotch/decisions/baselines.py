"""
The baseline policies: random, round robin, least outstanding, two choices.

They are kept because a signed bundle may name them. None reads load reports or
limits how much an upstream gets; ``owned_slots`` is recommended instead.
"""

from collections import abc

import msgspec

from spindlenotch import ids, selection
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Which upstreams are compared.
Options = abc.Callable[
    [upstream_pool.Pool, ids.Instant, selection.Exclusion], list[upstreams.Upstream]
]
#: Which of them is chosen; there is at least one.
Pick = abc.Callable[[upstream_pool.Pool, list[upstreams.Upstream]], upstreams.Upstream]


class Baseline(msgspec.Struct, frozen=True):
    """Chooses one of some upstreams by a single comparison."""

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
        """Choose an upstream; None if none may take the call."""
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
    """Return a policy that chooses a random upstream."""
    return Baseline(selection.Rule.RANDOM, _pick_random)


@selection.POLICIES.register("round-robin")
def round_robin() -> selection.Policy:
    """Return a policy that chooses each upstream in turn, from a random start."""
    return Baseline(selection.Rule.ROUND_ROBIN, _RoundRobin().pick)


@selection.POLICIES.register("least-outstanding")
def least_outstanding() -> selection.Policy:
    """
    Return a policy that chooses the upstream with the fewest outstanding calls.

    Only calls of this process count; ties are broken at random.
    """
    return Baseline(selection.Rule.LEAST_OUTSTANDING, _pick_least_outstanding)


@selection.POLICIES.register("two-choices")
def two_choices() -> selection.Policy:
    """Return a policy that chooses the less busy of two random upstreams."""
    return Baseline(
        selection.Rule.TWO_CHOICES, _pick_first_least_outstanding, _sample_two
    )


class _RoundRobin:
    """The position of a round-robin policy in the order of upstreams."""

    def __init__(self) -> None:
        self.position: int | None = None

    def pick(
        self, pool: upstream_pool.Pool, options: list[upstreams.Upstream]
    ) -> upstreams.Upstream:
        if self.position is None:
            self.position = pool.rng.randrange(len(options))
        self.position += 1
        return options[self.position % len(options)]


def _pick_random(
    pool: upstream_pool.Pool, options: list[upstreams.Upstream]
) -> upstreams.Upstream:
    return pool.rng.choice(options)


def _pick_least_outstanding(
    pool: upstream_pool.Pool, options: list[upstreams.Upstream]
) -> upstreams.Upstream:
    least = min(u.outstanding for u in options)
    return pool.rng.choice([u for u in options if u.outstanding == least])


def _pick_first_least_outstanding(
    pool: upstream_pool.Pool, options: list[upstreams.Upstream]
) -> upstreams.Upstream:
    return min(options, key=_outstanding)


def _outstanding(upstream: upstreams.Upstream) -> int:
    return upstream.outstanding


def _sample_two(
    pool: upstream_pool.Pool, now: ids.Instant, exclude: selection.Exclusion
) -> list[upstreams.Upstream]:
    return selection.sample(pool.usable_order, 2, pool.rng, now, exclude)
