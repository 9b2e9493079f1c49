"""
Measure the slopes behind ``docs/CAPACITY.md``.

Peers are simulated as messages at the interface; everything measured is the
product's own code in this process. Each row is a size, then the cost; the
last line of a table is the straight line through it. Run with
``make measure-capacity``.
"""

import gc
import hashlib
import logging
import random
import sys
import time
import tracemalloc
from collections import abc

import loguru
import msgspec
import numpy as np

from spindlenotch import (
    balancer,
    bundle,
    bundle_check,
    bundle_seal,
    documents,
    gossip,
    hostlist,
    ids,
    metrics,
    once,
    outcomes,
    ownership,
    peer_codec,
    plugins,
    selection,
    upstreams,
    waiting,
)

FLEETS = (18, 50, 150, 450)
POOLS = (30, 90, 225, 450)
SERVICES = (2, 6, 12, 18)
RECORDS = (1_000, 5_000, 20_000)
KEY = b"a key for measuring"
NOW = ids.Instant(1000.0)


def fit(sizes: abc.Sequence[float], values: abc.Sequence[float]) -> tuple[float, float]:
    """Return slope and start of the straight line through the points."""
    slope, start = np.polyfit(sizes, values, 1)
    return float(slope), float(start)


def show(
    title: str, unit: str, sizes: abc.Sequence[int], values: abc.Sequence[float]
) -> None:
    """Print one table and its line."""
    slope, start = fit(sizes, values)
    row = ", ".join(f"{s}: {v:.4g}" for s, v in zip(sizes, values, strict=True))
    print(f"| {title} | {row} | {slope:.4g} x size + {start:.4g} {unit} |", flush=True)


def timed(action: abc.Callable[[], object], repeat: int) -> float:
    """Return processor seconds per call, the best of three."""
    best = float("inf")
    for _ in range(3):
        began = time.process_time()
        for _ in range(repeat):
            action()
        best = min(best, (time.process_time() - began) / repeat)
    return best


def member(number: int) -> gossip.MemberNews:
    """Return a member as its news would look."""
    return gossip.MemberNews(
        ids.HostId(f"entry-{number:04}"),
        ids.ZoneName(f"zone-{number % 5}"),
        ids.Incarnation(f"{number:016x}"),
        ids.Address(f"10.0.{number // 250}.{number % 250}:8080"),
        ids.Address(f"10.0.{number // 250}.{number % 250}:8081"),
        1_700_000_000_000,
        1000 + number,
        gossip.Status.READY,
        12,
    )


def gossiper(fleet: int, number: int = 0) -> gossip.Gossip:
    """Return an entry's gossip that knows the whole fleet."""
    made = gossip.Gossip(member(number), random.Random(number))
    for other in range(fleet):
        if other != number:
            made.known_by_host[member(other).host] = gossip.Known(member(other), NOW)
    made.have(
        gossip.DocumentNews(documents.DocumentKind.BUNDLE, 12, ids.Digest("a" * 64))
    )
    made.have(gossip.DocumentNews(documents.DocumentKind.HOSTS, 99, ids.Digest("")))
    return made


class Fleet:
    """Gossip of a whole fleet, period by period, with lost messages."""

    def __init__(self, size: int, lost: float = 0.01) -> None:
        self.rng = random.Random(size)
        self.lost = lost
        self.everyone = [gossiper(size, n) for n in range(size)]
        self.by_address = {g.me.peer_address: g for g in self.everyone}
        self.dead: set[gossip.Gossip] = set()
        self.now = NOW
        self.bytes = 0
        self.messages = 0
        self.drops: list[tuple[float, ids.HostId]] = []

    def period(self) -> None:
        """Let every living entry ask around and everybody answer."""
        self.now = ids.later(self.now, gossip.PERIOD_S)
        for one in self.everyone:
            if one in self.dead:
                continue
            for news in one.sweep(self.now):
                self.drops.append((self.now, news.host))
            targets = one.targets([], self.now)
            message = one.compose(wants_reply=True)
            for target in targets:
                self._send(message, self.by_address[target])

    def _send(self, message: gossip.Message, target: gossip.Gossip) -> None:
        self.bytes += len(peer_codec.encode_gossip(message)) + OVERHEAD
        self.messages += 1
        if target in self.dead or self.rng.random() < self.lost:
            return
        taken = target.take(message, self.now)
        if taken.reply is not None:
            self._send(taken.reply, self.by_address[message.sender.peer_address])


