"""Properties of how long a request may take, and of what its caller is told."""

import asyncio
import math
import types
import typing

import hypothesis
import msgspec
from hypothesis import strategies

from features.steps import kernel
from features.support import served_gateway
from spindlenotch import clock, ids, ports
from spindlenotch.decisions import queueing, start_limit
from spindlenotch.forwarding import exchanges
from spindlenotch.gateway.serving import (
    answers,
    caller_age,
    job_factory,
    refusals,
    request_body,
)
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import completion_rate, outcomes

NOW = kernel.NOW
ROUTE = routing.Route(
    name=routing.RouteName("r"),
    host="h",
    prefix="/",
    kind=routing.RequestKind.SAFE,
    timeout_s=1.0,
    target_s=0.5,
    rank=1,
    most_tries=2,
    parts=(routing.WeightedService(ids.ServiceName("s"), 1.0),),
)
NEW_ROUTE = routing.RouteName("new")
NO_LIMITS = msgspec.structs.replace(ROUTE, timeout_s=None, target_s=None)


@kernel.PROPERTIES.register("a request ends at its caller's time or its route's")
def deadline() -> None:
    assert job_factory.deadline(NOW, 0.25, ROUTE) == NOW + 0.25
    assert job_factory.deadline(NOW, 60.0, ROUTE) == NOW + 1.0
    assert job_factory.deadline(NOW, 60.0, NO_LIMITS) == NOW + 60.0


@kernel.PROPERTIES.register("a time that can't be read counts as the default")
def unreadable_time() -> None:
    assert job_factory.read_timeout_s("1500") == 1.5
    assert job_factory.read_timeout_s("-1") == 0.0
    for text in (None, "", "soon"):
        read = job_factory.read_timeout_s(text)
        assert read == job_factory.DEFAULT_TIMEOUT_S

    @kernel.SETTINGS
    @hypothesis.given(strategies.text("0123456789-.einfa ", max_size=12))
    def check(text: str) -> None:
        assert job_factory.read_timeout_s(text) >= 0.0

    check()


@kernel.PROPERTIES.register(
    "a request waits for what its target leaves beside its work"
)
def queue_wait() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.floats(0.0, 5.0),
        strategies.floats(0.001, 5.0),
        strategies.floats(0.05, 5.0),
    )
    def check(age_s: float, typical_s: float, target_s: float) -> None:
        limit = start_limit.for_request(
            NOW, target_s=target_s, age_s=age_s, typical_s=typical_s
        )
        wait_s = limit.wait_until - NOW
        in_time = age_s + typical_s + start_limit.RESPONSE_TRANSIT_S < target_s
        assert limit.late is not in_time
        if limit.late:
            assert math.isclose(
                wait_s, start_limit.LATE_WAIT_SHARE * target_s, abs_tol=1e-6
            )
        else:
            end_s = age_s + wait_s + typical_s + start_limit.RESPONSE_TRANSIT_S
            assert math.isclose(end_s, target_s, abs_tol=1e-6)

    check()
    without = start_limit.for_request(NOW, target_s=None, age_s=9.0, typical_s=9.0)
    assert not without.late
    assert without.wait_until == NOW + start_limit.WAIT_WITHOUT_TARGET_S


@kernel.PROPERTIES.register("a request's age is what it lacks to a usual first time")
def caller_age_known() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 0.02), min_size=60, max_size=300),
        strategies.floats(0.3, 3.5),
    )
    def check(delays_s: list[float], age_s: float) -> None:
        ages = caller_age.RequestAges()
        # Two kinds of callers begin with 4 s and 1 s.
        for number, delay_s in enumerate(delays_s):
            ages.age_s(ROUTE.name, (4.0 if number % 3 else 1.0) - delay_s)
        assert ages.age_s(ROUTE.name, 4.0) == 0.0
        assert ages.age_s(ROUTE.name, 60.0) == 0.0
        assert ages.age_s(ROUTE.name, 1.0 - 0.02) <= 0.02 + 1e-9
        found_s = ages.age_s(ROUTE.name, 4.0 - age_s)
        first_s = 1.0 if 4.0 - age_s <= 0.98 else 4.0
        assert found_s <= first_s - (4.0 - age_s) + 1e-9
        assert found_s >= first_s - (4.0 - age_s) - 0.021
        # Nothing is known of another route's callers.
        assert ages.age_s(NEW_ROUTE, 4.0 - age_s) == 0.0

    check()


@kernel.PROPERTIES.register("ages follow callers that begin with another time")
def caller_age_follows() -> None:
    ages = caller_age.RequestAges()
    for first_s in (4.0, 2.0, 8.0):
        for _ in range(4 * caller_age.HALVE_COUNTS_AFTER):
            ages.age_s(ROUTE.name, first_s)
        assert ages.age_s(ROUTE.name, first_s) == 0.0
        assert ages.age_s(ROUTE.name, first_s / 2) == first_s / 2
    ages.forget_missing([ROUTE])
    assert ages.age_s(ROUTE.name, 4.0) == 4.0
    # A route that went and came back begins anew.
    ages.forget_missing([])
    assert ages.age_s(ROUTE.name, 4.0) == 0.0


