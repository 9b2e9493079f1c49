"""Steps about bookings with an id of the caller's own, sent more than once."""

import asyncio
import typing

import aiohttp
import behave

from features.support import sample_bundle
from spindlenotch import client, headers
from spindlenotch.kernel import outcomes

HOTEL = {
    headers.TIMEOUT_MS: "6000",
    headers.CALLER: "hotel",
    headers.KEY: sample_bundle.KEY,
}


@behave.when('a booking "{work}" with its own id is sent through all entries at once')
def through_all(context: typing.Any, work: str) -> None:
    async def run() -> list[client.Answer]:
        hosts = context.fleet.entry_by_host
        return list(
            await asyncio.gather(
                *(_book(context.fleet, h, work) for h in hosts for _ in range(3))
            )
        )

    context.answers = context.runner.run(run())


async def _book(
    fleet: typing.Any, host: str, work: str, attempt: int | None = None
) -> client.Answer:
    entry = fleet.entry_by_host[host]
    fields = {**HOTEL, headers.IDEMPOTENCY_KEY: f"id-{work}", "X-Work": work}
    if attempt is not None:
        fields[headers.ATTEMPT] = str(attempt)
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{entry.address}/s/resv/bookings", headers=fields, data=b"a night"
        ) as response,
    ):
        body = await response.read()
        shown = response.headers
        return client.Answer(
            response.status,
            (),
            body,
            outcomes.Outcome(shown[headers.OUTCOME]),
            shown[headers.REASON],
            shown[headers.REQUEST_ID],
            shown.get(headers.UPSTREAM, ""),
            entry.address,
            int(shown.get(headers.RETRY_AFTER_MS, 0)) / 1000 or None,
        )


@behave.then("every sender got the same answer or was told that it ran")
def same_answer(context: typing.Any) -> None:
    bodies = {a.body for a in context.answers if a.status == 200}
    assert len(bodies) == 1, context.answers
    for answer in context.answers:
        assert answer.outcome is outcomes.Outcome.RAN, answer


@behave.when(
    'a booking "{work}" with its own id is sent through "{host}" as a first attempt'
)
def first_attempt(context: typing.Any, work: str, host: str) -> None:
    context.answer = context.runner.run(_book(context.fleet, host, work, 1))


@behave.when('a booking "{work}" is under way through "{host}" as it is killed')
def under_way(context: typing.Any, work: str, host: str) -> None:
    context.work = work

    async def run() -> None:
        task = asyncio.ensure_future(_book(context.fleet, host, work))
        await asyncio.sleep(1.0)
        await context.fleet.entry_by_host[host].process.kill()
        (result,) = await asyncio.gather(task, return_exceptions=True)
        assert isinstance(result, aiohttp.ClientError), result

    context.runner.run(run())


@behave.when('it is sent again through "{host}"')
def sent_again(context: typing.Any, host: str) -> None:
    context.answer = context.runner.run(_book(context.fleet, host, context.work, 2))
