"""Steps on items of the store that can't be read."""

import asyncio
import typing
from unittest import mock

import behave

from features.steps import kernel
from features.support import (
    captured_events,
    platform_context,
    platform_fleet,
    store_reading,
)
from spindlenotch import events

fleet_of = platform_context.fleet_of
run = platform_context.run
#: Deeper than any reader of JSON goes.
DEPTH = 100_000
NESTED = b'{"a":' + b"[" * DEPTH + b"]" * DEPTH + b"}"


@kernel.PROPERTIES.register("an error while changes are applied leads to a full read")
def full_read_after_error() -> None:
    reading = store_reading.Reading()
    reader = reading.reader(reading.source)
    entries = [
        store_reading.item(n, store_reading.entry()) for n in store_reading.NAMES
    ]
    reading.store.items = tuple(entries)
    asyncio.run(reader._read_or_wait())
    assert reader.revision is not None
    reading.store.revision += 1
    reading.store.items = (store_reading.item("u0", None),)
    with (
        mock.patch.object(
            reading.state, "apply_changes", side_effect=ValueError("odd")
        ),
        captured_events.capture() as captured,
    ):
        asyncio.run(reader._read_or_wait())
    assert captured.of(events.Event.LOOP_FAILED) and captured.of(
        events.Event.STORE_LOST
    )
    assert reader.revision is None
    reading.store.items = tuple(entries[1:])
    asyncio.run(reader._read_or_wait())
    assert reading.in_use() == {"u1", "u2", "u3"}


# Guards against a reader that goes on to speak for its zone while it applies nothing.
@kernel.PROPERTIES.register("a gateway that can't apply what it reads is no reader")
def no_reader() -> None:
    reading = store_reading.Reading()
    reader = reading.reader(reading.source)
    asyncio.run(reader._read_or_wait())
    assert reading.state.reads_source
    with (
        mock.patch.object(reading.state, "apply_changes", side_effect=ValueError),
        mock.patch.object(reading.state, "apply_snapshot", side_effect=ValueError),
        captured_events.capture() as captured,
    ):
        for _ in range(4):
            asyncio.run(reader._read_or_wait())
    assert not reading.state.reads_source
    assert len(captured.of(events.Event.LOOP_FAILED)) == 1
    asyncio.run(reader._read_or_wait())
    assert reading.state.reads_source


@behave.when('the store holds a deeply nested item under "{key}"')
def nested_item(context: typing.Any, key: str) -> None:
    fleet_of(context).store.put(key, NESTED)


@behave.when("the operator adds a route and a worker leaves")
def route_and_leaver(context: typing.Any) -> None:
    fleet = fleet_of(context)
    routes = [
        platform_fleet.route("read", "/read/"),
        platform_fleet.route("new", "/new/"),
    ]
    fleet.store.put("op/config", platform_fleet.configuration(4, routes, ("core",)))
    fleet.store.remove("servers/i-0")


@behave.then("the new route is served and the worker gets no requests")
def followed(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def ask() -> None:
        await asyncio.sleep(2.0)
        for number, node in enumerate(list(fleet.ip_by_node) * 10):
            answer = await fleet.send(node, "/new/x", f"n{number}")
            assert answer.status == 200, (node, answer)
            assert fleet.runs_of(f"n{number}") != ["i-0"]

    run(context, ask())
