"""
One deployment of the demo: platform stand-ins, upstreams, entries, traffic.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import time

from hdrh import histogram

from spindlenotch import client, ids, ports, selection
from spindlenotch.bundles import bundle_check, bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.entry import entry, settings
from standins import hostlist, store, upstream

BUNDLES = pathlib.Path(__file__).parents[1] / "bundles"
PEER_KEY = b"only for the demo 0123"
MICROSECONDS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The upstreams of one service."""

    service: str
    count: int
    slots: int
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """One kind of request, sent evenly at ``rate`` a second."""

    name: str
    service: str
    method: str
    path: str
    rate: float
    caller: str
    key: str
    repeatable: bool = True
    body_bytes: int = 0
    class_name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a deployment is made of."""

    name: str
    bundle: str
    zones: tuple[str, ...]
    pools: tuple[Pool, ...]
    traffic: tuple[Traffic, ...]


class Deployment:
    """A running deployment and what its callers saw."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.store = store.Store()
        self.hosts = hostlist.HostList()
        self.upstream_by_name: dict[str, upstream.Upstream] = {}
        self.entries: list[entry.Entry] = []
        self.clients: list[client.Client] = []
        self.private, self.public = bundle_seal.generate_key()
        self.version = 0
        self.times_by_kind: dict[str, histogram.HdrHistogram] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.sent_unrepeatable: list[str] = []
        self.rng = random.Random(plan.name)

    async def start(self) -> None:
        """Start everything and wait until the entries are ready."""
        store_url = await self.store.start()
        hosts_url = await self.hosts.start()
        for pool in self.plan.pools:
            await self._start_pool(pool)
        text = (BUNDLES / self.plan.bundle).read_text()
        await self.publish(text)
        for number, zone in enumerate(self.plan.zones):
            await self._start_entry(number, zone, store_url, hosts_url)
        while not all(e.state.readiness.handed_out for e in self.entries):
            await asyncio.sleep(0.05)

    async def _start_pool(self, pool: Pool) -> None:
        for number in range(pool.count):
            name = f"{pool.service}-{number:02}"
            one = upstream.Upstream(name, pool.slots, seed=number)
            one.behaviour = upstream.Behaviour(service_ms=pool.service_ms)
            address = await one.start()
            self.upstream_by_name[name] = one
            self.hosts.put(
                {
                    "id": name,
                    "role": "upstream",
                    "service": pool.service,
                    "zone": self.plan.zones[number % len(self.plan.zones)],
                    "address": address,
                }
            )

    async def _start_entry(
        self, number: int, zone: str, store_url: str, hosts_url: str
    ) -> None:
        config = settings.EntrySettings(
            host=ids.HostId(f"{self.plan.name}-entry-{number}"),
            zone=ids.ZoneName(zone),
            listen=ids.Address("127.0.0.1:0"),
            peer_listen=ids.Address("127.0.0.1:0"),
            operator_listen=ids.Address("127.0.0.1:0"),
            store=store_url,
            host_list=hosts_url,
            peers=tuple(e.state.gossip.local.peer_address for e in self.entries),
            peer_keys=(PEER_KEY,),
            trusted_keys=frozenset({self.public}),
            once_capacity=10_000,
            hand_out_s=1.0,
            drain_limit_s=0.0,
            pause_s=2.0,
            seed=number + 1,
            plugins=(),
        )
        made = entry.create(config)
        await made.start()
        self.entries.append(made)

    async def publish(self, text: str) -> publishing.Published:
        """Sign and publish a bundle on top of the one in force."""
        base = self.version
        text = text.replace(f"version = {max(1, base)}", f"version = {base + 1}", 1)
        checked = bundle_check.check(text, selection.POLICIES.names())
        assert not isinstance(checked, list), checked
        sealed = bundle_seal.seal(text, self.private)
        driver = ports.STORES.get("http")(f"http://{self.store.address}")
        try:
            result = await publishing.publish(
                driver,
                sealed,
                version=base + 1,
                base=base,
                published_at=time.time(),
            )
        finally:
            await driver.close()
        if result.verdict is publishing.Verdict.ACCEPTED:
            self.version = base + 1
        return result

    def versions(self) -> list[int]:
        """Return the version in force on each entry."""
        return [e.state.gossip.local.configuration_version for e in self.entries]

    async def send(self, kind: Traffic, until: float) -> None:
        """Send one kind of traffic until the time is up."""
        seeds = [e.state.gossip.local.address for e in self.entries]
        lib = client.Client(seeds, kind.caller, kind.key, rng=self.rng)
        self.clients.append(lib)
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.add(asyncio.ensure_future(self._one(lib, kind, number)))
            number += 1
            due += 1 / kind.rate
        await asyncio.gather(*tasks)

    async def _one(self, lib: client.Client, kind: Traffic, number: int) -> None:
        work = f"{self.plan.name}/{kind.name}/{number}"
        if not kind.repeatable:
            self.sent_unrepeatable.append(work)
        request = client.Request(
            kind.service,
            kind.method,
            kind.path,
            8.0,
            b"x" * kind.body_bytes or None,
            (("X-Work", work),),
            repeatable=kind.repeatable,
            class_name=kind.class_name,
        )
        began = time.perf_counter()
        answer = await lib.call(request)
        took = time.perf_counter() - began
        self.outcomes[f"{kind.name}: {answer.outcome.value}"] += 1
        times = self.times_by_kind.setdefault(
            kind.name, histogram.HdrHistogram(1, 60 * MICROSECONDS, 3)
        )
        times.record_value(max(1, int(took * MICROSECONDS)))

    def ran_twice(self) -> list[str]:
        """Return the requests that may not be repeated and ran twice."""
        runs: collections.Counter[str] = collections.Counter()
        for one in self.upstream_by_name.values():
            runs.update(run.work for run in one.ledger)
        return [work for work in self.sent_unrepeatable if runs[work] > 1]

    def probe_share(self, elapsed_s: float) -> float:
        """Return the share of upstream capacity that probes took."""
        taken = sum(
            len(u.probe_times) * u.probe_ms / 1000
            for u in self.upstream_by_name.values()
        )
        slots = sum(u.slots for u in self.upstream_by_name.values())
        return taken / (slots * elapsed_s)

    async def stop(self) -> None:
        """Stop everything."""
        for lib in self.clients:
            await lib.close()
        await asyncio.gather(*(e.close() for e in self.entries))
        for one in self.upstream_by_name.values():
            await one.stop()
        await self.store.stop()
        await self.hosts.stop()
