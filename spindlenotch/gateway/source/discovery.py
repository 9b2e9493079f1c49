"""
Publishes the address of one gateway of each zone in the source, for peer discovery.

Every gateway that reads the source gets these discovery records. With them a gateway
whose seeds are all gone still finds the fleet, and the parts of a partitioned fleet
find each other again. The reader of a zone writes its own address if the record has
another one; that is one call to the source for each new reader, whatever the size of
the fleet.
"""

from collections import abc

import msgspec

from spindlenotch import events, ids
from spindlenotch.gateway import state
from spindlenotch.gateway.source import sources

#: Seconds between checks of the zone's record.
CHECK_PERIOD_S = 1.0
#: Seconds that a new reader waits before it writes: gateways disagree on the reader
#: while a fleet starts or a partition heals.
WRITE_DELAY_S = 3.0
#: Minimum time between two writes in seconds; also limits the writes of two gateways
#: that both consider themselves the reader.
MIN_WRITE_INTERVAL_S = 6.0


class DiscoveryWriter:
    """
    Keeps the discovery record of this gateway's zone up to date.

    Invariant: it writes at most once per ``MIN_WRITE_INTERVAL_S``, and only replaces
    the record that it has read.
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
        """Check the record periodically and write it if needed, until cancelled."""
        while True:
            await self.state.wakeups.sleep(CHECK_PERIOD_S)
            if self.due(self.state.clock.now()):
                await self.write()

    def due(self, now: ids.Instant) -> bool:
        """Tell whether this gateway has to write its record now."""
        if not self._is_write_needed():
            self.write_at = ids.NEVER
            return False
        if self.write_at == ids.NEVER:
            self.write_at = ids.later(now, WRITE_DELAY_S)
        return now >= self.write_at

    async def write(self) -> None:
        """Replace the record that was read last by this gateway's address."""
        config = self.state.config
        self.write_at = ids.later(self.state.clock.now(), MIN_WRITE_INTERVAL_S)
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

    def _is_write_needed(self) -> bool:
        """Tell whether this gateway is the zone's reader but not in its record."""
        gateway_state = self.state
        if not (
            gateway_state.ready and gateway_state.reads_source and self.is_reader()
        ):
            return False
        record = gateway_state.discovery_record_by_zone.get(gateway_state.config.zone)
        return record is None or record.peer_address != gateway_state.config.peer_listen
