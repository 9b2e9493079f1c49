"""Routes that may be served in some regions only: where, and what others are told."""

import msgspec

from features.steps import kernel
from features.support import recorded_gateway, regional_fleet, served_gateway
from spindlenotch import ids
from spindlenotch.gateway import service_defaults
from spindlenotch.gateway.serving import job_factory
from spindlenotch.gateway.source import region_rules, routing
from spindlenotch.kernel import outcomes, regions

NORTH = ids.RegionName("north")
SOUTH = ids.RegionName("south")
MIDDLE = ids.RegionName("middle")
NOBODY = ids.RegionName("nowhere")
ROUTE = served_gateway.ROUTE
#: What a route may say, and whether a gateway of the north serves it then.
SERVED_IN_NORTH: tuple[tuple[tuple[ids.RegionName, ...] | None, bool], ...] = (
    (None, True),
    ((NORTH,), True),
    ((SOUTH, NORTH), True),
    ((NORTH, MIDDLE, SOUTH), True),
    ((NORTH, NOBODY), True),
    ((SOUTH,), False),
    ((NOBODY,), False),
    ((), False),
)


def route(
    allowed: tuple[ids.RegionName, ...] | None, prefix: str = "/"
) -> routing.Route:
    """Return a route that may be served in some regions."""
    return msgspec.structs.replace(ROUTE, prefix=prefix, allowed_regions=allowed)


@kernel.PROPERTIES.register("a route is served in the regions that it allows only")
def served_there() -> None:
    for allowed, is_served in SERVED_IN_NORTH:
        one = route(allowed)
        assert region_rules.allows(one, NORTH) is is_served, allowed
        # A gateway that knows no regions can't say that it lies in one of them.
        assert region_rules.allows(one, regions.UNNAMED_REGION) is (allowed is None), (
            allowed
        )
        passed = job_factory.allowed_regions(one)
        assert passed == (None if allowed is None else frozenset(allowed))


async def _answers(
    allowed: tuple[ids.RegionName, ...] | None,
) -> tuple[int, bytes, int, float]:
    """Return what a caller in the north gets, and the tries and count that it costs."""
    made = served_gateway.ServedGateway(
        lambda: served_gateway.ScriptedAnswer(200, [b"whole"], length=5), knows=False
    )
    state = made.state
    region_by_zone = {state.config.zone: NORTH}
    state.config = msgspec.structs.replace(state.config, region_by_zone=region_by_zone)
    state.regions = regions.create(region_by_zone)
    made.learn()
    assert state.table is not None
    in_force = msgspec.structs.replace(
        state.table.configuration, version=99, routes=(route(allowed),)
    )
    assert state.apply_configuration(in_force)
    async with made:
        status, body = await made.request({"Host": "h"})
    refused = state.metrics.requests.labels(
        "", outcomes.Outcome.NOT_RUN.value, outcomes.Reason.REGION_NOT_ALLOWED.value
    )
    return status, body, len(made.port.sent), refused._value.get()


@kernel.PROPERTIES.register("elsewhere its requests are refused at once, and never run")
def refused_elsewhere() -> None:
    for allowed, is_served in SERVED_IN_NORTH:
        status, body, tries, refused = recorded_gateway.run(_answers(allowed))
        if is_served:
            assert (status, body, tries, refused) == (200, b"whole", 1, 0.0), allowed
        else:
            assert (status, tries, refused) == (503, 0, 1.0), (allowed, status)
            assert body.strip() == b"region-not-allowed"


@kernel.PROPERTIES.register("the regions of a host are those that all its routes allow")
def shared() -> None:
    everywhere, north = route(None), route((NORTH, MIDDLE), "/a/")
    south, nobody = route((SOUTH,), "/b/"), route((), "/c/")
    assert region_rules.common_regions([everywhere]) is None
    assert region_rules.common_regions([everywhere, north]) == {NORTH, MIDDLE}
    assert region_rules.common_regions([north, route((MIDDLE, SOUTH))]) == {MIDDLE}
    # Some of its callers are refused wherever they go: they stay where they are.
    assert region_rules.common_regions([north, south]) is None
    assert region_rules.common_regions([nobody]) is None


@kernel.PROPERTIES.register(
    "the directory sends such callers to a region that may serve"
)
def sent_there() -> None:
    made = regional_fleet.World(15)
    made.run(8.0)
    asked = made.of("north")[0]
    for allowed, expected in (
        (None, "south"),
        ({SOUTH, MIDDLE}, "south"),
        ({NORTH, MIDDLE}, "north"),
        ({MIDDLE}, "middle"),
        ({NOBODY}, "north"),
    ):
        only = None if allowed is None else frozenset(allowed)
        found = asked.fleet.addresses_for(SOUTH, only)
        assert found, allowed
        assert {made.region_at(address) for address in found} == {expected}, allowed


@kernel.PROPERTIES.register(
    "where an allowed region is lost, such callers are sent to another"
)
def sent_elsewhere() -> None:
    made = regional_fleet.World(15)
    made.run(8.0)
    made.dead = {gateway.number for gateway in made.of("south")}
    asked = made.of("north")[0]
    only = frozenset({SOUTH, MIDDLE})
    for _ in range(8):
        made.run(1.0)
        # This region's gateways would refuse them.
        found = {made.region_at(a) for a in asked.fleet.addresses_for(SOUTH, only)}
        assert found <= {"south", "middle"}, found
    assert found == {"middle"}, found


@kernel.PROPERTIES.register("each region has its part of the reserve of retries")
def reserve_by_region() -> None:
    made = regional_fleet.World(150)
    made.run(8.0)
    asked = made.of("north")[0]
    asked.fleet.update_size()
    state = asked.state
    state.config = msgspec.structs.replace(state.config, extra_reserve=300.0)
    service = routing.ServiceSpec(ids.ServiceName("s"), health_path="/", connections=9)
    one = state.services._new_balancer(service, state.config)
    state.balancer_by_service[service.name] = one
    expected = 300.0 / (service_defaults.RESERVE_PARTS_PER_GATEWAY * 3 * 50)
    assert one.extra.retries.reserve == expected
    state.tick()
    assert one.extra.retries.reserve == expected
