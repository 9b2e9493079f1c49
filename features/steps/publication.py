"""Steps about operators who publish, and which version is in force where."""

import asyncio
import typing

import behave

from spindlenotch.cli import publishing


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


@behave.then('entries "{hosts}" have bundle version {version:d}')
def have_version(context: typing.Any, hosts: str, version: int) -> None:
    async def check() -> bool:
        states = [await context.fleet.state(host) for host in hosts.split(",")]
        return all(s["bundle"] and s["bundle"]["version"] == version for s in states)

    context.runner.run(context.fleet.until(check, f"version {version} on {hosts}"))
