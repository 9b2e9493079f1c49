"""
Steps on hosts that are suspended: for a while the event loop's clock stands still.

The host's other clock, by which deadlines are reckoned, counts that time. The gateway
runs in this process; its clock is moved forward while the loop's goes on as before.
"""

import asyncio
import time
import typing

import behave

from features.steps import kernel
from features.support import served_gateway
from spindlenotch import clock, ids
from spindlenotch.gateway import deadlines

SUSPENDED_S = 30.0
#: Time of the requests, in ms: long beside the scenario, short beside the suspension.
DEADLINE_MS = 20_000
#: Seconds within which an answer that is due comes: a few ticks of a gateway.
SOON_S = 1.5


class SuspendedClock(clock.BoottimeClock):
    """A host's clock that also counts a suspension which the loop's does not."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def now(self) -> ids.Instant:
        """Return the seconds since the host was started."""
        return ids.later(super().now(), self.suspended_s)


class Waked(typing.NamedTuple):
    """What a caller got: its status, and seconds after the host woke up."""

    status: int
    after_s: float


@kernel.PROPERTIES.register("a deadline holds on a host that was suspended")
def deadline_holds() -> None:
    async def check() -> None:
        host_clock = SuspendedClock()
        kept = deadlines.Deadlines(host_clock)
        kept.check()
        began_at = time.monotonic()
        try:
            async with kept.until(ids.later(host_clock.now(), SUSPENDED_S)):
                host_clock.suspended_s = SUSPENDED_S
                assert kept.check() >= SUSPENDED_S - deadlines.MIN_SUSPENSION_S
                assert kept.check() == 0.0
                await asyncio.sleep(SOON_S)
        except TimeoutError:
            assert time.monotonic() - began_at < SOON_S
            return
        raise AssertionError("the deadline passed unnoticed")

    asyncio.run(check())


async def suspend_under(answer: served_gateway.ScriptedAnswer) -> Waked:
    """Suspend the host while an upstream is at ``answer``; return what came of it."""
    async with served_gateway.ServedGateway(lambda: answer) as served:
        host_clock = SuspendedClock()
        served.use_clock(host_clock)
        headers = {"Spindlenotch-Timeout-Ms": str(DEADLINE_MS)}
        asking = asyncio.ensure_future(served.request(headers))
        ticking = asyncio.ensure_future(served.tick())
        while not served.port.sent:
            await asyncio.sleep(0.01)
        host_clock.suspended_s = SUSPENDED_S
        woke_at = time.monotonic()
        try:
            async with asyncio.timeout(2 * SOON_S):
                status, _ = await asking
        finally:
            ticking.cancel()
        return Waked(status, time.monotonic() - woke_at)


@behave.when("a host is suspended while an answer of an upstream is read")
def while_read(context: typing.Any) -> None:
    answer = served_gateway.ScriptedAnswer(200, [b"begun"], hangs=True)
    context.waked = context.runner.run(suspend_under(answer))


@behave.then("once it wakes up the caller is told at once that its time is over")
def told_at_once(context: typing.Any) -> None:
    assert context.waked.status == 504, context.waked
    assert context.waked.after_s < SOON_S, context.waked
