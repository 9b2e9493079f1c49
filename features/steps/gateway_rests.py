"""
Upstreams that ask one gateway for rest, or say that they leave, without any process.
"""

import types
import typing

import msgspec

from features.steps import kernel
from features.support import rate_pools
from spindlenotch import ids, ports
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.forwarding import classification, jobs, sending
from spindlenotch.kernel import backpressure, outcomes, upstreams
from spindlenotch_platform import signal_headers

NOW = kernel.NOW
REST_S = 3.0
#: How long a call may wait, in seconds.
WAITS_S = 0.3


def taken(upstream: upstreams.Upstream, signals: backpressure.Signals) -> None:
    """Let an upstream say something with an answer."""
    upstream.backpressure.record_signals(signals, sent_at=NOW, is_whole=False, now=NOW)


def offer(
    made: balancer.Balancer, number: int, after_s: float
) -> verdicts.Grant | verdicts.Waiting | outcomes.Refusal:
    """Offer a call that may wait for a moment."""
    now = ids.later(NOW, after_s)
    until = ids.later(now, WAITS_S)
    call = msgspec.structs.replace(kernel.call(number), wait_until=until)
    return made.offer(call, now)


@kernel.PROPERTIES.register(
    "an upstream that rests gets nothing until its rest is over"
)
def rests() -> None:
    made = rate_pools.balancer_of(2)
    resting, other = made.pool.usable_order
    taken(resting, backpressure.Signals(backoff_s=REST_S))
    # A shorter one that was asked for meanwhile does not end it sooner.
    taken(resting, backpressure.Signals(backoff_s=0.5))
    for number in range(3):
        verdict = offer(made, number, after_s=0.6 + 0.6 * number)
        assert isinstance(verdict, verdicts.Grant), verdict
        assert verdict.upstream is other
        assert not resting.may_take(ids.later(NOW, REST_S - 0.01))
    assert resting.may_take(ids.later(NOW, REST_S))


@kernel.PROPERTIES.register(
    "where all rest calls are refused with the end of the first"
)
def all_rest() -> None:
    made = rate_pools.balancer_of(3)
    for number, upstream in enumerate(made.pool.usable_order):
        taken(upstream, backpressure.Signals(backoff_s=REST_S + number))
    verdict = offer(made, 1, after_s=0.0)
    assert isinstance(verdict, outcomes.Refusal), verdict
    assert verdict.retry_at == ids.later(NOW, REST_S), verdict
    # The first is free before this one need give up.
    assert isinstance(offer(made, 2, after_s=REST_S - 0.1), verdicts.Waiting)
    (settled,) = made.settle(ids.later(NOW, REST_S))
    assert isinstance(settled.verdict, verdicts.Grant), settled


@kernel.PROPERTIES.register(
    "a try that waits for its connection is not sent into a rest"
)
def withdrawn() -> None:
    made = rate_pools.balancer_of(2)
    grant = offer(made, 1, after_s=0.0)
    assert isinstance(grant, verdicts.Grant)
    job = jobs.Job(
        balancer=made,
        call=grant.call,
        method="GET",
        target="/",
        headers=[],
        body=None,
        needs_new_connection=True,
    )
    state = typing.cast(typing.Any, types.SimpleNamespace(clock=Clock()))
    port = typing.cast(typing.Any, None)
    request = sending.Sender(state, port, jobs.native_attempt_headers).request(
        job, grant
    )
    assert request.may_send()
    taken(grant.upstream, backpressure.Signals(backoff_s=REST_S))
    assert not request.may_send()
    # It has not run, and no fault of the upstream is seen in it.
    end = classification.classify_fault(ports.UpstreamFault.WITHDRAWN)
    assert end.result is upstreams.Result.SHED and not end.may_have_run


class Clock:
    """Stands still."""

    def now(self) -> ids.Instant:
        """Return the instant."""
        return NOW


@kernel.PROPERTIES.register(
    "an upstream that said it leaves stays out whatever is listed"
)
def leaves() -> None:
    made = rate_pools.balancer_of(2)
    specs = [upstream.spec for upstream in made.pool.usable_order]
    leaving = made.pool.usable_order[0]
    taken(leaving, backpressure.Signals(is_leaving=True))
    # The grant may be of an entry before the one in force.
    assert made.pool.leave(leaving.spec.id, 0, "says that it leaves")
    newer = [msgspec.structs.replace(one, generation=7) for one in specs]
    made.pool.set_listed(newer, NOW)
    assert [u.spec.id for u in made.pool.usable_order] == [specs[1].id]
    made.pool.set_listed(newer[1:], ids.later(NOW, 1.0))
    made.pool.set_listed(newer, ids.later(NOW, 2.0))
    assert [u.spec.id for u in made.pool.usable_order] == [specs[1].id]
    # Another start under the same id has said nothing.
    reborn = msgspec.structs.replace(newer[0], born=5, generation=8)
    made.pool.set_listed([reborn, newer[1]], ids.later(NOW, 3.0))
    assert len(made.pool.usable_order) == 2


@kernel.PROPERTIES.register(
    "what an upstream said before its new start is listed holds for that start"
)
def said_before_listed() -> None:
    """The new process answers while the list still has the earlier one."""
    for is_answered_late in (False, True):
        made = rate_pools.balancer_of(2)
        earlier = made.pool.usable_order[0]
        specs = [upstream.spec for upstream in made.pool.usable_order]
        reborn = msgspec.structs.replace(specs[0], born=5, generation=8)
        said = backpressure.Signals(is_leaving=True, backoff_s=REST_S, limit_per_s=4.0)
        if not is_answered_late:
            taken(earlier, said)
        made.pool.set_listed([reborn, specs[1]], NOW)
        if is_answered_late:
            taken(earlier, said)
            made.pool.pass_on_signals(earlier, NOW)
        current = made.pool.upstream_by_id[reborn.id]
        assert current is not earlier and current.spec == reborn
        assert current.backpressure.limit.per_s == 4.0
        after_rest = ids.later(NOW, REST_S)
        assert not current.may_take(after_rest)
        # A check from before it said so proves nothing.
        current.backpressure.record_well(ids.later(NOW, -0.1))
        assert not current.may_take(after_rest)
        current.backpressure.record_well(ids.later(NOW, 0.1))
        assert not current.backpressure.in_backoff(after_rest)
        # An answer of the earlier process that comes even later changes nothing.
        made.pool.pass_on_signals(earlier, after_rest)
        assert not current.backpressure.in_backoff(after_rest)


@kernel.PROPERTIES.register("rests and leaving are read where they mean something")
def read() -> None:
    for status, text, expected in (
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (200, "3", None),
        (503, "-3", None),
        (503, "nan", None),
        (503, "Fri, 31 Dec 1999 23:59:59 GMT", None),
        (503, "99999999", None),
    ):
        said = signal_headers.read(status, {"Retry-After": text})
        assert said.backoff_s == expected, (status, text)
        is_unreadable = status == 503 and expected is None
        assert bool(said.unreadable) == is_unreadable, (status, text)
    for text, expected_word in (("1", True), (" 1", True), ("0", False), ("", False)):
        said = signal_headers.read(200, {"Server-Leaving": text})
        assert said.is_leaving is expected_word, text
        assert bool(said.unreadable) is not expected_word, text
