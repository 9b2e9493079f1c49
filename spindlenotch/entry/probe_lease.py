"""
Leases in the store that say which entry may probe a service.

Owns the leases this entry holds and the loop that takes and renews them. The
sum of probes of all entries must stay within the bundle's budget whatever the
entries believe of each other, so the permission is one lease a service, taken
by compare-and-swap. The holder stops by its own clock ``MARGIN_S`` before the
store can give the lease to another. Without the store there is no lease and
nobody probes.
"""

import asyncio

import msgspec

from spindlenotch import events, ids, ports
from spindlenotch.bundles import bundle
from spindlenotch.entry import entry_state
from spindlenotch.kernel import budgets, rendezvous

#: How long a lease lasts in the store, in seconds.
LEASE_S = 10.0
#: The holder stops this many seconds before the lease ends.
MARGIN_S = 2.0
#: Seconds between renewals, so that two may fail before the lease ends.
RENEWAL_PERIOD_S = 3.0
#: Least and greatest factor of that wait, so that entries do not fall into step.
JITTER = (0.8, 1.2)
#: How many entries apply for the lease of a service; the second covers a failure of the
#: first.
CANDIDATES = 2
#: The budget of probes holds in any window of this many seconds.
WINDOW_S = 1.0
#: Keeps a whole number that a division left just below itself.
ROUNDING_ERROR = 1e-9


def probes_per_window(current: bundle.Bundle, service: bundle.Service) -> int:
    """Return how many probes one upstream may get in any ``WINDOW_S``."""
    allowed_s = current.measuring_share * service.slots * WINDOW_S
    return int(allowed_s / (current.probe_ms / 1000) + ROUNDING_ERROR)


class ProbeLease(msgspec.Struct):
    """
    The permission to probe the upstreams of one service.

    ``until`` counts from before the request that renewed it was sent, so the
    lease ends here before it ends in the store. ``revision`` is that of the
    lease's key. The budgets start with the lease, at ``acquired_at``: a new
    holder waits for a whole window, which leaves the former holder's probes
    out of its own windows.
    """

    until: ids.Instant
    revision: int
    acquired_at: ids.Instant
    budget_by_upstream: dict[ids.UpstreamId, budgets.SpacedBudget] = msgspec.field(
        default_factory=dict
    )

    def is_held(self, now: ids.Instant) -> bool:
        """Tell whether probes may be sent now."""
        return self.revision > 0 and now < self.until


class ProbeLeases:
    """Takes and renews the leases of the services that this entry may probe."""

    def __init__(self, state: entry_state.EntryState, store: ports.Store) -> None:
        self.state = state
        self.store = store
        self.lease_by_service: dict[ids.ServiceName, ProbeLease] = {}

    async def run(self) -> None:
        """Take and renew leases until cancelled; they then expire in the store."""
        while True:
            await asyncio.sleep(RENEWAL_PERIOD_S * self.state.rng.uniform(*JITTER))
            current = self.state.bundle
            if current is None or not self.state.readiness.handed_out:
                continue
            for name, service in current.service_by_name.items():
                if probes_per_window(current, service) > 0 and self._applies(name):
                    await self.renew(name)

    async def renew(self, service: ids.ServiceName) -> None:
        """Take or renew the lease of ``service``."""
        asked_at = self.state.clock.now()
        lease = self.lease_by_service.get(service)
        revision = lease.revision if lease else 0
        self.state.metrics.store_calls.labels("measure").inc()
        holder = self.state.incarnation.encode()
        result = await self.store.compare_and_swap(
            _key(service), holder, revision, LEASE_S
        )
        if isinstance(result, ports.Stored):
            self._acquired(service, result.revision, asked_at)
        elif isinstance(result, ports.Conflict):
            self._lost(service)
        # After a fault it is unknown whether the write took effect, and the
        # lease expires by its own deadline. If it did, the next renewal meets
        # a conflict, which drops the lease; the one after applies anew.

    def _applies(self, service: ids.ServiceName) -> bool:
        """Tell whether this entry holds the lease or is to apply for it."""
        if service in self.lease_by_service:
            return True
        members = self.state.gossip.ready_members()
        zones = {member.zone for member in members}
        hosts = [
            host
            for zone in sorted(zones)
            for host in rendezvous.assigned_hosts(members, zone, _key(service), 1)
        ]
        return self.state.config.host in hosts[:CANDIDATES]

    def _acquired(
        self, service: ids.ServiceName, revision: int, asked_at: ids.Instant
    ) -> None:
        now = self.state.clock.now()
        until = ids.later(asked_at, LEASE_S - MARGIN_S)
        lease = self.lease_by_service.get(service)
        if lease is not None and lease.is_held(now):
            lease.until = until
            lease.revision = revision
            return
        self.lease_by_service[service] = ProbeLease(until, revision, now)
        events.emit(events.Event.PROBE_LEASE_ACQUIRED, service=service)

    def _lost(self, service: ids.ServiceName) -> None:
        if self.lease_by_service.pop(service, None) is not None:
            events.emit(events.Event.PROBE_LEASE_LOST, service=service)


def _key(service: ids.ServiceName) -> str:
    """Return the lease's key in the store, by which candidates are chosen too."""
    return f"measure/{service}"
