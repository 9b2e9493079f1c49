"""Steps that start the platform, entries and a bundle to begin with."""

import typing

import behave


@behave.given("a platform with {count:d} upstreams")
def platform(context: typing.Any, count: int) -> None:
    context.runner.run(context.fleet.start_platform(count))


@behave.given("bundle version {version:d} is published")
@behave.when("bundle version {version:d} is published")
def published(context: typing.Any, version: int) -> None:
    result = context.runner.run(context.fleet.publish(version))
    assert result.verdict.value == "accepted", result


@behave.given("{count:d} entries in three zones")
def entries(context: typing.Any, count: int) -> None:
    context.runner.run(context.fleet.start_entries(count))


@behave.when("{count:d} entries in three zones are started")
def start(context: typing.Any, count: int) -> None:
    context.runner.run(context.fleet.start_entries(count))
