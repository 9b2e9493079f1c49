"""
Everything one entry believes, without any input or output.

Joins the kernel's parts: documents, balancers by service, peers, ids. The
daemon's loops and ports call it; a test can drive it with a manual clock. A
dump of it is what the operator port shows.
"""

import dataclasses
import random
import secrets

from spindlenotch import clock, events, ids, metrics, selection
from spindlenotch.bundles import bundle, bundle_seal
from spindlenotch.decisions import balancer
from spindlenotch.entry import once, readiness, settings
from spindlenotch.kernel import hostlist, ownership, schedule, upstreams
from spindlenotch.peers import documents, gossip, messages

_EVENT_BY_STATE = {
    upstreams.State.ACTIVE: events.Event.UPSTREAM_BACK,
    upstreams.State.PROBATION: events.Event.UPSTREAM_PROBATION,
    upstreams.State.EJECTED: events.Event.UPSTREAM_EJECTED,
    upstreams.State.LEAVING: events.Event.UPSTREAM_LEAVING,
}


@dataclasses.dataclass(slots=True)
class Counters:
    """Plain counts for the state dump."""

    forwarded: int = 0
    pauses: int = 0


class EntryState:
    """
    The state of one life of one entry process.

    Invariants: the bundle and host list in force are those of ``fence``;
    there is one balancer per service of the bundle; every balancer knows the
    same members and the marks that gossip holds.
    """

    def __init__(self, config: settings.EntrySettings, time: clock.Clock) -> None:
        now = time.now()
        self.config = config
        self.clock = time
        self.rng = random.Random(config.seed or None)
        self.incarnation = ids.Incarnation(secrets.token_hex(8))
        self.readiness = readiness.Readiness(config.pause_s, now)
        self.fence = documents.Fence()
        self.opened: bundle_seal.Opened | None = None
        self.hosts: hostlist.HostTable | None = None
        self.balancer_by_service: dict[ids.ServiceName, balancer.Balancer] = {}
        self.local_member = ownership.Member(config.zone, config.host)
        self.gossip = gossip.Gossip(self._own_record(), self.rng)
        self.once = once.OnceTable(config.once_capacity)
        self.mint = once.Mint(config.host, self.incarnation, secrets.token_bytes(32))
        self.metrics = metrics.Metrics()
        self.counters = Counters()
        self.started_at = now
        self.calls = 0

    def next_call_id(self) -> ids.CallId:
        """Return an id that no other call of any process has."""
        self.calls += 1
        return ids.CallId(f"{self.incarnation}-{self.calls}")

    @property
    def bundle(self) -> bundle.Bundle | None:
        """Return the bundle in force."""
        return self.opened.bundle if self.opened else None

    def offer_document(
        self, document: documents.Document, *, authoritative: bool = False
    ) -> documents.Offer | bundle_seal.SealFault:
        """Check a document and put it in force if it is newer."""
        if document.kind is documents.DocumentKind.BUNDLE:
            return self._offer_bundle(document, authoritative)
        return self._offer_hosts(document)

    def add_drain_notice(self, notice: messages.DrainNotice, reason: str) -> bool:
        """Give an upstream no new work; tell whether that was news."""
        fresh = self.gossip.add_drain_notice(notice)
        self.apply_drain_notice(notice, reason)
        return fresh

    def apply_drain_notice(self, notice: messages.DrainNotice, reason: str) -> None:
        """Let the service's pool heed a mark that gossip already holds."""
        service = self.balancer_by_service.get(notice.service)
        if service is not None:
            service.pool.leave(notice.upstream, notice.generation, reason)

    def tick(self, now: ids.Instant) -> None:
        """Let ejections end and log what changed; a few times a second."""
        for name, service in self.balancer_by_service.items():
            service.pool.tick(now)
            for change in service.pool.take_changes():
                events.emit(
                    _EVENT_BY_STATE[change.state],
                    service=name,
                    upstream=change.upstream,
                    reason=change.reason,
                )

    def members_changed(self) -> None:
        """Cut slots anew after an entry came or went."""
        members = self.gossip.ready_members()
        for service in self.balancer_by_service.values():
            service.pool.set_members(members)

    def address_of(self, host: ids.HostId) -> ids.Address | None:
        """Return where an entry serves callers, by its peers' word or the list."""
        known = self.gossip.known_by_host.get(host)
        if known is not None:
            return known.record.address
        listed = hostlist.entries(self.hosts) if self.hosts else []
        for record in listed:
            if record.id == host:
                return ids.Address(record.address)
        return None

    def follow_day(self) -> None:
        """Set each service's zone weights for this moment of the day."""
        current = self.bundle
        if current is None:
            return
        minute = schedule.minute_of_day(self.clock.unix_s(), current.timezone)
        for service in self.balancer_by_service.values():
            service.pool.set_plan(schedule.planned(service.service, minute))

    def publish_status(self) -> None:
        """Put phase and bundle version into what peers are told."""
        status = messages.Status.STARTING
        if self.readiness.phase is readiness.Phase.READY:
            status = messages.Status.READY
        elif self.readiness.phase is readiness.Phase.LEAVING:
            status = messages.Status.LEAVING
        version = self.fence.version(documents.DocumentKind.BUNDLE)
        self.gossip.set_status(status, version)

    def _offer_bundle(
        self, document: documents.Document, authoritative: bool
    ) -> documents.Offer | bundle_seal.SealFault:
        if document.version != documents.UNKNOWN_VERSION:
            verdict = self.fence.judge(document)
            if verdict in (documents.Offer.SAME, documents.Offer.OLDER):
                return verdict
        opened = bundle_seal.open_bytes(
            document.body, self.config.trusted_keys, selection.POLICIES.names()
        )
        if isinstance(opened, bundle_seal.SealFault):
            events.emit(events.Event.BUNDLE_REFUSED, reason=opened.value)
            return opened
        # Number and digest are taken from what was signed, not from the
        # frame around it.
        document = document_of(opened)
        verdict = self.fence.offer(document, authoritative=authoritative)
        if verdict is documents.Offer.FORKED:
            events.emit(events.Event.BUNDLE_FORKED, version=document.version)
        if self.fence.document_by_kind.get(document.kind) is document:
            self._apply_bundle(opened)
        return verdict

    def _apply_bundle(self, opened: bundle_seal.Opened) -> None:
        now = self.clock.now()
        self.opened = opened
        services = opened.bundle.service_by_name
        for name in set(self.balancer_by_service) - set(services):
            del self.balancer_by_service[name]
        for name, service in services.items():
            existing = self.balancer_by_service.get(name)
            if existing is None:
                rng = random.Random(self.rng.getrandbits(64))
                existing = balancer.Balancer(service, self.local_member, rng, now)
                self.balancer_by_service[name] = existing
            existing.update_service(service)
        version = opened.bundle.version
        self.metrics.bundle_version.set(version)
        self.gossip.advertise(_records_of(document_of(opened)))
        self.publish_status()
        self._fill_pools()
        events.emit(events.Event.BUNDLE_APPLIED, version=version)

    def _offer_hosts(self, document: documents.Document) -> documents.Offer:
        verdict = self.fence.judge(document)
        table = hostlist.decode(document.body)
        if verdict is not documents.Offer.APPLIED or table is None:
            return verdict
        self.fence.offer(document)
        self.hosts = table
        self.gossip.advertise(_records_of(document))
        self._fill_pools()
        events.emit(events.Event.HOSTS_APPLIED, revision=document.version)
        return verdict

    def _fill_pools(self) -> None:
        if self.hosts is None:
            return
        now = self.clock.now()
        for name, service in self.balancer_by_service.items():
            service.pool.set_listed(hostlist.upstream_specs(self.hosts, name), now)
        self.members_changed()
        self.follow_day()
        self._reapply_drain_notices()

    def _reapply_drain_notices(self) -> None:
        """Apply all marks to the new list; drop those it has superseded."""
        assert self.hosts is not None
        generation_by_id = {host.id: host.generation for host in self.hosts.hosts}
        stale = []
        for notice in self.gossip.repeats_by_drain_notice:
            if generation_by_id.get(notice.upstream, notice.generation + 1) > (
                notice.generation
            ):
                stale.append(notice)
                continue
            self.apply_drain_notice(notice, "marked earlier")
        self.gossip.forget_drain_notices(stale)

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
        """Note the real addresses where a setting asked for any free port."""
        self.gossip.set_addresses(listen, peer_listen)

    def leave_upstream(
        self, service: ids.ServiceName, spec: upstreams.UpstreamSpec, reason: str
    ) -> bool:
        """Mark an upstream that says itself that it is leaving."""
        return self.add_drain_notice(
            messages.DrainNotice(service, spec.id, spec.generation), reason
        )


def document_of(opened: bundle_seal.Opened) -> documents.Document:
    """Return an opened bundle as a document."""
    return documents.Document(
        documents.DocumentKind.BUNDLE,
        opened.bundle.version,
        opened.digest,
        bundle_seal.encode(opened.envelope),
    )


def _records_of(document: documents.Document) -> messages.DocumentVersion:
    return messages.DocumentVersion(document.kind, document.version, document.digest)
