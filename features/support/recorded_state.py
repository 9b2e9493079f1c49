"""
What is recorded of the state that gateways and entries show to operators.

Values change from run to run, so that the names and kinds of values are
recorded. ``recorded_names`` lists the samples.
"""

import json
import typing

import msgspec

from features.support import recorded_gateway, virtual_fleet
from spindlenotch.entry import explain, plugins
from spindlenotch.gateway import dialect, side_ports
from spindlenotch.gateway.source import sources

Plain = typing.Any
#: Maps of numbers by zone; which zones are in them is a matter of decisions.
ZONE_MAPS = ("zone_plan", "zone_factor")
BY_ZONE = "numbers by zone"


def shape(value: object) -> Plain:
    """Return plain content with kinds in place of scalars, lists by their kinds."""
    if isinstance(value, dict):
        return {
            name: BY_ZONE if name in ZONE_MAPS else shape(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        shapes: list[Plain] = []
        for item in value:
            if shape(item) not in shapes:
                shapes.append(shape(item))
        return shapes
    if isinstance(value, bool):
        return "bool"
    if isinstance(value, int | float):
        return "number"
    return "none" if value is None else "text"


def gateway_dump() -> Plain:
    """Return what a gateway answers on its side ports: paths and the state."""

    async def ask() -> Plain:
        state, passing = recorded_gateway.serving(
            recorded_gateway.latest_configuration()
        )
        mark = recorded_gateway.rollout_mark()
        assert mark.order is not None
        order_by_service = {mark.order.service: mark.order}
        quarantines = (recorded_gateway.stored_quarantine(),)
        changes = sources.Changes(
            9, order_by_service=order_by_service, quarantines=quarantines
        )
        state.apply_changes(changes)
        found = side_ports.SidePorts(
            state, passing.fleet, dialect.DIALECTS.get("native")()
        )
        body = found._state().body
        assert isinstance(body, bytes)
        paths = sorted(found._responder_by_path)
        return {"paths": paths, "/state": shape(json.loads(body))}

    return recorded_gateway.run(ask())


def entry_dump() -> Plain:
    """Return what an entry tells operators: its state and explanations."""
    plugins.load()
    fleet = virtual_fleet.VirtualFleet(7, 2)
    try:
        entries = [fleet.add_entry(f"e{n}", virtual_fleet.ZONES[n]) for n in range(2)]
        fleet.world.run(3.0)
        state = entries[0].state
        fleet.send(entries[0], "a read", None, None, 2.0)
        fleet.world.run(0.3)
        (service,) = state.balancer_by_service.values()
        name = service.service.name
        upstream = next(iter(service.pool.upstream_by_id.values()))
        call = service.decisions[-1].call
        state.leave_upstream(name, upstream.spec, "a reason")
        told = {
            "state": explain.state_dump(state),
            "explain service": explain.explain_service(state, name),
            "explain call": explain.explain_call(state, call),
        }
        return {
            name: shape(json.loads(msgspec.json.encode(one)))
            for name, one in told.items()
        }
    finally:
        fleet.close()
