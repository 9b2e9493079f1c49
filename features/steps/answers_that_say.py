"""
Steps on upstreams that say in their answers that they leave, or ask for rest.

Both bind the gateway that got such an answer; arrivals count when the upstream reads.
"""

import asyncio
import dataclasses
import time
import typing

import behave

from features.support import platform_context, platform_worker, steady_callers

#: Seconds of a rest that do not count, as requests are under way.
UNDER_WAY_S = 0.5
#: Seconds by which instants differ that are taken at both ends of a connection.
MARGIN_S = 0.1
#: Requests that one gets in some seconds that is not taken to rest, and in how many
#: seconds one at least.
LEAST_ASKED, LEAST_EVERY_S = 5, 2.0
#: Seconds after which rests are known to all gateways, and for which requests may wait:
#: until the target of their route.
KNOWN_S, MAY_WAIT_S = 1.0, 0.5
#: Seconds between two changes of an entry.
ENTRY_S = 1.0
#: Unix time of a worker's first start, in milliseconds.
FIRST_START = 1_700_000_000_000
#: Seconds for which a worker is watched after the store told of its start.
AFTER_LISTED_S = 5.0
DOWN = 503

run = platform_context.run
fleet_of = platform_context.fleet_of


def callers_of(context: typing.Any) -> steady_callers.SteadyCallers:
    """Return the scenario's callers."""
    return typing.cast(steady_callers.SteadyCallers, context.play)


def first_workers(
    context: typing.Any, count: int
) -> list[platform_worker.PlatformWorker]:
    """Return the first workers, which are those that say something."""
    context.speakers = list(fleet_of(context).worker_by_id.values())[:count]
    return typing.cast(list[platform_worker.PlatformWorker], context.speakers)


@behave.when(
    "{count:d} workers say that they leave while the store is down for {seconds:g} s"
)
def leave_while_down(context: typing.Any, count: int, seconds: float) -> None:
    fleet = fleet_of(context)
    workers = first_workers(context, count)

    async def leave() -> None:
        store = fleet.store
        store.trouble = dataclasses.replace(store.trouble, refuse=DOWN)
        for worker in workers:
            worker.says_leaving = "1"
        await asyncio.sleep(seconds)
        store.trouble = dataclasses.replace(store.trouble, refuse=0)

    run(context, callers_of(context).play(leave()))


@behave.when(
    "{count:d} workers say that they leave while their entries come and go for "
    "{seconds:g} s"
)
def leave_while_listed(context: typing.Any, count: int, seconds: float) -> None:
    fleet = fleet_of(context)
    workers = first_workers(context, count)

    async def leave() -> None:
        for worker in workers:
            worker.says_leaving = "1"
        for step in range(int(seconds / ENTRY_S)):
            await asyncio.sleep(ENTRY_S)
            for worker in workers:
                if step % 2:
                    fleet.list_worker(worker)
                else:
                    fleet.store.remove(f"servers/{worker.id}")

    run(context, callers_of(context).play(leave()))


@behave.when(
    "{count:d} workers start again and say that they leave, and the store tells of "
    "their start {seconds:g} s later"
)
def leave_before_listed(context: typing.Any, count: int, seconds: float) -> None:
    fleet = fleet_of(context)
    workers = first_workers(context, count)

    async def start_again() -> None:
        for worker in workers:
            worker.born = FIRST_START
            fleet.list_worker(worker)
        await asyncio.sleep(ENTRY_S)
        store = fleet.store
        store.trouble = dataclasses.replace(store.trouble, refuse=DOWN)
        for worker in workers:
            worker.start_again(FIRST_START + 1)
            worker.says_leaving = "1"
        await asyncio.sleep(seconds)
        store.trouble = dataclasses.replace(store.trouble, refuse=0)
        for worker in workers:
            fleet.list_worker(worker)
        await asyncio.sleep(AFTER_LISTED_S)

    run(context, callers_of(context).play(start_again()))


@behave.when("{count:d} workers ask for {rest_s:g} s of rest for {seconds:g} s")
def ask_for_rest(
    context: typing.Any, count: int, rest_s: float, seconds: float
) -> None:
    workers = first_workers(context, count)

    async def ask() -> None:
        for worker in workers:
            worker.asks_rest = str(rest_s)
        await asyncio.sleep(seconds)
        for worker in workers:
            worker.asks_rest = None

    run(context, callers_of(context).play(ask()))


