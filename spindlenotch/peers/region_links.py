"""
What a member knows of the other regions, and what it tells them of its own.

Members of other regions are none of this one's peers: a region sends a summary of
itself instead, so that bytes between regions do not grow with the hosts, and a link
that loses messages makes nobody suspect anybody. No input, output or clock. Relies on
``kernel.regions`` for who is far; ``gossip`` puts the summaries into its messages.
"""

import random
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import regions
from spindlenotch.peers import messages, workload

#: Age of a summary, in seconds, from which its gateways may be gone: nearly all
#: summaries of a region that is there are younger.
DOUBTFUL_S = 2.5
#: Age from which a region counts as lost. Longer than a way that loses 4 in 10 of its
#: messages keeps a region silent, about as long as callers keep an address.
LOST_S = 5.0
#: Members of other regions that are kept to introduce them to each other, while a
#: fleet starts from seeds that lie in one region.
MOST_INTRODUCED = 64
#: Digits behind the point of an age: milliseconds.
AGE_DIGITS = 3


class Heard(msgspec.Struct, frozen=True):
    """The newest summary of a region and when it was made."""

    summary: messages.RegionSummary
    made_at: ids.Instant


class RegionLinks:
    """
    The summaries of all regions as one member knows them.

    Invariants: a summary never replaces a newer one; the own region's is never taken
    from others; ``_introduced_by_host`` holds at most ``MOST_INTRODUCED`` members.
    """

    def __init__(
        self, zone: ids.ZoneName, known: regions.Regions, rng: random.Random
    ) -> None:
        self.known = known
        self.local_region = known.region(zone)
        self.others = tuple(sorted(known.all_regions(zone) - {self.local_region}))
        self.rng = rng
        self.heard_by_region: dict[ids.RegionName, Heard] = {}
        self._own = messages.RegionSummary(self.local_region)
        self._speakers = 0
        self._introduced_by_host: dict[ids.HostId, messages.MemberRecord] = {}

    def is_remote(self, zone: ids.ZoneName) -> bool:
        """Tell whether a zone lies in another region."""
        return self.known.region(zone) != self.local_region

    # What others say

    def take(
        self, summaries: abc.Iterable[messages.RegionSummary], now: ids.Instant
    ) -> None:
        """Take in the summaries of a message where they are newer."""
        for summary in summaries:
            if summary.region not in self.others:
                continue
            made_at = ids.Instant(now - max(0.0, summary.age_s))
            heard = self.heard_by_region.get(summary.region)
            if heard is None or made_at > heard.made_at:
                self.heard_by_region[summary.region] = Heard(summary, made_at)

    def young(
        self, now: ids.Instant, most_age_s: float
    ) -> dict[ids.RegionName, messages.RegionSummary]:
        """Return the summaries that are younger than ``most_age_s`` seconds."""
        return {
            region: heard.summary
            for region, heard in self.heard_by_region.items()
            if now - heard.made_at < most_age_s
        }

    def names_far(self, address: ids.Address) -> bool:
        """Tell whether an address is that of a known member of another region."""
        if any(r.peer_address == address for r in self._introduced_by_host.values()):
            return True
        return any(
            one.peer_address == address
            for heard in self.heard_by_region.values()
            for one in heard.summary.gateways
        )

    # What is said to others

    def describe(
        self,
        gateways: abc.Sequence[messages.RegionGateway],
        member_count: int,
        demand: workload.Work,
        *,
        speaks: bool,
    ) -> None:
        """
        Set what the summary of the own region says.

        Of the active ``gateways`` this one ``speaks`` to other regions if it is one.
        """
        self._speakers = len(gateways) if speaks else 0
        self._own = msgspec.structs.replace(
            self._own,
            gateways=tuple(gateways[: messages.GATEWAYS_PER_SUMMARY]),
            member_count=member_count,
            demand=demand,
        )

    def describe_services(self, services: abc.Sequence[messages.ServiceUse]) -> None:
        """Set what the summary of the own region says of its upstreams."""
        told = tuple(services[: messages.SERVICES_PER_SUMMARY])
        self._own = msgspec.structs.replace(self._own, services=told)

    def to_far(self, now: ids.Instant) -> tuple[messages.RegionSummary, ...]:
        """Return what a message to another region carries: all that is known."""
        return (self._own, *self._heard(now))[: messages.REGIONS_PER_MESSAGE]

    def to_near(self, now: ids.Instant) -> tuple[messages.RegionSummary, ...]:
        """Return what an answer to a member of the own region carries."""
        return self._heard(now)[: messages.REGIONS_PER_MESSAGE]

    def targets(
        self,
        spare_by_region: abc.Mapping[ids.RegionName, abc.Sequence[ids.Address]],
        now: ids.Instant,
    ) -> list[ids.Address]:
        """
        Return whom to tell of this region in this period: mostly nobody.

        On average one of the active members tells one member of one other region.
        ``spare_by_region`` are addresses to try where a region has not been heard of,
        or not lately.
        """
        if not self._speakers or self.rng.random() * self._speakers >= 1.0:
            return []
        region = self.rng.choice(self.others)
        heard = self.heard_by_region.get(region)
        addresses: list[ids.Address] = []
        if heard is not None:
            addresses += [one.peer_address for one in heard.summary.gateways]
        if heard is None or now - heard.made_at >= DOUBTFUL_S:
            addresses += spare_by_region.get(region, ())
        return [self.rng.choice(addresses)] if addresses else []

    # Members of other regions that start

    def note_far(self, record: messages.MemberRecord) -> None:
        """Keep the record of a far member, to introduce it to others of its region."""
        self._introduced_by_host.pop(record.host, None)
        self._introduced_by_host[record.host] = record
        if len(self._introduced_by_host) > MOST_INTRODUCED:
            del self._introduced_by_host[next(iter(self._introduced_by_host))]

    def introductions(
        self, asking: messages.MemberRecord
    ) -> tuple[messages.MemberRecord, ...]:
        """Return the members of a far member's own region that asked last."""
        region = self.known.region(asking.zone)
        near_it = [
            record
            for record in self._introduced_by_host.values()
            if self.known.region(record.zone) == region and record.host != asking.host
        ]
        return tuple(near_it[-messages.MAX_MEMBERS_PER_MESSAGE :])

    def _heard(self, now: ids.Instant) -> tuple[messages.RegionSummary, ...]:
        return tuple(
            msgspec.structs.replace(
                heard.summary, age_s=round(now - heard.made_at, AGE_DIGITS)
            )
            for heard in self.heard_by_region.values()
            if now - heard.made_at < LOST_S
        )
