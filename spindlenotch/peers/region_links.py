"""
What a member knows of the other regions, and what it reports to them of its own.

Members of other regions are not peers of this one: a region sends a summary of itself
instead, so that traffic between regions does not grow with the number of hosts, and a
lossy link between regions raises no suspicions. No I/O and no clock. Relies on
``kernel.regions`` for which zones are remote; ``regional_gossip`` puts the summaries
into messages.
"""

import random
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import regions
from spindlenotch.peers import messages, workload

#: Age of a summary, in seconds, from which its gateways may be gone: nearly all
#: summaries of a reachable region are younger.
SUMMARY_STALE_S = 2.5
#: Age of a summary, in seconds, from which its region counts as lost. Longer than a
#: link that loses 4 in 10 messages leaves a region without a new summary, and about as
#: long as callers keep an address.
SUMMARY_EXPIRY_S = 5.0
#: Maximum number of members of other regions that are kept to introduce them to each
#: other, while a fleet starts from seeds that are in one region.
MAX_INTRODUCED = 64
#: Decimal places of an age in seconds: milliseconds.
AGE_DIGITS = 3


class ReceivedSummary(msgspec.Struct, frozen=True):
    """The newest summary received of a region, and when it was made."""

    summary: messages.RegionSummary
    made_at: ids.Instant


class RegionLinks:
    """
    The summaries of all regions as one member knows them.

    Invariants: a summary never replaces a newer one; that of the own region is never
    taken from others; ``_introduced_by_host`` holds at most ``MAX_INTRODUCED`` members.
    """

    def __init__(
        self, zone: ids.ZoneName, known: regions.Regions, rng: random.Random
    ) -> None:
        self.known = known
        self.local_region = known.region(zone)
        self.others = tuple(sorted(known.all_regions(zone) - {self.local_region}))
        self.rng = rng
        self.received_by_region: dict[ids.RegionName, ReceivedSummary] = {}
        self._own = messages.RegionSummary(self.local_region)
        self._active_count = 0
        self._introduced_by_host: dict[ids.HostId, messages.MemberRecord] = {}

    def is_remote(self, zone: ids.ZoneName) -> bool:
        """Return whether a zone is in another region."""
        return self.known.region(zone) != self.local_region

    # Summaries received

    def merge_summaries(
        self, summaries: abc.Iterable[messages.RegionSummary], now: ids.Instant
    ) -> None:
        """Store the summaries of a message that are newer than those known."""
        for summary in summaries:
            if summary.region not in self.others:
                continue
            made_at = ids.Instant(now - max(0.0, summary.age_s))
            received = self.received_by_region.get(summary.region)
            if received is None or made_at > received.made_at:
                self.received_by_region[summary.region] = ReceivedSummary(
                    summary, made_at
                )

    def recent_summaries(
        self, now: ids.Instant, most_age_s: float
    ) -> dict[ids.RegionName, messages.RegionSummary]:
        """Return the summaries that are younger than ``most_age_s`` seconds."""
        return {
            region: received.summary
            for region, received in self.received_by_region.items()
            if now - received.made_at < most_age_s
        }

    def is_remote_address(self, address: ids.Address) -> bool:
        """Return whether an address is that of a known member of another region."""
        if any(
            record.peer_address == address
            for record in self._introduced_by_host.values()
        ):
            return True
        return any(
            gateway.peer_address == address
            for received in self.received_by_region.values()
            for gateway in received.summary.gateways
        )

    # Summaries sent

    def describe(
        self,
        gateways: abc.Sequence[messages.RegionGateway],
        member_count: int,
        demand: workload.Work,
        *,
        is_active: bool,
    ) -> None:
        """
        Update the summary of the own region.

        ``gateways`` are its active ones, which send it to other regions;
        ``is_active``: this member is one of them.
        """
        self._active_count = len(gateways) if is_active else 0
        self._own = msgspec.structs.replace(
            self._own,
            gateways=tuple(gateways[: messages.GATEWAYS_PER_SUMMARY]),
            member_count=member_count,
            demand=demand,
        )

    def describe_services(self, services: abc.Sequence[messages.ServiceUse]) -> None:
        """Update the utilisation of upstreams in the summary of the own region."""
        reported = tuple(services[: messages.SERVICES_PER_SUMMARY])
        self._own = msgspec.structs.replace(self._own, services=reported)

    def summaries_for_other_region(
        self, now: ids.Instant
    ) -> tuple[messages.RegionSummary, ...]:
        """Return all known summaries, that of the own region first."""
        return (self._own, *self._current_summaries(now))[
            : messages.REGIONS_PER_MESSAGE
        ]

    def summaries_for_own_region(
        self, now: ids.Instant
    ) -> tuple[messages.RegionSummary, ...]:
        """Return the summaries of other regions for a reply in the own region."""
        return self._current_summaries(now)[: messages.REGIONS_PER_MESSAGE]

    def targets(
        self,
        fallback_by_region: abc.Mapping[ids.RegionName, abc.Sequence[ids.Address]],
        now: ids.Instant,
    ) -> list[ids.Address]:
        """
        Return the address to send a summary to in this period; mostly there is none.

        On average one of the active members sends one to one member of one other
        region. ``fallback_by_region`` are addresses to try if no summary of a region
        was received, or none recently.
        """
        if not self._active_count or self.rng.random() * self._active_count >= 1.0:
            return []
        region = self.rng.choice(self.others)
        received = self.received_by_region.get(region)
        addresses: list[ids.Address] = []
        if received is not None:
            addresses += [gateway.peer_address for gateway in received.summary.gateways]
        if received is None or now - received.made_at >= SUMMARY_STALE_S:
            addresses += fallback_by_region.get(region, ())
        return [self.rng.choice(addresses)] if addresses else []

    # Introductions while a fleet starts

    def record_remote_member(self, record: messages.MemberRecord) -> None:
        """Keep a remote member's record, to introduce it to others of its region."""
        self._introduced_by_host.pop(record.host, None)
        self._introduced_by_host[record.host] = record
        if len(self._introduced_by_host) > MAX_INTRODUCED:
            del self._introduced_by_host[next(iter(self._introduced_by_host))]

    def introductions(
        self, requester: messages.MemberRecord
    ) -> tuple[messages.MemberRecord, ...]:
        """Return the latest other senders from a remote member's region."""
        region = self.known.region(requester.zone)
        same_region = [
            record
            for record in self._introduced_by_host.values()
            if self.known.region(record.zone) == region
            and record.host != requester.host
        ]
        return tuple(same_region[-messages.MAX_MEMBERS_PER_MESSAGE :])

    def _current_summaries(
        self, now: ids.Instant
    ) -> tuple[messages.RegionSummary, ...]:
        return tuple(
            msgspec.structs.replace(
                received.summary, age_s=round(now - received.made_at, AGE_DIGITS)
            )
            for received in self.received_by_region.values()
            if now - received.made_at < SUMMARY_EXPIRY_S
        )
