"""
Traffic split between versions of a service during a canary rollout.

The version that is rolled out (the target) gets a bounded share of first attempts. Each
process counts from zero and never resets the counts: as the bound holds in each process
at any time, it holds for their sum without any coordination. A few upstreams of the
target (the canaries), the same in all processes, get those calls. They are sent in
bursts, at the same moments in all processes and to few canaries at a time, so that
calls run there concurrently: evenly spread they would hardly ever meet, and nothing
would be learnt of the target's behaviour under load.

Performs no I/O and reads no clock. Owns the counts of one service and one target in one
process. Results of calls are passed to an ``Observer``, which evaluates the target.
"""

import enum
import math
import typing
from collections import abc

import msgspec

from spindlenotch import ids, selection
from spindlenotch.decisions import canary_bursts, least_latency, verdicts
from spindlenotch.kernel import rendezvous, upstream_pool, upstreams, wait_queue

#: Least number of canaries: the failure of a single upstream must not be attributed to
#: its version.
MIN_CANARIES = 5
#: Part of the target's share that is divided evenly among the routes, whatever their
#: traffic, and sent between the bursts to routes that the bursts have left short:
#: otherwise a route with little traffic would hardly be tested.
EVEN_SHARE = 0.5


class Access(enum.Enum):
    """Which versions calls may be placed on."""

    #: On the target within its share, on the others without a bound.
    SHARED = "shared"
    OTHERS_ONLY = "others-only"
    TARGET_ONLY = "target-only"


class ExpectedLatency(msgspec.Struct, frozen=True):
    """
    The expected latency of a call.

    ``typical_s`` is the typical latency of its kind in seconds, and ``slowdown`` the
    factor by which its upstream was slowed.
    """

    typical_s: float
    slowdown: float


class Observer(typing.Protocol):
    """Receives the results of calls."""

    def call_ended(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        *,
        is_target: bool,
        expected: ExpectedLatency,
        now: ids.Instant,
    ) -> None:
        """Record the result of a call."""


class Exclusion:
    """The upstreams that a call was sent to before, and those excluded by the split."""

    __slots__ = ("attempted", "excluded")

    def __init__(
        self,
        attempted: abc.Container[ids.UpstreamId],
        excluded: abc.Container[ids.UpstreamId],
    ) -> None:
        self.attempted = attempted
        self.excluded = excluded

    def __contains__(self, upstream_id: object) -> bool:
        return upstream_id in self.attempted or upstream_id in self.excluded

    def __bool__(self) -> bool:
        """Return whether the call has been sent before."""
        return bool(self.attempted)


