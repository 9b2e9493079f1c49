"""
One deployment of the demo: platform stand-ins, upstreams and entries.

Everything runs in this process, on loopback ports that the system chooses.
Owns what it starts, the operator's key and the bundle's version; ``traffic``
sends requests to it, ``incidents`` breaks it.
"""

import asyncio
import pathlib
import time

from demo import plans
from spindlenotch import ids, ports, selection
from spindlenotch.bundles import bundle_check, bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.entry import entry, settings
from standins import hostlist, store, upstream

BUNDLES = pathlib.Path(__file__).parents[1] / "bundles"
PEER_KEY = b"only for the demo 0123"
ANY_PORT = ids.Address("127.0.0.1:0")
#: How often the entries are asked whether they are ready, in seconds.
#: Chosen, not measured.
READY_CHECK_S = 0.05


class Deployment:
    """A running deployment."""

    def __init__(self, plan: plans.Plan) -> None:
        self.plan = plan
        self.store = store.Store()
        self.hosts = hostlist.HostList()
        self.upstream_by_name: dict[str, upstream.Upstream] = {}
        self.entries: list[entry.Entry] = []
        self.private_key, self.public_key = bundle_seal.generate_key()
        #: The bundle's version that was published last; zero for none.
        self.version = 0

    async def start(self) -> None:
        """Start everything and wait until callers are sent to every entry."""
        store_url = await self.store.start()
        hosts_url = await self.hosts.start()
        for group in self.plan.upstream_groups:
            await self._start_upstreams(group)
        await self.publish(self.bundle_text())
        for number, zone in enumerate(self.plan.zones):
            await self._start_entry(number, zone, store_url, hosts_url)
        while not all(e.state.readiness.handed_out for e in self.entries):
            await asyncio.sleep(READY_CHECK_S)

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(e.close() for e in self.entries))
        for one in self.upstream_by_name.values():
            await one.stop()
        await self.store.stop()
        await self.hosts.stop()

    def bundle_text(self) -> str:
        """Return the text of the plan's bundle as it is in the repository."""
        return (BUNDLES / self.plan.bundle).read_text()

    async def publish(self, text: str) -> None:
        """Sign and publish a bundle as the next version; it must be accepted."""
        base = self.version
        text = text.replace(f"version = {max(1, base)}", f"version = {base + 1}", 1)
        checked = bundle_check.check(text, selection.POLICIES.names())
        assert not isinstance(checked, list), checked
        sealed = bundle_seal.seal(text, self.private_key)
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

    def versions(self) -> list[int]:
        """Return the bundle's version in force on each entry."""
        return [e.state.gossip.local.configuration_version for e in self.entries]

    def addresses(self) -> list[ids.Address]:
        """Return where callers connect to each entry."""
        return [e.state.gossip.local.address for e in self.entries]

    def probe_share(self, elapsed_s: float) -> float:
        """Return the share of upstream capacity that probes took."""
        upstreams = self.upstream_by_name.values()
        probing_s = sum(len(u.probe_times) * u.probe_ms / 1000 for u in upstreams)
        slots = sum(u.slots for u in upstreams)
        return probing_s / (slots * elapsed_s)

    async def _start_upstreams(self, group: plans.UpstreamGroup) -> None:
        zones = self.plan.zones
        for number in range(group.count):
            name = f"{group.service}-{number:02}"
            started = upstream.Upstream(name, group.slots, seed=number)
            started.behaviour = upstream.Behaviour(service_ms=group.service_ms)
            address = await started.start()
            self.upstream_by_name[name] = started
            self.hosts.put(
                {
                    "id": name,
                    "role": "upstream",
                    "service": group.service,
                    "zone": zones[number % len(zones)],
                    "address": address,
                }
            )

    async def _start_entry(
        self, number: int, zone: str, store_url: str, hosts_url: str
    ) -> None:
        config = settings.EntrySettings(
            host=ids.HostId(f"{self.plan.name}-entry-{number}"),
            zone=ids.ZoneName(zone),
            listen=ANY_PORT,
            peer_listen=ANY_PORT,
            operator_listen=ANY_PORT,
            store=store_url,
            host_list=hosts_url,
            peers=tuple(e.state.gossip.local.peer_address for e in self.entries),
            peer_keys=(PEER_KEY,),
            trusted_keys=frozenset({self.public_key}),
            once_capacity=10_000,
            hand_out_s=1.0,
            drain_limit_s=0.0,
            pause_s=2.0,
            seed=number + 1,
            plugins=(),
        )
        started = entry.create(config)
        await started.start()
        self.entries.append(started)
