"""
Puts one gateway of each zone where those that know no peer look: the source.

Whoever reads the source finds the introductions with everything else, so that
a gateway whose seeds are all gone still meets the fleet, and halves of a fleet
that lost each other meet again. The reader of a zone writes its own address
when another's stands there; that is a call to the source for each new reader,
however many gateways there are.
"""

import asyncio
import dataclasses
from collections import abc

from spindlenotch import events, ids
from spindlenotch.gateway import sources, state as states

LOOK_S = 1.0
#: A new reader waits this long: views differ while a fleet starts or heals.
SETTLED_S = 3.0
#: Two that both take themselves for the reader write no more often than this.
AGAIN_S = 6.0


class Introducer:
    """
    Keeps the introduction of this gateway's zone up to date.

    Invariant: it writes at most once in ``AGAIN_S``, and only in place of the
    introduction that it has read.
    """

    def __init__(
        self,
        state: states.GatewayState,
        source: sources.Source,
        is_reader: abc.Callable[[], bool],
    ) -> None:
        self.state = state
        self.source = source
        self.is_reader = is_reader
        self.write_at = ids.NEVER

    async def run(self) -> None:
        """Look after the introduction until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S * self.state.rng.uniform(0.9, 1.1))
            if self.due(self.state.clock.now()):
                await self._introduce()

    def due(self, now: ids.Instant) -> bool:
        """Tell whether this gateway has to write its introduction now."""
        state = self.state
        if not (state.ready and state.reads_source and self.is_reader()):
            self.write_at = ids.NEVER
            return False
        standing = state.introduction_by_zone.get(state.config.zone)
        if standing is not None and standing.peer_address == state.config.peer_listen:
            self.write_at = ids.NEVER
            return False
        if self.write_at == ids.NEVER:
            self.write_at = ids.later(now, SETTLED_S)
        return now >= self.write_at

    async def _introduce(self) -> None:
        config = self.state.config
        self.write_at = ids.later(self.state.clock.now(), AGAIN_S)
        standing = self.state.introduction_by_zone.get(config.zone)
        mine = sources.Introduction(config.zone, config.peer_listen)
        if standing is not None:
            mine = dataclasses.replace(mine, revision=standing.revision)
        self.state.metrics.store_calls.labels("introduce").inc()
        fault = await self.source.introduce(mine)
        events.emit(
            events.Event.INTRODUCED,
            zone=config.zone,
            revision=mine.revision,
            outcome="written" if fault is None else fault.value,
        )
