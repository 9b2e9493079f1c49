"""A gateway that reads entries of upstreams from a stand-in of the store's client."""

import base64
import json
import typing
from collections import abc

from features.support import started_gateway
from spindlenotch import clock, ids
from spindlenotch.gateway import state as states
from spindlenotch.gateway.source import routing, source_reader, sources
from spindlenotch_platform import records, store, store_client

Plain = dict[str, typing.Any]
Result = typing.TypeVar("Result")

SERVICE = ids.ServiceName("core")
OTHER = ids.ServiceName("later")
#: Upstreams that are listed as they should be.
NAMES = ("u0", "u1", "u2", "u3")


def entry(**changes: typing.Any) -> Plain:
    """Return an entry in which each field is set."""
    return {
        "service": SERVICE,
        "address": "127.0.0.1:9",
        "zone": started_gateway.ZONE,
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldLeftS": 0.5,
        "callSeq": 4,
        "born": 1_700_000_000_002,
        **changes,
    }


def item(name: str, value: Plain | bytes | None) -> store_client.Item:
    """Return what the store gives of an upstream's key; None: it is gone."""
    key = records.UPSTREAM_PREFIX + name
    if value is None:
        return store_client.Item(key, 1, None, gone=True)
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return store_client.Item(key, 1, base64.b64encode(data).decode())


class Store:
    """Stands in for the store's client: gives what it is told to, in turn."""

    def __init__(self) -> None:
        self.items: tuple[store_client.Item, ...] = ()
        self.revision = 0
        self.era: int | None = None

    async def read_page(self, after_key: str | None) -> store_client.Page:
        """Return everything on one page."""
        return store_client.Page(list(self.items), self.revision, era=self.era)

    async def watch(self, after: int, wait_s: float) -> store_client.Watched:
        """Return what has changed."""
        return store_client.Watched(list(self.items), self.revision, self.era)


class Reading:
    """A gateway that reads such a store; ``published`` counts what peers would get."""

    def __init__(self) -> None:
        self.state, self.relay = started_gateway.gateway(started_gateway.SEED)
        assert isinstance(self.state.clock, clock.ManualClock)
        self.clock = self.state.clock
        self.store = Store()
        self.source = store.PlatformSource(typing.cast(typing.Any, self.store))
        self.published = 0
        self.state.apply_configuration(configuration(1, SERVICE))
        self.read(*(item(name, entry()) for name in NAMES))

    def read(self, *items: store_client.Item) -> None:
        """Read everything anew; the store holds just ``items``."""
        self._next(items)
        snapshot = run_now(self.source.read())
        assert isinstance(snapshot, sources.Snapshot)
        self.state.apply_snapshot(snapshot)

    def follow(self, *items: store_client.Item) -> None:
        """Take in a change of the store."""
        self._next(items)
        changes = run_now(self.source.follow(self.store.revision - 1, 1.0))
        assert isinstance(changes, sources.Changes)
        assert changes.revision == self.store.revision
        self.published += self.state.apply_changes(changes)

    def _next(self, items: tuple[store_client.Item, ...]) -> None:
        self.store.items = items
        self.store.revision += 1

    def reader(self, source: sources.Source) -> source_reader.SourceReader:
        """Return what reads a source for this gateway."""
        return source_reader.SourceReader(self.state, source, self.relay)

    def in_use(self, service: ids.ServiceName = SERVICE) -> set[str]:
        """Return the upstreams that get new work."""
        return in_use(self.state, service)


def in_use(state: states.GatewayState, service: ids.ServiceName = SERVICE) -> set[str]:
    """Return the upstreams that get new work of a gateway."""
    pool = state.balancer_by_service[service].pool
    return {one.spec.id for one in pool.usable_order}


def configuration(
    version: int, *services: ids.ServiceName, cold_s: float = 0.0
) -> routing.Configuration:
    """Return a configuration that names services, cold ones bounded for ``cold_s``."""
    spec_by_name = {
        name: routing.ServiceSpec(
            name,
            "/health",
            100,
            cold_rate_per_s=4.5 if cold_s else None,
            cold_start_s=cold_s,
        )
        for name in services
    }
    return routing.Configuration(version, (), spec_by_name, routing.Limits())


def run_now(work: abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a coroutine that waits for nothing, with or without a loop."""
    try:
        work.send(None)
    except StopIteration as end:
        return typing.cast(Result, end.value)
    raise AssertionError("it waits")
