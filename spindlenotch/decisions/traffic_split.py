"""
Which upstreams calls may be placed on while a service changes its version.

A version that is tried out (the target) gets a bounded share of first tries, counted
from zero in each process and never forgotten: as the bound holds in each process at
any time, it holds for their sum whatever they know of each other. A few upstreams of
the target, the same in all processes, get those calls, so that each carries as much
as one of the others does; at a sliver of that nothing would be learnt of load.

Pure. Owns the counts of one service and one target in one process. What ends is told
to an ``Observer``, which judges the target.
"""

import enum
import math
import typing
from collections import abc

import msgspec

from spindlenotch import ids, selection
from spindlenotch.decisions import soonest, verdicts
from spindlenotch.kernel import rendezvous, upstream_pool, upstreams, waiting

#: Fewest upstreams of the target that get calls: one that fails by itself must not be
#: taken for its version.
LEAST_TRIED = 2
#: Part of the target's share that is divided evenly among the routes, whatever their
#: requests: a route with few of them would else be hardly tried.
EVEN_PART = 0.5
#: A route may be this far ahead of its part, in calls: half a call on either side
#: is the nearest to its part that whole calls come.
ROUTE_AHEAD = 0.5


class Access(enum.Enum):
    """Which versions calls may be placed on."""

    #: The target within its share, the others without bound.
    SHARED = "shared"
    OTHERS_ONLY = "others-only"
    TARGET_ONLY = "target-only"


class Expected(msgspec.Struct, frozen=True):
    """
    How long a call was expected to take.

    ``typical_s`` is the typical time of its kind, and ``slowdown`` how many times as
    long work took at its upstream.
    """

    typical_s: float
    slowdown: float


class Observer(typing.Protocol):
    """Learns how calls ended."""

    def call_ended(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        *,
        is_target: bool,
        expected: Expected,
        now: ids.Instant,
    ) -> None:
        """Take in the end of a call."""


class Exclusion:
    """The upstreams that a call was sent to before, and those it may not get."""

    __slots__ = ("barred", "tried")

    def __init__(
        self,
        tried: abc.Container[ids.UpstreamId],
        barred: abc.Container[ids.UpstreamId],
    ) -> None:
        self.tried = tried
        self.barred = barred

    def __contains__(self, upstream_id: object) -> bool:
        return upstream_id in self.tried or upstream_id in self.barred

    def __bool__(self) -> bool:
        """Tell whether the call was sent anywhere before."""
        return bool(self.tried)


