"""
Gateways that change a service's version, played in virtual time.

Each gateway is the product's own: balancer, orders, runs, decider and loop. Played
are callers, upstreams, the datagrams between gateways and the store. Everything is
drawn from one seed.
"""

import dataclasses
import heapq
import itertools
import random
import types
import typing
from collections import abc

from features.support import rollout_service, rollout_store
from spindlenotch import clock, ids, metrics
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.gateway.cluster import fleet as fleets, fleet_size
from spindlenotch.gateway.rollout import loop as loops, registry, runs
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import (
    outcomes,
    ownership,
    upstreams,
    wait_queue,
)
from spindlenotch.peers import messages, rollout_notes


@dataclasses.dataclass(slots=True)
class Machine:
    """An upstream as it really is."""

    spec: upstreams.UpstreamSpec
    running: int = 0
    slowdown: float = 1.0
    #: Share of requests that it fails by itself, whatever its version.
    fails: float = 0.0


@dataclasses.dataclass(slots=True)
class Harm:
    """What is wrong with the new version: from when, on what, and how much of it."""

    fails: float = 0.0
    slower: float = 1.0
    from_s: float = 0.0
    route: str = ""
    only_full: bool = False
    #: How many other requests must run at the upstream.
    least_running: int = 0
    #: Share of its requests that are slow.
    slow_share: float = 1.0
    #: Whether upstreams report it where they are slow.
    is_told: bool = False

    @property
    def is_bad(self) -> bool:
        """Tell whether anything is."""
        return self.fails > 0.0 or self.slower > 1.0

    def strikes(self, machine: Machine, route: str, at_s: float) -> bool:
        """Tell whether a request may meet it."""
        if at_s < self.from_s or (self.route and self.route != route):
            return False
        if machine.running < self.least_running:
            return False
        return not self.only_full or machine.running + 1 >= machine.spec.slots


@dataclasses.dataclass(slots=True)
class Plan:
    """What a world is like; instants are seconds since the order."""

    seed: int
    gateways: int = 5
    olds: int = 18
    news: int = 18
    per_s: float = 200.0
    slots: int = rollout_service.SLOTS
    #: Multiple of each route's usual work that a request takes.
    work: float = 1.0
    by_s: float = rollout_service.BY_S
    harm: Harm = dataclasses.field(default_factory=Harm)
    #: How many times the usual time a gateway that starts takes a request to need.
    guess: float = 1.0
    #: Called with the world before it is played.
    disturb: abc.Callable[["World"], None] | None = None


@dataclasses.dataclass(slots=True)
class Seen:
    """What an onlooker counts."""

    reached: int = 0
    to_new: int = 0
    #: Most that the new version was ahead of its share before it was promoted.
    most_ahead: float = 0.0
    bad_at: list[float] = dataclasses.field(default_factory=list)
    new_sent_at: list[float] = dataclasses.field(default_factory=list)
    answered: int = 0
    failed: int = 0
    statuses: list[tuple[float, sources.RolloutState]] = dataclasses.field(
        default_factory=list
    )
    old_running: int = 0


