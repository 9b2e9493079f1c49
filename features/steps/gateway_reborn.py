"""Upstreams that start again under their id, as one gateway sees them."""

import asyncio
import itertools
import typing

import msgspec

from features.steps import kernel
from features.support import captured_events, reborn_reading, store_reading
from spindlenotch import events, ids
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import shared_rate, upstreams
from spindlenotch.peers import documents


def assert_nothing_known(upstream: upstreams.Upstream) -> None:
    """Check that nothing counts of what an earlier start did."""
    now = upstream.known_since
    assert upstream.state is upstreams.State.ACTIVE, upstream.state_reason
    assert (upstream.failures_in_row, upstream.ejections_in_row) == (0, 0)
    assert upstream.failure_share.value(now) == 0.0
    assert (upstream.answers, upstream.outstanding) == (0, 0)
    assert upstream.latency_ratio.value == 1.0
    assert upstream.slowdown(now) == 1.0
    assert upstream.report == upstreams.LoadReport(0, 0)
    assert upstream.foreign_load.value == 0.0


@kernel.PROPERTIES.register("an upstream that starts again begins with nothing known")
def nothing_known() -> None:
    for how in ("failed", "slow", "ejected", "told-to-leave", "draining"):
        playing = reborn_reading.Playing()
        first = playing.upstream
        if how == "failed":
            for grant in [playing.granted() for _ in range(2)]:
                playing.finish(grant, upstreams.Result.FAILED)
        elif how == "slow":
            grant = playing.granted()
            playing.clock.advance(2.0)
            playing.finish(grant, upstreams.Result.ANSWERED)
        elif how == "ejected":
            playing.pool.eject(first, "silent", playing.clock.now())
        elif how == "told-to-leave":
            spec = first.spec
            playing.state.leave_upstream(store_reading.SERVICE, spec, "said so")
        else:
            playing.tell(state="draining")
        playing.clock.advance(0.1)
        with captured_events.capture() as seen:
            playing.start_again()
        assert playing.upstream is not first, how
        assert_nothing_known(playing.upstream)
        assert reborn_reading.NAME in playing.in_use(), how
        assert playing.upstream in playing.pool.owned, how
        (line,) = seen.of(events.Event.UPSTREAM_RESTARTED)
        assert line["upstream"] == reborn_reading.NAME
        # What changes of one start alone leaves it as it is.
        second = playing.upstream
        playing.start_again(callSeq=7, slots=4)
        assert playing.upstream is second


@kernel.PROPERTIES.register("what ran on an earlier start is judged by that alone")
def judged_apart() -> None:
    for result in (upstreams.Result.FAILED, upstreams.Result.CONNECT_FAILED):
        playing = reborn_reading.Playing()
        first = playing.upstream
        grants = [playing.granted() for _ in range(3)]
        playing.start_again()
        with captured_events.capture() as seen:
            for grant in grants:
                playing.finish(grant, result)
            playing.state.tick()
        assert not seen.of(events.Event.UPSTREAM_EJECTED)
        assert first.outstanding == 0 and playing.pool.in_flight == 0
        assert first.state is upstreams.State.LEAVING
        assert_nothing_known(playing.upstream)
    # Nor is the later one ejected for the silence of the earlier.
    playing = reborn_reading.Playing()
    grant = playing.granted()
    playing.start_again()
    playing.clock.advance(8.0)
    playing.decider.hedge(grant, playing.clock.now())
    assert_nothing_known(playing.upstream)


@kernel.PROPERTIES.register("a call sent to an earlier start goes to no later one")
def sent_once() -> None:
    for repeatable in (True, False):
        playing = reborn_reading.Playing()
        grant = playing.granted(repeatable=repeatable)
        playing.start_again()
        for name in store_reading.NAMES:
            if name != reborn_reading.NAME:
                playing.follow(store_reading.item(name, None))
        assert playing.in_use() == {reborn_reading.NAME}
        playing.finish(grant, upstreams.Result.FAILED)
        now = playing.clock.now()
        for known_not_run in (True, False):
            retry = playing.decider.retry(grant, now, known_not_run=known_not_run)
            assert retry is None, (repeatable, known_not_run)
        assert playing.decider.hedge(grant, ids.later(now, 5.0)) is None
    # What may run once goes nowhere where nobody says that it has not run.
    playing = reborn_reading.Playing()
    grant = playing.granted(repeatable=False)
    playing.start_again()
    playing.finish(grant, upstreams.Result.FAILED)
    assert playing.decider.retry(grant, playing.clock.now()) is None


