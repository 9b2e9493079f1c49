"""
The faults of a play, and what operators and upstreams do meanwhile, by name.

Each is registered with a coroutine that draws what it hits, acts, lasts ``for_s``
seconds and puts things right again. One that would act on what another step already
has in hand raises ``world.TakenError`` and is left out.
"""

import asyncio
import contextlib
import dataclasses
import random
import signal
import typing
from collections import abc

from features.support import link, platform_store, upstream_cuts, worker_records
from spindlenotch import registry
from tools.soak_processes import ledger, world as worlds

Fault = abc.Callable[
    [worlds.World, random.Random, float], abc.Coroutine[typing.Any, typing.Any, None]
]
#: Longest time between a backup and the writes that its restore loses, in seconds.
BACKUP_AGE_MAX_S = 3.0
#: Minimum number of revisions that a restore loses.
MIN_LOST_REVISIONS = 300
#: Time allowed for gateways to publish a list to each other, in seconds.
PUBLISH_WAIT_S = 0.3
#: Longest wait for other steps to have done with the gateways, and how long all of them
#: are away at most, in seconds.
LONGEST_WAIT_S, MOST_AWAY_S = 8.0, 2.0
#: HTTP status of each call while the store is down.
DOWN = 503
#: A zone without upstreams; evacuating it makes gateways publish a new list.
UNUSED_ZONE = "unused"
UNRELATED_KEY = "status/unrelated"
FAULTS: registry.Registry[Fault] = registry.Registry("fault")
World = worlds.World
Mode = worker_records.Mode

#: Most that an upstream serves on after it said that it leaves, in seconds.
LEAVES_AFTER_S = 3.5
#: Time after which an upstream's address may go to another service, in seconds.
ADDRESS_REUSE_S = 2.0
#: Ways in which upstreams treat requests badly.
BAD_MODES = (Mode.SHED, Mode.BARE_503, Mode.ERROR, Mode.CUT, Mode.RESET_UNFRAMED)
BAD_MODES += (Mode.FOREIGN, Mode.UNSTAMPED, Mode.GARBAGE, Mode.SURPLUS, Mode.LOST)
BAD_MODES += (Mode.LATE_SURPLUS, Mode.HANG, Mode.SLOW)
#: Entries of other writers, none of which names an upstream.
BAD_ENTRIES: tuple[typing.Any, ...] = (
    b"\xff\xfe no json",
    b'{"service":"core","address":"127.0.',
    [],
    {"service": "core"},
    {"service": "core", "address": 7, "zone": "z1", "slots": "two", "state": "ready"},
    {"service": "core", "address": "127.0.0.1:9", "zone": "z1", "slots": 4,
     "state": "resting", "version": "v1", "coldLeftS": 0, "callSeq": 1, "born": "x"},
    {"service": "unheard", "address": "127.0.0.1:9", "zone": "z9", "slots": 4,
     "state": "ready", "version": "v1", "coldLeftS": 0, "callSeq": 1, "born": 5},
)  # fmt: skip


# Gateways.


@FAULTS.register("gateways-killed")
async def gateways_killed(world: World, rng: random.Random, for_s: float) -> None:
    """One gateway, several or all are killed at once and started again."""
    count = rng.choice((1, 1, 2, len(world.nodes)))
    nodes = rng.sample(world.nodes, count)
    with world.trouble("gateways-killed", *nodes, of="process"):
        await asyncio.gather(*(world.kill_gateway(node) for node in nodes))
        await asyncio.sleep(for_s)
        await asyncio.gather(*(world.start_gateway(node) for node in nodes))


@FAULTS.register("all-gateways-killed")
async def all_gateways_killed(world: World, rng: random.Random, for_s: float) -> None:
    """All gateways are killed at once, beside other faults, and return together."""
    nodes = world.nodes
    await world.until_free(*nodes, of="process", limit_s=LONGEST_WAIT_S)
    with world.trouble("all-gateways-killed", *nodes, of="process"):
        await asyncio.gather(*(world.kill_gateway(node) for node in nodes))
        await asyncio.sleep(min(for_s, MOST_AWAY_S))
        await asyncio.gather(*(world.start_gateway(node) for node in nodes))


@FAULTS.register("gateway-stopped")
async def gateway_stopped(world: World, rng: random.Random, for_s: float) -> None:
    """One gateway is stopped as planned and started again."""
    node = rng.choice(world.nodes)
    with world.trouble("gateway-stopped", node, of="process"):
        await world.stop_gateway(node)
        await world.start_gateway(node)


