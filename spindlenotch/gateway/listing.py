"""
The upstreams that may get work, from what the source lists and no longer lists.

Pure. One rule beyond bookkeeping: entries that vanish together right after the
source was out of reach have more likely lapsed in its outage than left, so
they keep getting work until they are listed again or a time is over.
"""

import dataclasses
from collections import abc

from spindlenotch import ids
from spindlenotch.gateway import sources
from spindlenotch.kernel import upstreams

#: A source that failed this recently may have dropped entries that still live.
DOUBT_AFTER_FAULT_S = 4.0
#: How long a vanished entry is believed to live on. Upstreams that live are
#: listed again about two seconds after the source is back (users' issue 15).
LAPSED_KEPT_S = 2.2
#: Vanished at once above this share of a service, entries are taken for lapsed.
LAPSED_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class Known:
    """One upstream; ``lapsed_until`` is set while it is doubted, else NEVER."""

    listed: sources.ListedUpstream
    spec: upstreams.UpstreamSpec
    lapsed_until: ids.Instant = ids.NEVER


class Listing:
    """
    Upstreams by id.

    Invariants: an upstream that says it is draining, or that was removed while
    the source was sound, is not in ``specs``; one that is listed again gets a
    higher generation.
    """

    def __init__(self) -> None:
        self.known_by_id: dict[ids.UpstreamId, Known] = {}
        self.faulted_at = ids.Instant(float("-inf"))
        self._generation = 0

    def note_fault(self, now: ids.Instant) -> None:
        """Note that the source could not be read."""
        self.faulted_at = now

    def replace(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """Take in a whole list."""
        listed_by_id = {one.id: one for one in listed}
        missing = [i for i in self.known_by_id if i not in listed_by_id]
        self.add(listed_by_id.values(), now)
        self.remove(missing, now)

    def replace_by_peer(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """Take in a peer's whole list, in which what lapsed is judged already."""
        listed_by_id = {one.id: one for one in listed}
        for upstream_id in [i for i in self.known_by_id if i not in listed_by_id]:
            del self.known_by_id[upstream_id]
        self.add(listed_by_id.values(), now)

    def listed(self, now: ids.Instant) -> tuple[sources.ListedUpstream, ...]:
        """Return the whole list for a peer; cold times count from now."""
        return tuple(
            dataclasses.replace(
                known.listed, cold_s=max(0.0, known.spec.warming_up_until - now)
            )
            for known in self.known_by_id.values()
        )

    def add(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """Take in entries that are new or have changed."""
        for one in listed:
            known = self.known_by_id.get(one.id)
            back = known is not None and known.listed.state is not one.state
            if known is None or back or known.listed.address != one.address:
                self._generation += 1
                generation = self._generation
            else:
                generation = known.spec.generation
            warming_up_until = ids.later(now, one.cold_s)
            if known is not None and not back:
                warming_up_until = known.spec.warming_up_until
            spec = upstreams.UpstreamSpec(
                one.id, one.zone, one.address, generation, one.slots, warming_up_until
            )
            self.known_by_id[one.id] = Known(one, spec)

    def remove(self, gone: abc.Iterable[ids.UpstreamId], now: ids.Instant) -> None:
        """Take in that entries are no longer listed."""
        removed = [i for i in gone if i in self.known_by_id]
        doubted = now - self.faulted_at < DOUBT_AFTER_FAULT_S
        for upstream_id in removed:
            known = self.known_by_id[upstream_id]
            ready = known.listed.state is sources.UpstreamState.READY
            service = known.listed.service
            if doubted and ready and self._many(removed, service):
                if known.lapsed_until == ids.NEVER:
                    known.lapsed_until = ids.later(now, LAPSED_KEPT_S)
            else:
                known.lapsed_until = now
        self.sweep(now)

    def sweep(self, now: ids.Instant) -> bool:
        """Drop lapsed entries whose time is over; tell whether any was."""
        over = [i for i, k in self.known_by_id.items() if k.lapsed_until <= now]
        for upstream_id in over:
            del self.known_by_id[upstream_id]
        return bool(over)

    def specs(self) -> dict[ids.ServiceName, list[upstreams.UpstreamSpec]]:
        """Return the upstreams that may get work, by service."""
        found: dict[ids.ServiceName, list[upstreams.UpstreamSpec]] = {}
        for known in self.known_by_id.values():
            specs = found.setdefault(known.listed.service, [])
            if known.listed.state is sources.UpstreamState.READY:
                specs.append(known.spec)
        return found

    def _many(
        self, removed: abc.Iterable[ids.UpstreamId], service: ids.ServiceName
    ) -> bool:
        vanished = sum(self.known_by_id[i].listed.service == service for i in removed)
        total = sum(k.listed.service == service for k in self.known_by_id.values())
        return vanished > LAPSED_SHARE * total
