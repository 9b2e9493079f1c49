"""Steps that bring about faults that were found and mended."""

import asyncio
import random
import time
import typing
from unittest import mock

import behave
import loguru

from features.steps import kernel
from features.support import platform_worker, served_gateway, virtual_fleet
from spindlenotch import events, headers, ids, ports
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.drivers import upstream_http
from spindlenotch.gateway.serving import answers, refusals, request_body
from spindlenotch.kernel import ejection, outcomes, upstreams
from spindlenotch.peers import documents
from spindlenotch_platform import http_dialect

LONG = served_gateway.LONG_ANSWER_BYTES
OK = 200
#: Limit of connecting in seconds, how late it may be noticed, and the steps of the
#: event loop at which a process stands still for twice that limit.
CONNECT_S = 0.2
LATE_S = 0.01
STEPS_OF_CONNECTING = 12
UPLOAD_BYTES = 2 * request_body.MAX_BUFFERED_BODY_BYTES
#: Long enough for the head and the first pieces on a loaded machine.
DEADLINE_MS = 1000
#: Calls within which an upstream back from an ejection should get its trial.
CALLS_UNTIL_TRIAL = 500
#: Seconds between two calls, and calls between two ticks of the pool.
CALL_EVERY_S = 0.02
CALLS_PER_TICK = 20
#: Least and greatest time of an answer, as multiples of the typical one.
ANSWER_TIMES = (0.5, 1.5)
#: Seconds for which a control loop fails, and then has for its work.
FAILS_FOR_S = 3.0
BACK_WITHIN_S = 10.0


def served(
    context: typing.Any, answer: typing.Callable[[], served_gateway.ScriptedAnswer]
) -> None:
    """Let the scenario's gateway have upstreams that answer so."""
    context.answer = answer


@behave.given("upstreams whose long answer comes to a halt half way")
def halting(context: typing.Any) -> None:
    start = b"a" * LONG
    served(
        context,
        lambda: served_gateway.ScriptedAnswer(
            200, [start], length=2 * LONG, hangs=True
        ),
    )


@behave.given("upstreams whose answer is cut")
def cut(context: typing.Any) -> None:
    lost = ports.UpstreamFault.CONNECTION_LOST
    served(context, lambda: served_gateway.ScriptedAnswer(200, [b"a", lost]))


@behave.given("upstreams that answer with a failure")
def failing(context: typing.Any) -> None:
    served(context, lambda: served_gateway.ScriptedAnswer(500, [], length=0))


@behave.given("upstreams that answer well")
def good(context: typing.Any) -> None:
    served(context, lambda: served_gateway.ScriptedAnswer(200, [b"good"], length=4))


@behave.when("the deadline passes while the answer is passed on")
def deadline_passes(context: typing.Any) -> None:
    async def run() -> None:
        async with served_gateway.ServedGateway(context.answer) as gateway:
            deadline = {headers.TIMEOUT_MS: str(DEADLINE_MS)}
            context.received, context.closed = await gateway.raw(deadline)

    context.runner.run(run())


@behave.then("the caller gets no second response within the first")
def one_response(context: typing.Any) -> None:
    assert context.received.startswith(served_gateway.FIRST_STATUS_LINE)
    second = context.received.find(served_gateway.ANY_STATUS_LINE, 1)
    found = context.received[second : second + 40]
    assert second == -1, f"byte {second} of what the caller got: {found!r}"


@behave.then("its connection is broken off")
def broken_off(context: typing.Any) -> None:
    assert context.closed


@behave.then("a long answer that only looks like a refusal becomes a failure")
def no_false_promise(context: typing.Any) -> None:
    async def status_passed_on(status: int) -> int:
        def answer() -> served_gateway.ScriptedAnswer:
            return served_gateway.ScriptedAnswer(status, [b"a" * LONG], length=LONG)

        async with served_gateway.ServedGateway(answer) as gateway:
            found, _ = await gateway.request()
            return found

    statuses = sorted(answers.NOT_RUN_STATUSES)
    found = {s: context.runner.run(status_passed_on(s)) for s in statuses}
    failure = refusals.failure_status(outcomes.Reason.CONNECTION_LOST)
    wanted = dict.fromkeys(statuses, failure)
    assert found == wanted, f"status passed on by that of the upstream: {found}"