@FAULTS.register("gateway-paused")
async def gateway_paused(world: World, rng: random.Random, for_s: float) -> None:
    """One gateway stands still."""
    node = rng.choice(world.nodes)
    with world.trouble("gateway-paused", node, of="process"):
        world.signal_gateway(node, signal.SIGSTOP)
        try:
            await asyncio.sleep(for_s)
        finally:
            world.signal_gateway(node, signal.SIGCONT)


@FAULTS.register("gateway-suspended")
async def gateway_suspended(world: World, rng: random.Random, for_s: float) -> None:
    """One gateway's host is suspended: its loop's clock stands still as well."""
    node = rng.choice(world.suspendable)
    with world.trouble("gateway-suspended", node, of="process"):
        world.signal_gateway(node, signal.SIGSTOP)
        try:
            await asyncio.sleep(for_s)
        finally:
            world.signal_gateway(node, signal.SIGCONT)


@FAULTS.register("settings-changed")
async def settings_changed(world: World, rng: random.Random, for_s: float) -> None:
    """A gateway's settings change, now and then to what is no file; SIGHUP says so."""
    node = rng.choice(world.nodes)
    with world.trouble("settings-changed", node, of="process", excuses=False):
        path = world.fleet.logs[node].with_suffix(".toml")
        whole = path.read_text()
        changed = whole.replace("ttl_max_s=1", "ttl_max_s=0.5")
        path.write_text(rng.choice((changed, whole[:120])))
        world.signal_gateway(node, signal.SIGHUP)
        await asyncio.sleep(for_s)
        path.write_text(whole)
        world.signal_gateway(node, signal.SIGHUP)


# Paths.


def _break(path: link.Link, how: str) -> None:
    match how:
        case "slow":
            path.delay_s = 0.3
        case "to":
            path.hold(link.Way.TO)
        case "from":
            path.hold(link.Way.FROM)
        case "both":
            path.hold(*link.Way)
        case "reset":
            path.takes_new = False
            path.reset()
        case "silent":
            path.silence()


PATH_FAULTS = ("slow", "to", "from", "both", "reset", "silent")


@FAULTS.register("store-paths")
async def store_paths(world: World, rng: random.Random, for_s: float) -> None:
    """The paths of one gateway, or of a zone's, to the store are broken."""
    of_zone = world.nodes[rng.randrange(len(worlds.ZONES)) :: len(worlds.ZONES)]
    hit = rng.choice((of_zone, [rng.choice(world.nodes)]))
    path_by_node = {node: world.link_by_node[node] for node in hit}
    await _break_paths(world, path_by_node, "store-paths", rng, for_s)


@FAULTS.register("upstream-paths")
async def upstream_paths(world: World, rng: random.Random, for_s: float) -> None:
    """The paths to one upstream, or to those of a zone, are broken."""
    zone = rng.choice(worlds.ZONES)
    of_zone = [u for u in world.upstreams if world.zone_by_upstream[u] == zone]
    hit = rng.choice((of_zone, [rng.choice(world.upstreams)]))
    path_by_upstream = {u: world.link_by_upstream[u] for u in hit}
    await _break_paths(world, path_by_upstream, "upstream-paths", rng, for_s)


async def _break_paths(
    world: World,
    path_by_subject: dict[str, link.Link],
    kind: str,
    rng: random.Random,
    for_s: float,
) -> None:
    how = rng.choice(PATH_FAULTS)
    with world.trouble(f"{kind} {how}", *path_by_subject, of="path"):
        for path in path_by_subject.values():
            _break(path, how)
        try:
            await asyncio.sleep(for_s)
        finally:
            for path in path_by_subject.values():
                path.restore()


@FAULTS.register("gateways-cut-off")
async def gateways_cut_off(world: World, rng: random.Random, for_s: float) -> None:
    """Some gateways lose their links to all upstreams."""
    how = rng.choice((upstream_cuts.How.RESET, upstream_cuts.How.HANG))
    await _cut_off(world, rng, for_s, how)


@FAULTS.register("gateways-refused")
async def gateways_refused(world: World, rng: random.Random, for_s: float) -> None:
    """Some gateways can open no new connection to upstreams; open ones live on."""
    await _cut_off(world, rng, for_s, upstream_cuts.How.REFUSE)


