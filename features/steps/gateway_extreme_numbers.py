"""Properties of requests under extreme numbers, and of slots after errors."""

import asyncio
import typing
from unittest import mock

import msgspec

from features.steps import kernel
from features.support import captured_events, recorded_gateway, served_gateway
from spindlenotch import clock, events, ids
from spindlenotch.decisions import balancer
from spindlenotch.forwarding import attempts, trials
from spindlenotch.gateway.serving import answers, request_processing
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import (
    backpressure,
    completion_rate,
    copy_tracker,
    failure_share,
    upstream_pool,
    upstreams,
)
from spindlenotch_platform import configuration_records

SERVICE = ids.ServiceName("s")
LEAST = 5e-324
REQUESTS = 24
#: Extreme values that a configuration may hold, by field of a route.
VALUES_BY_ROUTE_FIELD: dict[str, tuple[float, ...]] = {
    "target_s": (0.0, LEAST, 1e-9, configuration_records.LONGEST_S),
    "timeout_s": (1.0, configuration_records.LONGEST_S),
    "rank": (-(2**62), 0, 2**62),
    "most_tries": (1, 2**62),
}
#: The same of a service.
VALUES_BY_SERVICE_FIELD: dict[str, tuple[float, ...]] = {
    "connections": (0, int(configuration_records.MOST)),
    "cold_rate_per_s": (0.0, LEAST, configuration_records.MOST),
    "cold_start_s": (0.0, LEAST, configuration_records.LONGEST_S),
}
WEIGHTS = (0.0, LEAST, 1.0, configuration_records.MOST)
#: Load reports that the adapter accepts: the least and greatest figures.
REPORTS = (
    upstreams.LoadReport(0, 0, 0.01),
    upstreams.LoadReport(1_000_000, 1_000_000, 1_000_000.0),
    upstreams.LoadReport(0, 0, 1.0, 600.0),
)
#: Limits and backoffs that the adapter accepts.
SIGNALS = (
    backpressure.Signals(limit_per_s=0.0),
    backpressure.Signals(limit_per_s=1e-30),
    backpressure.Signals(limit_per_s=1_000_000.0),
    backpressure.Signals(backoff_s=1e-30),
    backpressure.Signals(backoff_s=86_400.0),
)


def balancer_of(gateway: served_gateway.ServedGateway) -> balancer.Balancer:
    """Return the balancer of the gateway's service."""
    return gateway.state.balancer_by_service[SERVICE]


def assert_no_slot_is_taken(gateway: served_gateway.ServedGateway) -> None:
    """Check that no request occupies a slot."""
    pool = balancer_of(gateway).pool
    assert pool.in_flight == 0, pool.in_flight
    assert not [one.outstanding for one in pool.usable_order if one.outstanding]


def configure(
    gateway: served_gateway.ServedGateway,
    route: routing.Route = served_gateway.ROUTE,
    **service_fields: typing.Any,
) -> None:
    """Put a configuration in force with an ordinary route beside ``route``."""
    ordinary = msgspec.structs.replace(
        served_gateway.ROUTE, name=routing.RouteName("ordinary"), prefix="/ordinary/"
    )
    first = served_gateway.snapshot(gateway.state.config.zone).configuration
    assert first is not None
    spec = msgspec.structs.replace(first.service_by_name[SERVICE], **service_fields)
    gateway.state.apply_configuration(
        msgspec.structs.replace(
            first,
            version=gateway.state.version + 1,
            routes=(route, ordinary),
            service_by_name={SERVICE: spec},
        )
    )


def good() -> served_gateway.ScriptedAnswer:
    """Return a good answer."""
    return served_gateway.ScriptedAnswer(200, [b"good"], length=4)


def served(
    answer: typing.Callable[[], served_gateway.ScriptedAnswer],
) -> served_gateway.ServedGateway:
    """Return a gateway whose clock runs."""
    gateway = served_gateway.ServedGateway(answer)
    gateway.use_clock(clock.CLOCKS.get("boottime")())
    return gateway


