"""
One run: a workload under one way of dispatching, and what came of it.

``KernelDispatch`` drives the daemon's own ``balancer.Balancer`` objects, one
per entry. The bounds know everything at once and cost nothing.
"""

import dataclasses
import random
import typing
from collections import abc

from experiment import worker, workloads
from spindlenotch import ids
from spindlenotch.bundles import bundle
from spindlenotch.decisions import balancer
from spindlenotch.entry import plugins
from spindlenotch.kernel import outcomes, ownership, upstreams, waiting

POKE_S = 0.01
PROBE_S = 0.006
CONNECT_S = 0.001


@dataclasses.dataclass(slots=True)
class Totals:
    """What came of one run. Latencies in seconds, by kind of request."""

    latencies_by_kind: dict[str, list[float]]
    late_latencies: list[float]
    offered: int = 0
    refused: int = 0
    failed: int = 0
    sends: int = 0
    probes: int = 0

    def done(self, arrival: workloads.Arrival, took: float, late: bool) -> None:
        """Count an answered request."""
        self.latencies_by_kind.setdefault(arrival.kind, []).append(took)
        if late:
            self.late_latencies.append(took)


class Dispatch(typing.Protocol):
    """A way of bringing requests to workers."""

    def arrive(self, arrival: workloads.Arrival) -> None:
        """Take in one request now."""


Factory = abc.Callable[
    [worker.Simulation, list[worker.Worker], workloads.Setup, Totals], Dispatch
]


def run(setup: workloads.Setup, factory: Factory) -> tuple[Totals, float]:
    """Run one experiment; return the totals and the share spent on probes."""
    simulation = worker.Simulation()
    zones = workloads.ZONES
    workers = [
        worker.Worker(simulation, f"w{n:03}", zones[n % len(zones)], setup.slots)
        for n in range(setup.workers)
    ]
    workloads.TROUBLES.get(setup.name)(simulation, workers, setup)
    totals = Totals({}, [])
    dispatch = factory(simulation, workers, setup, totals)
    for arrival in workloads.arrivals(setup):
        simulation.at(arrival.at, lambda a=arrival: dispatch.arrive(a))  # type: ignore[misc]
    simulation.run(setup.seconds + workloads.DEADLINE_S)
    capacity = setup.workers * setup.slots * setup.seconds
    return totals, totals.probes * PROBE_S / capacity


def is_late(setup: workloads.Setup, at: float) -> bool:
    """Tell whether a request came a second or more after the trouble began."""
    return at > workloads.ONE_WORKER_EVENT_AT * setup.seconds + 1.0


class ShortestKnown:
    """Bound: the shortest queue, known at once and by everybody."""

    def __init__(
        self,
        simulation: worker.Simulation,
        workers: list[worker.Worker],
        setup: workloads.Setup,
        totals: Totals,
    ) -> None:
        self.simulation = simulation
        self.workers = workers
        self.setup = setup
        self.totals = totals
        self.rng = random.Random(setup.seed)

    def arrive(self, arrival: workloads.Arrival) -> None:
        """Send it to the shortest queue."""
        self.totals.offered += 1
        least = min(worker.expected_wait(w) for w in self.workers)
        options = [w for w in self.workers if worker.expected_wait(w) == least]
        chosen = self.rng.choice(options)
        self._send(arrival, chosen)

    def _send(self, arrival: workloads.Arrival, chosen: worker.Worker) -> None:
        self.totals.sends += 1
        way = self.setup.way_s
        connect = 0.0 if arrival.repeatable else CONNECT_S

        def done(result: upstreams.Result, report: upstreams.LoadReport) -> None:
            if result is not upstreams.Result.ANSWERED:
                self.totals.failed += 1
                return
            took = self.simulation.now + way - arrival.at
            late = is_late(self.setup, arrival.at)
            self.totals.done(arrival, took, late)

        work = worker.Work(arrival.work_s + connect, done, arrival.rank)
        self.simulation.after(way, lambda: chosen.offer(work))


class Central(ShortestKnown):
    """Bound: one central queue by rank, which also knows each speed."""

    def __init__(
        self,
        simulation: worker.Simulation,
        workers: list[worker.Worker],
        setup: workloads.Setup,
        totals: Totals,
    ) -> None:
        super().__init__(simulation, workers, setup, totals)
        self.waiting: dict[int, list[workloads.Arrival]] = {}
        self.promised = {w.name: 0 for w in workers}
        for one in workers:
            one.on_free = self._serve

    def arrive(self, arrival: workloads.Arrival) -> None:
        """Queue it and serve whoever can be served."""
        self.totals.offered += 1
        self.waiting.setdefault(arrival.rank, []).append(arrival)
        self._serve()

    def _serve(self) -> None:
        while True:
            ranks = [rank for rank in sorted(self.waiting) if self.waiting[rank]]
            free = [
                w
                for w in self.workers
                if w.count + self.promised[w.name] < w.slots and w.speed > 0
            ]
            healthy = [w for w in free if not (w.fail_fast or w.draining)]
            if not ranks or not healthy:
                return
            best = max(w.speed for w in healthy)
            chosen = self.rng.choice([w for w in healthy if w.speed == best])
            arrival = self.waiting[ranks[0]].pop(0)
            self.promised[chosen.name] += 1
            self.simulation.after(
                self.setup.way_s,
                lambda c=chosen: self._arrived(c),  # type: ignore[misc]
            )
            self._send(arrival, chosen)

    def _arrived(self, chosen: worker.Worker) -> None:
        self.promised[chosen.name] -= 1


