"""Steps on gateways that are cut off from all workers."""

import asyncio
import collections
import re
import typing

import behave

from features.support import (
    isolation_play,
    platform_context,
    platform_fleet,
    steady_callers,
    upstream_cuts,
)

#: Timeout of a route, in seconds.
TIMEOUT_S = 1.0
RATE = 180.0
#: Seconds until a gateway has noticed that it is cut off, and after which a worker must
#: have stopped working for a caller that has left.
SETTLE_S, STOPPED_WITHIN_S = 3.0, 0.5
LEFT_ID = "left"
#: Isolation begins and ends, check of links, ejection and trial, refusal, crash,
#: handover.
TOLD_EVENTS = (306, 307, 308, 401, 407, 601, 606, 614)
WIRE_BY_KIND = {
    isolation_play.Kind.READ: "safe",
    isolation_play.Kind.BOOKING: "unsafe",
    isolation_play.Kind.UPLOAD: "upload",
    isolation_play.Kind.LONG_UPLOAD: "upload",
    isolation_play.Kind.SIDE_BOOKING: "unsafe",
}
#: Requests a second that a gateway may hand over to find out whether others reach the
#: upstreams of a service.
TRIALS_PER_S = 1.0
#: Requests a second, fewer than in the other scenarios: uploads take the callers' and
#: the workers' process more time.
UPLOAD_RATE = 120.0
#: Share of requests that must be served then.
RECOVERED_SHARE = 0.9

run = platform_context.run
fleet_of = platform_context.fleet_of


def play_of(context: typing.Any) -> isolation_play.IsolationPlay:
    """Return the scenario's play."""
    return typing.cast(isolation_play.IsolationPlay, context.play)


@behave.given(
    "{workers:d} workers and {gateways:d} gateways with addresses of their own"
)
def start_fleet(context: typing.Any, workers: int, gateways: int) -> None:
    fleet = fleet_of(context)
    fleet.program_by_node = {
        f"node-{number}": isolation_play.OWN_ADDRESS_PROGRAM
        for number in range(1, gateways + 1)
    }
    context.play = isolation_play.IsolationPlay(fleet)
    context.warm_up_s = 0.0
    context.play.rate = RATE
    run(context, steady_callers.start(fleet, workers, gateways, TIMEOUT_S))
    configure(fleet, version=5, max_attempts=2)


def configure(
    fleet: platform_fleet.PlatformFleet, *, version: int, max_attempts: int
) -> None:
    """Write a configuration with a route for each kind of request."""
    routes = [
        platform_fleet.route(
            kind.value,
            f"/{kind.value}/",
            wire,
            timeoutS=TIMEOUT_S,
            maxAttempts=max_attempts,
            service=service_of(kind),
        )
        for kind, wire in WIRE_BY_KIND.items()
    ]
    services = (steady_callers.SERVICE, isolation_play.SIDE_SERVICE)
    changed = platform_fleet.configuration(version, routes, services)
    changed["limits"]["maxBodyBytes"] = 2 * isolation_play.LONG_UPLOAD_BYTES
    fleet.store.put("op/config", changed)


def service_of(kind: isolation_play.Kind) -> str:
    """Return the service that runs requests of a kind."""
    if kind is isolation_play.Kind.SIDE_BOOKING:
        return isolation_play.SIDE_SERVICE
    return steady_callers.SERVICE


@behave.given(
    "callers send requests to another service with {workers:d} workers too,"
    " for {seconds:g} s before the cut"
)
def send_to_two_services(context: typing.Any, workers: int, seconds: float) -> None:
    play, fleet = play_of(context), fleet_of(context)
    play.kinds = isolation_play.TWO_SERVICES
    play.rate = UPLOAD_RATE
    context.warm_up_s = seconds
    configure(fleet, version=6, max_attempts=4)

    async def add() -> None:
        for number in range(workers):
            zone = platform_fleet.ZONES[number % len(platform_fleet.ZONES)]
            name = f"side-{number}"
            worker = await fleet.add_worker(name, isolation_play.SIDE_SERVICE, zone)
            worker.work_s, worker.slots = steady_callers.WORK_S, steady_callers.SLOTS
            play.side_workers.append(name)

    run(context, add())