@kernel.PROPERTIES.register("the rate of ends follows the last seconds")
def completion_rate_follows() -> None:
    rate = completion_rate.CompletionRate()
    assert rate.per_s(NOW) is None
    now = NOW
    for per_s in (20, 100, 10):
        for _ in range(8 * per_s):
            now = ids.later(now, 1.0 / per_s)
            rate.add(now)
        found = rate.per_s(now)
        assert found is not None
        assert 0.9 * per_s <= found <= 1.1 * per_s + 1.0, (per_s, found)


@kernel.PROPERTIES.register("another zone costs more the longer the body or the work")
def cross_zone() -> None:
    none = job_factory.cross_zone_s(request_body.NoBody(), 0.0)
    assert none == job_factory.MIN_CROSS_ZONE_S
    short = job_factory.cross_zone_s(request_body.BufferedBody(b"x" * 100), 0.0)
    long = job_factory.cross_zone_s(request_body.BufferedBody(b"x" * 10_000), 0.0)
    assert none < short < long
    slow = job_factory.cross_zone_s(request_body.NoBody(), 0.2)
    assert slow == 0.2 * job_factory.CROSS_ZONE_SHARE
    slowest = job_factory.cross_zone_s(request_body.NoBody(), 60.0)
    assert slow < slowest == job_factory.MAX_CROSS_ZONE_S


@kernel.PROPERTIES.register("a refusal never asks for a retry at once")
def retry_after() -> None:
    @kernel.SETTINGS
    @hypothesis.given(strategies.none() | strategies.floats(-10, 1e6))
    def check(wait_s: float | None) -> None:
        at = None if wait_s is None else ids.later(NOW, wait_s)
        refusal = outcomes.not_run(outcomes.Reason.QUEUE_FULL, at)
        found = refusals.retry_after_s(refusal, NOW)
        assert found >= queueing.MIN_RETRY_AFTER_S
        if at is not None:
            assert found >= at - NOW

    check()


@kernel.PROPERTIES.register("only a late request fails as late")
def failure_status() -> None:
    for reason in outcomes.Reason:
        late = reason is outcomes.Reason.DEADLINE_PASSED
        assert refusals.failure_status(reason) == (504 if late else 502)


class Exchange:
    """An exchange whose body comes in these pieces."""

    def __init__(self, pieces: list[bytes | ports.UpstreamFault]) -> None:
        self.pieces = pieces
        self.answer = types.SimpleNamespace(
            status=200, headers=[("Content-Length", "0")]
        )

    async def chunk(self) -> bytes | ports.UpstreamFault:
        return self.pieces.pop(0)


def read(*pieces: bytes | ports.UpstreamFault) -> object:
    """Return what an answer of these pieces counts as."""
    exchange = typing.cast(exchanges.Exchange, Exchange(list(pieces)))
    return asyncio.run(answers.read(exchange))


@kernel.PROPERTIES.register("an answer is whole, too long or cut short by how it ends")
def answer_ends() -> None:
    lost = ports.UpstreamFault.CONNECTION_LOST
    full = b"x" * answers.MAX_BUFFERED_RESPONSE_BYTES
    assert read(b"a", b"b", b"") == answers.BufferedResponse(200, [], b"ab")
    assert read(full, b"") == answers.BufferedResponse(200, [], full)
    assert read(full, b"x", b"never read") == answers.PartialResponse(full + b"x")
    assert read(b"a", lost) == answers.TruncatedResponse()
    assert read(lost) == answers.TruncatedResponse()


@kernel.PROPERTIES.register("requests are held while a gateway starts, not for long")
def held_at_start() -> None:
    async def play() -> None:
        made = served_gateway.ServedGateway(
            lambda: served_gateway.ScriptedAnswer(200, [b"whole"], length=5),
            knows=False,
        )
        async with made:
            early = asyncio.ensure_future(made.request())
            await asyncio.sleep(0.05)
            assert not early.done()
            made.learn()
            assert await early == (200, b"whole")
        lost = served_gateway.ServedGateway(
            lambda: served_gateway.ScriptedAnswer(200, [b"whole"], length=5),
            knows=False,
        )
        async with lost:
            status, body = await lost.request()
            assert (status, body) == (503, b"not-ready\n")
            # Once that time is over nothing is held any more.
            steady = typing.cast(clock.ManualClock, lost.state.clock)
            steady.advance(start_limit.STARTUP_HOLD_S)
            async with asyncio.timeout(start_limit.STARTUP_HOLD_S / 2):
                status, _ = await lost.request()
            assert status == 503

    asyncio.run(play())
