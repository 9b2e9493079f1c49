"""
Keeps one gateway of each zone in the source, for gateways that know no peer.

Whoever reads the source finds these discovery records with everything else, so
that a gateway whose seeds are all gone still finds the fleet, and halves of a
fleet that lost each other find each other again. The reader of a zone writes
its own address when another's stands there; that is a call to the source for
each new reader, however many gateways there are.
"""

from collections import abc

import msgspec

from spindlenotch import events, ids
from spindlenotch.gateway import state
from spindlenotch.gateway.source import sources

#: Time between two looks at the record of the zone.
LOOK_PERIOD_S = 1.0
#: How long a new reader waits before it writes: views differ while a fleet starts or
#: heals.
SETTLE_S = 3.0
#: Least time between two writes, also of two gateways that both believe to be the
#: reader.
REWRITE_S = 6.0


class DiscoveryWriter:
    """
    Keeps the discovery record of this gateway's zone up to date.

    Invariant: it writes at most once in ``REWRITE_S``, and only in place of the
    record that it has read.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        source: sources.Source,
        is_reader: abc.Callable[[], bool],
    ) -> None:
        self.state = gateway_state
        self.source = source
        self.is_reader = is_reader
        self.write_at = ids.NEVER

    async def run(self) -> None:
        """Look after the record until cancelled."""
        while True:
            await self.state.wakeups.sleep(LOOK_PERIOD_S)
            if self.due(self.state.clock.now()):
                await self.write()

    def due(self, now: ids.Instant) -> bool:
        """Tell whether this gateway has to write its record now."""
        if not self._is_wanted():
            self.write_at = ids.NEVER
            return False
        if self.write_at == ids.NEVER:
            self.write_at = ids.later(now, SETTLE_S)
        return now >= self.write_at

    async def write(self) -> None:
        """Write the own address in place of the record that was read last."""
        config = self.state.config
        self.write_at = ids.later(self.state.clock.now(), REWRITE_S)
        record = sources.DiscoveryRecord(config.zone, config.peer_listen)
        replaced = self.state.discovery_record_by_zone.get(config.zone)
        if replaced is not None:
            record = msgspec.structs.replace(record, revision=replaced.revision)
        self.state.metrics.store_calls.labels("introduce").inc()
        fault = await self.source.write_discovery_record(record)
        events.emit(
            events.Event.PEER_ADDRESS_REGISTERED,
            zone=config.zone,
            revision=record.revision,
            outcome="written" if fault is None else fault.value,
        )

    def _is_wanted(self) -> bool:
        """Tell whether this gateway reads for its zone and another's address stands."""
        gateway_state = self.state
        if not (
            gateway_state.ready and gateway_state.reads_source and self.is_reader()
        ):
            return False
        record = gateway_state.discovery_record_by_zone.get(gateway_state.config.zone)
        return record is None or record.peer_address != gateway_state.config.peer_listen
