"""Steps on zones that the operator evacuates and on workers that are cold."""

import asyncio
import time
import typing

import behave

from features.steps import platform
from features.support import (
    platform_context,
    platform_fleet,
    platform_worker,
    worker_records,
)

OTHER_ZONE = "z2"
EVACUATION = "op/evacuate/"
#: Requests a second that a cold worker bears beyond its rate, by the users' bounds:
#: half of the rate more, and eight.
OVERSHOOT, SLACK = 1.5, 8
#: Time that one request of a burst comes after the one before, in seconds.
BURST_GAP_S = 0.009
#: Time that work takes in the scenario with cold workers, in seconds: all slots of
#: the others are in use most of the time.
WORK_S = 0.1

run = platform_context.run
fleet_of = platform_context.fleet_of
living = platform_context.living


def says(fleet: platform_fleet.PlatformFleet, node: str, event: int) -> bool:
    """Tell whether a gateway has logged an event."""
    return f'"event":{event},' in fleet.logs[node].read_text()


async def until_all_say(context: typing.Any, event: int) -> None:
    """Wait until every gateway has logged an event."""
    fleet = fleet_of(context)

    async def everybody() -> bool:
        return all(says(fleet, node, event) for node in living(context))

    await fleet.until(everybody)


@behave.given("a worker in another zone")
def other_zone(context: typing.Any) -> None:
    async def add() -> None:
        fleet = fleet_of(context)
        context.elsewhere = await fleet.add_worker("i-elsewhere", zone=OTHER_ZONE)
        await until_runs(context, context.elsewhere)

    run(context, add())


async def until_runs(
    context: typing.Any, worker: platform_worker.PlatformWorker
) -> None:
    """Send requests to all gateways until a worker has run a new one."""
    fleet = fleet_of(context)
    before = len(worker.runs)

    async def has_run() -> bool:
        sent = [
            fleet.send(node, "/read/x", f"{node}-{time.monotonic()}-{n}")
            for node in living(context)
            for n in range(12)
        ]
        await asyncio.gather(*sent)
        return len(worker.runs) > before

    await fleet.until(has_run)


@behave.when("the operator evacuates that zone and every gateway says so")
def evacuates(context: typing.Any) -> None:
    async def evacuate() -> None:
        fleet_of(context).store.put(EVACUATION + OTHER_ZONE, {})
        await until_all_say(context, 214)

    run(context, evacuate())


@behave.when("the operator evacuates all zones and every gateway says so")
def evacuates_all(context: typing.Any) -> None:
    async def evacuate() -> None:
        for zone in platform_fleet.ZONES:
            fleet_of(context).store.put(EVACUATION + zone, {})
        await until_all_say(context, 214)

    run(context, evacuate())


@behave.then("none of {count:d} requests is run in that zone")
def none_there(context: typing.Any, count: int) -> None:
    async def send() -> None:
        fleet = fleet_of(context)
        before = len(context.elsewhere.runs)
        for number in range(count):
            node = living(context)[number % len(living(context))]
            answer = await fleet.send(node, "/read/x", f"emptied-{number}")
            assert answer.status == 200, answer
        assert len(context.elsewhere.runs) == before

    run(context, send())


@behave.when("a gateway is started and the operator takes the evacuation back")
def takes_back(context: typing.Any) -> None:
    async def take_back() -> None:
        fleet = fleet_of(context)
        node = await fleet.start_gateway(3)
        await fleet.until_ready(node)
        before = len(context.elsewhere.runs)
        for number in range(12):
            await fleet.send(node, "/read/x", f"newcomer-{number}")
        assert len(context.elsewhere.runs) == before
        fleet.store.remove(EVACUATION + OTHER_ZONE)
        await until_all_say(context, 215)

    run(context, take_back())


@behave.then("the worker of that zone runs requests again")
def used_again(context: typing.Any) -> None:
    run(context, until_runs(context, context.elsewhere))


@behave.given("cold workers bear {rate:d} requests a second")
def cold_rate(context: typing.Any, rate: int) -> None:
    async def configure() -> None:
        fleet = fleet_of(context)
        context.cold_rate = rate
        for worker in fleet.worker_by_id.values():
            worker.work_s = WORK_S
        config = platform_fleet.configuration(
            5, platform.ROUTES, platform.SERVICES, coldPerS=rate, coldStartS=3.0
        )
        fleet.store.put("op/config", config)

        async def in_force() -> bool:
            pages = [await _state(fleet, node) for node in living(context)]
            return all('"version":5' in page for page in pages)

        await fleet.until(in_force)

    run(context, configure())


async def _state(fleet: platform_fleet.PlatformFleet, node: str) -> str:
    async with fleet.session.get(fleet.url(node, "control", "/state")) as answer:
        return (await answer.text()).replace(" ", "")


@behave.when(
    "one worker turns cold for {seconds:d} seconds and {count:d} requests come while "
    "it is"
)
def turns_cold(context: typing.Any, seconds: int, count: int) -> None:
    async def send() -> None:
        fleet = fleet_of(context)
        cold = fleet.worker_by_id["i-0"]
        context.cold = cold
        cold.coldness = worker_records.Coldness(
            until=time.monotonic() + seconds,
            most_in_a_second=OVERSHOOT * context.cold_rate + SLACK,
        )
        fleet.list_worker(cold)
        nodes = living(context)
        sent = []
        for number in range(count):
            node = nodes[number % len(nodes)]
            work = fleet.send(node, "/read/x", f"burst-{number}")
            sent.append(asyncio.ensure_future(work))
            await asyncio.sleep(BURST_GAP_S)
        context.answers = await asyncio.gather(*sent)

    run(context, send())


@behave.then("it has not fallen over")
def stands(context: typing.Any) -> None:
    assert not context.cold.coldness.has_fallen, len(context.cold.runs)


@behave.then("all others took what it could not")
def others(context: typing.Any) -> None:
    served = [answer for answer in context.answers if answer.status == 200]
    refused = [answer for answer in context.answers if answer.status == 503]
    assert len(served) + len(refused) == len(context.answers), context.answers
    assert all("Retry-After" in answer.headers for answer in refused)
    there = sum(run.request_id.startswith("burst") for run in context.cold.runs)
    assert len(served) > 2 * there, (len(served), there)
