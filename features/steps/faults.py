"""Steps that kill, freeze, cut off and race real processes."""

import asyncio
import signal
import typing

import aiohttp
import behave

from features.steps import whole_path
from features.support import sample_bundle
from spindlenotch import client, headers
from spindlenotch.cli import publishing
from spindlenotch.kernel import outcomes

HOTEL = {
    headers.TIMEOUT_MS: "6000",
    headers.CALLER: "hotel",
    headers.KEY: sample_bundle.KEY,
}


@behave.given('entry "{host}" is frozen')
def frozen(context: typing.Any, host: str) -> None:
    context.fleet.entry_by_host[host].process.send(signal.SIGSTOP)


@behave.when('entry "{host}" goes on after {seconds:d} seconds')
def goes_on(context: typing.Any, host: str, seconds: int) -> None:
    context.runner.run(asyncio.sleep(seconds))
    context.fleet.entry_by_host[host].process.send(signal.SIGCONT)


@behave.then('entries "{hosts}" have bundle version {version:d}')
def have_version(context: typing.Any, hosts: str, version: int) -> None:
    async def check() -> bool:
        states = [await context.fleet.state(host) for host in hosts.split(",")]
        return all(s["bundle"] and s["bundle"]["version"] == version for s in states)

    context.runner.run(context.fleet.until(check, f"version {version} on {hosts}"))


@behave.then('entry "{host}" noticed that it was paused')
def noticed(context: typing.Any, host: str) -> None:
    assert context.runner.run(context.fleet.state(host))["pauses"] == 1


@behave.when("two operators publish version {version:d} at once")
def two_operators(context: typing.Any, version: int) -> None:
    async def race() -> list[publishing.Published]:
        first = context.fleet.publish(version, extra="hedge_share = 0.01")
        second = context.fleet.publish(version, extra="hedge_share = 0.02")
        return list(await asyncio.gather(first, second))

    context.published = context.runner.run(race())


@behave.then("exactly one was accepted and the other was told of the conflict")
def one_accepted(context: typing.Any) -> None:
    verdicts = sorted(p.verdict.value for p in context.published)
    assert verdicts == ["accepted", "conflict"], context.published
    for published in context.published:
        assert published.current is not None and published.current.version == 2


@behave.given("the store loses the next answer")
def loses(context: typing.Any) -> None:
    url = f"{context.fleet.store_url}/control"
    context.runner.run(context.fleet.post(url, {"lose_answers": 1}))


@behave.given("store and host list are out")
def out(context: typing.Any) -> None:
    context.runner.run(_outage(context.fleet, True))


@behave.when("store and host list are back")
def back(context: typing.Any) -> None:
    context.runner.run(_outage(context.fleet, False))


async def _outage(fleet: typing.Any, down: bool) -> None:
    for url in (fleet.store_url, fleet.hosts_url):
        await fleet.post(f"{url}/control", {"down": down})


@behave.when('entry "{host}" is killed and started again')
def restart(context: typing.Any, host: str) -> None:
    context.runner.run(_restart(context.fleet, [host]))
    entry = context.fleet.entry_by_host[host]
    context.runner.run(context.fleet.until_ready(entry))


@behave.when("all entries are killed and started again")
def restart_all(context: typing.Any) -> None:
    context.runner.run(_restart(context.fleet, list(context.fleet.entry_by_host)))


async def _restart(fleet: typing.Any, hosts: list[str]) -> None:
    for host in hosts:
        await fleet.entry_by_host[host].process.kill()
    for host in hosts:
        await fleet.start_entry(fleet.entry_by_host[host])


@behave.then("no entry serves")
def none_serves(context: typing.Any) -> None:
    # Long enough for several tries to become ready.
    context.runner.run(asyncio.sleep(5))
    for entry in context.fleet.entry_by_host.values():
        url = f"http://{entry.operator_address}/readyz"
        status, body = context.runner.run(context.fleet.get(url))
        assert (status, body) == (503, b"starting\n"), (entry.host, status, body)


@behave.then("all entries serve")
def all_serve(context: typing.Any) -> None:
    for entry in context.fleet.entry_by_host.values():
        context.runner.run(context.fleet.until_ready(entry))


@behave.when(
    "{count:d} requests are sent over {seconds:d} seconds"
    ' while entry "{one}" and "{other}" are killed'
)
def two_killed(
    context: typing.Any, count: int, seconds: int, one: str, other: str
) -> None:
    async def kill() -> None:
        for host in (one, other):
            await context.fleet.entry_by_host[host].process.kill()

    many = whole_path.send_many(context.fleet, count, seconds, kill)
    context.results = context.runner.run(many)


@behave.when(
    "{count:d} requests are sent over {seconds:d} seconds"
    " while all entries are replaced"
)
def replaced(context: typing.Any, count: int, seconds: int) -> None:
    replacing: list[asyncio.Task[None]] = []

    async def begin() -> None:
        replacing.append(asyncio.ensure_future(_replace_all(context.fleet)))

    async def run() -> list[typing.Any]:
        results = await whole_path.send_many(context.fleet, count, seconds, begin)
        await replacing[0]
        return results

    context.results = context.runner.run(run())


async def _replace_all(fleet: typing.Any) -> None:
    for host in list(fleet.entry_by_host):
        old = fleet.entry_by_host[host]
        await fleet.start_entries(1)
        old.process.send(signal.SIGTERM)
        assert await old.process.ended() == 0, old.process.log[-2000:]


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


@behave.then('every entry knows that "{name}" is leaving')
def all_know(context: typing.Any, name: str) -> None:
    async def check() -> bool:
        for host in context.fleet.entry_by_host:
            state = await context.fleet.state(host)
            found = state["services"]["resv"]["upstreams"]
            if [u["state"] for u in found if u["id"] == name] != ["leaving"]:
                return False
        return True

    context.runner.run(context.fleet.until(check, f"all know {name} is leaving"))