@behave.when('"{who}" start again while they are cut off, by "{how}"')
def restart_cut_off(context: typing.Any, who: str, how: str) -> None:
    play = play_of(context)

    async def trouble() -> None:
        await asyncio.sleep(context.warm_up_s)
        await play.cut_and_restart(chosen(play, who), upstream_cuts.How(how))

    run(context, play.play(trouble()))


@behave.when('"{who}" can open no new connection to one service')
def cut_off_from_core(context: typing.Any, who: str) -> None:
    play = play_of(context)

    async def trouble() -> None:
        await asyncio.sleep(context.warm_up_s)
        await play.cut_from_core(chosen(play, who))

    run(context, play.play(trouble()))


@behave.when("all workers of one service end, and start again later")
def end_core(context: typing.Any) -> None:
    play = play_of(context)

    async def trouble() -> None:
        await asyncio.sleep(context.warm_up_s)
        await play.end_core()

    run(context, play.play(trouble()))


@behave.then("gateways hand few of the refused requests to each other")
def assert_few_handovers(context: typing.Any) -> None:
    play = play_of(context)
    refused = sum(
        one.status == steady_callers.NOT_RUN for one in play.request_by_id.values()
    )
    handed_over = {
        node: path.read_text().count('"event":614')
        for node, path in play.fleet.logs.items()
    }
    seconds = play.healed_at - play.cut_at + steady_callers.AFTER_S
    print(f"refused: {refused}, handed over: {handed_over}")
    assert refused > 0, "none was refused"
    assert max(handed_over.values()) <= TRIALS_PER_S * seconds + 1, handed_over


@behave.then("requests to the other service are served all the time")
def assert_other_service(context: typing.Any) -> None:
    play = play_of(context)
    span = (0.0, isolation_play.CUT_S)
    kind = isolation_play.Kind.SIDE_BOOKING
    served = play.served(*span, cut=False, kind=kind)
    assert served.sent and served.share >= RECOVERED_SHARE, served


@behave.given(
    "callers send safe requests, bookings and uploads, for {seconds:g} s before the cut"
)
def send_all_kinds(context: typing.Any, seconds: float) -> None:
    play_of(context).kinds = isolation_play.ALL_KINDS
    play_of(context).rate = UPLOAD_RATE
    # Connections to all workers are open by then, and most safe requests find one.
    context.warm_up_s = seconds
    configure(fleet_of(context), version=6, max_attempts=4)


@behave.when('"{who}" are cut off from all workers, by "{how}"')
def cut_off(context: typing.Any, who: str, how: str) -> None:
    play = play_of(context)

    async def trouble() -> None:
        await asyncio.sleep(context.warm_up_s)
        nodes = chosen(play, who)
        await play.cut(nodes, upstream_cuts.How(how))

    run(context, play.play(trouble()))


@behave.given("each request takes workers {seconds:g} s")
def slow_workers(context: typing.Any, seconds: float) -> None:
    for worker in fleet_of(context).worker_by_id.values():
        worker.work_s = seconds


@behave.when(
    '"{who}" are cut off, and a caller of the first leaves after {seconds:g} s'
)
def caller_leaves(context: typing.Any, who: str, seconds: float) -> None:
    play, fleet = play_of(context), fleet_of(context)

    async def leave() -> None:
        await play.ask_directory()
        nodes = chosen(play, who)
        fleet.cut_from_upstreams(nodes, upstream_cuts.How.RESET)
        # Until the gateway has noticed.
        await asyncio.sleep(SETTLE_S)
        sending = asyncio.ensure_future(fleet.send(nodes[0], "/read/left", LEFT_ID))
        await asyncio.sleep(seconds)
        context.ran_before_leaving = fleet.runs_of(LEFT_ID)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await asyncio.sleep(STOPPED_WITHIN_S)
        context.running_after = sum(
            worker.running for worker in fleet.worker_by_id.values()
        )

    run(context, leave())


@behave.then(
    "its request was with a worker, which stopped working on it within {seconds:g} s"
)
def assert_stopped(context: typing.Any, seconds: float) -> None:
    assert seconds == STOPPED_WITHIN_S
    assert len(context.ran_before_leaving) == 1, context.ran_before_leaving
    assert context.running_after == 0, context.running_after


def chosen(play: isolation_play.IsolationPlay, who: str) -> list[str]:
    """Return the gateways to cut off."""
    every = list(play.fleet.ip_by_node)
    serving = play.serving()
    others = [node for node in every if node not in serving]
    zone_count = len(platform_fleet.ZONES)
    assert len(serving) == zone_count, serving
    match who:
        case "two that serve and one other":
            return [*serving[:2], others[0]]
        case "all that serve and three others":
            return [*serving, *others[:3]]
        case "all that serve":
            return serving
        case "all but two":
            return [*serving, *others[:-2]]
        case "all":
            return every
    raise AssertionError(who)


