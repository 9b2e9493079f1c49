"""Steps that let upstreams misbehave, and ask who has noticed."""

import typing

import behave


@behave.given('upstream "{name}" behaves with {change}')
def behaves(context: typing.Any, name: str, change: str) -> None:
    context.runner.run(context.fleet.behave(name, **{change: True}))


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