class FreshProbes(ShortestKnown):
    """Baseline: power of two with a fresh probe of both at each decision."""

    def arrive(self, arrival: workloads.Arrival) -> None:
        """Probe two, then send to the one with the shorter queue."""
        self.totals.offered += 1
        pair = self.rng.sample(self.workers, 2)
        seen: list[tuple[float, worker.Worker]] = []
        for one in pair:
            self._probe(one, seen, arrival)

    def _probe(
        self,
        one: worker.Worker,
        seen: list[tuple[float, worker.Worker]],
        arrival: workloads.Arrival,
    ) -> None:
        self.totals.probes += 1
        way = self.setup.way_s

        def answered() -> None:
            seen.append((worker.expected_wait(one), one))
            if len(seen) == 2:
                self._send(arrival, min(seen, key=lambda pair: pair[0])[1])

        def done(result: upstreams.Result, report: upstreams.LoadReport) -> None:
            self.simulation.after(way, answered)

        work = worker.Work(PROBE_S, done)
        self.simulation.after(way, lambda: one.offer(work))


def service_for(
    setup: workloads.Setup, policy: str, hedge_share: float
) -> bundle.Service:
    """Return the bundle's view of the experiment's service."""
    mix = workloads.MIX_BY_NAME.get(setup.name, workloads.USUAL)
    operations = tuple(
        bundle.Operation(
            k.name, frozenset({"GET"}), "/", ids.ClassName(k.name), k.repeatable
        )
        for k in mix
    )
    return bundle.Service(
        name=ids.ServiceName("sim"),
        zones=tuple(map(ids.ZoneName, workloads.ZONES)),
        slots=setup.slots,
        connections=250,
        typical_ms=workloads.MEAN_WORK_S * 1000,
        policy=policy,
        hedge_share=hedge_share,
        retry_share=0.05,
        queue_limit=2000,
        eject_share=0.4,
        operations=operations,
        day=(),
    )


class KernelDispatch:
    """The daemon's balancers, one per entry, none of which sees another."""

    def __init__(
        self,
        simulation: worker.Simulation,
        workers: list[worker.Worker],
        setup: workloads.Setup,
        totals: Totals,
        service: bundle.Service,
    ) -> None:
        plugins.load()
        self.simulation = simulation
        self.setup = setup
        self.totals = totals
        self.worker_by_id = {ids.UpstreamId(w.name): w for w in workers}
        self.balancers = self._balancers(workers, service)
        self.poking: set[int] = set()
        self.call_by_id: dict[ids.CallId, _Call] = {}

    def _balancers(
        self, workers: list[worker.Worker], service: bundle.Service
    ) -> list[balancer.Balancer]:
        zones = workloads.ZONES
        now = ids.Instant(0.0)
        members = [
            ownership.Member(ids.ZoneName(zones[n % 3]), ids.HostId(f"e{n:03}"))
            for n in range(self.setup.entries)
        ]
        specs = [
            upstreams.UpstreamSpec(
                ids.UpstreamId(w.name), ids.ZoneName(w.zone), ids.Address(""), 1
            )
            for w in workers
        ]
        made = []
        for member in members:
            rng = random.Random(f"{member.host}/{self.setup.seed}")
            one = balancer.Balancer(service, member, rng, now)
            one.pool.set_members(members)
            one.pool.set_listed(specs, now)
            for known in one.pool.upstream_by_id.values():
                known.answers = upstreams.WARM_AFTER_ANSWERS
            made.append(one)
        return made

    def arrive(self, arrival: workloads.Arrival) -> None:
        """Offer it to its entry's balancer."""
        self.totals.offered += 1
        now = ids.Instant(self.simulation.now)
        call = waiting.Call(
            ids.CallId(str(self.totals.offered)),
            arrival.rank,
            arrival.repeatable,
            ids.later(now, arrival.deadline_s),
            arrival.kind,
            now,
        )
        state = _Call(self, arrival, call, self.balancers[arrival.entry])
        self.call_by_id[call.id] = state
        offered = state.balancer.offer(call, now)
        if isinstance(offered, balancer.Waiting):
            if offered.displaced is not None:
                self.settle([offered.displaced])
            self._poke(arrival.entry)
        else:
            state.verdict(offered)

    def settle(self, settlements: list[balancer.Settlement]) -> None:
        """Hand verdicts to calls that waited."""
        for settlement in settlements:
            self.call_by_id[settlement.call.id].verdict(settlement.verdict)

    def _poke(self, entry: int) -> None:
        if entry in self.poking:
            return
        self.poking.add(entry)

        def again() -> None:
            self.poking.discard(entry)
            now = ids.Instant(self.simulation.now)
            self.settle(self.balancers[entry].settle(now))
            self.settle(self.balancers[entry].give_up(now))
            if len(self.balancers[entry].queue):
                self._poke(entry)

        self.simulation.after(POKE_S, again)