class TrafficSplit:
    """
    The split of one service's calls between a target and the other versions.

    Invariants: with ``SHARED``, the calls ``sent`` to the target are at most ``share``
    times the ``answered`` calls of the service; with ``OTHERS_ONLY`` nothing is placed
    on the target, with ``TARGET_ONLY`` nothing elsewhere; nothing is ever placed on
    ``excluded_versions``. ``deprioritized`` upstreams of the target are canaries only
    if too few others are left. ``key`` seeds the choice of the canaries; it is the same
    in all processes. ``bursts`` decides when the calls that are due are sent.
    """

    def __init__(
        self,
        target: ids.SoftwareVersion,
        share: float,
        key: str,
        observer: Observer,
        excluded_versions: frozenset[ids.SoftwareVersion] = frozenset(),
    ) -> None:
        self.target = target
        self.share = share
        self.key = key
        self.observer = observer
        self.excluded_versions = excluded_versions
        self.access = Access.SHARED
        self.deprioritized: set[ids.UpstreamId] = set()
        self.bursts = canary_bursts.Bursts(share)
        self.sent = 0
        self.answered = 0
        self._sent_by_route: dict[str, int] = {}
        self._answered_by_route: dict[str, int] = {}
        self._pool_revision = -1
        self._excluded_for = self.access
        self._excluded: frozenset[ids.UpstreamId] = frozenset()
        self._target_order: list[upstreams.Upstream] = []
        self._others = 0

    def excluded(self, pool: upstream_pool.Pool) -> frozenset[ids.UpstreamId]:
        """Return the upstreams on which the selection policy must not place calls."""
        self._refresh(pool)
        return self._excluded

    def excluding(
        self, pool: upstream_pool.Pool, attempted: abc.Container[ids.UpstreamId]
    ) -> selection.Exclusion:
        """Return the upstreams excluded for a call that the selection policy places."""
        return Exclusion(attempted, self.excluded(pool))

    def choose_target(
        self, pool: upstream_pool.Pool, call: wait_queue.Call, now: ids.Instant
    ) -> selection.Choice | None:
        """Choose a canary for a call's first attempt, if the target is due a call."""
        if self.access is not Access.SHARED:
            return None
        self._refresh(pool)
        canaries = self._canaries()
        self.bursts.release(self.allowed(), self.sent, canaries, now)
        if not self._is_due(call.latency_key, now):
            return None
        able = [
            u
            for u in self.bursts.targets(canaries)
            if pool.allows(call, u) and _can_take(pool, u, now)
        ]
        if not able:
            return None
        in_local_region = [u for u in able if not pool.is_remote(u)]
        self.sent += 1
        key = call.latency_key
        self._sent_by_route[key] = self._sent_by_route.get(key, 0) + 1
        return selection.Choice((in_local_region or able)[0], selection.Rule.CANARY)

    def ended(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        expected: ExpectedLatency,
        now: ids.Instant,
    ) -> None:
        """Record the result of a call."""
        self.bursts.call_ended(grant.sent_at, now)
        if result is upstreams.Result.ANSWERED:
            key = grant.call.latency_key
            self.answered += 1
            self._answered_by_route[key] = self._answered_by_route.get(key, 0) + 1
        is_target = grant.upstream.spec.version == self.target
        self.observer.call_ended(
            grant, result, is_target=is_target, expected=expected, now=now
        )

    def is_canary(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream runs the target before its promotion."""
        is_promoted = self.access is Access.TARGET_ONLY
        return upstream.spec.version == self.target and not is_promoted

    def allowed(self) -> float:
        """Return how many calls may have been placed on the target so far."""
        return self.share * self.answered

    def _is_due(self, route: str, now: ids.Instant) -> bool:
        """Return whether the target may get one more call, and one of this route."""
        if self.bursts.may_send(self.sent, now):
            return True
        if self.sent + 1 > self.allowed():
            return False
        even = self.answered / max(1, len(self._answered_by_route))
        route_least = self.share * EVEN_SHARE * even
        return self._sent_by_route.get(route, 0) + 1 <= route_least

    def _canaries(self) -> list[upstreams.Upstream]:
        """Return the upstreams of the target that get calls during the rollout."""
        count = max(MIN_CANARIES, math.ceil(self.share * self._others))
        usable = [u for u in self._target_order if u.state is not EJECTED]
        if self.deprioritized:
            usable.sort(key=lambda u: u.spec.id in self.deprioritized)
        return usable[:count]

    def _refresh(self, pool: upstream_pool.Pool) -> None:
        """
        Recompute the excluded upstreams and canaries if the pool or access changed.
        """
        if pool.revision == self._pool_revision and self.access is self._excluded_for:
            return
        self._pool_revision = pool.revision
        self._excluded_for = self.access
        versions = {u.spec.id: u.spec.version for u in pool.upstream_by_id.values()}
        self._excluded = frozenset(
            i for i, v in versions.items() if self._is_excluded(v)
        )
        targets = [u for u in pool.usable_order if u.spec.version == self.target]
        self._others = sum(u.spec.id not in self._excluded for u in pool.usable_order)
        self._target_order = sorted(targets, key=self._canary_rank, reverse=True)

    def _is_excluded(self, version: ids.SoftwareVersion) -> bool:
        is_target = version == self.target
        if self.access is Access.TARGET_ONLY:
            return not is_target
        return is_target or version in self.excluded_versions

    def _canary_rank(self, upstream: upstreams.Upstream) -> tuple[int, str]:
        """Return the sort key that decides which upstreams become canaries."""
        return rendezvous.score(self.key, ids.HostId(upstream.spec.id))


EJECTED = upstreams.State.EJECTED


def _can_take(
    pool: upstream_pool.Pool, upstream: upstreams.Upstream, now: ids.Instant
) -> bool:
    if not upstream.may_take(now):
        return False
    load = pool.estimated_load(upstream, now)
    return least_latency.has_room(upstream, load, pool.contention)
