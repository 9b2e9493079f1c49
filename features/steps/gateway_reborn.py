"""Upstreams that start again under their id, as one gateway sees them."""

import asyncio
import functools
import itertools
import typing

import msgspec

from features.steps import kernel
from features.support import captured_events, platform_worker, store_reading
from spindlenotch import events, ids, ports
from spindlenotch.decisions import verdicts
from spindlenotch.drivers import upstream_http
from spindlenotch.gateway.cluster import fleet as fleets, load_sharing, prober
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstreams
from spindlenotch.peers import documents, messages, workload
from spindlenotch_platform import http_dialect

NAME = ids.UpstreamId("u1")
FIRST = 1_700_000_000_002
#: A start that is later, by a clock that was set back meanwhile.
SECOND = 1_600_000_000_001
COLD_S = 3.0


class Playing(store_reading.Reading):
    """A gateway whose upstreams tell ``FIRST`` as their start."""

    def __init__(self) -> None:
        super().__init__()
        self.decider = self.state.balancer_by_service[store_reading.SERVICE]
        self.pool = self.decider.pool
        self.numbers = itertools.count()

    @property
    def upstream(self) -> upstreams.Upstream:
        """Return the upstream that starts again."""
        return self.pool.upstream_by_id[NAME]

    def tell(self, name: str = NAME, **changes: typing.Any) -> None:
        """Take in a new entry of an upstream."""
        self.follow(store_reading.item(name, store_reading.entry(**changes)))

    def start_again(self, **changes: typing.Any) -> None:
        """Let it start again under its id."""
        self.tell(**{"born": SECOND, "callSeq": 0, **changes})

    def start_again_unread(self) -> None:
        """Let it start again; the store holds that and nobody has read it."""
        by_name = {n: store_reading.entry() for n in store_reading.NAMES}
        by_name[NAME] = store_reading.entry(born=SECOND)
        self.store.items = tuple(store_reading.item(n, e) for n, e in by_name.items())

    def granted(self, *, repeatable: bool = True) -> verdicts.Grant:
        """Return a call's grant for that upstream."""
        now = self.clock.now()
        call = msgspec.structs.replace(
            kernel.call(0),
            repeatable=repeatable,
            id=ids.CallId(f"call-{next(self.numbers)}"),
            deadline=ids.later(now, 9.0),
        )
        others = set(self.pool.upstream_by_id) - {NAME}
        self.decider.tried_by_call[call.id] = others
        grant = self.decider.offer(call, now)
        assert isinstance(grant, verdicts.Grant), grant
        assert grant.upstream is self.upstream
        # It was sent to none of those.
        self.decider.tried_by_call[call.id] = {NAME}
        return grant

    def finish(self, grant: verdicts.Grant, result: upstreams.Result) -> None:
        """Let a call end."""
        report = upstreams.LoadReport(3, 3, 7.0)
        self.decider.finish(grant, result, report, self.clock.now())


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
        playing = Playing()
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
        assert NAME in playing.in_use(), how
        assert playing.upstream in playing.pool.owned, how
        (line,) = seen.of(events.Event.UPSTREAM_RESTARTED)
        assert line["upstream"] == NAME
        # What changes of one start alone leaves it as it is.
        second = playing.upstream
        playing.start_again(callSeq=7, slots=4)
        assert playing.upstream is second


@kernel.PROPERTIES.register("what ran on an earlier start is judged by that alone")
def judged_apart() -> None:
    for result in (upstreams.Result.FAILED, upstreams.Result.CONNECT_FAILED):
        playing = Playing()
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
    playing = Playing()
    grant = playing.granted()
    playing.start_again()
    playing.clock.advance(8.0)
    playing.decider.hedge(grant, playing.clock.now())
    assert_nothing_known(playing.upstream)


