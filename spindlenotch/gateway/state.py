"""
The state of one gateway: configuration, upstreams, peers and lifecycle phase.

Owns these and the balancers of the services, and keeps them consistent with each
other. Updates from the source or a peer are applied by the ``apply_`` methods, which
log the changes. The data path, the ports and the loops read the state. Decisions are
made in ``listing``, ``lifecycle``, ``active_set`` and the kernel.
"""

import asyncio
import random
from collections import abc

import msgspec

from spindlenotch import clock, events, ids, metrics
from spindlenotch.gateway import (
    deadlines,
    lifecycle,
    reloading,
    services,
    settings,
    wakeups,
)
from spindlenotch.gateway.cluster import (
    active_set,
    demand_meter,
    fleet_size,
    own_record,
)
from spindlenotch.gateway.quarantine import registry as quarantine_registry
from spindlenotch.gateway.rollout import registry
from spindlenotch.gateway.source import listing, routing, source_events, sources
from spindlenotch.kernel import ownership, regions, upstreams
from spindlenotch.peers import documents, region_links, regional_gossip, timing

#: Callers fail over on their own within a second; peers are dropped slightly later.
GOSSIP_TIMING = timing.Timing(
    period_s=0.4,
    reply_s=0.25,
    suspect_s=1.0,
    prefers_own_zone=True,
    asks_while_discovering=True,
)

#: The origin of an upstream list: values of the log field ``learned_from``.
FROM_SOURCE = "source"
FROM_PEER = "peer"

#: Called with each upstream that has ended permanently.
EndListener = abc.Callable[[sources.ListedUpstream], None]