class TrafficSplit:
    """
    The split of one service's calls between a target and the other versions.

    Invariants: ``sent`` calls placed on the target while it is tried are at most
    ``share`` times the ``answered`` calls of the service; with ``OTHERS_ONLY`` nothing
    is placed on the target, with ``TARGET_ONLY`` nothing elsewhere; nothing ever on
    versions that are ``held``. ``passed_over`` upstreams of the target are tried only
    where too few others are left. ``key`` is part of the choice of upstreams that are
    tried, the same in all processes.
    """

    def __init__(
        self,
        target: ids.SoftwareVersion,
        share: float,
        key: str,
        observer: Observer,
        held: frozenset[ids.SoftwareVersion] = frozenset(),
    ) -> None:
        self.target = target
        self.share = share
        self.key = key
        self.observer = observer
        self.held = held
        self.access = Access.SHARED
        self.passed_over: set[ids.UpstreamId] = set()
        self.sent = 0
        self.answered = 0
        self._sent_by_route: dict[str, int] = {}
        self._answered_by_route: dict[str, int] = {}
        self._pool_revision = -1
        self._barred_access = self.access
        self._barred: frozenset[ids.UpstreamId] = frozenset()
        self._target_order: list[upstreams.Upstream] = []
        self._others = 0

    def barred(self, pool: upstream_pool.Pool) -> frozenset[ids.UpstreamId]:
        """Return the upstreams that calls are not placed on but by their share."""
        self._look_at(pool)
        return self._barred

    def excluding(
        self, pool: upstream_pool.Pool, tried: abc.Container[ids.UpstreamId]
    ) -> selection.Exclusion:
        """Return what a call that is placed by the usual policy may not get."""
        return Exclusion(tried, self.barred(pool))

    def choose_target(
        self, pool: upstream_pool.Pool, call: waiting.Call, now: ids.Instant
    ) -> selection.Choice | None:
        """Return an upstream of the target for a call's first try, if it is due one."""
        if self.access is not Access.SHARED or not self._is_due(call.latency_key):
            return None
        self._look_at(pool)
        able = [
            u for u in self._tried() if pool.allows(call, u) and _can_take(pool, u, now)
        ]
        if not able:
            return None
        near = [u for u in able if not pool.is_far(u)]
        self.sent += 1
        key = call.latency_key
        self._sent_by_route[key] = self._sent_by_route.get(key, 0) + 1
        return selection.Choice(pool.rng.choice(near or able), selection.Rule.CANARY)

    def ended(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        expected: Expected,
        now: ids.Instant,
    ) -> None:
        """Take in the end of a call."""
        if result is upstreams.Result.ANSWERED:
            key = grant.call.latency_key
            self.answered += 1
            self._answered_by_route[key] = self._answered_by_route.get(key, 0) + 1
        is_target = grant.upstream.spec.version == self.target
        self.observer.call_ended(
            grant, result, is_target=is_target, expected=expected, now=now
        )

    def is_on_trial(self, upstream: upstreams.Upstream) -> bool:
        """Tell whether an upstream's failures are those of a version that is tried."""
        is_promoted = self.access is Access.TARGET_ONLY
        return upstream.spec.version == self.target and not is_promoted

    def allowed(self) -> float:
        """Return how many calls may have been placed on the target until now."""
        return self.share * self.answered

    def _is_due(self, route: str) -> bool:
        """Tell whether the target may get one more call, and one of this route."""
        if self.sent + 1 > self.allowed():
            return False
        even = self.answered / max(1, len(self._answered_by_route))
        own = self._answered_by_route.get(route, 0)
        route_allowed = self.share * (EVEN_PART * even + (1.0 - EVEN_PART) * own)
        return self._sent_by_route.get(route, 0) + 1 <= route_allowed + ROUTE_AHEAD

    def _tried(self) -> list[upstreams.Upstream]:
        """Return the upstreams of the target that get calls."""
        count = max(LEAST_TRIED, math.ceil(self.share * self._others))
        usable = [u for u in self._target_order if u.state is not EJECTED]
        if self.passed_over:
            usable.sort(key=lambda u: u.spec.id in self.passed_over)
        return usable[:count]

    def _look_at(self, pool: upstream_pool.Pool) -> None:
        """Work out anew which upstreams are which, if that may have changed."""
        if pool.revision == self._pool_revision and self.access is self._barred_access:
            return
        self._pool_revision = pool.revision
        self._barred_access = self.access
        versions = {u.spec.id: u.spec.version for u in pool.upstream_by_id.values()}
        self._barred = frozenset(i for i, v in versions.items() if self._bars(v))
        targets = [u for u in pool.usable_order if u.spec.version == self.target]
        self._others = sum(u.spec.id not in self._barred for u in pool.usable_order)
        self._target_order = sorted(targets, key=self._place, reverse=True)

    def _bars(self, version: ids.SoftwareVersion) -> bool:
        is_target = version == self.target
        if self.access is Access.TARGET_ONLY:
            return not is_target
        return is_target or version in self.held

    def _place(self, upstream: upstreams.Upstream) -> tuple[int, str]:
        """Return the place of an upstream of the target among those that are tried."""
        return rendezvous.score(self.key, ids.HostId(upstream.spec.id))


EJECTED = upstreams.State.EJECTED


def _can_take(
    pool: upstream_pool.Pool, upstream: upstreams.Upstream, now: ids.Instant
) -> bool:
    if not upstream.may_take(now):
        return False
    load = pool.estimated_load(upstream, now)
    return soonest.has_room(upstream, load, pool.contention)