class Gateway:
    """One gateway of the fleet: the product's parts and what stands for the rest."""

    def __init__(self, world: "World", host: ids.HostId) -> None:
        self.world = world
        self.host = host
        self.is_up = True
        self.is_cut = False
        #: Messages to everyone.
        self.announced = 0
        #: Share of the calls that its link breaks.
        self.link_fails = 0.0
        rng = random.Random(world.rng.random())
        member = ownership.Member(rollout_service.ZONE, host)
        self.balancer = balancer.Balancer(rollout_service.policy(), member, rng)
        for route, work_s in rollout_service.WORK_S_BY_ROUTE.items():
            guess_s = world.plan.guess * world.plan.work * work_s
            self.balancer.pool.latencies.track(route, guess_s)
        measured = world.metrics
        self.rollouts = registry.Registry(rollout_service.SHARE, measured)
        self.local = rollout_service.record(host, next(world.numbers))
        self.state = typing.cast(typing.Any, types.SimpleNamespace())
        self.state.__dict__.update(
            clock=world.clock,
            rollouts=self.rollouts,
            balancer_by_service={rollout_service.SERVICE: self.balancer},
            gossip=types.SimpleNamespace(
                local=self.local, known_by_host={}, rollout_phases=()
            ),
            local_member=member,
            links=None,
            region_size=fleet_size.FleetSize(),
            reads_source=True,
            metrics=measured,
            table=types.SimpleNamespace(configuration=rollout_service.CONFIGURATION),
            rng=rng,
            config=types.SimpleNamespace(peers=("a", "b"), peer_listen="a"),
            apply_rollout_status=self._status_written,
        )
        self.loop = loops.RolloutLoop(self.state, self, self, world.store)  # type: ignore[arg-type]
        self.loop.tasks = world.store  # type: ignore[assignment]
        self.see_peers()

    def see_peers(self) -> None:
        """Take in who is there."""
        known = {}
        for other in self.world.gateways:
            hidden = other.is_cut != self.is_cut or self.is_cut
            if other.is_up and other.host != self.host and not hidden:
                known[other.host] = types.SimpleNamespace(
                    record=other.local, missed=0, suspected=False
                )
        self.state.gossip.known_by_host = known

    def view(self) -> fleets.View:
        """Return who plays which part; see ``fleet.Fleet``."""
        peers = self.state.gossip.known_by_host.values()
        ready = [self.local, *(peer.record for peer in peers)]
        active = [
            types.SimpleNamespace(host=r.host, zone=rollout_service.ZONE)
            for r in ready
            if r.host not in self.world.standby
        ]
        return fleets.View(ready, [], active)  # type: ignore[arg-type]

    def update_size(self) -> None:
        """Look at how many gateways there are; see ``fleet.Fleet``."""
        seen = 1 + len(self.state.gossip.known_by_host)
        self.state.region_size.update(seen, self.world.now, has_others=True)

    def active_zones(self) -> dict[ids.HostId, ids.ZoneName]:
        """Return the gateways that get callers."""
        return self.view().active_zones

    def send(self, message: messages.Message, targets: list[ids.Address]) -> None:
        """Send a datagram; see ``peer_link.PeerLink``."""
        self.announced += message.evidence is None
        if not self.is_cut:
            for target in targets:
                self.world.datagram(message, target)

    def take_list(self, snapshot: sources.Snapshot) -> None:
        """Take in everything the store holds."""
        self.rollouts.orders.replace(snapshot, self.world.now)
        specs = [machine.spec for machine in self.world.machines]
        self.balancer.pool.set_listed(specs, self.world.now)
        self.rollouts.reconcile({rollout_service.SERVICE: self.balancer})

    def _status_written(self, status: sources.RolloutStatus) -> None:
        self.rollouts.orders.written(status)
        self.rollouts.reconcile({rollout_service.SERVICE: self.balancer})

    @property
    def run(self) -> runs.Run:
        """Return the run of the order."""
        return self.rollouts.run_by_service[rollout_service.SERVICE]