@kernel.PROPERTIES.register("a call sent to an earlier start goes to no later one")
def sent_once() -> None:
    for repeatable in (True, False):
        playing = Playing()
        grant = playing.granted(repeatable=repeatable)
        playing.start_again()
        for name in store_reading.NAMES:
            if name != NAME:
                playing.follow(store_reading.item(name, None))
        assert playing.in_use() == {NAME}
        playing.finish(grant, upstreams.Result.FAILED)
        now = playing.clock.now()
        for known_not_run in (True, False):
            retry = playing.decider.retry(grant, now, known_not_run=known_not_run)
            assert retry is None, (repeatable, known_not_run)
        assert playing.decider.hedge(grant, ids.later(now, 5.0)) is None
    # What may run once goes nowhere where nobody says that it has not run.
    playing = Playing()
    grant = playing.granted(repeatable=False)
    playing.start_again()
    playing.finish(grant, upstreams.Result.FAILED)
    assert playing.decider.retry(grant, playing.clock.now()) is None


@kernel.PROPERTIES.register(
    "that an earlier start leaves takes no later one out of use"
)
def late_drain() -> None:
    playing = Playing()
    spec = playing.upstream.spec
    playing.start_again()
    service = store_reading.SERVICE
    assert not playing.state.leave_upstream(service, spec, "said it is draining")
    assert NAME in playing.in_use()


@kernel.PROPERTIES.register("an earlier start of an upstream never comes back")
def no_way_back() -> None:
    playing, peer = Playing(), Playing()
    older = peer.state.listing.listed(peer.clock.now())
    peer.start_again()
    newer = peer.state.listing.listed(peer.clock.now())
    read_at = playing.store.revision
    playing.state.apply_listing(newer, read_at + 5)
    second = playing.upstream
    assert second.spec.born == SECOND
    # A watch that lags behind the peer's list.
    playing.tell()
    assert playing.upstream is second
    # A whole reading that a peer's list overtook.
    by_id = {one.id: one for one in older}
    late = sources.Snapshot(read_at + 1, None, by_id)
    playing.state.apply_snapshot(late, is_overtaken=True)
    assert playing.upstream is second
    # An older list of a peer.
    kind = documents.DocumentKind.HOSTS
    bodies = {9_000: msgspec.json.encode(newer), 8_000: msgspec.json.encode(older)}

    async def receive() -> None:
        for version, body in bodies.items():
            document = documents.Document(kind, version, ids.Digest(""), body)
            playing.relay._receive(document)

    asyncio.run(receive())
    assert playing.upstream.spec.born == SECOND
    # What is newer than the list counts again.
    playing.store.revision = 9_000
    playing.start_again(state="draining")
    assert NAME not in playing.in_use()


class Overtaken:
    """A source during whose reading a peer's list of some revision comes, or none."""

    def __init__(self, playing: Playing, peer_revision: int | None) -> None:
        self.playing = playing
        self.peer_revision = peer_revision

    async def read(self) -> sources.Snapshot:
        """Return what was there before that."""
        state = self.playing.state
        by_id = {one.listed.id: one.listed for one in leases(self.playing)}
        if self.peer_revision is not None:
            born_again = msgspec.structs.replace(by_id[NAME], born=SECOND)
            state.apply_listing((*by_id.values(), born_again), self.peer_revision)
        return sources.Snapshot(50, None, by_id)


@kernel.PROPERTIES.register("a reading knows whether a peer's list overtook it")
def overtaken() -> None:
    for peer_revision, is_older in ((99, True), (None, False), (1, False)):
        playing = Playing()
        source = typing.cast(sources.Source, Overtaken(playing, peer_revision))
        reader = playing.reader(source)
        asyncio.run(reader._read())
        assert (playing.upstream.spec.born == SECOND) == is_older, peer_revision
        assert reader.revision == 50
    # A source that was set back counts: what is in force did not come meanwhile.
    playing = Playing()
    playing.state.listing.revision = 10_000
    playing.start_again_unread()
    playing.store.revision = 5
    reader = playing.reader(playing.source)
    asyncio.run(reader._read())
    assert playing.upstream.spec.born == SECOND


def leases(playing: Playing) -> list[typing.Any]:
    """Return the leases that a gateway holds."""
    return list(playing.state.listing.lease_by_id.values())