class _Call:
    """One request under way in a ``KernelDispatch``."""

    def __init__(
        self,
        dispatch: KernelDispatch,
        arrival: workloads.Arrival,
        call: waiting.Call,
        own_balancer: balancer.Balancer,
    ) -> None:
        self.dispatch = dispatch
        self.arrival = arrival
        self.call = call
        self.balancer = own_balancer
        self.work_by_grant: dict[balancer.Grant, worker.Work] = {}
        self.over = False

    def verdict(self, verdict: balancer.Grant | outcomes.Refusal) -> None:
        """Go on with what the balancer said."""
        if isinstance(verdict, outcomes.Refusal):
            self.dispatch.totals.refused += 1
            self._end()
        else:
            self._send(verdict)
            self._check_later(verdict)

    def _send(self, grant: balancer.Grant) -> None:
        dispatch = self.dispatch
        dispatch.totals.sends += 1
        chosen = dispatch.worker_by_id[grant.upstream.spec.id]
        connect = 0.0 if self.call.repeatable else CONNECT_S
        way = dispatch.setup.way_s
        work = worker.Work(
            self.arrival.work_s + connect,
            lambda result, report: dispatch.simulation.after(
                way, lambda: self._answer(grant, result, report)
            ),
        )
        self.work_by_grant[grant] = work
        dispatch.simulation.after(way, lambda: self._arrive(chosen, work))

    def _arrive(self, chosen: worker.Worker, work: worker.Work) -> None:
        if work.state != "cancelled":
            chosen.offer(work)

    def _check_later(self, grant: balancer.Grant) -> None:
        simulation = self.dispatch.simulation
        when = self.balancer.next_check(grant, ids.Instant(simulation.now))
        simulation.at(min(when, self.call.deadline), lambda: self._check(grant))

    def _check(self, grant: balancer.Grant) -> None:
        if self.over:
            return
        now = ids.Instant(self.dispatch.simulation.now)
        if now >= self.call.deadline:
            self._give_up()
            return
        hedge = self.balancer.hedge(grant, now)
        if hedge is not None:
            self._send(hedge)
            grant = hedge
        self._check_later(grant)

    def _answer(
        self,
        grant: balancer.Grant,
        result: upstreams.Result,
        report: upstreams.LoadReport,
    ) -> None:
        if grant not in self.work_by_grant:
            return
        dispatch = self.dispatch
        now = ids.Instant(dispatch.simulation.now)
        del self.work_by_grant[grant]
        dispatch.settle(self.balancer.finish(grant, result, report, now))
        if result is upstreams.Result.SHED:
            self.balancer.pool.leave(grant.upstream.spec.id, 1, "draining")
        if result is upstreams.Result.ANSWERED:
            took = now - self.arrival.at
            dispatch.totals.done(
                self.arrival, took, is_late(dispatch.setup, self.arrival.at)
            )
            self._end()
            return
        retry = self.balancer.retry(grant, now)
        if retry is not None:
            self._send(retry)
        elif not self.work_by_grant:
            dispatch.totals.failed += 1
            self._end()

    def _give_up(self) -> None:
        self.dispatch.totals.failed += 1
        took = self.arrival.deadline_s
        late = is_late(self.dispatch.setup, self.arrival.at)
        self.dispatch.totals.done(self.arrival, took, late)
        self._end()

    def _end(self) -> None:
        self.over = True
        now = ids.Instant(self.dispatch.simulation.now)
        for grant, work in self.work_by_grant.items():
            chosen = self.dispatch.worker_by_id[grant.upstream.spec.id]
            self.dispatch.simulation.after(
                self.dispatch.setup.way_s,
                lambda c=chosen, w=work: _cancel(c, w),  # type: ignore[misc]
            )
            self.dispatch.settle(
                self.balancer.finish(grant, upstreams.Result.CANCELLED, None, now)
            )
        self.work_by_grant.clear()
        self.balancer.forget(self.call.id)
        self.dispatch.call_by_id.pop(self.call.id, None)


def _cancel(chosen: worker.Worker, work: worker.Work) -> None:
    if work.state == "new":
        work.state = "cancelled"
    else:
        chosen.cancel(work)
