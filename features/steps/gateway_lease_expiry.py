"""Properties of leases that vanish after faults and outages of the source."""

import asyncio
import time
import typing
from unittest import mock

from features.steps import kernel
from features.support import store_reading
from spindlenotch import ids
from spindlenotch.gateway.source import (
    lease_expiry,
    reader_duty,
    source_reader,
    sources,
)

#: Half of the upstreams.
GONE = ("u0", "u1")
LEFT = {"u2", "u3"}
#: Longest time from a response until a watch that was cut has been repeated.
CUT_WATCH_S = reader_duty.FOLLOW_TIMEOUT_S + source_reader.BATCH_WINDOW_S + 0.25
#: Shortest outage in which a lease expires that is renewed each 1.5 s and lasts for
#: three renewals.
SHORTEST_OUTAGE_S = 3.0
#: Longest time for which an upstream may get requests once the source, which was sound
#: for a while, has dropped it; and the time for which it counts as unsound before.
DRAIN_S = 2.0
UNSOUND_S = 3.0


class FaultySource:
    """A source of which calls fail while ``is_failing``."""

    def __init__(self, source: sources.Source) -> None:
        self.source = source
        self.is_failing = False
        self.waits_s: list[float] = []

    async def read(self) -> sources.Snapshot | sources.SourceFault:
        """Return a snapshot, or a fault."""
        if self.is_failing:
            return sources.SourceFault.UNAVAILABLE
        return await self.source.read()

    async def follow(
        self, after: int, wait_s: float
    ) -> sources.Changes | sources.SourceFault:
        """Return the changes, or a fault."""
        self.waits_s.append(wait_s)
        if self.is_failing:
            return sources.SourceFault.UNAVAILABLE
        return await self.source.follow(after, wait_s)


class Play:
    """A gateway whose reader follows a source that fails for a while."""

    def __init__(self) -> None:
        self.reading = store_reading.Reading()
        self.source = FaultySource(self.reading.source)
        self.reader = self.reading.reader(typing.cast(sources.Source, self.source))
        self.call(
            *(
                store_reading.item(n, store_reading.entry())
                for n in ["u0", "u1", "u2", "u3"]
            )
        )
        self.call()

    def call(self, *items: typing.Any) -> None:
        """Make one call to the source, which returns ``items``."""
        self.reading.store.items = items
        self.reading.store.revision += 1
        asyncio.run(self.reader._read_or_wait())

    def fail(self, silent_s: float) -> None:
        """Let one call fail, so that the next response comes after ``silent_s``."""
        self.source.is_failing = True
        asyncio.run(self.reader._read_or_wait())
        self.source.is_failing = False
        self.reading.clock.advance(silent_s)

    def drop(self) -> None:
        """Follow the source while it drops half of the upstreams."""
        self.call(*(store_reading.item(name, None) for name in GONE))

    def in_use(self) -> set[str]:
        """Return the upstreams in use, after a tick."""
        self.reading.state.tick()
        return self.reading.in_use()


# Guards against leavers that kept their work for 2.2 s after one cut watch.
@kernel.PROPERTIES.register("a watch that was cut is no outage of the source")
def cut_watch() -> None:
    for silent_s in (0.0, 1.0, CUT_WATCH_S):
        play = Play()
        play.fail(silent_s)
        play.drop()
        assert play.in_use() == LEFT, silent_s


# Guards against a watch after a failed one that responded only with the next change, so
# that the time without a response was taken for an outage.
@kernel.PROPERTIES.register("the first watch after a failed one waits for no change")
def short_check() -> None:
    with mock.patch.object(time, "time", return_value=0.0):
        play = Play()
        play.fail(0.2)
        play.call()
        play.call()
    failed_s, first_s, second_s = play.source.waits_s[-3:]
    assert first_s <= 0.1 < second_s == failed_s


@kernel.PROPERTIES.register("leases that expire in an outage are kept for a while")
def kept_after_outage() -> None:
    for silent_s in (SHORTEST_OUTAGE_S, 10.0):
        play = Play()
        play.fail(silent_s)
        play.drop()
        assert play.in_use() == LEFT | set(GONE), silent_s
        play.reading.clock.advance(lease_expiry.GRACE_S)
        assert play.in_use() == LEFT, silent_s


# Guards against a grace period that began anew with each lease that vanished.
@kernel.PROPERTIES.register("the grace after an outage counts from its end")
def counted_from_end() -> None:
    for vanish_s in (0.0, 0.5, 1.9, 2.5, UNSOUND_S, 5.0):
        play = Play()
        play.fail(SHORTEST_OUTAGE_S)
        play.call()
        play.reading.clock.advance(vanish_s)
        play.drop()
        is_kept = vanish_s < lease_expiry.GRACE_S
        assert (play.in_use() != LEFT) is is_kept, vanish_s
        play.reading.clock.advance(max(0.0, lease_expiry.GRACE_S - vanish_s) + 0.01)
        assert play.in_use() == LEFT, vanish_s
    assert lease_expiry.GRACE_S < UNSOUND_S + DRAIN_S


@kernel.PROPERTIES.register("a new reader whose call fails takes it for an outage")
def new_reader() -> None:
    play = Play()
    play.reader = play.reading.reader(typing.cast(sources.Source, play.source))
    play.fail(0.5)
    play.call(*(store_reading.item(n, store_reading.entry()) for n in sorted(LEFT)))
    assert play.in_use() == LEFT | set(GONE)
    assert play.reading.state.listing.lease_by_id[ids.UpstreamId("u0")].drop_at == (
        ids.later(play.reading.clock.now(), lease_expiry.GRACE_S)
    )
