"""Configurations of which a part can't be used, as the adapter reads them."""

import copy
import json
import typing
from collections import abc

from features.steps import kernel
from features.support import odd_content, platform_fleet
from spindlenotch.gateway.source import routing, sources
from spindlenotch_platform import configuration_records

Plain = typing.Any
#: The keys and numbers that lead to a value within plain content.
Place = tuple[Plain, ...]
ODD_CONTENT = [value for value in odd_content.ODD_VALUES if value != []]


def good() -> Plain:
    """Return a configuration in which each field is set."""
    routes = [
        platform_fleet.route("whole", "/whole/"),
        platform_fleet.route(
            "parts",
            "/parts/",
            "download",
            backends=[{"service": "core", "weight": 3}, {"service": "b", "weight": 1}],
            allowedRegions=["here"],
        ),
    ]
    found = platform_fleet.configuration(
        3, routes, ("core", "b"), coldStartS=3.0, coldPerS=4.5
    )
    found["limits"] |= {"maxHeaderBytes": 9, "headerTimeoutS": 2, "idleTimeoutS": 5}
    return found


def read(plain: Plain) -> routing.Configuration | sources.BadItem:
    """Return what the adapter reads."""
    return configuration_records.read(json.dumps(plain).encode())


def configuration(plain: Plain) -> routing.Configuration:
    """Return what the adapter reads of a configuration that can be used."""
    found = read(plain)
    assert isinstance(found, routing.Configuration), found
    return found


def places(
    plain: Plain, path: tuple[Plain, ...] = ()
) -> abc.Iterator[tuple[Plain, ...]]:
    """Yield the place of each value within plain content."""
    pairs: abc.Iterable[tuple[Plain, Plain]] = ()
    if isinstance(plain, dict):
        pairs = plain.items()
    elif isinstance(plain, list):
        pairs = enumerate(plain)
    for key, item in pairs:
        yield (*path, key)
        yield from places(item, (*path, key))


def changed(
    path: tuple[Plain, ...], change: abc.Callable[[Plain, Plain], None]
) -> Plain:
    """Return the good configuration with one place changed."""
    found = copy.deepcopy(good())
    within = found
    for key in path[:-1]:
        within = within[key]
    change(within, path[-1])
    return found


def paths_served(found: routing.Configuration) -> set[str]:
    """Return the prefixes of the routes that are served."""
    return {route.prefix for route in found.routes}


@kernel.PROPERTIES.register("a kind of route that nobody knows runs at most once")
def unknown_kind() -> None:
    plain = good()
    plain["hosts"][0]["paths"][0]["kind"] = "stream"
    found = configuration(plain)
    route = found.routes[0]
    assert route.kind is routing.RequestKind.UNSAFE and not route.repeatable
    assert any("whole" in remark and "stream" in remark for remark in found.remarks)
    # What is known of it counts all the same.
    assert (route.prefix, route.timeout_s, route.most_tries) == ("/whole/", 3.0, 2)
    download = found.routes[1]
    assert download.repeatable and download.has_large_answers
    assert not configuration(good()).remarks


@kernel.PROPERTIES.register("a route that can't be served is refused alone")
def refused_alone() -> None:
    for field, value, word in (
        ("service", "gone", "unknown service"),
        ("service", None, "neither"),
        ("timeoutS", -1, "timeoutS"),
        ("timeoutS", "soon", "timeoutS"),
        ("allowedRegions", "here", "allowedRegions"),
        ("kind", 7, "kind"),
    ):
        plain = good()
        plain["hosts"][0]["paths"][0][field] = value
        found = configuration(plain)
        assert paths_served(found) == {"/parts/"}, field
        (refused,) = found.refused_routes
        assert refused.name == "whole" and word in refused.reason, refused
        # Its requests go to no route with a shorter prefix.
        shorter = platform_fleet.route("shorter", "/")
        plain["hosts"][0]["paths"].append(shorter)
        table = routing.RouteTable(configuration(plain))
        met = table.find(platform_fleet.HOST, "/whole/x")
        assert isinstance(met, routing.RefusedRoute), met
        other = table.find(platform_fleet.HOST, "/other")
        assert isinstance(other, routing.Route) and other.name == "shorter"


@kernel.PROPERTIES.register("no value of a configuration takes down the rest")
def odd_values() -> None:
    whole = ("version", "services", "hosts")
    for path in places(good()):
        odd: list[Plain] = []
        # A list may be shorter, and empty, as its writer likes.
        if not isinstance(path[-1], int):
            odd.append(changed(path, lambda d, k: d.__delitem__(k)))
        for value in odd_content.ODD_VALUES if path[-1] != "paths" else ODD_CONTENT:
            odd.append(changed(path, lambda d, k, v=value: d.__setitem__(k, v)))
        for plain in odd:
            found = read(plain)
            if path[-1] in whole and len(path) == 1:
                continue
            assert isinstance(found, routing.Configuration), (path, found)
            told = found.remarks or found.refused_routes
            lost = len(found.routes) < 2 or len(found.service_by_name) < 2
            assert told or not lost, (path, plain)
            touched = path[:4] if path[:1] == ("hosts",) else ()
            for number, prefix in enumerate(("/whole/", "/parts/")):
                apart = len(touched) == 4 and touched[3] != number
                assert not apart or prefix in paths_served(found), (path, plain)
            # Whatever is refused or served, requests find one answer.
            routing.RouteTable(found).find(platform_fleet.HOST, "/whole/x")


@kernel.PROPERTIES.register("numbers that are none in JSON take down nothing else")
def no_numbers() -> None:
    marked = changed(
        ("hosts", 0, "paths", 0, "timeoutS"), lambda d, k: d.update({k: 99})
    )
    for text in odd_content.ODD_TEXTS:
        found = configuration_records.read(
            json.dumps(marked).replace("99", text).encode()
        )
        if isinstance(found, sources.BadItem):
            # The text as a whole is no JSON.
            assert text in ("NaN", "Infinity", "-Infinity"), found
        else:
            assert paths_served(found) == {"/parts/"}, text