async def _cut_off(
    world: World, rng: random.Random, for_s: float, how: upstream_cuts.How
) -> None:
    able = world.with_own_addresses
    nodes = rng.sample(able, rng.randint(1, len(able)))
    kind = f"{ledger.CUT_OFF} {how.value}"
    with world.trouble(kind, *nodes, of="links", excuses=False):
        world.cut_from_upstreams(nodes, how)
        try:
            await asyncio.sleep(worlds.BOUNDS["touchS"] + for_s)
        finally:
            world.fleet.heal_upstream_cuts()


# The store.


@FAULTS.register("store-fails")
async def store_fails(world: World, rng: random.Random, for_s: float) -> None:
    """The store is down, busy, slow, silent, or loses answers."""
    how = rng.choice(("down", "busy", "slow", "silent", "lost", "in vain"))
    with world.trouble(f"store {how}", ledger.STORE, of="state"):
        store = world.fleet.store
        store.trouble = dataclasses.replace(
            store.trouble,
            refuse={"down": 503, "busy": 429}.get(how, 0),
            silent=how == "silent",
            slow_s=0.8 if how == "slow" else 0.0,
            lost={
                "lost": platform_store.Lost.DONE,
                "in vain": platform_store.Lost.NOT_DONE,
            }.get(how),
        )
        try:
            await asyncio.sleep(for_s)
        finally:
            store.trouble = dataclasses.replace(
                store.trouble, refuse=0, silent=False, slow_s=0.0, lost=None
            )


@FAULTS.register("store-turns-away")
async def store_turns_away(world: World, rng: random.Random, for_s: float) -> None:
    """The store turns some gateways away and serves the others."""
    nodes = rng.sample(world.nodes, rng.randint(1, len(world.nodes) - 1))
    status = rng.choice((429, 503))
    with world.trouble("store-turns-away", *nodes, of="door"):
        turned_away = world.fleet.store.trouble.refuse_by_ip
        ips = [world.link_by_node[node].source_ip or "" for node in nodes]
        turned_away |= dict.fromkeys(ips, status)
        try:
            await asyncio.sleep(for_s)
        finally:
            for ip in ips:
                turned_away.pop(ip, None)


@FAULTS.register("store-forgets")
async def store_forgets(world: World, rng: random.Random, for_s: float) -> None:
    """The store forgets its history, twice."""
    with world.trouble("store-forgets", ledger.STORE, of="history"):
        world.fleet.store.forget_history()
        await asyncio.sleep(min(for_s, 1.0))
        world.fleet.store.forget_history()


@FAULTS.register("store-restored")
async def store_restored(world: World, rng: random.Random, for_s: float) -> None:
    """The store is down for up to a second and is restored from a backup."""
    store = world.fleet.store
    evacuation_key = f"op/evacuate/{UNUSED_ZONE}"
    with world.trouble("store-restored", ledger.STORE, of="state"):
        backup = store.backup()
        await asyncio.sleep(min(for_s, BACKUP_AGE_MAX_S))
        for number in range(MIN_LOST_REVISIONS):
            store.put(UNRELATED_KEY, {"number": number})
        # Gateways publish a list whose revision is newer than the restored store's.
        store.put(evacuation_key, {})
        await asyncio.sleep(PUBLISH_WAIT_S)
        store.trouble = dataclasses.replace(store.trouble, refuse=DOWN)
        try:
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            lost_value_by_key = store.restore(backup)
        finally:
            store.trouble = dataclasses.replace(store.trouble, refuse=0)
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        store.rewrite(lost_value_by_key)
    store.remove(evacuation_key)


# Upstreams.


@FAULTS.register("upstream-drains")
async def upstream_drains(world: World, rng: random.Random, for_s: float) -> None:
    """An upstream says that it leaves, ends, and starts again under its id."""
    upstream = rng.choice(world.upstreams)
    with world.trouble("upstream-drains", upstream, of="life", excuses=False):
        with world.closed(upstream, "drains", "drainS"):
            world.list_upstream(upstream, "draining")
            await asyncio.sleep(LEAVES_AFTER_S)
            await world.fleet.worker_by_id[upstream].close()
            world.fleet.store.remove(f"servers/{upstream}")
            await asyncio.sleep(for_s)
        await world.restart_upstream(upstream, is_cold=True)


@FAULTS.register("upstream-vanishes")
async def upstream_vanishes(world: World, rng: random.Random, for_s: float) -> None:
    """An upstream's entry goes, while it serves on; then it is back."""
    upstream = rng.choice(world.upstreams)
    with world.trouble("upstream-vanishes", upstream, of="life", excuses=False):
        with world.closed(upstream, "has no entry", "drainS"):
            world.fleet.store.remove(f"servers/{upstream}")
            await asyncio.sleep(LEAVES_AFTER_S + for_s)
        world.list_upstream(upstream)


