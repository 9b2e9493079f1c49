"""Steps on workers that start again under their id, and on entries of other writers."""

import asyncio
import time
import typing

import behave

from features.support import platform_context, platform_worker, worker_records

run = platform_context.run
fleet_of = platform_context.fleet_of

#: A start of the stand-ins, in ms of Unix time, and one that is told as an earlier one.
FIRST_BORN = 1_700_000_000_002
SECOND_BORN = 1_600_000_000_001
ODD_ENTRIES = {
    "bytes that are no text": b"\xff\xfe\x00",
    "an unknown state": {"state": "joining"},
}


@behave.given("all workers tell when they started")
def tell_start(context: typing.Any) -> None:
    fleet = fleet_of(context)
    for worker in fleet.worker_by_id.values():
        worker.born = FIRST_BORN
        fleet.list_worker(worker)


@behave.when("that worker starts again under its id")
def starts_again(context: typing.Any) -> None:
    start_again(context, fleet_of(context).worker_by_id["i-0"])


@behave.when('the worker that runs "{request_id}" starts again under its id')
def runner_starts_again(context: typing.Any, request_id: str) -> None:
    fleet = fleet_of(context)
    (runner,) = fleet.runs_of(request_id)
    start_again(context, fleet.worker_by_id[runner])


def start_again(context: typing.Any, worker: platform_worker.PlatformWorker) -> None:
    """Let a worker crash and start again, in good health, and say so."""

    async def start() -> None:
        worker.mode = worker_records.Mode.GOOD
        worker.start_again(SECOND_BORN)
        fleet_of(context).list_worker(worker)

    run(context, start())
    context.replaced = worker
    context.runs_before = len(worker.runs)


@behave.when("the first one starts again under its id at another address")
def elsewhere(context: typing.Any) -> None:
    async def start() -> None:
        fleet = fleet_of(context)
        fleet.worker_by_id["i-of-another-service"] = fleet.worker_by_id.pop("i-0")
        again = await fleet.add_worker("i-0")
        again.born = SECOND_BORN
        fleet.list_worker(again)
        context.again = again

    run(context, start())


@behave.then("that worker runs requests again within {seconds:d} seconds")
def runs_again(context: typing.Any, seconds: int) -> None:
    worker = getattr(context, "again", context.replaced)
    before = len(worker.runs)
    deadline = time.monotonic() + seconds

    async def send() -> None:
        while len(worker.runs) == before:
            assert time.monotonic() < deadline, worker.id
            await send_some(context, 10)

    run(context, send())


async def send_some(context: typing.Any, count: int) -> None:
    """Send requests to all gateways at once."""
    fleet = fleet_of(context)
    nodes = platform_context.living(context)
    sent = [
        fleet.send(nodes[n % len(nodes)], "/read/x", f"some-{time.monotonic()}-{n}")
        for n in range(count)
    ]
    await asyncio.gather(*sent)


@behave.when('a client\'s POST "{target}" as "{request_id}" is under way')
def under_way(context: typing.Any, target: str, request_id: str) -> None:
    async def send() -> None:
        fleet = fleet_of(context)
        work = fleet.send("node-1", target, request_id, "POST", b"one night")
        context.sending = asyncio.ensure_future(work)

        async def running() -> bool:
            return bool(fleet.runs_of(request_id))

        await fleet.until(running)

    run(context, send())


@behave.then("that client gets status {status:d}")
def gets(context: typing.Any, status: int) -> None:
    async def wait() -> None:
        context.answer = await context.sending

    run(context, wait())
    assert context.answer.status == status, context.answer


@behave.when('in place of a worker\'s entry another writer puts "{odd}"')
def another_writer(context: typing.Any, odd: str) -> None:
    fleet = fleet_of(context)
    worker = fleet.worker_by_id["i-0"]
    context.replaced = worker
    change = ODD_ENTRIES[odd]
    if isinstance(change, bytes):
        fleet.store.put(f"servers/{worker.id}", change)
    else:
        fleet.store.put(f"servers/{worker.id}", {**fleet.entry(worker), **change})
    context.written_at = time.monotonic()


@behave.when("its entry is good again")
def good_again(context: typing.Any) -> None:
    fleet_of(context).list_worker(context.replaced)


@behave.then("that worker gets nothing new after {seconds:g} seconds")
def nothing_after(context: typing.Any, seconds: float) -> None:
    async def check() -> None:
        left_s = context.written_at + seconds - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
        before = len(context.replaced.runs)
        for _ in range(5):
            await send_some(context, 10)
        assert len(context.replaced.runs) == before

    run(context, check())
