"""Steps on connections that go silent for good while new ones work."""

import asyncio
import typing

import behave

from features.support import configuration_changes, platform_context, steady_callers
from spindlenotch.gateway.source import sources
from spindlenotch_platform import store_client

#: Timeout of a route, in seconds.
TIMEOUT_S = 1.0
#: Seconds before the first silence, so that it begins just after a change, and after
#: each silence.
LEAD_S, OBSERVATION_S = 4.2, 6.0

run = platform_context.run
fleet_of = platform_context.fleet_of


@behave.given("{workers:d} workers and {gateways:d} gateways that are ready")
def start_fleet(context: typing.Any, workers: int, gateways: int) -> None:
    run(context, steady_callers.start(fleet_of(context), workers, gateways, TIMEOUT_S))


@behave.when(
    "all open connections to the store go silent {count:d} times, and the "
    "configuration changes every second"
)
def silence_store(context: typing.Any, count: int) -> None:
    changes = context.changes = configuration_changes.ConfigurationChanges(
        fleet_of(context), apply_s=2.0, excused_s=3.0
    )

    async def trouble() -> None:
        await asyncio.sleep(LEAD_S)
        for _ in range(count):
            changes.silence_store_connections()
            await asyncio.sleep(OBSERVATION_S)

    run(context, changes.run(trouble()))


@behave.then(
    "each version is in force everywhere {apply_s:g} s after its acknowledgement, or "
    "{excused_s:g} s after a silence began"
)
def assert_in_force(context: typing.Any, apply_s: float, excused_s: float) -> None:
    changes = context.changes
    assert (changes.apply_s, changes.excused_s) == (apply_s, excused_s)
    assert changes.request_count > 100, changes.request_count
    late = changes.late
    nodes = sorted({one.node for one in late})
    latest_s = max((one.after_s for one in late), default=0.0)
    assert not late, (len(late), changes.request_count, nodes, latest_s)


@behave.when("a client's {count:d} idle connections to the store go silent")
def silence_idle_connections(context: typing.Any, count: int) -> None:
    store = fleet_of(context).store
    context.client = store_client.StoreClient(f"http://{store.address}")

    async def silence() -> None:
        # Calls at the same time take a connection each.
        await asyncio.gather(*(context.client.read_page(None) for _ in range(count)))
        assert len(store.silence_connections()) == count

    run(context, silence())


@behave.then("only its next call fails")
def assert_one_call_fails(context: typing.Any) -> None:
    async def read_twice() -> list[bool]:
        try:
            answers = [await context.client.read_page(None) for _ in range(2)]
        finally:
            await context.client.close()
        return [isinstance(answer, sources.SourceFault) for answer in answers]

    assert run(context, read_twice()) == [True, False]
