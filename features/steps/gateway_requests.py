"""Properties of how long a request may take, and of what its caller is told."""

import asyncio
import dataclasses
import types
import typing

import hypothesis
from hypothesis import strategies

from features.steps import kernel
from spindlenotch import ids, ports
from spindlenotch.decisions import queueing
from spindlenotch.forwarding import exchanges
from spindlenotch.gateway import (
    answers,
    job_factory,
    refusals,
    request_body,
    routing,
)
from spindlenotch.kernel import outcomes

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
    parts=(routing.Part(ids.ServiceName("s"), 1.0),),
)
NO_LIMITS = dataclasses.replace(ROUTE, timeout_s=None, target_s=None)


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


@kernel.PROPERTIES.register("a request waits a share of its route's target latency")
def queue_wait() -> None:
    assert job_factory.queue_wait_s(ROUTE) == 0.2 * 0.5
    assert job_factory.queue_wait_s(NO_LIMITS) == 0.1


@kernel.PROPERTIES.register("another zone costs more the longer the body")
def cross_zone() -> None:
    none = job_factory.cross_zone_s(request_body.NoBody())
    assert none == job_factory.CROSS_ZONE_S
    short = job_factory.cross_zone_s(request_body.WholeBody(b"x" * 100))
    long = job_factory.cross_zone_s(request_body.WholeBody(b"x" * 10_000))
    assert none < short < long


@kernel.PROPERTIES.register("a refusal never asks for a retry at once")
def retry_after() -> None:
    @kernel.SETTINGS
    @hypothesis.given(strategies.none() | strategies.floats(-10, 1e6))
    def check(wait_s: float | None) -> None:
        at = None if wait_s is None else ids.later(NOW, wait_s)
        refusal = outcomes.not_run(outcomes.Reason.QUEUE_FULL, at)
        found = refusals.retry_after_s(refusal, NOW)
        assert found >= queueing.LEAST_RETRY_AFTER_S
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
    full = b"x" * answers.MAX_WHOLE_ANSWER_BYTES
    assert read(b"a", b"b", b"") == answers.WholeAnswer(200, [], b"ab")
    assert read(full, b"") == answers.WholeAnswer(200, [], full)
    assert read(full, b"x", b"never read") == answers.LongAnswer(full + b"x")
    assert read(b"a", lost) == answers.CutAnswer()
    assert read(lost) == answers.CutAnswer()
