"""
Backpressure signals of upstreams, kept independently of their entries in the host list.

An entry disappears while the source is unavailable or rewrites it, and returns later;
what the upstream signalled still holds then. Owns the signals by upstream. Performs no
I/O and reads no clock.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import backpressure, shared_rate, upstreams

#: Seconds for which the signals of an unlisted upstream are kept: its entry may return
#: with the source.
RETENTION_S = 600.0


class _Entry(msgspec.Struct):
    """The signals of one incarnation of an upstream, and until when they are kept."""

    born: int | None
    pressure: backpressure.Backpressure
    keep_until: ids.Instant = ids.NEVER


class BackpressureRegistry:
    """The signals to ``local_host``, by incarnation of one service's upstreams."""

    def __init__(self, local_host: ids.HostId) -> None:
        self.local_host = local_host
        self._entry_by_id: dict[ids.UpstreamId, _Entry] = {}

    def get(
        self, spec: upstreams.UpstreamSpec, now: ids.Instant
    ) -> backpressure.Backpressure:
        """
        Return the signals of this incarnation of an upstream.

        A new one may have sent those that were recorded for the earlier one.
        """
        entry = self._entry_by_id.get(spec.id)
        if entry is None or entry.born != spec.born:
            participant = shared_rate.Participant(spec.id, spec.zone, self.local_host)
            pressure = backpressure.Backpressure(participant)
            if entry is not None:
                pressure.inherit(entry.pressure, now)
            entry = _Entry(spec.born, pressure)
            self._entry_by_id[spec.id] = entry
        return entry.pressure

    def evict_expired(
        self, known: abc.Container[ids.UpstreamId], now: ids.Instant
    ) -> None:
        """Drop signals of upstreams not ``known`` for ``RETENTION_S`` seconds."""
        for upstream_id, entry in list(self._entry_by_id.items()):
            if upstream_id in known:
                entry.keep_until = ids.NEVER
            elif entry.keep_until == ids.NEVER:
                entry.keep_until = ids.later(now, RETENTION_S)
            elif entry.keep_until <= now:
                del self._entry_by_id[upstream_id]
