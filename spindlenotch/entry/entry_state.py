"""
The state of one entry, without any input or output but log lines.

Owns the documents in force, a balancer for each service, the view of the
members and the table of request ids, and keeps them consistent when one of
them changes. The control loops and ports call it; a test can drive it with a
manual clock. The operator port shows a dump of it.
"""

import random
import secrets

import msgspec

from spindlenotch import clock, events, ids, metrics
from spindlenotch.bundles import bundle, bundle_seal, kernel_policy
from spindlenotch.decisions import balancer
from spindlenotch.entry import (
    documents_in_force,
    drain_notices,
    once,
    readiness,
    settings,
    tickets,
)
from spindlenotch.forwarding import upstream_events
from spindlenotch.kernel import hostlist, ownership, upstreams, zone_schedule
from spindlenotch.peers import documents, gossip, messages

_STATUS_BY_PHASE = {
    readiness.Phase.STARTING: messages.Status.STARTING,
    readiness.Phase.READY: messages.Status.READY,
    readiness.Phase.RESYNCHRONISING: messages.Status.STARTING,
    readiness.Phase.LEAVING: messages.Status.LEAVING,
}


class Counters(msgspec.Struct):
    """Counts since the start, for the state dump."""

    forwarded: int = 0
    pauses: int = 0


class EntryState:
    """
    The state of one run of an entry process.

    Invariants: there is one balancer for each service of the bundle; every
    balancer has the same members and has applied the drain notices that
    gossip holds.
    """

    def __init__(self, config: settings.EntrySettings, time: clock.Clock) -> None:
        now = time.now()
        self.config = config
        self.clock = time
        self.rng = random.Random(config.seed or None)
        self.incarnation = ids.Incarnation(secrets.token_hex(8))
        self.readiness = readiness.Readiness(config.pause_s, now)
        self.documents = documents_in_force.DocumentsInForce(config.trusted_keys)
        self.balancer_by_service: dict[ids.ServiceName, balancer.Balancer] = {}
        self.local_member = ownership.Member(config.zone, config.host)
        self.gossip = gossip.Gossip(self._own_record(), self.rng)
        self.drain_notices = drain_notices.DrainNotices(
            self.gossip, self.balancer_by_service
        )
        self.once = once.OnceTable(config.once_capacity)
        self.mint = tickets.Mint(config.host, self.incarnation, secrets.token_bytes(32))
        self.metrics = metrics.Metrics()
        self.counters = Counters()
        self.started_at = now
        self.call_count = 0

    def next_call_id(self) -> ids.CallId:
        """Return an id that no other call of any process has."""
        self.call_count += 1
        return ids.CallId(f"{self.incarnation}-{self.call_count}")

    @property
    def bundle(self) -> bundle.Bundle | None:
        """Return the bundle in force."""
        return self.documents.bundle

    def offer_document(
        self, document: documents.Document, *, authoritative: bool = False
    ) -> documents.Offer | bundle_seal.SealFault:
        """Check a document and put it in force if it is newer."""
        if document.kind is documents.DocumentKind.HOSTS:
            return self._offer_hosts(document)
        before = self.documents.opened
        verdict = self.documents.offer_bundle(document, authoritative=authoritative)
        opened = self.documents.opened
        if opened is not None and opened is not before:
            self._apply_bundle(opened)
        return verdict

    def tick(self, now: ids.Instant) -> None:
        """Let ejections expire and log changes; to be called a few times a second."""
        for name, service in self.balancer_by_service.items():
            service.pool.tick(now)
            upstream_events.report_changes(name, service.pool)

    def members_changed(self) -> None:
        """Divide the upstreams' slots anew after a change of the members."""
        members = self.gossip.ready_members()
        for service in self.balancer_by_service.values():
            service.pool.set_members(members)

    def address_of(self, host: ids.HostId) -> ids.Address | None:
        """Return where an entry serves callers, by gossip or else the host list."""
        known = self.gossip.known_by_host.get(host)
        if known is not None:
            return known.record.address
        hosts = self.documents.hosts
        listed = hostlist.entries(hosts) if hosts else []
        for record in listed:
            if record.id == host:
                return ids.Address(record.address)
        return None

    def follow_day(self) -> None:
        """Set each service's zone weights for this moment of the day."""
        current = self.bundle
        if current is None:
            return
        minute = zone_schedule.minute_of_day(self.clock.unix_s(), current.timezone)
        for service in self.balancer_by_service.values():
            policy = service.service
            plan = zone_schedule.planned_shares(policy.zones, policy.day, minute)
            service.pool.set_plan(plan)

    def publish_status(self) -> None:
        """Put phase and bundle version into what peers are told."""
        status = _STATUS_BY_PHASE[self.readiness.phase]
        version = self.documents.fence.version(documents.DocumentKind.BUNDLE)
        self.gossip.set_status(status, version)

    def _apply_bundle(self, opened: bundle_seal.Opened) -> None:
        services = opened.bundle.service_by_name
        for name in set(self.balancer_by_service) - set(services):
            del self.balancer_by_service[name]
        for name, service in services.items():
            policy = kernel_policy.of(service)
            existing = self.balancer_by_service.get(name)
            if existing is None:
                rng = random.Random(self.rng.getrandbits(64))
                existing = balancer.Balancer(policy, self.local_member, rng)
                self.balancer_by_service[name] = existing
            existing.update_service(policy)
        version = opened.bundle.version
        self.metrics.bundle_version.set(version)
        signed = documents_in_force.document_of(opened)
        self.gossip.advertise(documents_in_force.version_of(signed))
        self.publish_status()
        self._fill_pools()
        events.emit(events.Event.BUNDLE_APPLIED, version=version)

    def _offer_hosts(self, document: documents.Document) -> documents.Offer:
        before = self.documents.hosts
        verdict = self.documents.offer_hosts(document)
        if self.documents.hosts is not before:
            self.gossip.advertise(documents_in_force.version_of(document))
            self._fill_pools()
            events.emit(events.Event.HOSTS_APPLIED, revision=document.version)
        return verdict

    def _fill_pools(self) -> None:
        hosts = self.documents.hosts
        if hosts is None:
            return
        now = self.clock.now()
        for name, service in self.balancer_by_service.items():
            service.pool.set_listed(hostlist.upstream_specs(hosts, name), now)
        self.members_changed()
        self.follow_day()
        self.drain_notices.reapply(hosts)

    def _own_record(self) -> messages.MemberRecord:
        return messages.MemberRecord(
            host=self.config.host,
            zone=self.config.zone,
            incarnation=self.incarnation,
            address=self.config.listen,
            peer_address=self.config.peer_listen,
            epoch=int(self.clock.unix_s() * 1000),
            heartbeat=1,
            status=messages.Status.STARTING,
            configuration_version=0,
        )

    def set_addresses(self, listen: ids.Address, peer_listen: ids.Address) -> None:
        """Set the addresses in use; they differ from the settings' for port 0."""
        self.gossip.set_addresses(listen, peer_listen)

    def leave_upstream(
        self, service: ids.ServiceName, spec: upstreams.UpstreamSpec, reason: str
    ) -> bool:
        """Give a draining upstream no new work; tell whether that is new."""
        notice = messages.DrainNotice(service, spec.id, spec.generation)
        return self.drain_notices.add(notice, reason)