@behave.when('{count:d} workers answer with "{header}" "{text}" for {seconds:g} s')
def answer_with(
    context: typing.Any, count: int, header: str, text: str, seconds: float
) -> None:
    play = context.play
    workers = first_workers(context, count)

    async def answer() -> None:
        play.name(workers, None)
        for worker in workers:
            if header == "Retry-After":
                worker.asks_rest = text
            else:
                worker.says_leaving = text
        await asyncio.sleep(seconds)
        play.ended_at = time.monotonic()

    run(context, play.play(answer()))


@behave.then(
    "none of them gets a request sent {seconds:g} s after its gateway was told"
)
def left_alone(context: typing.Any, seconds: float) -> None:
    play = callers_of(context)
    for worker in context.speakers:
        told_at: dict[str, float] = {}
        for request in play.request_by_id.values():
            is_its = request.headers.get("X-Spindlenotch-Instance-Id") == worker.id
            if is_its and "Server-Leaving" in request.headers:
                before = told_at.get(request.node, request.ended_at)
                told_at[request.node] = min(before, request.ended_at)
        assert told_at, f"{worker.id} told nobody"
        late = [
            (request.node, round(request.sent_at - told_at[request.node], 2))
            for _, request in play.read_by(worker.id)
            if request.node in told_at
            and request.sent_at > told_at[request.node] + seconds
        ]
        assert not late, (worker.id, len(late), late[:3])


@behave.then("no worker gets more than {count:d} requests from a gateway in a rest")
def rests_kept(context: typing.Any, count: int) -> None:
    play = callers_of(context)
    broken: list[tuple[str, str, int]] = []
    rests = 0
    for worker in context.speakers:
        read = play.read_by(worker.id)
        for rest in worker.rests:
            node = play.request_by_id[rest.request_id].node
            since, until = rest.at + UNDER_WAY_S, rest.at + rest.seconds - MARGIN_S
            got = sum(since < when < until and r.node == node for when, r in read)
            rests += 1
            if got > count:
                broken.append((worker.id, node, got))
    assert rests, "none asked for rest"
    assert not broken, (len(broken), rests, broken[:3])


@behave.then("who is refused while no rest is about to end is told so at once")
def refused_at_once(context: typing.Any) -> None:
    """Who may wait until a rest is over waits for it: it may be the last."""
    play = callers_of(context)
    ends_by_node: dict[str, list[float]] = {}
    for worker in context.speakers:
        for rest in worker.rests:
            node = play.request_by_id[rest.request_id].node
            ends_by_node.setdefault(node, []).append(rest.at + rest.seconds)

    def has_no_room(request: steady_callers.Request) -> bool:
        since, until = request.sent_at, request.sent_at + MAY_WAIT_S
        ends = ends_by_node.get(request.node, ())
        is_known = since > play.trouble_at + KNOWN_S
        return is_known and not any(since < end < until for end in ends)

    steady_callers.assert_refused_at_once(play, has_no_room)


@behave.then("nobody is told to come back before a worker may be asked again")
def true_return(context: typing.Any) -> None:
    """Where all rest, a caller that comes back as told finds one that may be asked."""
    play = callers_of(context)
    asked = sorted(
        (rest, play.request_by_id[rest.request_id].node, worker.id)
        for worker in context.speakers
        for rest in worker.rests
    )
    early = refused = 0
    for request in play.request_by_id.values():
        if request.status != DOWN:
            continue
        until_by_worker = {
            worker_id: rest.at + rest.seconds
            for rest, node, worker_id in asked
            if node == request.node and rest.at < request.ended_at
        }
        if len(until_by_worker) < len(context.speakers):
            continue
        refused += 1
        back_at = request.ended_at + float(request.headers["Retry-After"])
        early += back_at < min(until_by_worker.values()) - MARGIN_S
    assert refused, "no gateway was turned away by all"
    assert early <= 0.01 * refused, (early, refused)


@behave.then("each of them is asked again and again")
def asked_on(context: typing.Any) -> None:
    for worker in context.speakers:
        # One that turns all away is passed over for most requests, by its failures.
        assert len(worker.rests) >= LEAST_ASKED, len(worker.rests)
        last_at = max(rest.at for rest in worker.rests)
        assert last_at > context.play.ended_at - LEAST_EVERY_S, "it is asked no more"