@behave.when("a caller sends a repeatable request whose body is streamed")
def streamed(context: typing.Any) -> None:
    async def run() -> None:
        async with served_gateway.ServedGateway(context.answer) as gateway:
            await gateway.request(body=b"x" * UPLOAD_BYTES)
            context.sent = gateway.port.sent

    context.runner.run(run())


@behave.then("upstreams got it once, with its whole body")
def sent_once(context: typing.Any) -> None:
    sizes = [one.body_bytes for one in context.sent]
    assert sizes == [UPLOAD_BYTES], f"bytes of the body with each try: {sizes}"


class FirstForeignPort(served_gateway.ScriptedPort):
    """Gives a foreign answer to the first try after ``is_first`` was set."""

    is_first = False

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Answer all but first tries as scripted."""
        answer = await super().send(request)
        if self.is_first:
            self.is_first = False
            return ports.UpstreamFault.FOREIGN_ANSWER
        return answer


@behave.given("upstreams whose first answer to each request is a foreign one")
def first_foreign(context: typing.Any) -> None:
    good(context)


@behave.when("the budget allows {retries:d} retries and {count:d} lookups are sent")
def limited(context: typing.Any, retries: int, count: int) -> None:
    async def run() -> None:
        with mock.patch.object(served_gateway, "ScriptedPort", FirstForeignPort):
            gateway = served_gateway.ServedGateway(context.answer)
        for service in gateway.state.balancer_by_service.values():
            service.extra.set_reserve(float(retries))
        assert isinstance(gateway.port, FirstForeignPort)
        context.found = []
        async with gateway:
            for _ in range(count):
                gateway.port.is_first = True
                context.found.append(await gateway.request())

    context.runner.run(run())


@behave.then(
    "the first {count:d} get a good answer and the others are told of the foreign one"
)
def covered(context: typing.Any, count: int) -> None:
    statuses = [status for status, _ in context.found]
    rest = len(statuses) - count
    failure = refusals.failure_status(outcomes.Reason.FOREIGN_ANSWER)
    assert statuses == [OK] * count + [failure] * rest, context.found


@behave.given("a sound upstream")
def sound(context: typing.Any) -> None:
    context.worker = platform_worker.PlatformWorker("sound")
    context.runner.run(context.worker.start())


@behave.when("the process stands still at each step of connecting to it")
def stands_still(context: typing.Any) -> None:
    async def run() -> None:
        limits = mock.patch.multiple(
            upstream_http, CONNECT_TIMEOUT_S=CONNECT_S, TIMER_DELAY_TOLERANCE_S=LATE_S
        )
        with limits:
            port = upstream_http.HttpUpstreamPort(http_dialect.platform().upstream)
            for step in range(STEPS_OF_CONNECTING):
                context.found.append(await send_and_stand_still(context, port, step))
            await port.close()
        await context.worker.close()

    context.found = []
    context.runner.run(run())


async def send_and_stand_still(
    context: typing.Any, port: upstream_http.HttpUpstreamPort, step: int
) -> ports.UpstreamAnswer | ports.UpstreamFault:
    """Send a request; stand still beyond the limit after so many steps."""
    request = ports.UpstreamRequest(
        address=context.worker.address,
        method="GET",
        target="/x",
        headers=[(http_dialect.REQUEST_ID, "still")],
        body=None,
        request_id="still",
        needs_new_connection=True,
        may_send=lambda: True,
    )
    sending = asyncio.ensure_future(port.send(request))
    for _ in range(step):
        await asyncio.sleep(0)
    asyncio.get_running_loop().call_soon(time.sleep, 2 * CONNECT_S)
    return await sending


@behave.then("the upstream answers each time")
def answers_each_time(context: typing.Any) -> None:
    faults = [one for one in context.found if isinstance(one, ports.UpstreamFault)]
    assert not faults, faults


@behave.when("a caller gives its request an endless time")
def endless(context: typing.Any) -> None:
    async def run() -> None:
        async with served_gateway.ServedGateway(context.answer) as gateway:
            context.without = await gateway.request()
            context.endless = await gateway.request({headers.TIMEOUT_MS: "inf"})
            context.sent = gateway.port.sent

    context.runner.run(run())


@behave.then("it is served like that of a caller that states none")
def served_alike(context: typing.Any) -> None:
    assert context.without == (200, b"good"), context.without
    assert context.endless == context.without, context.endless
    left = [dict(one.headers)[headers.TIMEOUT_MS] for one in context.sent]
    assert left[0] == left[1], left


@behave.given("an upstream of an owned pool whose ejection has ended")
def ejection_over(context: typing.Any) -> None:
    context.balancer = kernel.loaded(1, 4)
    pool = context.balancer.pool
    # The first of the order: the one that ``offer`` looks at.
    context.upstream = pool.usable_order[0]
    assert pool.eject(context.upstream, "test", kernel.NOW)
    context.now = ids.later(kernel.NOW, ejection.duration_s(0))


@behave.when("a call comes before the next tick of the pool")
def call_before_tick(context: typing.Any) -> None:
    context.upstreams = []
    rng = random.Random(1)
    for number in range(CALLS_UNTIL_TRIAL):
        chosen = answered_by(context.balancer, number, context.now, rng)
        context.upstreams.append(chosen)
        context.now = ids.later(context.now, CALL_EVERY_S)
        if number % CALLS_PER_TICK == 0:
            context.balancer.pool.tick(context.now)


def answered_by(
    made: balancer.Balancer, number: int, now: ids.Instant, rng: random.Random
) -> upstreams.Upstream:
    """Place a call, let it be answered in about its time, and return by whom."""
    offered = made.offer(kernel.call(number), now)
    assert isinstance(offered, verdicts.Grant), offered
    ended_at = ids.later(now, made.service.typical_s * rng.uniform(*ANSWER_TIMES))
    made.finish(offered, upstreams.Result.ANSWERED, None, ended_at)
    made.forget(offered.call.id)
    return offered.upstream


@behave.then("the upstream gets its trial request and is active again")
def trial(context: typing.Any) -> None:
    known = context.upstream
    calls = context.upstreams.count(known)
    found = f"{calls} of {len(context.upstreams)} calls, {known.state}"
    assert calls and known.state is upstreams.State.ACTIVE, found


@behave.given("an entry whose reading of the host list fails for a while")
def reading_fails(context: typing.Any) -> None:
    context.everything = everything = virtual_fleet.VirtualFleet(1)
    context.add_cleanup(everything.close)
    context.lines = []
    handler = loguru.logger.add(
        context.lines.append, level="DEBUG", format="{extra[event]}"
    )
    context.add_cleanup(loguru.logger.remove, handler)
    context.entry = everything.add_entry("e1", virtual_fleet.ZONES[0])
    # An unhandled error of a task is what the scenario asks about.
    context.entry.loop.set_exception_handler(lambda loop, about: None)
    everything.world.run(FAILS_FOR_S)
    with mock.patch.object(everything.hosts, "listing", side_effect=RuntimeError):
        everything.world.run(FAILS_FOR_S)


@behave.when("the host list can be read and has changed")
def list_changed(context: typing.Any) -> None:
    context.everything.add_upstream(9)
    context.everything.world.run(BACK_WITHIN_S)


@behave.then("the entry has the changed host list")
def has_list(context: typing.Any) -> None:
    found = context.entry.state.documents.fence.version(documents.DocumentKind.HOSTS)
    wanted = context.everything.hosts.revision
    assert found == wanted, f"revision {found} of {wanted}"


@behave.then("it logged that a control loop failed")
def loop_failed(context: typing.Any) -> None:
    number = str(events.Event.LOOP_FAILED.value.number)
    logged = [line.strip() for line in context.lines]
    assert number in logged, sorted(set(logged))
