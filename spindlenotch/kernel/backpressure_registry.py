"""
What upstreams have said, kept beyond their entries in the list.

An entry goes while the source is away, or is written anew, and is back; what the
upstream has said holds all the same. Owns it by upstream. Pure.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import backpressure, shared_rate, upstreams

#: Seconds for which it is kept what an upstream said that is gone: its entry may be
#: back when the source is.
RETENTION_S = 600.0


class _Entry(msgspec.Struct):
    """What a start of an upstream has said, and until when that is kept."""

    born: int | None
    pressure: backpressure.Backpressure
    keep_until: ids.Instant = ids.NEVER


class BackpressureRegistry:
    """What each start of the upstreams of one service has said to ``local_host``."""

    def __init__(self, local_host: ids.HostId) -> None:
        self.local_host = local_host
        self._entry_by_id: dict[ids.UpstreamId, _Entry] = {}

    def get(self, spec: upstreams.UpstreamSpec) -> backpressure.Backpressure:
        """Return what this start of an upstream has said; nothing, where it is new."""
        entry = self._entry_by_id.get(spec.id)
        if entry is None or entry.born != spec.born:
            participant = shared_rate.Participant(spec.id, spec.zone, self.local_host)
            entry = _Entry(spec.born, backpressure.Backpressure(participant))
            self._entry_by_id[spec.id] = entry
        return entry.pressure

    def evict_expired(
        self, known: abc.Container[ids.UpstreamId], now: ids.Instant
    ) -> None:
        """Drop what upstreams said that have not been ``known`` for long."""
        for upstream_id, entry in list(self._entry_by_id.items()):
            if upstream_id in known:
                entry.keep_until = ids.NEVER
            elif entry.keep_until == ids.NEVER:
                entry.keep_until = ids.later(now, RETENTION_S)
            elif entry.keep_until <= now:
                del self._entry_by_id[upstream_id]
