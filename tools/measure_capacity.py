"""
Measure the slopes behind ``docs/CAPACITY.md``.

Peers are simulated as messages at the interface; everything measured is the
product's own code in this process. Each row has the costs by size and the
straight line through them. Run with ``make measure-capacity``.
"""

import gc
import hashlib
import logging
import random
import sys
import tracemalloc
from collections import abc

import loguru
import msgspec

from spindlenotch import ids, metrics, selection
from spindlenotch.bundles import bundle, bundle_check, bundle_seal
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.entry import once, plugins
from spindlenotch.kernel import (
    extra_budgets,
    hostlist,
    outcomes,
    ownership,
    rendezvous,
    service_policy,
    upstreams,
    wait_queue,
)
from spindlenotch.peers import capnp_codec, documents, gossip, messages, peer_seal
from tools import measure_gossip, slopes


def service(name: str) -> service_policy.ServicePolicy:
    """Return a service of typical settings."""
    return service_policy.ServicePolicy(
        name=ids.ServiceName(name),
        zones=tuple(ids.ZoneName(f"zone-{n}") for n in range(5)),
        slots=6,
        typical_s=0.02,
        selection="owned",
        extra=extra_budgets.SeparateShares(retry_share=0.05, hedge_share=0.05),
        queue_limit=200,
        eject_share=0.3,
        latency_keys=("read",),
    )


def pool_of(size: int, entries: int) -> balancer.Balancer:
    """Return a balancer with a pool of ``size`` among ``entries``."""
    local_member = ownership.Member(ids.ZoneName("zone-0"), ids.HostId("entry-0000"))
    made = balancer.Balancer(service("s"), local_member, random.Random(1))
    made.pool.set_members(
        ownership.Member(measure_gossip.member(n).zone, measure_gossip.member(n).host)
        for n in range(entries)
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
        slopes.NOW,
    )
    for known in made.pool.upstream_by_id.values():
        known.answers = upstreams.SLOW_START_ANSWERS
    return made


def decisions() -> None:
    """Show the processor time of a decision, with own slots free and busy."""
    for title, taken in (("own slot free", 0), ("own slots busy", 40)):
        for entries in (18, 450):
            costs = []
            for size in slopes.POOLS:
                made = pool_of(size, entries)
                for number in range(taken):
                    _offer(made, -number)
                policy, pool = made.policy, made.pool
                call = _call("c")
                costs.append(
                    slopes.timed(
                        lambda p=policy, q=pool, c=call: p.choose(q, c, slopes.NOW, ()),
                        2000,
                    )  # type: ignore[misc]
                    * 1e6
                )
            name = f"decision, {title}, {entries} entries, by upstreams, us"
            slopes.show(name, "us", slopes.POOLS, costs)
    whole = []
    for size in slopes.POOLS:
        made = pool_of(size, 18)
        whole.append(slopes.timed(lambda m=made: _round(m), 2000) * 1e6)  # type: ignore[misc]
    slopes.show(
        "offer, finish and forget of one call, by upstreams, us",
        "us",
        slopes.POOLS,
        whole,
    )


def _call(name: str) -> wait_queue.Call:
    return wait_queue.Call(
        id=ids.CallId(name),
        priority=1,
        repeatable=True,
        deadline=ids.later(slopes.NOW, 5.0),
        latency_key="read",
        arrived_at=slopes.NOW,
    )


def _offer(made: balancer.Balancer, number: int) -> verdicts.Grant | None:
    granted = made.offer(_call(f"c{number}"), slopes.NOW)
    return granted if isinstance(granted, verdicts.Grant) else None


def _round(made: balancer.Balancer) -> None:
    grant = _offer(made, 1)
    assert grant is not None
    report = upstreams.LoadReport(2, 0)
    made.finish(grant, upstreams.Result.ANSWERED, report, slopes.NOW)
    made.forget(grant.call.id)


def cuts() -> None:
    """Show the processor time when members change and when a host list arrives."""
    costs = []
    for size in slopes.POOLS:
        made = pool_of(size, 450)
        costs.append(slopes.timed(made.pool.refresh, 20) * 1e3)
    slopes.show(
        "cutting slots anew, 450 entries, by upstreams, ms", "ms", slopes.POOLS, costs
    )
    sizes, cpu = [], []
    for hosts in slopes.POOLS:
        body = _listing(hosts)
        sizes.append(float(len(body)))
        cpu.append(slopes.timed(lambda b=body: hostlist.decode(b), 20) * 1e3)  # type: ignore[misc]
    slopes.show(
        "host list with as many entries as upstreams, bytes", "B", slopes.POOLS, sizes
    )
    slopes.show("host list, reading it, ms", "ms", slopes.POOLS, cpu)


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
            measure_gossip.member(n).host,
            hostlist.Role.ENTRY,
            measure_gossip.member(n).zone,
            measure_gossip.member(n).address,
            "",
            measure_gossip.member(n).peer_address,
        )
        for n in range(hosts)
    ]
    return msgspec.json.encode(hostlist.HostTable(1, tuple(records)))