@kernel.PROPERTIES.register(
    "an upstream that tells its start, or ceases to, is another"
)
def tells_start() -> None:
    silent = {"born": None}
    for before, after in (({}, silent), (silent, {}), (silent, silent), ({}, {})):
        playing = Playing()
        playing.follow(store_reading.item(NAME, told(before)))
        first = playing.upstream
        playing.follow(store_reading.item(NAME, told(after)))
        assert (playing.upstream is first) == (before == after), (before, after)


def told(changes: dict[str, typing.Any]) -> store_reading.Plain:
    """Return an entry without the fields that are changed to None."""
    plain = store_reading.entry(**changes)
    return {name: value for name, value in plain.items() if value is not None}


@kernel.PROPERTIES.register("a peer that leaves out starts makes no upstream another")
def peers_of_earlier_releases() -> None:
    playing = Playing()
    first = playing.upstream
    listed = playing.state.listing.listed(playing.clock.now())
    silent = [msgspec.structs.replace(one, born=None) for one in listed]
    playing.state.apply_listing(silent, 50)
    playing.state.apply_listing(listed, 51)
    playing.state.apply_listing(silent, 52)
    assert playing.upstream is first and first.spec.born == FIRST
    again = [msgspec.structs.replace(one, born=SECOND) for one in listed]
    playing.state.apply_listing(again, 53)
    assert playing.upstream is not first
    # One that was learnt of so is the same once its start is told.
    late = Playing()
    for name in store_reading.NAMES:
        late.follow(store_reading.item(name, None))
    late.state.apply_listing(silent, 60)
    learnt = late.upstream
    late.state.apply_listing(listed, 61)
    assert late.upstream is learnt and learnt.spec.born == FIRST


@kernel.PROPERTIES.register(
    "one that drained or vanished is used again when it is ready"
)
def used_again() -> None:
    starts = ({}, {"born": SECOND}, {"born": None})
    for how, start in itertools.product(("drained", "vanished", "outage"), starts):
        for is_busy in (True, False):
            playing = Playing()
            if is_busy:
                playing.granted()
            if how == "drained":
                playing.tell(state="draining")
            elif how == "outage":
                playing.state.listing.note_fault(playing.clock.now())
                playing.follow(
                    *(store_reading.item(n, None) for n in store_reading.NAMES)
                )
            else:
                playing.follow(store_reading.item(NAME, None))
            assert (NAME in playing.in_use()) == (how == "outage")
            playing.clock.advance(1.0)
            playing.follow(store_reading.item(NAME, told(dict(start))))
            assert NAME in playing.in_use(), (how, start, is_busy)
            other = how != "outage" or start != {}
            assert (playing.upstream.outstanding == 0) == (other or not is_busy)


@kernel.PROPERTIES.register("an upstream that starts again is cold")
def cold_again() -> None:
    for left_s, expected_s in ((0.5, COLD_S), (4.0, 4.0), (0.0, COLD_S)):
        playing = Playing()
        bounded = store_reading.configuration(2, store_reading.SERVICE, cold_s=COLD_S)
        playing.state.apply_configuration(bounded)
        playing.pool.set_cold_senders((playing.state.config.host,), playing.clock.now())
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
    playing = Playing()
    zone = playing.state.local_member.zone
    playing.state.listing.evacuate_s = 5.0
    playing.state.apply_changes(
        sources.Changes(playing.store.revision, evacuated_zones=frozenset({zone}))
    )
    playing.start_again()
    assert NAME not in playing.in_use()
    playing.state.apply_changes(
        sources.Changes(playing.store.revision, restored_zones=frozenset({zone}))
    )
    assert NAME in playing.in_use()