async def send_all(gateway: served_gateway.ServedGateway) -> list[int]:
    """Send requests, a few at once; return their statuses."""
    statuses: list[int] = []
    for _ in range(REQUESTS // 4):
        found = await asyncio.gather(*(gateway.request() for _ in range(4)))
        statuses.extend(status for status, _ in found)
    return statuses


def run_all(work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a play in a loop of its own."""
    recorded_gateway.run(work)


# Guards against a route with a latency target of 0, whose requests failed after they
# had run and took the slots of their whole service.
@kernel.PROPERTIES.register("routes are served whatever their numbers are")
def extreme_routes() -> None:
    async def play() -> None:
        async with served(good) as gateway:
            for field, values in VALUES_BY_ROUTE_FIELD.items():
                for value in values:
                    # Estimates are kept by the name of a route.
                    name = routing.RouteName(f"{field}-{value}")
                    route = msgspec.structs.replace(
                        served_gateway.ROUTE, name=name, **{field: value}
                    )
                    configure(gateway, route)
                    statuses = await send_all(gateway)
                    assert statuses == [200] * REQUESTS, (field, value, statuses)
                    assert_no_slot_is_taken(gateway)
            for weight in WEIGHTS:
                part = routing.WeightedService(SERVICE, weight)
                configure(
                    gateway,
                    msgspec.structs.replace(served_gateway.ROUTE, parts=(part, part)),
                )
                statuses = await send_all(gateway)
                assert statuses == [200] * REQUESTS, (weight, statuses)
            assert_no_slot_is_taken(gateway)

    run_all(play())


@kernel.PROPERTIES.register("services are served whatever their numbers are")
def extreme_services() -> None:
    async def play() -> None:
        async with served(good) as gateway:
            for field, values in VALUES_BY_SERVICE_FIELD.items():
                for value in values:
                    configure(gateway, **{field: value})
                    statuses = await send_all(gateway)
                    assert statuses == [200] * REQUESTS, (field, value, statuses)
                    assert_no_slot_is_taken(gateway)

    run_all(play())


@kernel.PROPERTIES.register("load reports free their slots whatever they hold")
def extreme_reports() -> None:
    async def play() -> None:
        for report in REPORTS:

            def answer(report: upstreams.LoadReport = report) -> typing.Any:
                made = good()
                made.report = report
                return made

            async with served(answer) as gateway:
                statuses = await send_all(gateway)
                assert 500 not in statuses and 200 in statuses, (report, statuses)
                assert_no_slot_is_taken(gateway)

    run_all(play())


@kernel.PROPERTIES.register("signals free their slots whatever they hold")
def extreme_signals() -> None:
    async def play() -> None:
        for signals in SIGNALS:

            def answer(
                signals: backpressure.Signals = signals,
            ) -> served_gateway.ScriptedAnswer:
                made = good()
                made.signals = signals
                return made

            async with served(answer) as gateway:
                statuses = await send_all(gateway)
                assert 500 not in statuses and 200 in statuses, (signals, statuses)
                assert_no_slot_is_taken(gateway)

    run_all(play())


# Guards against slots that stay taken as the code that settles them raises.
@kernel.PROPERTIES.register("an error while a result is recorded costs no response")
def errors_in_records() -> None:
    async def play() -> None:
        async with served(good) as gateway:
            places: tuple[tuple[typing.Any, str], ...] = (
                (completion_rate.CompletionRate, "add"),
                (upstream_pool.Pool, "record_result"),
                (upstream_pool.Pool, "record_service_result"),
                (failure_share.FailureShare, "add"),
                (copy_tracker.CopyTracker, "ended"),
            )
            for holder, name in places:
                with (
                    captured_events.capture() as captured,
                    mock.patch.object(holder, name, autospec=True) as failing,
                ):
                    failing.side_effect = ZeroDivisionError
                    statuses = await send_all(gateway)
                assert statuses == [200] * REQUESTS, (name, statuses)
                assert_no_slot_is_taken(gateway)
                assert captured.of(events.Event.INTERNAL_ERROR), name

    run_all(play())


@kernel.PROPERTIES.register("an error on the way of a request frees its slot")
def errors_on_the_way() -> None:
    async def play() -> None:
        places: tuple[tuple[typing.Any, str], ...] = (
            (served_gateway.ScriptedPort, "send"),
            (attempts.Attempts, "_apply_signals"),
            (attempts.Attempts, "_check_delay_s"),
            (trials.Trials, "refusal"),
            (answers, "read"),
            (request_processing, "_to_response"),
        )
        for holder, name in places:
            async with served(good) as gateway:
                with mock.patch.object(holder, name, side_effect=ValueError("odd")):
                    statuses = await send_all(gateway)
                assert 200 not in statuses, (name, statuses)
                assert_no_slot_is_taken(gateway)
                assert await send_all(gateway) == [200] * REQUESTS, name

    run_all(play())
