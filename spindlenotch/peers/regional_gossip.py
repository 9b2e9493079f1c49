"""
Gossip of one member of a fleet that spans several regions.

Within its region a member behaves as in ``gossip``. Members of other regions do not
become its peers: they exchange summaries of regions, and which documents are in force.
A pure state machine, like ``gossip``; ``region_links`` holds the summaries.
"""

import random
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import regions
from spindlenotch.peers import gossip, messages, region_links, timing


class RegionalGossip(gossip.Gossip):
    """
    One member's side of the gossip protocol, in its region and between regions.

    Invariant: ``known_by_host`` holds members of the own region only.
    """

    def __init__(
        self,
        local: messages.MemberRecord,
        rng: random.Random,
        timeouts: timing.Timing,
        known: regions.Regions,
    ) -> None:
        super().__init__(local, rng, timeouts)
        self.links = region_links.RegionLinks(local.zone, known, rng)

    def remote_targets(
        self,
        fallback_by_region: abc.Mapping[ids.RegionName, abc.Sequence[ids.Address]],
        now: ids.Instant,
    ) -> list[ids.Address]:
        """Return the address in another region to send a summary to, if any is due."""
        return self.links.targets(fallback_by_region, now)

    def compose_remote(
        self,
        now: ids.Instant,
        *,
        wants_reply: bool = False,
        fill_for: messages.MemberRecord | None = None,
    ) -> messages.Message:
        """
        Build a message to another region.

        ``fill_for`` asked for members: it gets the latest senders from its own
        region.
        """
        self.sequence += 1
        return messages.Message(
            sender=self.local,
            sequence=self.sequence,
            documents=tuple(self.version_by_kind.values()),
            members=() if fill_for is None else self.links.introductions(fill_for),
            wants_reply=wants_reply,
            reads_source=self.reads_source,
            regions=self.links.summaries_for_other_region(now),
            crashes=self.crashes,
        )

    def handle(self, message: messages.Message, now: ids.Instant) -> gossip.Handled:
        """
        Process a message from a peer, or from a member of another region.

        Replies pass the summaries on, with their current age.
        """
        self.links.merge_summaries(message.regions, now)
        if self.links.is_remote(message.sender.zone):
            return self._handle_remote(message, now)
        members = tuple(
            record
            for record in message.members
            if not self.links.is_remote(record.zone)
        )
        near = msgspec.structs.replace(message, members=members)
        handled = super().handle(near, now)
        if handled.reply is None:
            return handled
        summaries = self.links.summaries_for_own_region(now)
        reply = msgspec.structs.replace(handled.reply, regions=summaries)
        return msgspec.structs.replace(handled, reply=reply)

    def _handle_remote(
        self, message: messages.Message, now: ids.Instant
    ) -> gossip.Handled:
        changed = False
        for record in message.members:
            if not self.links.is_remote(record.zone):
                changed |= self.membership.update(record, now, direct=False)
        self.links.record_remote_member(message.sender)
        newer = tuple(
            version for version in message.documents if self._is_newer(version)
        )
        reply = None
        if message.wants_reply:
            requester = message.sender if message.wants_members else None
            reply = self.compose_remote(now, fill_for=requester)
        return gossip.Handled(changed, newer, (), reply)


def create(
    local: messages.MemberRecord,
    rng: random.Random,
    timeouts: timing.Timing,
    known: regions.Regions,
) -> gossip.Gossip:
    """Return the gossip of a member; with region links if there are more regions."""
    if len(known.all_regions(local.zone)) == 1:
        return gossip.Gossip(local, rng, timeouts)
    return RegionalGossip(local, rng, timeouts, known)


def links_of(local: gossip.Gossip) -> region_links.RegionLinks | None:
    """Return the region links of a member, or None if there is only one region."""
    return local.links if isinstance(local, RegionalGossip) else None
