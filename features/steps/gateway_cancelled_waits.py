"""Properties of requests whose callers leave while they wait for a slot."""

import asyncio

import msgspec

from features.steps import kernel
from features.support import recorded_gateway, served_gateway
from spindlenotch import clock, ids
from spindlenotch.decisions import verdicts
from spindlenotch.forwarding import jobs
from spindlenotch.kernel import upstreams

SERVICE = ids.ServiceName("s")
#: Slots of the upstreams together.
SLOTS = 8
ROUNDS = 5


# Guards against slots of callers that left while their requests waited, which stayed
# taken until all gateways refused a service for good.
@kernel.PROPERTIES.register("a slot granted to a request that is cancelled is returned")
def returned_slot() -> None:
    async def play(*, cancelled_first: bool) -> None:
        gateway = served_gateway.ServedGateway(
            lambda: served_gateway.ScriptedAnswer(200, [])
        )
        gateway.use_clock(clock.CLOCKS.get("boottime")())
        balancer = gateway.state.balancer_by_service[SERVICE]
        grants = gateway.ingress.processor.path._grants
        now = gateway.state.clock.now()

        def job(number: int) -> jobs.Job:
            call = msgspec.structs.replace(
                kernel.call(number),
                arrived_at=now,
                deadline=ids.later(now, 60.0),
                wait_until=ids.later(now, 30.0),
            )
            return jobs.Job(balancer, call, "GET", "/", [], None, False)

        running = [job(number) for number in range(SLOTS)]
        held = [await grants.acquire(one) for one in running]
        for number in range(ROUNDS):
            waiting = asyncio.ensure_future(grants.acquire(job(SLOTS + number)))
            await asyncio.sleep(0)
            assert not waiting.done() and len(balancer.queue) == 1
            grant = held[0]
            assert isinstance(grant, verdicts.Grant)
            if cancelled_first:
                waiting.cancel()
            grants.finish(running[0], grant, upstreams.Result.ANSWERED, None)
            if not cancelled_first:
                waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            balancer.forget(running[0].call.id)
            assert balancer.pool.in_flight == SLOTS - 1, balancer.pool.in_flight
            running[0] = job(100 + number)
            held[0] = await grants.acquire(running[0])
        for one, grant in zip(running, held, strict=True):
            assert isinstance(grant, verdicts.Grant)
            grants.finish(one, grant, upstreams.Result.ANSWERED, None)
        assert balancer.pool.in_flight == 0
        assert not [u for u in balancer.pool.usable_order if u.outstanding]

    recorded_gateway.run(play(cancelled_first=True))
    recorded_gateway.run(play(cancelled_first=False))