class World:
    """A fleet, its upstreams and its callers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.clock = clock.ManualClock()
        self.metrics = metrics.Metrics()
        self.numbers = itertools.count(1)
        self.seen = Seen()
        self.loss = 0.0
        #: Share of the calls whose callers leave.
        self.leaving = 0.0
        #: Gateways that get no callers.
        self.standby: set[ids.HostId] = set()
        self.per_s = plan.per_s
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self.began_at = self.now
        versions = [rollout_service.OLD] * plan.olds + [rollout_service.NEW] * plan.news
        self.machines = [
            Machine(
                upstreams.UpstreamSpec(
                    id=ids.UpstreamId(f"u{n}"),
                    zone=rollout_service.ZONE,
                    address=ids.Address(f"u{n}"),
                    generation=1,
                    slots=plan.slots,
                    version=version,
                )
            )
            for n, version in enumerate(versions)
        ]
        self.machine_by_id = {machine.spec.id: machine for machine in self.machines}
        self.store = rollout_store.Store(self)
        self.gateways: list[Gateway] = []
        for number in range(plan.gateways):
            self.gateways.append(Gateway(self, ids.HostId(f"h{number}")))

    @property
    def now(self) -> ids.Instant:
        """Return the instant."""
        return self.clock.now()

    @property
    def at_s(self) -> float:
        """Return the seconds since the order."""
        return self.now - self.began_at

    def after(self, seconds: float, action: abc.Callable[[], None]) -> None:
        """Do something later."""
        entry = (self.now + seconds, next(self.numbers), action)
        heapq.heappush(self._events, entry)

    def every(self, period_s: float, action: abc.Callable[[], None]) -> None:
        """Do something again and again."""

        def again() -> None:
            action()
            self.after(period_s, again)

        self.after(self.rng.uniform(0.0, period_s), again)

    def play(self, seconds: float | None = None) -> Seen:
        """Order the new version and play the world; return what was seen."""
        self.store.order(self.plan.by_s)
        self.see_peers()
        for gateway in self.gateways:
            self.every(rollout_service.ROUND_S, lambda one=gateway: self._round(one))  # type: ignore[misc]
        self.every(rollout_service.REPORT_S, self._report)
        if self.plan.disturb is not None:
            self.plan.disturb(self)
        self._arrive()
        end = self.now + (self.plan.by_s + 1.0 if seconds is None else seconds)
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.now))
            action()
        return self.seen

    def see_peers(self) -> None:
        """Let all gateways see who is there."""
        for gateway in self.gateways:
            gateway.see_peers()

    def restart(self, number: int) -> None:
        """End a gateway and start another one on its host."""
        self.gateways[number].is_up = False
        begun = Gateway(self, self.gateways[number].host)
        self.gateways[number] = begun
        begun.take_list(self.store.snapshot())
        self.every(rollout_service.ROUND_S, lambda: self._round(begun))
        self.see_peers()

    def datagram(self, message: messages.Message, target: ids.Address) -> None:
        """Carry a datagram, unless it gets lost."""
        if self.rng.random() < self.loss:
            return
        for gateway in self.gateways:
            if gateway.local.peer_address == target and not gateway.is_cut:
                self.after(
                    rollout_service.WAY_S,
                    lambda one=gateway: one.loop.message_received(message, None),
                )  # type: ignore[misc]

    def status_changed(self, state: sources.RolloutState) -> None:
        """Note a status that was written, and what runs on the old upstreams then."""
        self.seen.statuses.append((self.at_s, state))
        old = [m for m in self.machines if m.spec.version == rollout_service.OLD]
        self.seen.old_running = sum(m.running for m in old)

    # Requests

    def _arrive(self) -> None:
        gateway = self.rng.choice(
            [one for one in self.gateways if one.host not in self.standby]
        )
        (route,) = self.rng.choices(
            list(rollout_service.PART_BY_ROUTE),
            list(rollout_service.PART_BY_ROUTE.values()),
        )
        call = wait_queue.Call(
            id=ids.CallId(f"c{next(self.numbers)}"),
            priority=1,
            repeatable=route != "book",
            deadline=ids.later(self.now, rollout_service.DEADLINE_S),
            latency_key=route,
            arrived_at=self.now,
            max_attempts=2,
            wait_until=ids.later(self.now, 0.5),
        )
        verdict = gateway.balancer.offer(call, self.now)
        if isinstance(verdict, verdicts.Grant):
            self._send(gateway, verdict)
        self.after(self.rng.expovariate(self.per_s), self._arrive)

    def _send(self, gateway: Gateway, grant: verdicts.Grant) -> None:
        machine = self.machine_by_id[grant.upstream.spec.id]
        route = grant.call.latency_key
        work_s = rollout_service.WORK_S_BY_ROUTE[route] * self.plan.work
        work_s *= 0.6 + self.rng.expovariate(2.5)
        work_s *= machine.slowdown * max(
            1.0, (machine.running + 1) / machine.spec.slots
        )
        failed = self.rng.random() < max(machine.fails, gateway.link_fails)
        if grant.kind is verdicts.Kind.FIRST:
            self.seen.reached += 1
        if machine.spec.version == rollout_service.NEW:
            harm = self.plan.harm
            self._count_new(harm.is_bad)
            if harm.strikes(machine, route, self.at_s):
                harmed = self.rng.random() < harm.fails
                failed |= harmed
                is_slow = harm.slow_share >= 1.0 or self.rng.random() < harm.slow_share
                work_s *= harm.slower if is_slow else 1.0
                if harmed or (is_slow and harm.slower > 1.0):
                    self.after(work_s, lambda: self.seen.bad_at.append(self.at_s))
        machine.running += 1
        left_s = max(0.0, grant.call.deadline - self.now)
        is_late = work_s > left_s
        took_s = min(work_s, left_s)
        self.after(took_s, lambda: self._end(gateway, grant, machine, failed, is_late))

    def _count_new(self, is_bad: bool) -> None:
        seen = self.seen
        seen.to_new += 1
        seen.new_sent_at.append(self.at_s)
        runs_now = [
            g.rollouts.run_by_service.get(rollout_service.SERVICE)
            for g in self.gateways
        ]
        phases = {one.phase for one in runs_now if one is not None}
        if phases == {rollout_notes.Phase.RUNNING}:
            ahead = seen.to_new - rollout_service.SHARE * seen.reached
            seen.most_ahead = max(seen.most_ahead, ahead)

    def _end(
        self,
        gateway: Gateway,
        grant: verdicts.Grant,
        machine: Machine,
        failed: bool,
        is_late: bool,
    ) -> None:
        machine.running -= 1
        result = upstreams.Result.FAILED if failed else upstreams.Result.ANSWERED
        if is_late or self.rng.random() < self.leaving:
            result, failed = upstreams.Result.CANCELLED, False
        report = self._load(machine)
        settled = gateway.balancer.finish(grant, result, report, self.now)
        retry = None
        if failed:
            retry = gateway.balancer.retry(grant, self.now)
        if retry is None:
            self.seen.failed += failed
            self.seen.answered += not failed
            gateway.balancer.forget(grant.call.id)
        else:
            self._send(gateway, retry)
        self._settle(gateway, settled)

    def _settle(self, gateway: Gateway, settled: list[verdicts.Settlement]) -> None:
        for one in settled:
            if not isinstance(one.verdict, outcomes.Refusal):
                self._send(gateway, one.verdict)

    def _load(self, machine: Machine) -> upstreams.LoadReport:
        slowdown = machine.slowdown
        if self.plan.harm.is_told and machine.spec.version == rollout_service.NEW:
            slowdown *= self.plan.harm.slower
        return upstreams.LoadReport(machine.running, 0, slowdown)

    # Rounds

    def _round(self, gateway: Gateway) -> None:
        if gateway.is_up:
            gateway.balancer.pool.tick(self.now)
            self._settle(gateway, gateway.balancer.settle(self.now))
            gateway.loop.update()

    def _report(self) -> None:
        for gateway in self.gateways:
            pool = gateway.balancer.pool
            for upstream in pool.usable_order:
                machine = self.machine_by_id[upstream.spec.id]
                load = self._load(machine)
                pool.reported(upstream, load, self.now)


def played(plan: Plan) -> World:
    """Return a world after it was played."""
    world = World(plan)
    world.play()
    return world


def final_state(world: World) -> sources.RolloutState | None:
    """Return the newest status in the store."""
    status = world.store.status_by_service.get(rollout_service.SERVICE)
    return None if status is None else status.state