@kernel.PROPERTIES.register(
    "that an earlier start leaves takes no later one out of use"
)
def late_drain() -> None:
    playing = reborn_reading.Playing()
    spec = playing.upstream.spec
    playing.start_again()
    service = store_reading.SERVICE
    assert not playing.state.leave_upstream(service, spec, "said it is draining")
    assert reborn_reading.NAME in playing.in_use()


@kernel.PROPERTIES.register("an earlier start of an upstream never comes back")
def no_way_back() -> None:
    playing, peer = reborn_reading.Playing(), reborn_reading.Playing()
    older = peer.state.listing.listed(peer.clock.now())
    peer.start_again()
    newer = peer.state.listing.listed(peer.clock.now())
    read_at = playing.store.revision
    playing.state.apply_listing(newer, read_at + 5)
    second = playing.upstream
    assert second.spec.born == reborn_reading.SECOND
    # A watch that lags behind the peer's list.
    playing.tell()
    assert playing.upstream is second
    # A whole reading that a peer's list overtook.
    by_id = {one.id: one for one in older}
    late = sources.Snapshot(read_at + 1, None, by_id)
    playing.state.apply_snapshot(late, is_stale=True)
    assert playing.upstream is second
    # An older list of a peer.
    kind = documents.DocumentKind.HOSTS
    bodies = {9_000: msgspec.json.encode(newer), 8_000: msgspec.json.encode(older)}

    async def receive() -> None:
        for version, body in bodies.items():
            document = documents.Document(kind, version, ids.Digest(""), body)
            playing.relay._receive(document)

    asyncio.run(receive())
    assert playing.upstream.spec.born == reborn_reading.SECOND
    # What is newer than the list counts again.
    playing.store.revision = 9_000
    playing.start_again(state="draining")
    assert reborn_reading.NAME not in playing.in_use()


class Overtaken:
    """A source during whose reading a peer's list of some revision comes, or none."""

    def __init__(
        self, playing: reborn_reading.Playing, peer_revision: int | None
    ) -> None:
        self.playing = playing
        self.peer_revision = peer_revision

    async def read(self) -> sources.Snapshot:
        """Return what was there before that."""
        state = self.playing.state
        by_id = {one.listed.id: one.listed for one in leases(self.playing)}
        if self.peer_revision is not None:
            born_again = msgspec.structs.replace(
                by_id[reborn_reading.NAME], born=reborn_reading.SECOND
            )
            state.apply_listing((*by_id.values(), born_again), self.peer_revision)
        return sources.Snapshot(50, None, by_id)


@kernel.PROPERTIES.register("a reading knows whether a peer's list overtook it")
def overtaken() -> None:
    for peer_revision, is_older in ((99, True), (None, False), (1, False)):
        playing = reborn_reading.Playing()
        source = typing.cast(sources.Source, Overtaken(playing, peer_revision))
        reader = playing.reader(source)
        asyncio.run(reader._read())
        assert (playing.upstream.spec.born == reborn_reading.SECOND) == is_older, (
            peer_revision
        )
        assert reader.revision == 50
    # A source that was set back counts: what is in force did not come meanwhile.
    playing = reborn_reading.Playing()
    playing.state.listing.revision = 10_000
    playing.start_again_unread()
    playing.store.revision = 5
    reader = playing.reader(playing.source)
    asyncio.run(reader._read())
    assert playing.upstream.spec.born == reborn_reading.SECOND


def leases(playing: reborn_reading.Playing) -> list[typing.Any]:
    """Return the leases that a gateway holds."""
    return list(playing.state.listing.lease_by_id.values())


@kernel.PROPERTIES.register(
    "an upstream that tells its start, or ceases to, is another"
)
def tells_start() -> None:
    silent = {"born": None}
    for before, after in (({}, silent), (silent, {}), (silent, silent), ({}, {})):
        playing = reborn_reading.Playing()
        playing.follow(
            store_reading.item(reborn_reading.NAME, reborn_reading.told(before))
        )
        first = playing.upstream
        playing.follow(
            store_reading.item(reborn_reading.NAME, reborn_reading.told(after))
        )
        assert (playing.upstream is first) == (before == after), (before, after)