#: Authentication code, UDP and IP headers.
OVERHEAD = 16 + 28


def gossip_costs() -> None:
    """Bytes and processor time of gossip per second and node."""
    sealer = peer_codec.Sealer((KEY,))
    sizes, cpu, drops = [], [], []
    for fleet in FLEETS:
        everyone = Fleet(fleet)
        for _ in range(30):
            everyone.period()
        # Each byte is sent by one node and received by another.
        sizes.append(2 * everyone.bytes / fleet / 30)
        drops.append(float(len(everyone.drops)))
        one = everyone.everyone[0]
        message = everyone.everyone[1].compose(wants_reply=True)
        data = sealer.seal(peer_codec.encode_gossip(message))

        def period(g: gossip.Gossip = one, d: bytes = data) -> None:
            """Ask three, be asked by three: six messages out, six in."""
            g.sweep(NOW)
            g.targets([], NOW)
            g.due_by_host.clear()
            sealer.seal(peer_codec.encode_gossip(g.compose(wants_reply=True)))
            for _ in range(2 * gossip.FANOUT):
                payload = sealer.open(d, peer_codec.MAX_DATAGRAM)
                assert isinstance(payload, bytes)
                heard = peer_codec.decode_gossip(payload)
                assert isinstance(heard, gossip.Message)
                reply = g.take(heard, NOW).reply
                assert reply is not None
                sealer.seal(peer_codec.encode_gossip(reply))
            g.ready_members()

        cpu.append(timed(period, 200) * 1e6)
    show("gossip at rest, sent and received, B/s per node", "B/s", FLEETS, sizes)
    show("gossip, processor time us/s per node", "us/s", FLEETS, cpu)
    show("living members dropped in 30 periods, 1% lost", "", FLEETS, drops)


def spread() -> None:
    """Periods until news has reached a whole fleet, by the real state machine."""
    rounds, gone, loud = [], [], []
    for fleet in FLEETS:
        everyone = Fleet(fleet)
        mark = gossip.Mark(ids.ServiceName("s"), ids.UpstreamId("u"), 1)
        everyone.everyone[0].mark(mark)
        steps = 0
        # The worst case: only the periodic messages, none of the eager ones.
        while not all(mark in g.repeats_by_mark for g in everyone.everyone):
            steps += 1
            everyone.period()
        rounds.append(float(steps))
        victim = everyone.everyone[-1]
        everyone.dead.add(victim)
        steps, before = 0, everyone.bytes
        living = [g for g in everyone.everyone if g is not victim]
        while any(victim.me.host in g.known_by_host for g in living):
            steps += 1
            everyone.period()
        gone.append(float(steps))
        loud.append(2 * (everyone.bytes - before) / fleet / steps)
    show(
        "periods of 1 s until a mark is everywhere, no eager sends", "", FLEETS, rounds
    )
    show("seconds until a killed entry is dropped everywhere", "s", FLEETS, gone)
    show("gossip meanwhile, B/s per node", "B/s", FLEETS, loud)


def service(name: str) -> bundle.Service:
    """Return a service of usual settings."""
    operation = bundle.Operation(
        "read", frozenset({"GET"}), "/", ids.ClassName("browse"), True
    )
    zones = tuple(ids.ZoneName(f"zone-{n}") for n in range(5))
    return bundle.Service(
        ids.ServiceName(name),
        zones,
        6,
        250,
        20.0,
        "owned",
        0.05,
        0.05,
        200,
        0.3,
        (operation,),
        (),
    )


def pool_of(size: int, entries: int) -> balancer.Balancer:
    """Return a balancer with a pool of ``size`` among ``entries``."""
    me = ownership.Member(ids.ZoneName("zone-0"), ids.HostId("entry-0000"))
    made = balancer.Balancer(service("s"), me, random.Random(1), NOW)
    made.pool.set_members(
        ownership.Member(member(n).zone, member(n).host) for n in range(entries)
    )
    made.pool.set_listed(
        (
            upstreams.UpstreamSpec(
                ids.UpstreamId(f"worker-{n:04}"),
                ids.ZoneName(f"zone-{n % 5}"),
                ids.Address(f"10.1.{n // 250}.{n % 250}:80"),
                1,
            )
            for n in range(size)
        ),
        NOW,
    )
    for known in made.pool.upstream_by_id.values():
        known.answers = upstreams.WARM_AFTER_ANSWERS
    return made


