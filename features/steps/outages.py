"""Steps that take away the store and the host list, and give them back."""

import typing

import behave


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
