"""
What one entry of the source means for its upstream: the same one, or another.

Pure. The same id is another upstream where it tells another start (``born``). Starts
are compared for being equal only: clocks jump, so the later one need not be the larger
number. ``Listing`` holds the leases and drops them.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstreams


class Lease(msgspec.Struct):
    """
    One upstream as the source lists it.

    ``drop_at`` is NEVER while it is listed; else the end of its grace. ``leave_at``
    is NEVER unless its zone is evacuated. ``is_start_known``: what lists it would
    have told its start; gateways of earlier releases leave that out of what they
    pass on.
    """

    listed: sources.ListedUpstream
    spec: upstreams.UpstreamSpec
    drop_at: ids.Instant = ids.NEVER
    leave_at: ids.Instant = ids.NEVER
    is_start_known: bool = True

    def is_unchanged(self, listed: sources.ListedUpstream) -> bool:
        """Tell whether it is still listed, and in the same words."""
        return self.drop_at == ids.NEVER and self.listed == listed

    def is_in_use(self, now: ids.Instant) -> bool:
        """Tell whether the upstream may get new work."""
        is_ready = self.listed.state is sources.UpstreamState.READY
        return is_ready and now < self.leave_at

    def is_same_start(self, listed: sources.ListedUpstream) -> bool:
        """
        Tell whether an entry is of the start that this lease is of.

        One that tells its start and one that tells none differ: who begins or ceases
        to tell it runs other software, and has started for that. Where a peer left
        the start out, nothing is known of it, and it is taken for the same.
        """
        if self.listed.born is None and not self.is_start_known:
            return True
        return self.listed.born == listed.born


def renewed(
    lease: Lease | None,
    listed: sources.ListedUpstream,
    now: ids.Instant,
    next_generation: int,
) -> Lease:
    """
    Return the lease of a listed upstream that held ``lease`` before.

    It has ``next_generation`` where it begins anew: its estimates count no longer.
    """
    if lease is None:
        return Lease(
            listed, _spec(listed, next_generation, ids.later(now, listed.cold_s))
        )
    before = lease.listed
    restarted = before.state is not listed.state
    moved = (before.service, before.zone, before.address) != (
        listed.service,
        listed.zone,
        listed.address,
    )
    generation = lease.spec.generation
    if restarted or moved:
        generation = next_generation
    warming_up_until = ids.later(now, listed.cold_s)
    if not restarted:
        # It may become cold again at any time, and tells that in its record.
        warming_up_until = max(warming_up_until, lease.spec.warming_up_until)
    spec = _spec(listed, generation, warming_up_until)
    return Lease(listed, spec, leave_at=lease.leave_at)


def with_known_start(
    listed: sources.ListedUpstream, lease: Lease | None
) -> sources.ListedUpstream:
    """Return an entry of a peer's list, with the known start where it tells none."""
    if lease is None or listed.born is not None:
        return listed
    return msgspec.structs.replace(listed, born=lease.listed.born)


def _spec(
    listed: sources.ListedUpstream, generation: int, warming_up_until: ids.Instant
) -> upstreams.UpstreamSpec:
    return upstreams.UpstreamSpec(
        id=listed.id,
        zone=listed.zone,
        address=listed.address,
        generation=generation,
        slots=listed.slots,
        warming_up_until=warming_up_until,
        born=listed.born,
        version=listed.version,
    )