def decisions() -> None:
    """Processor time of one decision, in the cheap case and the dear one."""
    for title, taken in (("own slot free", 0), ("own slots busy", 40)):
        for entries in (18, 450):
            costs = []
            for size in POOLS:
                made = pool_of(size, entries)
                for number in range(taken):
                    _offer(made, -number)
                policy, pool = made.policy, made.pool
                call = _call("c")
                costs.append(
                    timed(
                        lambda p=policy, q=pool, c=call: p.choose(q, c, NOW, ()), 2000
                    )  # type: ignore[misc]
                    * 1e6
                )
            name = f"decision, {title}, {entries} entries, by upstreams, us"
            show(name, "us", POOLS, costs)
    whole = []
    for size in POOLS:
        made = pool_of(size, 18)
        whole.append(timed(lambda m=made: _round(m), 2000) * 1e6)  # type: ignore[misc]
    show("offer, finish and forget of one call, by upstreams, us", "us", POOLS, whole)


def _call(name: str) -> waiting.Call:
    return waiting.Call(ids.CallId(name), 1, True, ids.later(NOW, 5.0), "read", NOW)


def _offer(made: balancer.Balancer, number: int) -> balancer.Grant | None:
    granted = made.offer(_call(f"c{number}"), NOW)
    return granted if isinstance(granted, balancer.Grant) else None


def _round(made: balancer.Balancer) -> None:
    grant = _offer(made, 1)
    assert grant is not None
    report = upstreams.LoadReport(2, 0)
    made.finish(grant, upstreams.Result.ANSWERED, report, NOW)
    made.forget(grant.call.id)


def cuts() -> None:
    """Processor time when a member comes or goes, and a host list arrives."""
    costs = []
    for size in POOLS:
        made = pool_of(size, 450)
        costs.append(timed(made.pool.refresh, 20) * 1e3)
    show("cutting slots anew, 450 entries, by upstreams, ms", "ms", POOLS, costs)
    sizes, cpu = [], []
    for hosts in POOLS:
        body = _listing(hosts)
        sizes.append(float(len(body)))
        cpu.append(timed(lambda b=body: hostlist.decode(b), 20) * 1e3)  # type: ignore[misc]
    show("host list with as many entries as upstreams, bytes", "B", POOLS, sizes)
    show("host list, reading it, ms", "ms", POOLS, cpu)


def _listing(hosts: int) -> bytes:
    records = [
        hostlist.HostRecord(
            f"worker-{n:04}",
            hostlist.Role.UPSTREAM,
            f"zone-{n % 5}",
            f"10.1.0.{n % 250}:80",
            f"service-{n % 18}",
        )
        for n in range(hosts)
    ]
    records += [
        hostlist.HostRecord(
            member(n).host,
            hostlist.Role.ENTRY,
            member(n).zone,
            member(n).address,
            "",
            member(n).peer_address,
        )
        for n in range(hosts)
    ]
    return msgspec.json.encode(hostlist.HostTable(1, tuple(records)))


def bundle_text(services: int) -> str:
    """Return a bundle with so many services of usual size."""
    parts = [
        'format = 1\nversion = 1\ndeployment = "big"\n[classes]\nurgent = 0\nbrowse = 1'
    ]
    for n in range(20):
        parts.append(
            f"[callers.caller-{n}]\n"
            f'key_sha256 = "{hashlib.sha256(str(n).encode()).hexdigest()}"\n'
            'classes = ["browse"]'
        )
    for n in range(services):
        parts.append(
            f'[services.service-{n}]\nzones = ["z1", "z2", "z3", "z4", "z5"]\nslots = 6'
        )
        for k in range(4):
            parts.append(
                f'[[services.service-{n}.operations]]\nname = "op-{k}"\n'
                f'methods = ["GET"]\nprefix = "/{k}"\nclass = "browse"'
            )
        for hour in ("06", "12", "18"):
            parts.append(
                f'[[services.service-{n}.day]]\nat = "{hour}:00"\n'
                "weights = { z1 = 1.0, z2 = 1.0, z3 = 1.0, z4 = 0.5, z5 = 0.5 }"
            )
    return "\n".join(parts)


