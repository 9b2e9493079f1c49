"""Steps that freeze, kill and restart entries, and look at what they then do."""

import asyncio
import signal
import typing

import behave


@behave.given('entry "{host}" is frozen')
def frozen(context: typing.Any, host: str) -> None:
    context.fleet.entry_by_host[host].process.send(signal.SIGSTOP)


@behave.when('entry "{host}" goes on after {seconds:d} seconds')
def goes_on(context: typing.Any, host: str, seconds: int) -> None:
    context.runner.run(asyncio.sleep(seconds))
    context.fleet.entry_by_host[host].process.send(signal.SIGCONT)


@behave.then('entry "{host}" noticed that it was paused')
def noticed(context: typing.Any, host: str) -> None:
    assert context.runner.run(context.fleet.state(host))["pauses"] == 1


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
    context.runner.run(_until_all_answer(context.fleet))
    # Long enough for several tries to become ready.
    context.runner.run(asyncio.sleep(5))
    for entry in context.fleet.entry_by_host.values():
        status, body = context.runner.run(context.fleet.get(_readiness_url(entry)))
        assert (status, body) == (503, b"starting\n"), (entry.host, status, body)


async def _until_all_answer(fleet: typing.Any) -> None:
    """Wait until each entry's port is open; on a busy machine that takes seconds."""
    for entry in fleet.entry_by_host.values():

        async def answers(url: str = _readiness_url(entry)) -> bool:
            status, _ = await fleet.get(url)
            return bool(status)

        await fleet.until(answers, f"{entry.host} answers")


def _readiness_url(entry: typing.Any) -> str:
    return f"http://{entry.operator_address}/readyz"


@behave.then("all entries serve")
def all_serve(context: typing.Any) -> None:
    for entry in context.fleet.entry_by_host.values():
        context.runner.run(context.fleet.until_ready(entry))


@behave.then('entry "{host}" ended with code {code:d}')
def entry_ended(context: typing.Any, host: str, code: int) -> None:
    process = context.fleet.entry_by_host[host].process
    found = context.runner.run(process.ended())
    assert found == code, (found, process.log[-2000:])