@FAULTS.register("upstreams-crash")
async def upstreams_crash(world: World, rng: random.Random, for_s: float) -> None:
    """Upstreams crash and start again under their ids, cold, some in a loop."""
    hit = rng.sample(world.upstreams, rng.randint(1, 1 + len(world.upstreams) // 4))
    with world.trouble("upstreams-crash", *hit, of="life"):
        for _ in range(rng.randint(1, 2)):
            for upstream in hit:
                await world.fleet.worker_by_id[upstream].close()
            await asyncio.sleep(for_s)
            for upstream in hit:
                await world.restart_upstream(upstream, is_cold=True)


@FAULTS.register("upstream-address-reused")
async def address_reused(world: World, rng: random.Random, for_s: float) -> None:
    """An upstream ends, and its address goes to an upstream of the other service."""
    gone = rng.choice(world.upstreams_of("core"))
    heir = rng.choice(world.upstreams_of("side"))
    with world.trouble("address-reused", gone, heir, of="life", excuses=False):
        with world.closed(gone, "has ended", "drainS"):
            await world.fleet.worker_by_id[gone].close()
            world.fleet.store.remove(f"servers/{gone}")
            await asyncio.sleep(ADDRESS_REUSE_S)
            path = world.link_by_upstream[gone]
            path.target = world.fleet.worker_by_id[heir].address
            await asyncio.sleep(for_s)
            path.reset()
        await world.restart_upstream(gone, is_cold=True)


@FAULTS.register("upstreams-treat-badly")
async def treat_badly(world: World, rng: random.Random, for_s: float) -> None:
    """Upstreams treat requests badly, with a health that looks good."""
    most = len(world.upstreams)
    hit = rng.sample(world.upstreams, rng.choice((1, 2, most // 3, most)))
    mode = rng.choice(BAD_MODES)
    with world.trouble(f"upstreams {mode.value}", *hit, of="mode", excuses=False):
        for upstream in hit:
            world.fleet.worker_by_id[upstream].mode = mode
        try:
            await asyncio.sleep(for_s)
        finally:
            for upstream in hit:
                world.fleet.worker_by_id[upstream].mode = Mode.GOOD


@FAULTS.register("bad-entries")
async def bad_entries(world: World, rng: random.Random, for_s: float) -> None:
    """Other writers leave entries that name no upstream to use."""
    with world.trouble("bad-entries", ledger.STORE, of="entries", excuses=False):
        keys = [f"servers/odd-{number}" for number in range(3)]
        for key in keys:
            world.fleet.store.put(key, rng.choice(BAD_ENTRIES))
        await asyncio.sleep(for_s)
        for key in keys:
            world.fleet.store.remove(key)


# The operator and the callers.


@FAULTS.register("zone-evacuated")
async def zone_evacuated(world: World, rng: random.Random, for_s: float) -> None:
    """A zone is evacuated, longer than the bound, and taken back."""
    zone = rng.choice(worlds.ZONES)
    hit = [u for u in world.upstreams if world.zone_by_upstream[u] == zone]
    with world.trouble("zone-evacuated", zone, of="use", excuses=False):
        with contextlib.ExitStack() as stack:
            world.fleet.store.put(f"op/evacuate/{zone}", {})
            for upstream in hit:
                closed = world.closed(upstream, "is evacuated", "evacuateS")
                stack.enter_context(closed)
            await asyncio.sleep(worlds.BOUNDS["evacuateS"] + for_s)
        world.fleet.store.remove(f"op/evacuate/{zone}")


@FAULTS.register("configuration-changed")
async def configuration_changed(world: World, rng: random.Random, for_s: float) -> None:
    """The operator writes new configurations, one or several in a row."""
    subject = "configuration"
    with world.trouble("configuration-changed", subject, of="text", excuses=False):
        for _ in range(rng.randint(1, 3)):
            world.version += 1
            world.write_configuration()
            await asyncio.sleep(for_s / 4)


@FAULTS.register("burst")
async def burst(world: World, rng: random.Random, for_s: float) -> None:
    """Callers send several times as much."""
    with world.trouble("burst", "callers", of="load", excuses=False):
        world.load_factor = rng.uniform(2.0, 4.0)
        await asyncio.sleep(min(for_s, 4.0))
        world.load_factor = 1.0