def bundles() -> None:
    """Bytes of a bundle and the time to check and open it."""
    private, public = bundle_seal.generate_key()
    sizes, cpu = [], []
    for count in SERVICES:
        text = bundle_text(count)
        checked = bundle_check.check(text, selection.POLICIES.names())
        assert isinstance(checked, bundle.Bundle), checked
        data = bundle_seal.encode(bundle_seal.seal(text, private))
        sizes.append(float(len(data)))
        cpu.append(
            timed(
                lambda d=data: bundle_seal.open_bytes(  # type: ignore[misc]
                    d, frozenset({public}), selection.POLICIES.names()
                ),
                5,
            )
            * 1e3
        )
    show("bundle with 20 callers, by services, bytes", "B", SERVICES, sizes)
    sent = [
        float(
            _frame_bytes(bundle_seal.encode(bundle_seal.seal(bundle_text(n), private)))
        )
        for n in SERVICES
    ]
    show("the same between peers, bytes", "B", SERVICES, sent)
    sent = [float(_frame_bytes(_listing(n))) for n in POOLS]
    show("host list between peers, by upstreams, bytes", "B", POOLS, sent)
    show("opening a bundle, by services, ms", "ms", SERVICES, cpu)


def _frame_bytes(body: bytes) -> int:
    document = documents.Document(
        documents.DocumentKind.BUNDLE, 1, ids.Digest("a" * 64), body
    )
    frame = peer_codec.DocumentFrame(1, False, document)
    return len(peer_codec.encode_frame(frame)) + peer_codec.MAC_BYTES


def memory() -> None:
    """Bytes of state per remembered id, upstream and member."""
    per_id = []
    for count in RECORDS:
        table = once.OnceTable(count + 1)

        def fill(t: once.OnceTable = table, n: int = count) -> None:
            for k in range(n):
                key = once.OnceKey(f"ticket/entry-0001~{k:016x}~{k}~1000~abcdefgh")
                arrival = once.Arrival(
                    key, 1, True, f"{k:064x}", ids.later(NOW, 120.0), NOW
                )
                t.begin(arrival)
                t.ran(key, once.KeptAnswer(200, (("X", "y"),), b"b" * 200))

        per_id.append(_allocated(fill) / 1e6)
    show("remembered ids with 200 B answers, MB", "MB", RECORDS, per_id)
    pools: list[balancer.Balancer] = []
    sizes = [
        _allocated(lambda s=size: pools.append(pool_of(s, 18))) / 1e6  # type: ignore[misc]
        for size in POOLS
    ]
    show("a pool's state, by upstreams, MB", "MB", POOLS, sizes)
    views: list[gossip.Gossip] = []
    sizes = [
        _allocated(lambda f=fleet: views.append(gossiper(f))) / 1e6  # type: ignore[misc]
        for fleet in FLEETS
    ]
    show("members known, by fleet, MB", "MB", FLEETS, sizes)
    measured = metrics.Metrics()
    sizes = []
    for count in SERVICES:

        def count_up(n: int = count) -> None:
            for k in range(n):
                for outcome in outcomes.Outcome:
                    for reason in list(outcomes.Reason)[:8]:
                        measured.requests.labels(
                            f"s{k}", outcome.value, reason.value
                        ).inc()
                measured.request_time.labels(f"s{k}").observe(0.1)

        sizes.append(_allocated(count_up) / 1e6)
    show("metrics, added by services, MB", "MB", SERVICES, sizes)


def _allocated(action: abc.Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    action()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(size)


def store_calls() -> None:
    """Readers of the store, from the duty as every entry reckons it."""
    counts = []
    for fleet in FLEETS:
        members = [
            ownership.Member(member(n).zone, member(n).host) for n in range(fleet)
        ]
        holders = {
            host
            for zone in {m.zone for m in members}
            for host in gossip.readers(members, zone, "store", 2)
        }
        counts.append(float(len(holders)))
    show("entries that watch the store, 5 zones", "", FLEETS, counts)


def main() -> None:
    """Measure everything and print the tables."""
    loguru.logger.remove()
    logging.disable()
    plugins.load()
    print("| what | size: measured | line |")
    print("|---|---|---|")
    for part in (
        decisions,
        gossip_costs,
        spread,
        cuts,
        bundles,
        memory,
        store_calls,
    ):
        part()


if __name__ == "__main__":
    main()
    sys.exit(0)
