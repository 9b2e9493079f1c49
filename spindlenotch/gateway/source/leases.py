"""
Leases of upstreams, and whether an entry of the source is of the same upstream.

Pure. An entry with the same id but another start (``born``) is another upstream. Starts
are compared for equality only: clocks jump, so a later start may have a smaller value.
``Listing`` holds the leases and drops them.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstreams


class Lease(msgspec.Struct):
    """
    One upstream as the source lists it.

    ``drop_at`` is NEVER while it is listed, then the end of its grace period.
    ``leave_at`` is when it gets no more work because its zone is evacuated, else NEVER.
    ``is_start_known``: whoever listed it would have reported its start; gateways of
    earlier releases omit the start from the lists that they forward.
    """

    listed: sources.ListedUpstream
    spec: upstreams.UpstreamSpec
    drop_at: ids.Instant = ids.NEVER
    leave_at: ids.Instant = ids.NEVER
    is_start_known: bool = True

    def is_unchanged(self, listed: sources.ListedUpstream) -> bool:
        """Tell whether it is still listed, with an identical entry."""
        return self.drop_at == ids.NEVER and self.listed == listed

    def is_in_use(self, now: ids.Instant) -> bool:
        """Tell whether the upstream may get new work."""
        is_ready = self.listed.state is sources.UpstreamState.READY
        return is_ready and now < self.leave_at

    def is_same_start(self, listed: sources.ListedUpstream) -> bool:
        """
        Tell whether an entry and this lease are of the same start of the upstream.

        An entry that reports a start and one that does not are of different starts: the
        upstream runs other software, for which it had to restart. If a peer omitted the
        start, it is unknown and is assumed to be the same.
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
    Return the lease of a listed upstream whose previous lease is ``lease``.

    It has ``next_generation`` if the upstream is new, its state has changed or it has
    moved, which invalidates its estimates.
    """
    if lease is None:
        return Lease(
            listed, _spec(listed, next_generation, ids.later(now, listed.cold_s))
        )
    before = lease.listed
    has_state_changed = before.state is not listed.state
    has_moved = (before.service, before.zone, before.address) != (
        listed.service,
        listed.zone,
        listed.address,
    )
    generation = lease.spec.generation
    if has_state_changed or has_moved:
        generation = next_generation
    warming_up_until = ids.later(now, listed.cold_s)
    if not has_state_changed:
        # An upstream may become cold again at any time; its entry reports that.
        warming_up_until = max(warming_up_until, lease.spec.warming_up_until)
    spec = _spec(listed, generation, warming_up_until)
    return Lease(listed, spec, leave_at=lease.leave_at)


def with_known_start(
    listed: sources.ListedUpstream, lease: Lease | None
) -> sources.ListedUpstream:
    """Return a peer's entry, with the known start if the entry has none."""
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