class GatewayState:
    """
    The state of one gateway process.

    Invariants: the version of the configuration in force never decreases; a
    gateway becomes ready only with a configuration and a list of upstreams.
    """

    def __init__(
        self, config: settings.GatewaySettings, gateway_clock: clock.Clock
    ) -> None:
        self.config = config
        self.clock = gateway_clock
        self.deadlines = deadlines.Deadlines(gateway_clock)
        self.rng = random.Random(config.seed or None)
        self.wakeups = wakeups.Wakeups(self.rng)
        self.metrics = metrics.Metrics()
        self.phase = lifecycle.Phase.STARTING
        self.stop_schedule: lifecycle.StopSchedule | None = None
        self.started_at = gateway_clock.now()
        self._can_serve = asyncio.Event()
        self.table: routing.RouteTable | None = None
        self.round_robin = routing.WeightedRoundRobin()
        self.listing = listing.Listing(config.evacuate_s)
        self.rollouts = registry.Registry(config.exposure_share, self.metrics)
        self.quarantines = quarantine_registry.Registry(config.host, gateway_clock)
        self.local_member = ownership.Member(config.zone, config.host)
        record = own_record.initial_record(config, self.rng, gateway_clock)
        self.regions = regions.create(config.region_by_zone)
        self.gossip = regional_gossip.create(
            record, self.rng, GOSSIP_TIMING, self.regions
        )
        self.demand = demand_meter.DemandMeter(
            active_set.capacity_of(config.cores, config.link_mbps).requests_per_s
        )
        self.region_size = fleet_size.FleetSize()
        self.services = services.Services(self.local_member, self.region_size, self.rng)
        self.balancer_by_service = self.services.balancer_by_service
        self.has_listing = False
        self._upstreams_in_use: frozenset[ids.UpstreamId] = frozenset()
        self._era: int | None = None
        self.fence = documents.Fence()
        self.discovery_record_by_zone: dict[ids.ZoneName, sources.DiscoveryRecord] = {}
        self._source_events = source_events.SourceEvents(self.metrics)
        self._end_listeners: list[EndListener] = []

    @property
    def unready_reason(self) -> str:
        """Return why this gateway is not ready for callers; empty if it is."""
        if self.ready:
            return ""
        if self.phase is lifecycle.Phase.LEAVING:
            return "a planned stop"
        if self.table is not None:
            return "no upstreams are known"
        return self._source_events.bad_items.summary() or "no configuration is known"

    @property
    def ready(self) -> bool:
        """Return whether the directory may list this gateway to callers."""
        return self.phase is lifecycle.Phase.SERVING

    @property
    def region(self) -> ids.RegionName:
        """Return the region of this gateway."""
        return self.regions.region(self.config.zone)

    def is_remote(self, zone: ids.ZoneName) -> bool:
        """Return whether a zone is in another region."""
        return self.regions.region(zone) != self.region

    @property
    def links(self) -> region_links.RegionLinks | None:
        """Return the links to other regions; None if there is a single region."""
        return regional_gossip.links_of(self.gossip)

    @property
    def can_serve(self) -> bool:
        """Return whether routes and upstreams are known."""
        return self.table is not None and self.has_listing

    async def wait_until_can_serve(self, limit: ids.Instant) -> None:
        """Wait until routes and upstreams are known, until ``limit`` at most."""
        try:
            async with asyncio.timeout(max(0.0, limit - self.clock.now())):
                await self._can_serve.wait()
        except TimeoutError:
            # The calling function checks ``can_serve`` and rejects the request.
            return

    @property
    def reads_source(self) -> bool:
        """Return whether this gateway currently reads the source itself."""
        return self.gossip.reads_source

    @reads_source.setter
    def reads_source(self, reads: bool) -> None:
        self.gossip.reads_source = reads

    @property
    def version(self) -> int:
        """Return the configuration version in force; zero if there is none."""
        return 0 if self.table is None else self.table.configuration.version

    def apply_configuration(self, configuration: routing.Configuration) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if self.table is not None and configuration.version <= self.version:
            return False
        self.table = routing.RouteTable(configuration)
        self.round_robin.forget_missing(configuration.routes)
        self.services.configure(configuration, self.config)
        self.metrics.bundle_version.set(configuration.version)
        self.metrics.refused_routes.set(len(configuration.refused_routes))
        events.emit(
            events.Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
        )
        source_events.report_remarks(configuration)
        self._refresh_upstreams()
        self._update_phase()
        return True

    def add_end_listener(self, listener: EndListener) -> None:
        """Call ``listener`` with each upstream that ends permanently from now on."""
        self._end_listeners.append(listener)

    def apply_snapshot(
        self, snapshot: sources.Snapshot, *, is_stale: bool = False
    ) -> None:
        """
        Apply the full contents of the source.

        ``is_stale`` means that a newer list arrived from a peer while the snapshot was
        read. That list is then kept, since the older one would bring back upstreams
        that have ended.
        """
        self._source_events.report_bad(snapshot.bad, self.clock.now())
        self._update_era(snapshot)
        # Records lost in a restore must be forgotten, or no gateway rewrites them.
        self.discovery_record_by_zone.clear()
        self._store_discovery_records(snapshot.discovery_records)
        if snapshot.configuration is not None:
            self.apply_configuration(snapshot.configuration)
        now = self.clock.now()
        self.rollouts.orders.replace(snapshot, now, is_stale=is_stale)
        self.quarantines.replace(snapshot)
        before = self.listing.evacuated_zones
        if is_stale:
            # Evacuations cancelled since the snapshot arrive as changes.
            self.listing.evacuate(before | snapshot.evacuated_zones, now)
        else:
            self.listing.set_position(snapshot.revision, snapshot.era, now)
            self.listing.replace_evacuated_zones(snapshot.evacuated_zones, now)
            self.listing.discard(snapshot.unusable, now)
            self.listing.replace(snapshot.upstream_by_id.values(), now)
        source_events.report_evacuations(before, self.listing.evacuated_zones)
        self._listing_changed(FROM_SOURCE)

    def apply_listing(
        self,
        listed: abc.Iterable[sources.ListedUpstream],
        revision: int = 0,
        era: int | None = None,
    ) -> None:
        """Apply the full list that a peer read at ``revision``."""
        now = self.clock.now()
        self.listing.set_position(revision, era, now)
        before = self.listing.evacuated_zones
        unmarked = self.rollouts.orders.apply_marks(listed, now)
        self.listing.replace_by_peer(unmarked, now)
        source_events.report_evacuations(before, self.listing.evacuated_zones)
        self._listing_changed(FROM_PEER)

    def apply_changes(self, changes: sources.Changes) -> bool:
        """Apply changes in the source; return whether anything changed."""
        self._source_events.report_bad(changes.bad, self.clock.now())
        self._store_discovery_records(changes.discovery_records)
        if changes.configuration is not None:
            self.apply_configuration(changes.configuration)
        self.quarantines.change(changes)
        ordered = self.rollouts.orders.change(changes, self.clock.now())
        is_relisted = self._apply_listing_changes(changes)
        if ordered and not is_relisted:
            self._reconcile_rollouts()
        return is_relisted or ordered or changes.configuration is not None

    def _apply_listing_changes(self, changes: sources.Changes) -> bool:
        """
        Apply changes of the upstream list; return whether anything changed.

        If the list in force came from a peer and is newer than the changes, it already
        includes them. Their entries are then ignored, since they would bring back
        upstreams that have ended.
        """
        now = self.clock.now()
        if self.listing.is_newer_than(changes.revision, changes.era):
            changes = msgspec.structs.replace(
                changes, listed=(), gone=(), unusable=frozenset()
            )
        else:
            self.listing.set_position(changes.revision, changes.era, now)
        before = self.listing.evacuated_zones
        is_evacuation_changed = self.listing.update_evacuated_zones(
            changes.evacuated_zones, changes.restored_zones, now
        )
        # An unusable entry is rewritten repeatedly; only the first time is a change.
        is_dropped = self.listing.discard(changes.unusable, now)
        if not (changes.listed or changes.gone or is_dropped or is_evacuation_changed):
            return False
        self.listing.add(changes.listed, now)
        self.listing.remove(changes.gone, now)
        source_events.report_evacuations(before, self.listing.evacuated_zones)
        self._listing_changed(FROM_SOURCE)
        return True

    def listed_for_peers(self) -> tuple[sources.ListedUpstream, ...]:
        """Return the upstreams, marked with the rollout orders, to send to peers."""
        now = self.clock.now()
        return self.rollouts.orders.with_marks(self.listing.listed(now), now)

    @property
    def is_listing_settled(self) -> bool:
        """Return whether the list holds just what the source lists."""
        is_settled = self.listing.is_settled(self.clock.now())
        return is_settled and not self.rollouts.orders.is_retaining

    def apply_rollout_status(self, status: sources.RolloutStatus) -> None:
        """Apply a rollout status that this gateway has written to the source."""
        self.rollouts.orders.written(status)
        self._reconcile_rollouts()

    def leave_upstream(
        self, service: ids.ServiceName, spec: upstreams.UpstreamSpec, reason: str
    ) -> bool:
        """Stop sending new requests to an upstream; return whether that is a change."""
        changed = self.services.leave(service, spec, reason)
        self.services.report_changes()
        return changed

    def tick(self) -> bool:
        """
        End expired ejections and leases, and adapt budgets to the size of the fleet.

        Must be called a few times a second. Returns whether a lease has expired, or
        upstreams withheld after a restore of the source have been released; peers must
        be notified of either.
        """
        now = self.clock.now()
        expired = self.listing.drop_expired(now)
        before = self.listing.evacuated_zones
        is_released = self.listing.release_due(now)
        source_events.report_evacuations(before, self.listing.evacuated_zones)
        is_released |= self.rollouts.orders.drop_missing(now)
        if self.listing.leave_due(now) or expired or is_released:
            self._upstreams_in_use = self.listing.in_use(now)
            self._refresh_upstreams()
        self.services.tick(self.config, now)
        if self.demand.update(now):
            self.gossip.set_demand(self.demand.reported)
        self.services.report_changes()
        return expired or is_released

    def apply_settings(self, config: settings.GatewaySettings) -> None:
        """Apply the settings that may change without a restart."""
        self.config = reloading.reloaded(self.config, config)

    def leave(self) -> lifecycle.StopSchedule:
        """Begin a planned stop; return its schedule."""
        schedule = lifecycle.stop_schedule(
            self.clock.now(), self.config.hand_out_s, self.config.stop_limit_s
        )
        self.stop_schedule = schedule
        self.phase = lifecycle.Phase.LEAVING
        self.publish_status()
        return schedule

    def publish_status(self) -> None:
        """Update the phase and the version in this gateway's gossip record."""
        status = own_record.STATUS_BY_PHASE[self.phase]
        self.gossip.set_status(status, self.version)

    def _store_discovery_records(
        self, records: abc.Iterable[sources.DiscoveryRecord]
    ) -> None:
        for record in records:
            self.discovery_record_by_zone[record.zone] = record

    def _update_era(self, snapshot: sources.Snapshot) -> None:
        if snapshot.era is None:
            return
        if self._era is not None and snapshot.era > self._era:
            source_events.report_restored(self._era, snapshot.era, snapshot.revision)
        self._era = snapshot.era

    def _listing_changed(self, learned_from: str) -> None:
        self.has_listing = True
        before = self._upstreams_in_use
        self._upstreams_in_use = self.listing.in_use(self.clock.now())
        source_events.report_withdrawn(
            before - self._upstreams_in_use, learned_from, self.listing.revision
        )
        self._refresh_upstreams()
        self._update_phase()

    def _update_phase(self) -> None:
        if self.can_serve:
            self._can_serve.set()
        before = self.phase
        self.phase = lifecycle.phase_after(
            before,
            configured=self.table is not None,
            upstreams_known=bool(self.listing.lease_by_id),
        )
        if self.phase is not before:
            events.emit(events.Event.READY, host=self.config.host)
        self.publish_status()

    def _refresh_upstreams(self) -> None:
        now = self.clock.now()
        configuration = None if self.table is None else self.table.configuration
        specs_by_service = self.listing.specs(now)
        self.services.set_listed(specs_by_service, configuration, self.config, now)
        self._reconcile_rollouts()

    def _reconcile_rollouts(self) -> None:
        """Update the traffic splits between versions to match the rollout orders."""
        self.rollouts.reconcile(self.balancer_by_service)
        self.services.report_changes()
        self._notify_ended()

    def _notify_ended(self) -> None:
        """Notify listeners of upstreams that have ended, and log restarted ones."""
        for ended in self.listing.take_ended():
            for listener in self._end_listeners:
                listener(ended.listed)
            if ended.is_replaced and ended.listed.service in self.balancer_by_service:
                self._source_events.report_restart(ended.listed)
