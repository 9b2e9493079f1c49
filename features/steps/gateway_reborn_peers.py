"""What others say of an upstream that has started again: peers, probes, connections."""

import asyncio
import functools
import typing

from features.steps import kernel
from features.support import platform_worker, reborn_reading, store_reading
from spindlenotch import ids, ports
from spindlenotch.drivers import upstream_http
from spindlenotch.gateway.cluster import fleet as fleets, load_exchange, prober
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstreams
from spindlenotch.peers import messages, workload
from spindlenotch_platform import http_dialect


@kernel.PROPERTIES.register("what peers report of another start is not taken in")
def peers_reports() -> None:
    cases = (
        # The start here, the one told, when it was told, whether it counts.
        (reborn_reading.SECOND, reborn_reading.FIRST, 0.1, False),
        (reborn_reading.SECOND, reborn_reading.SECOND, 0.1, True),
        (reborn_reading.SECOND, None, 0.1, True),
        (reborn_reading.SECOND, None, 0.9, False),
        (None, reborn_reading.FIRST, 0.1, True),
        (None, reborn_reading.FIRST, 0.9, False),
        (None, None, 0.1, True),
    )
    for here, there, ago_s, counts in cases:
        playing = reborn_reading.Playing()
        playing.follow(
            store_reading.item(reborn_reading.NAME, reborn_reading.told({"born": here}))
        )
        playing.clock.advance(0.5)
        record = workload.LoadRecord(
            reborn_reading.NAME,
            3,
            3,
            7.0,
            ago_s,
            cold_s=2.0,
            cold_age_s=ago_s,
            born=there,
        )
        message = messages.Message(playing.state.gossip.local, 1, loads=(record,))
        sharing = load_exchange.LoadExchange(
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
    playing = reborn_reading.Playing()
    sent = load_exchange._record(playing.upstream, playing.clock.now())
    assert sent.born == reborn_reading.FIRST


@kernel.PROPERTIES.register("probes of an earlier start end with it")
def probes_end() -> None:
    async def check() -> None:
        playing = reborn_reading.Playing()
        port = SilentPort()
        asking = prober.Prober(
            playing.state,
            fleets.Fleet(playing.state),
            typing.cast(ports.UpstreamPort, port),
        )
        asking._reconcile_tasks()
        tasks = dict(asking.task_by_id)
        assert reborn_reading.NAME in tasks
        playing.start_again()
        asking._reconcile_tasks()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert tasks[reborn_reading.NAME].cancelled()
        assert not tasks[ids.UpstreamId("u2")].done()
        assert asking.task_by_id[reborn_reading.NAME] is not tasks[reborn_reading.NAME]
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
        playing = reborn_reading.Playing()
        ended: list[ids.UpstreamId] = []
        playing.state.add_end_listener(functools.partial(note_end, ended))
        match change:
            case "starts again":
                playing.start_again()
            case "vanishes":
                playing.follow(store_reading.item(reborn_reading.NAME, None))
            case "odd":
                playing.follow(store_reading.item(reborn_reading.NAME, b"odd"))
            case _:
                playing.tell(state="draining")
        assert ended == ([] if change == "drains" else [reborn_reading.NAME]), change
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