@kernel.PROPERTIES.register("a peer that leaves out starts makes no upstream another")
def peers_of_earlier_releases() -> None:
    playing = reborn_reading.Playing()
    first = playing.upstream
    listed = playing.state.listing.listed(playing.clock.now())
    silent = [msgspec.structs.replace(one, born=None) for one in listed]
    playing.state.apply_listing(silent, 50)
    playing.state.apply_listing(listed, 51)
    playing.state.apply_listing(silent, 52)
    assert playing.upstream is first and first.spec.born == reborn_reading.FIRST
    again = [msgspec.structs.replace(one, born=reborn_reading.SECOND) for one in listed]
    playing.state.apply_listing(again, 53)
    assert playing.upstream is not first
    # One that was learnt of so is the same once its start is told.
    late = reborn_reading.Playing()
    for name in store_reading.NAMES:
        late.follow(store_reading.item(name, None))
    late.state.apply_listing(silent, 60)
    learnt = late.upstream
    late.state.apply_listing(listed, 61)
    assert late.upstream is learnt and learnt.spec.born == reborn_reading.FIRST


@kernel.PROPERTIES.register(
    "one that drained or vanished is used again when it is ready"
)
def used_again() -> None:
    starts = ({}, {"born": reborn_reading.SECOND}, {"born": None})
    for how, start in itertools.product(("drained", "vanished", "outage"), starts):
        for is_busy in (True, False):
            playing = reborn_reading.Playing()
            if is_busy:
                playing.granted()
            if how == "drained":
                playing.tell(state="draining")
            elif how == "outage":
                playing.state.listing.note_outage_end(playing.clock.now())
                playing.follow(
                    *(store_reading.item(n, None) for n in store_reading.NAMES)
                )
            else:
                playing.follow(store_reading.item(reborn_reading.NAME, None))
            assert (reborn_reading.NAME in playing.in_use()) == (how == "outage")
            playing.clock.advance(1.0)
            playing.follow(
                store_reading.item(
                    reborn_reading.NAME, reborn_reading.told(dict(start))
                )
            )
            assert reborn_reading.NAME in playing.in_use(), (how, start, is_busy)
            other = how != "outage" or start != {}
            assert (playing.upstream.outstanding == 0) == (other or not is_busy)


@kernel.PROPERTIES.register("an upstream that starts again is cold")
def cold_again() -> None:
    for left_s, expected_s in (
        (0.5, reborn_reading.COLD_S),
        (4.0, 4.0),
        (0.0, reborn_reading.COLD_S),
    ):
        playing = reborn_reading.Playing()
        bounded = store_reading.configuration(
            2, store_reading.SERVICE, cold_s=reborn_reading.COLD_S
        )
        playing.state.apply_configuration(bounded)
        view = shared_rate.View((playing.state.local_member,))
        playing.pool.set_rate_view(view, playing.clock.now())
        playing.clock.advance(9.0)
        assert not playing.upstream.cold.is_cold(playing.clock.now())
        playing.start_again(coldLeftS=left_s)
        now = playing.clock.now()
        cold = playing.upstream.cold
        assert cold.until == ids.later(now, expected_s), left_s
        # Its first health answer says how it is.
        playing.clock.advance(0.1)
        report = upstreams.LoadReport(0, 0, 1.0, 0.2)
        playing.pool.reported(playing.upstream, report, playing.clock.now())
        assert not cold.is_cold(ids.later(playing.clock.now(), 0.3))


@kernel.PROPERTIES.register("one that starts again in an evacuated zone is not used")
def in_evacuated_zone() -> None:
    playing = reborn_reading.Playing()
    zone = playing.state.local_member.zone
    playing.state.listing.evacuate_s = 5.0
    playing.state.apply_changes(
        sources.Changes(playing.store.revision, evacuated_zones=frozenset({zone}))
    )
    playing.start_again()
    assert reborn_reading.NAME not in playing.in_use()
    playing.state.apply_changes(
        sources.Changes(playing.store.revision, restored_zones=frozenset({zone}))
    )
    assert reborn_reading.NAME in playing.in_use()
