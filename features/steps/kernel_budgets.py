"""Property tests of the budgets of retries, hedges and probes."""

import hypothesis
import msgspec
from hypothesis import strategies

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.decisions import verdicts
from spindlenotch.kernel import budgets, extra_budgets, upstreams

NOW = kernel.NOW


@kernel.PROPERTIES.register("a spaced budget holds in every window")
def spaced() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.integers(1, 10),
        strategies.lists(strategies.floats(0, 0.5), max_size=200),
    )
    def check(allowed: int, gaps: list[float]) -> None:
        budget = budgets.SpacedBudget(allowed, 1.0, NOW)
        now, used = NOW, []
        for gap in gaps:
            now = ids.later(now, gap)
            if budget.spend(now):
                used.append(now)
        assert not used or used[0] >= NOW + 1.0
        for first, last in zip(used, used[allowed:], strict=False):
            assert last - first >= 1.0 - 1e-6

    check()


@kernel.PROPERTIES.register("a rate holds in every span, early uses wait")
def rates() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.floats(0.5, 50),
        strategies.lists(strategies.floats(0, 0.3), min_size=1, max_size=100),
    )
    def check(per_second: float, gaps: list[float]) -> None:
        burst = max(1.0, per_second)
        budget = budgets.RateBudget(per_second, burst, NOW)
        now, uses = NOW, []
        for gap in gaps:
            now = ids.later(now, gap)
            use_at = budget.reserve(now, 0.2)
            if use_at is None:
                early = len(uses) + 1 > per_second * (now + 0.2 - NOW) - 1e-6
                assert early or budget.tokens < 1.0
                continue
            assert now <= use_at <= now + 0.2 + 1e-6
            uses.append(use_at)
        for number, use_at in enumerate(uses):
            assert number + 1 <= per_second * (use_at - NOW) + 1e-6
            for earlier in uses[:number]:
                span = sum(earlier <= u <= use_at for u in uses)
                assert span <= burst + per_second * (use_at - earlier) + 1 + 1e-6

    check()


@kernel.PROPERTIES.register("extra sends stay within their share")
def shares() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.floats(0, 0.1), strategies.lists(strategies.booleans(), max_size=400)
    )
    def check(share: float, order: list[bool]) -> None:
        budget = budgets.ShareBudget(share)
        earned = spent = 0
        for ordinary in order:
            if ordinary:
                budget.earn(NOW)
                earned += 1
            else:
                spent += budget.spend(NOW) is not None
            assert spent <= share * earned + 1 + 1e-6

    check()


@kernel.PROPERTIES.register(
    "what a draining upstream turned away moves beside the budget"
)
def moves_on() -> None:
    # Two requests are under way to it when the first answer says that it drains; the
    # budget begins with one retry. Upstreams that are full take from it, and so does
    # whatever arrives again where the sum over a fleet is bounded.
    window = extra_budgets.SharedWindow(share=0.05, reserve=1, window_s=10.0)
    cases = ((True, kernel.SHARES, 3), (False, kernel.SHARES, 1), (True, window, 1))
    for drains, extra, placed in cases:
        made = kernel.loaded(1, 1, extra=extra)
        grants = [made.offer(kernel.call(number), NOW) for number in range(3)]
        others = kernel.loaded(1, 4).pool.upstream_by_id.values()
        made.pool.set_listed([upstream.spec for upstream in others], NOW)
        if drains:
            made.pool.leave(ids.UpstreamId("u0"), 1, "said it is draining")
        moved = 0
        for grant in grants:
            assert isinstance(grant, verdicts.Grant), grant
            made.finish(grant, upstreams.Result.SHED, None, NOW)
            moved += made.retry(grant, NOW, known_not_run=True) is not None
        assert moved == placed, (drains, extra, moved)
        # The budget is whole for others where nothing was taken from it.
        assert (made.retries.balance >= 1.0) is (placed == len(grants))


@kernel.PROPERTIES.register("a try that reached nobody leaves a call its tries")
def reached_nobody() -> None:
    # The first try is lost with its upstream; then others turn out to have ended.
    window = extra_budgets.SharedWindow(share=0.05, reserve=20, window_s=10.0)
    made = kernel.loaded(1, 12, extra=window)
    grant = made.offer(msgspec.structs.replace(kernel.call(0), max_attempts=2), NOW)
    assert isinstance(grant, verdicts.Grant), grant
    made.finish(grant, upstreams.Result.FAILED, None, NOW)
    tried = {grant.upstream.spec.id}
    again = made.retry(grant, NOW)
    unreached = 0
    while again is not None:
        assert again.upstream.spec.id not in tried
        tried.add(again.upstream.spec.id)
        made.finish(again, upstreams.Result.CONNECT_FAILED, None, NOW)
        unreached += 1
        again = made.retry(again, NOW, known_not_run=True)
    # Not for ever: each costs a moment, up to that of a connection.
    assert 2 <= unreached <= 5, unreached
    # One that was reached counts, whatever became of it.
    made = kernel.loaded(2, 12, extra=window)
    grant = made.offer(msgspec.structs.replace(kernel.call(1), max_attempts=2), NOW)
    assert isinstance(grant, verdicts.Grant), grant
    made.finish(grant, upstreams.Result.FAILED, None, NOW)
    again = made.retry(grant, NOW)
    assert again is not None
    made.finish(again, upstreams.Result.FAILED, None, NOW)
    assert made.retry(again, NOW) is None