@kernel.PROPERTIES.register("what peers report of another start is not taken in")
def peers_reports() -> None:
    cases = (
        # The start here, the one told, when it was told, whether it counts.
        (SECOND, FIRST, 0.1, False),
        (SECOND, SECOND, 0.1, True),
        (SECOND, None, 0.1, True),
        (SECOND, None, 0.9, False),
        (None, FIRST, 0.1, True),
        (None, FIRST, 0.9, False),
        (None, None, 0.1, True),
    )
    for here, there, ago_s, counts in cases:
        playing = Playing()
        playing.follow(store_reading.item(NAME, told({"born": here})))
        playing.clock.advance(0.5)
        record = workload.LoadRecord(
            NAME, 3, 3, 7.0, ago_s, cold_s=2.0, cold_age_s=ago_s, born=there
        )
        message = messages.Message(playing.state.gossip.local, 1, loads=(record,))
        sharing = load_sharing.LoadSharing(
            playing.state, playing.relay.fleet, playing.relay.link, ()
        )
        handled = playing.state.gossip.handle(message, playing.clock.now())
        sharing.message_received(message, handled)
        case = (here, there, ago_s)
        assert (playing.upstream.report.running == 3) == counts, case
        assert (
            playing.upstream.cold.is_cold(ids.later(playing.clock.now(), 1.0)) == counts
        )
    # What this gateway sends says of which start it is.
    playing = Playing()
    sent = load_sharing._record(playing.upstream, playing.clock.now())
    assert sent.born == FIRST


@kernel.PROPERTIES.register("probes of an earlier start end with it")
def probes_end() -> None:
    async def check() -> None:
        playing = Playing()
        port = SilentPort()
        asking = prober.Prober(
            playing.state,
            fleets.Fleet(playing.state),
            typing.cast(ports.UpstreamPort, port),
        )
        asking._match_tasks()
        tasks = dict(asking.task_by_id)
        assert NAME in tasks
        playing.start_again()
        asking._match_tasks()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert tasks[NAME].cancelled()
        assert not tasks[ids.UpstreamId("u2")].done()
        assert asking.task_by_id[NAME] is not tasks[NAME]
        for task in asking.task_by_id.values():
            task.cancel()

    asyncio.run(check())


class SilentPort:
    """Answers no probe."""

    async def probe(self, *asked: object) -> ports.UpstreamFault:
        """Take for ever."""
        await asyncio.sleep(3600)
        return ports.UpstreamFault.CONNECTION_LOST


@kernel.PROPERTIES.register("connections kept to an upstream that is gone are closed")
def kept_connections() -> None:
    for change in ("starts again", "vanishes", "odd", "drains"):
        playing = Playing()
        ended: list[ids.UpstreamId] = []
        playing.state.add_end_listener(functools.partial(note_end, ended))
        match change:
            case "starts again":
                playing.start_again()
            case "vanishes":
                playing.follow(store_reading.item(NAME, None))
            case "odd":
                playing.follow(store_reading.item(NAME, b"odd"))
            case _:
                playing.tell(state="draining")
        assert ended == ([] if change == "drains" else [NAME]), change
    asyncio.run(closes_kept())


def note_end(ended: list[ids.UpstreamId], one: sources.ListedUpstream) -> None:
    """Note that an upstream is gone."""
    ended.append(one.id)


async def closes_kept() -> None:
    """Check which connections the port closes."""
    port = upstream_http.HttpUpstreamPort(http_dialect.platform().upstream)
    workers = [platform_worker.PlatformWorker(f"w{n}") for n in range(2)]
    for worker in workers:
        await worker.start()
    try:
        port.close_idle(ids.Address(workers[0].address))
        for _ in range(3):
            for worker in workers:
                await port.probe(ids.Address(worker.address), 1.0)
        assert [worker.accepted for worker in workers] == [1, 1]
        port.close_idle(ids.Address(workers[0].address))
        await asyncio.sleep(0.05)
        assert [worker.connected for worker in workers] == [0, 1]
        for worker in workers:
            report = await port.probe(ids.Address(worker.address), 1.0)
            assert isinstance(report, upstreams.LoadReport), report
        assert [worker.accepted for worker in workers] == [2, 1]
    finally:
        await port.close()
        for worker in workers:
            await worker.close()