@behave.then("callers of the gateways cut off are served nearly as often as others")
def assert_contained(context: typing.Any) -> None:
    print_event_counts(play_of(context))
    assert_served_beside(play_of(context), None)


@behave.then("that holds for each kind of request")
def assert_each_kind(context: typing.Any) -> None:
    play = play_of(context)
    for kind in dict.fromkeys(play.kinds):
        assert_served_beside(play, kind)


def print_event_counts(play: isolation_play.IsolationPlay) -> None:
    """Show how often each gateway logged what is of interest here, and its failures."""
    for node in play.fleet.logs:
        log = play.fleet.logs[node].read_text()
        counts = {number: log.count(f'"event":{number}') for number in TOLD_EVENTS}
        reasons = collections.Counter(
            re.findall(r'"event":60[12],.*"reason":"(.*?)"', log)
        )
        print(node, counts, dict(reasons))
    for kind in dict.fromkeys(play.kinds):
        statuses = collections.Counter(
            (one.status, round(one.ended_at - one.sent_at, 1) >= TIMEOUT_S)
            for name, one in play.request_by_id.items()
            if play.kind_of(name) is kind
        )
        print(kind, "by status, and whether time ran out:", dict(statuses))


def assert_served_beside(
    play: isolation_play.IsolationPlay, kind: isolation_play.Kind | None
) -> None:
    """Check what the gateways cut off served of a kind; None: of all kinds."""
    span = (isolation_play.CONTAIN_S, isolation_play.CUT_S)
    cut = play.served(*span, cut=True, kind=kind)
    others = play.served(*span, cut=False, kind=kind)
    before = play.served(0.0, isolation_play.CONTAIN_S, cut=True, kind=kind)
    print(f"{kind} served: before {before}, cut off {cut}, others {others}")
    allowed = isolation_play.FAILED_ALLOWED
    allowed += isolation_play.FAILED_SHARE_ALLOWED * (cut.sent + others.sent)
    is_rare = cut.share < isolation_play.MIN_SERVED_RATIO * others.share
    assert not (is_rare and cut.failed > allowed), (kind, cut, others, before)
    assert cut.sent > 0, "none was sent there"
    assert others.sent == 0 or others.share >= RECOVERED_SHARE, (kind, cut, others)


@behave.then("no booking ran twice, nor after it was refused as not run")
def assert_at_most_once(context: typing.Any) -> None:
    play = play_of(context)
    repeated, refused = play.repeated_bookings(), play.false_refusals()
    assert not repeated and not refused, (repeated, refused)


@behave.then("no upstream is reported as crashed")
def assert_no_crash(context: typing.Any) -> None:
    fleet = fleet_of(context)
    crashed = {
        node: path.read_text().count('"event":606') for node, path in fleet.logs.items()
    }
    assert not any(crashed.values()), crashed


@behave.then("each upload ran with its whole body")
def assert_whole_uploads(context: typing.Any) -> None:
    play = play_of(context)
    bytes_by_kind = {
        isolation_play.Kind.UPLOAD: isolation_play.UPLOAD_BYTES,
        isolation_play.Kind.LONG_UPLOAD: isolation_play.LONG_UPLOAD_BYTES,
    }
    for worker in play.fleet.worker_by_id.values():
        for ran in worker.runs:
            expected = bytes_by_kind.get(play.kind_of(ran.request_id), 0)
            assert len(ran.body) == expected, (ran.request_id, len(ran.body))


@behave.then("the directory was never empty")
def assert_directory(context: typing.Any) -> None:
    assert play_of(context).empty_directories == 0, play_of(context).empty_directories


@behave.then("requests are served again {seconds:g} s after the cut ended")
def assert_recovered(context: typing.Any, seconds: float) -> None:
    play = play_of(context)
    healed_s = play.healed_at - play.cut_at
    every = [
        play.served(healed_s + seconds, healed_s + seconds + 10.0, cut=cut)
        for cut in (True, False)
    ]
    served, sent = sum(one.served for one in every), sum(one.sent for one in every)
    assert sent and served >= RECOVERED_SHARE * sent, every