def bundle_text(services: int) -> str:
    """Return the text of a bundle with ``services`` services of typical size."""
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
    """Show the bytes of a bundle and the time to check and open it."""
    private, public = bundle_seal.generate_key()
    sizes, cpu = [], []
    for count in slopes.SERVICES:
        text = bundle_text(count)
        checked = bundle_check.check(text, selection.POLICIES.names())
        assert isinstance(checked, bundle.Bundle), checked
        data = bundle_seal.encode(bundle_seal.seal(text, private))
        sizes.append(float(len(data)))
        cpu.append(
            slopes.timed(
                lambda d=data: bundle_seal.open_bytes(  # type: ignore[misc]
                    d, frozenset({public}), selection.POLICIES.names()
                ),
                5,
            )
            * 1e3
        )
    slopes.show(
        "bundle with 20 callers, by services, bytes", "B", slopes.SERVICES, sizes
    )
    sent = [
        float(
            _frame_bytes(bundle_seal.encode(bundle_seal.seal(bundle_text(n), private)))
        )
        for n in slopes.SERVICES
    ]
    slopes.show("the same between peers, bytes", "B", slopes.SERVICES, sent)
    sent = [float(_frame_bytes(_listing(n))) for n in slopes.POOLS]
    slopes.show("host list between peers, by upstreams, bytes", "B", slopes.POOLS, sent)
    slopes.show("opening a bundle, by services, ms", "ms", slopes.SERVICES, cpu)


def _frame_bytes(body: bytes) -> int:
    document = documents.Document(
        documents.DocumentKind.BUNDLE, 1, ids.Digest("a" * 64), body
    )
    frame = messages.DocumentFrame(1, False, document)
    return len(capnp_codec.CAPNP.encode_frame(frame)) + peer_seal.MAC_BYTES


def memory() -> None:
    """Show the bytes of state per remembered id, upstream and member."""
    per_id = []
    for count in slopes.RECORDS:
        table = once.OnceTable(count + 1)

        def fill(t: once.OnceTable = table, n: int = count) -> None:
            for k in range(n):
                key = once.OnceKey(f"ticket/entry-0001~{k:016x}~{k}~1000~abcdefgh")
                arrival = once.Arrival(
                    key, 1, True, f"{k:064x}", ids.later(slopes.NOW, 120.0), slopes.NOW
                )
                t.begin(arrival)
                t.ran(key, once.KeptAnswer(200, (("X", "y"),), b"b" * 200))

        per_id.append(_allocated(fill) / 1e6)
    slopes.show("remembered ids with 200 B answers, MB", "MB", slopes.RECORDS, per_id)
    pools: list[balancer.Balancer] = []
    sizes = [
        _allocated(lambda s=size: pools.append(pool_of(s, 18))) / 1e6  # type: ignore[misc]
        for size in slopes.POOLS
    ]
    slopes.show("a pool's state, by upstreams, MB", "MB", slopes.POOLS, sizes)
    views: list[gossip.Gossip] = []
    sizes = [
        _allocated(lambda f=fleet: views.append(measure_gossip.gossiper(f))) / 1e6  # type: ignore[misc]
        for fleet in slopes.FLEETS
    ]
    slopes.show("members known, by fleet, MB", "MB", slopes.FLEETS, sizes)
    measured = metrics.Metrics()
    sizes = []
    for count in slopes.SERVICES:

        def count_up(n: int = count) -> None:
            for k in range(n):
                for outcome in outcomes.Outcome:
                    for reason in list(outcomes.Reason)[:8]:
                        measured.requests.labels(
                            f"s{k}", outcome.value, reason.value
                        ).inc()
                measured.request_time.labels(f"s{k}").observe(0.1)

        sizes.append(_allocated(count_up) / 1e6)
    slopes.show("metrics, added by services, MB", "MB", slopes.SERVICES, sizes)


def _allocated(action: abc.Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    action()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(size)


def store_calls() -> None:
    """Show how many entries watch the store, as each of them computes it."""
    counts = []
    for fleet in slopes.FLEETS:
        members = [
            ownership.Member(
                measure_gossip.member(n).zone, measure_gossip.member(n).host
            )
            for n in range(fleet)
        ]
        readers = {
            host
            for zone in {m.zone for m in members}
            for host in rendezvous.assigned_hosts(members, zone, "store", 2)
        }
        counts.append(float(len(readers)))
    slopes.show("entries that watch the store, 5 zones", "", slopes.FLEETS, counts)


def main() -> None:
    """Measure everything and print the tables."""
    loguru.logger.remove()
    logging.disable()
    plugins.load()
    print("| what | size: measured | line |")
    print("|---|---|---|")
    for part in (
        decisions,
        measure_gossip.gossip_costs,
        measure_gossip.spread,
        cuts,
        bundles,
        memory,
        store_calls,
    ):
        part()


if __name__ == "__main__":
    main()
    sys.exit(0)
