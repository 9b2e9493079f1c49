"""
The mixed-fault machine: any fault at any moment, against a simple oracle.

Callers, operators and faults are rules that hypothesis plays in any order on
a virtual fleet; ``oracle`` judges what came of it. The names of rules stay as
they are: hypothesis orders rules by name, so that a kept seed plays other steps
after a rename.
"""

from hypothesis import stateful, strategies

from features.support import oracle, virtual_fleet, virtual_world
from spindlenotch import headers
from spindlenotch.entry import plugins

HOSTS = ("e0", "e1", "e2", "e3")
UPSTREAMS = 3
MODES = ("good", "shed", "lost", "break", "truncate", "mix", "refuse", "freeze")
PAUSES = (0.002, 0.02, 0.15, 0.7, 2.5, 6.0)
TIMEOUTS = (0.05, 0.4, 2.0, 5.0)
#: Every entry has the newest bundle in force this long after the last fault, in
#: seconds.
IN_FORCE_LIMIT_S = 9.0
#: Every request has ended by then, in seconds: longer than the longest timeout.
SETTLE_S = 6.0

hosts = strategies.sampled_from(HOSTS)
upstream_numbers = strategies.integers(0, UPSTREAMS - 1)


class MixedFaults(stateful.RuleBasedStateMachine):
    """Rules and oracle; see the module's docstring."""

    def __init__(self) -> None:
        super().__init__()
        plugins.load()
        self.fleet = virtual_fleet.VirtualFleet(7, UPSTREAMS)
        self.life_by_host: dict[str, virtual_fleet.VirtualEntry] = {}
        for number, host in enumerate(HOSTS[:3]):
            self._start(host, number)
        self.fleet.world.run(3.0)
        self.work_count = 0
        self.id_header_by_work: dict[str, tuple[str, str]] = {}
        #: Bookings whose caller never declares which attempt it is.
        self.undeclared_works: set[str] = set()
        self.frozen_hosts: set[str] = set()
        self.oracle = oracle.Oracle(
            self.fleet, self.id_header_by_work, self.frozen_hosts
        )

    # Callers

    @stateful.rule(host=hosts, timeout=strategies.sampled_from(TIMEOUTS))
    def book_by_ticket(self, host: str, timeout: float) -> None:
        """A caller books with a ticket of this host."""
        entry = self._living(host)
        if entry is None or not entry.state.readiness.serves or entry.loop.frozen:
            return
        ticket = entry.state.mint.mint(entry.state.clock.now())
        self._book(entry, (headers.TICKET, ticket), 1, timeout)

    @stateful.rule(
        host=hosts,
        timeout=strategies.sampled_from(TIMEOUTS),
        declared=strategies.booleans(),
    )
    def book_by_key(self, host: str, timeout: float, declared: bool) -> None:
        """A caller books with an id of its own, saying that it is new or not."""
        entry = self._living(host)
        if entry is None:
            return
        key = (headers.IDEMPOTENCY_KEY, f"key-{self.work_count}")
        self._book(entry, key, 1 if declared else None, timeout)

    @stateful.precondition(lambda self: self.id_header_by_work)
    @stateful.rule(
        host=hosts,
        data=strategies.data(),
        timeout=strategies.sampled_from(TIMEOUTS),
        raise_attempt=strategies.booleans(),
    )
    def resend(
        self,
        host: str,
        data: strategies.DataObject,
        timeout: float,
        raise_attempt: bool,
    ) -> None:
        """A caller sends a booking again through any host."""
        entry = self._living(host)
        work = data.draw(strategies.sampled_from(sorted(self.id_header_by_work)[-4:]))
        if entry is None:
            return
        before = self.fleet.attempts_by_work[work]
        number: int | None = before[-1].number + (1 if raise_attempt else 0)
        if work in self.undeclared_works:
            number = None
        elif number == 1:
            # "First attempt" may be declared only once.
            number = 2
        self.fleet.send(entry, work, self.id_header_by_work[work], number, timeout)

    @stateful.rule(host=hosts, timeout=strategies.sampled_from(TIMEOUTS))
    def read(self, host: str, timeout: float) -> None:
        """A caller reads."""
        entry = self._living(host)
        if entry is not None:
            self.fleet.send(entry, f"read-{self._next()}", None, None, timeout)

    @stateful.rule(host=hosts)
    def read_often(self, host: str) -> None:
        """A caller reads again and again through one host."""
        entry = self._living(host)
        for _ in range(8 if entry is not None else 0):
            assert entry is not None
            self.fleet.send(entry, f"read-{self._next()}", None, None, 1.0)
            self.fleet.world.run(0.04)

    # Time

    @stateful.rule(seconds=strategies.sampled_from(PAUSES))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.fleet.world.run(seconds)

    # Processes

    @stateful.rule(host=hosts)
    def kill(self, host: str) -> None:
        """A process is killed."""
        entry = self._living(host)
        if entry is not None:
            virtual_world.kill(entry.loop)
            self.fleet.network.link_by_address.pop(entry.address, None)

    @stateful.rule(host=hosts)
    def start(self, host: str) -> None:
        """A host comes up (again)."""
        if self._living(host) is None:
            self._start(host, HOSTS.index(host))

    @stateful.rule(host=hosts)
    def freeze(self, host: str) -> None:
        """A process is paused."""
        entry = self._living(host)
        if entry is not None:
            entry.loop.frozen = True
            # What arrives meanwhile is handled only later; the oracle on
            # draining upstreams therefore skips hosts that were ever frozen.
            self.frozen_hosts.add(host)

    @stateful.rule(host=hosts)
    def thaw(self, host: str) -> None:
        """A paused process goes on."""
        entry = self._living(host)
        if entry is not None:
            entry.loop.frozen = False

    @stateful.rule(
        host=hosts,
        seconds=strategies.sampled_from((0.2, 0.7, 1.5)),
        timeout=strategies.sampled_from(TIMEOUTS),
    )
    def stall(self, host: str, seconds: float, timeout: float) -> None:
        """A process stands still for a moment while a booking comes in."""
        entry = self._living(host)
        if entry is None or entry.loop.frozen:
            return
        self.freeze(host)
        self._book(
            entry, (headers.IDEMPOTENCY_KEY, f"key-{self.work_count}"), 1, timeout
        )
        self.fleet.world.run(seconds)
        self.thaw(host)
        self.fleet.world.run(0.02)

    # Platform and network

    @stateful.rule(down=strategies.booleans())
    def store_outage(self, down: bool) -> None:
        """The store goes down or comes back."""
        self.fleet.store.down = down

    @stateful.rule(lost=strategies.integers(0, 2), late=strategies.integers(0, 1))
    def store_loses(self, lost: int, late: int) -> None:
        """Answers to writes get lost, or writes take effect late."""
        self.fleet.store.lose_answers = lost
        self.fleet.store.late_writes = late

    @stateful.rule(down=strategies.booleans())
    def host_list_outage(self, down: bool) -> None:
        """The host list goes down or comes back."""
        self.fleet.hosts.down = down

    @stateful.rule(host=hosts)
    def cut_off(self, host: str) -> None:
        """A host is cut off from all peers."""
        entry = self._living(host)
        if entry is None:
            return
        for other in self.fleet.living():
            if other is not entry:
                pair = frozenset({entry.address, other.address})
                self.fleet.network.cut.add(pair)

    @stateful.rule()
    def heal_network(self) -> None:
        """All hosts reach each other again."""
        self.fleet.network.cut.clear()

    # Upstreams

    @stateful.rule(number=upstream_numbers, mode=strategies.sampled_from(MODES))
    def upstream_mode(self, number: int, mode: str) -> None:
        """An upstream changes its behaviour."""
        self.fleet.upstream(number).mode = mode

    @stateful.rule(mode=strategies.sampled_from(MODES))
    def all_upstreams_mode(self, mode: str) -> None:
        """All upstreams change their behaviour alike."""
        for number in range(UPSTREAMS):
            self.fleet.upstream(number).mode = mode

    @stateful.rule(number=upstream_numbers, listed=strategies.booleans())
    def drain(self, number: int, listed: bool) -> None:
        """An upstream starts to drain; the host list may not show it yet."""
        state = self.fleet.upstream(number)
        others = [self.fleet.upstream(n) for n in range(UPSTREAMS) if n != number]
        if state.leaving_since is None and any(o.leaving_since is None for o in others):
            state.leaving_since = self.fleet.world.now
            state.late_requests.clear()
            if listed:
                self.fleet.list_upstream(number, "leaving")

    @stateful.rule(number=upstream_numbers)
    def come_back(self, number: int) -> None:
        """A drained upstream is restarted: a new generation."""
        state = self.fleet.upstream(number)
        if state.leaving_since is not None:
            state.leaving_since = None
            self.fleet.generation_by_upstream[state.name] += 1
            self.fleet.list_upstream(number)

    # Operators

    @stateful.rule(operators=strategies.integers(1, 2))
    def publish(self, operators: int) -> None:
        """One or two operators publish from the version in force."""
        base = self.fleet.stored_version()
        for number in range(operators):
            self.fleet.publish(base + 1, base, f"# operator {number}\n")

    @stateful.precondition(lambda self: self.fleet.envelopes)
    @stateful.rule(host=hosts, data=strategies.data())
    def push_again(self, host: str, data: strategies.DataObject) -> None:
        """An operator's tool that was paused pushes a bundle late."""
        entry = self._living(host)
        if entry is None:
            return
        envelope = data.draw(strategies.sampled_from(self.fleet.envelopes))
        self.fleet.push(entry, envelope)

    # Oracle; see ``oracle.Oracle``.

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """A booking runs at most once, and never after "not run"."""
        self.oracle.check_runs()

    @stateful.invariant()
    def own_whole_answers(self) -> None:
        """Whoever gets an answer gets the whole of its own."""
        self.oracle.check_answers()

    @stateful.invariant()
    def versions_never_fall(self) -> None:
        """No life of an entry goes back to an older bundle."""
        self.oracle.check_versions()

    @stateful.invariant()
    def refusals_of_the_leaving_are_heeded(self) -> None:
        """An entry that an upstream refused as draining sends it nothing more."""
        self.oracle.check_drained_upstreams()

    @stateful.invariant()
    def probes_stay_in_budget(self) -> None:
        """No upstream gets more probes in a second than the bundle allows."""
        self.oracle.check_probes()

    def teardown(self) -> None:
        """Let everything heal, then check that it has repaired itself."""
        try:
            self._check_repaired()
        finally:
            self.fleet.close()

    def _check_repaired(self) -> None:
        world = self.fleet.world
        self.fleet.heal()
        if not self.fleet.living():
            self._start("e0", 0)
        # The last freeze or outage may have to be noticed first.
        world.run(IN_FORCE_LIMIT_S)
        self.oracle.check_all_serve_newest()
        self._check_leaving()
        world.run(SETTLE_S)
        self.oracle.check_nothing_held()
        self.runs_at_most_once()
        self.own_whole_answers()
        self.versions_never_fall()
        self.probes_stay_in_budget()

    def _check_leaving(self) -> None:
        """After a few calm seconds a leaving upstream gets none of some reads."""
        calm_since = self.fleet.world.now
        known = self.oracle.upstreams_known_to_leave()
        for entry in self.fleet.living():
            self.fleet.send(entry, f"read-{self._next()}", None, None, 1.0)
        self.fleet.world.run(1.0)
        self.oracle.check_leaving_upstreams(known, calm_since)

    def _book(
        self,
        entry: virtual_fleet.VirtualEntry,
        header: tuple[str, str],
        attempt: int | None,
        timeout: float,
    ) -> None:
        work = f"book-{self._next():04}"
        self.id_header_by_work[work] = header
        if attempt is None:
            self.undeclared_works.add(work)
        self.fleet.send(entry, work, header, attempt, timeout)

    def _start(self, host: str, number: int) -> None:
        zone = virtual_fleet.ZONES[number % 3]
        self.life_by_host[host] = self.fleet.add_entry(host, zone)

    def _living(self, host: str) -> virtual_fleet.VirtualEntry | None:
        entry = self.life_by_host.get(host)
        return entry if entry is not None and entry.alive else None

    def _next(self) -> int:
        self.work_count += 1
        return self.work_count
