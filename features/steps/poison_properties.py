"""
What is held of requests under which upstreams end: the decision without any process.

The fleet here is a simulation in virtual time of gateways that know only what they saw
and what reaches them; what each of them decides is the product's.
"""

import dataclasses
import heapq
import itertools
import random
from collections import abc

import hypothesis
from hypothesis import strategies

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.decisions import quarantine
from spindlenotch.kernel import crash_records, fingerprints

CrashStatus = quarantine.CrashStatus
NOW = kernel.NOW
PRINT = ids.Fingerprint("00000000aa")
#: A fleet as the users' rules see it: after the third end it has 3 s to take notice,
#: and may send the request three times more.
TOUCH_S, MOST_LATER = 3.0, 3
SEEDS = 1000
PLAYED_S, RUN_S = 40.0, 0.1
#: Requests a second, gateways, and the share of messages that are lost.
RATES, GATEWAYS, LOST_SHARE = (0.15, 0.5, 2.0, 10.0, 50.0), (3, 5, 15), 0.1
#: Longest way of a message, and the time between two gossip messages of a gateway.
LONGEST_WAY_S, GOSSIP_S = 0.03, 0.4
WAIT_S, CHECK_S = 0.3, 0.02


def prints(
    target: str = "/a", body: bytes = b"", caller: str = "c"
) -> fingerprints.Fingerprints:
    """Return the fingerprints of a request."""
    content = fingerprints.Content("GET", "h", target, body)
    return fingerprints.compute(content, caller)


def upstream(number: int) -> ids.UpstreamId:
    """Return the id of an upstream."""
    return ids.UpstreamId(f"up-{number}")


def struck_in_turn(known: quarantine.Quarantine, times: int) -> None:
    """Let upstreams end under a request one after the other."""
    for number in range(times):
        known.record_crash(PRINT, known.snapshot(PRINT), upstream(number), NOW)


def status(known: quarantine.Quarantine) -> CrashStatus:
    """Return what is held of the request."""
    return quarantine.status_of(known.record_of(PRINT))


@kernel.PROPERTIES.register("a request under which three upstreams end is quarantined")
def three_in_turn() -> None:
    known = quarantine.Quarantine()
    assert status(known) is CrashStatus.CLEAR
    struck_in_turn(known, 2)
    assert status(known) is CrashStatus.SUSPECT
    struck_in_turn(known, 3)
    assert status(known) is CrashStatus.QUARANTINED


@kernel.PROPERTIES.register("upstreams that end together quarantine no request")
def together() -> None:
    known = quarantine.Quarantine()
    snapshot = known.snapshot(PRINT)
    for number in range(20):
        known.record_crash(PRINT, snapshot, upstream(number), NOW)
    assert status(known) is CrashStatus.SUSPECT


@kernel.PROPERTIES.register("an answer clears a request, and older notes are no news")
def answer_clears() -> None:
    known = quarantine.Quarantine()
    struck_in_turn(known, 3)
    before, snapshot = known.record_of(PRINT), known.snapshot(PRINT)
    assert known.clear(PRINT, NOW)
    assert status(known) is CrashStatus.CLEAR
    assert not known.merge(before, NOW)
    assert not known.record_crash(PRINT, snapshot, upstream(9), NOW)
    assert status(known) is CrashStatus.CLEAR


@kernel.PROPERTIES.register("a quarantined request is sent once more, by one gateway")
def one_recheck() -> None:
    request = prints()
    known, peer = quarantine.Quarantine(), quarantine.Quarantine()
    for number in range(3):
        for one in request.as_tuple():
            known.record_crash(one, known.snapshot(one), upstream(number), NOW)
    for one in request.as_tuple():
        peer.merge(known.record_of(one), NOW)
    later = ids.later(NOW, 2 * quarantine.RECHECK_AFTER_S)
    assert not known.take_recheck(
        request, ids.later(NOW, quarantine.RECHECK_AFTER_S / 2)
    )
    assert known.take_recheck(request, later)
    assert not known.take_recheck(request, later)
    for one in request.as_tuple():
        assert known.record_of(one).is_retried
    assert not peer.take_recheck(request, later)


@kernel.PROPERTIES.register("another body, path or caller makes another request")
def other_requests() -> None:
    base = prints()
    for other in (prints(target="/b"), prints(body=b"x")):
        assert not set(base.as_tuple()) & set(other.as_tuple())
    from_other = prints(caller="d")
    assert base.content == from_other.content
    assert base.from_caller != from_other.from_caller


@kernel.PROPERTIES.register("what is kept of requests that end upstreams is bounded")
def bounded() -> None:
    known = quarantine.Quarantine()
    struck_in_turn(known, 3)
    for number in range(3 * quarantine.MAX_RECORDS):
        one = ids.Fingerprint(f"{number:08x}bb")
        known.record_crash(one, quarantine.EMPTY_SNAPSHOT, upstream(number), NOW)
    assert len(known.kept_by_fingerprint) == quarantine.MAX_RECORDS
    assert status(known) is CrashStatus.QUARANTINED
    known.expire(ids.later(NOW, quarantine.KEEP_SUSPECT_S))
    assert list(known.kept_by_fingerprint) == [PRINT]
    known.expire(ids.later(NOW, quarantine.QUARANTINE_S))
    assert status(known) is CrashStatus.CLEAR
    known.expire(ids.later(NOW, quarantine.QUARANTINE_S + quarantine.KEEP_ANSWERED_S))
    assert not known.kept_by_fingerprint and not known.knows_target("/a")


notes = strategies.builds(
    crash_records.CrashRecord,
    strategies.just(PRINT),
    strategies.integers(0, 2),
    strategies.integers(0, 4),
    strategies.lists(strategies.integers(0, 9).map(upstream), max_size=3).map(tuple),
    strategies.booleans(),
)


@kernel.PROPERTIES.register("notes on a request tell the same in whatever order")
def any_order() -> None:
    @hypothesis.given(strategies.lists(notes, max_size=6), strategies.randoms())
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    def check(told: list[crash_records.CrashRecord], rng: random.Random) -> None:
        known, peer = quarantine.Quarantine(), quarantine.Quarantine()
        for record in told:
            known.merge(record, NOW)
        shuffled = [*told, *told]
        rng.shuffle(shuffled)
        for record in shuffled:
            peer.merge(record, NOW)
        assert known.record_of(PRINT) == peer.record_of(PRINT)

    check()


class Fleet:
    """Gateways that all may get a request which ends what runs it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rate = self.rng.choice(RATES)
        count = self.rng.choice(GATEWAYS)
        self.known = [quarantine.Quarantine(str(number)) for number in range(count)]
        self.trying_until = [0.0] * count
        self.started_at = [-TOUCH_S] * count
        self.now = 0.0
        self.sent_at: list[float] = []
        self.ended_at: list[float] = []
        self._due: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()

    def play(self) -> None:
        """Let the request come again and again, and one gateway start anew."""
        self._after(self.rng.expovariate(self.rate), self._come)
        for number in range(len(self.known)):
            self._after(self.rng.uniform(0, GOSSIP_S), lambda n=number: self._gossip(n))
        self._after(self.rng.uniform(0, PLAYED_S), self._start_again)
        while self._due and self._due[0][0] < PLAYED_S:
            self.now, _, act = heapq.heappop(self._due)
            act()

    def sent_later(self) -> int:
        """Count what was sent after the fleet had time to know, as the rules do."""
        if len(self.ended_at) < 3:
            return 0
        return sum(at > self.ended_at[2] + TOUCH_S for at in self.sent_at)

    def _after(self, seconds: float, act: abc.Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), act))

    def _come(self) -> None:
        self._after(self.rng.expovariate(self.rate), self._come)
        self._arrive(self.rng.randrange(len(self.known)), self.now + WAIT_S)

    def _arrive(self, number: int, wait_until: float) -> None:
        known = self.known[number]
        found = quarantine.status_of(known.record_of(PRINT))
        both = fingerprints.Fingerprints(PRINT, PRINT)
        if found is CrashStatus.QUARANTINED:
            if known.take_recheck(both, ids.Instant(self.now)):
                for peer in range(len(self.known)):
                    self._tell(number, peer)
                self._send(number, may_retry=False)
        elif found is CrashStatus.CLEAR or self.trying_until[number] <= self.now:
            self._send(number, may_retry=found is CrashStatus.CLEAR)
        elif self.now < wait_until:
            self._after(CHECK_S, lambda: self._arrive(number, wait_until))

    def _send(self, number: int, *, may_retry: bool) -> None:
        known, snapshot = self.known[number], self.known[number].snapshot(PRINT)
        if snapshot.depth:
            self.trying_until[number] = self.now + RUN_S
        if self.now - self.started_at[number] >= TOUCH_S:
            self.sent_at.append(self.now)
        self._after(RUN_S, lambda: self._end(number, known, snapshot, may_retry))

    def _end(
        self,
        number: int,
        known: quarantine.Quarantine,
        snapshot: quarantine.CrashSnapshot,
        may_retry: bool,
    ) -> None:
        self.ended_at.append(self.now)
        if known is not self.known[number]:
            return
        known.record_crash(
            PRINT, snapshot, upstream(len(self.ended_at)), ids.Instant(self.now)
        )
        for peer in range(len(self.known)):
            self._tell(number, peer)
        if may_retry:
            self._arrive_again(number)

    def _arrive_again(self, number: int) -> None:
        found = quarantine.status_of(self.known[number].record_of(PRINT))
        if found is CrashStatus.SUSPECT and self.trying_until[number] <= self.now:
            self._send(number, may_retry=False)

    def _tell(self, number: int, peer: int) -> None:
        record = self.known[number].record_of(PRINT)
        if peer != number and self.rng.random() >= LOST_SHARE:
            delay_s = self.rng.uniform(0.0, LONGEST_WAY_S)
            self._after(delay_s, lambda: self._hear(peer, record))

    def _hear(self, number: int, record: crash_records.CrashRecord) -> None:
        self.known[number].merge(record, ids.Instant(self.now))

    def _gossip(self, number: int) -> None:
        self._tell(number, self.rng.randrange(len(self.known)))
        self._after(GOSSIP_S, lambda: self._gossip(number))

    def _start_again(self) -> None:
        number = self.rng.randrange(len(self.known))
        self.known[number] = quarantine.Quarantine(f"{number} again")
        self.started_at[number] = self.now
        self.trying_until[number] = 0.0


@dataclasses.dataclass(slots=True)
class Totals:
    """What the plays of all seeds showed."""

    most_ended: int = 0
    ended: int = 0


@kernel.PROPERTIES.register(
    "a fleet sends what ends upstreams at most three times more"
)
def few_more() -> None:
    totals = Totals()
    for seed in range(SEEDS):
        fleet = Fleet(seed)
        fleet.play()
        assert fleet.sent_later() <= MOST_LATER, (seed, fleet.rate, fleet.ended_at)
        totals.most_ended = max(totals.most_ended, len(fleet.ended_at))
        totals.ended += len(fleet.ended_at)
    print(f"ends: mean {totals.ended / SEEDS:.2f}, most {totals.most_ended}")
    assert totals.ended / SEEDS < 10.0, totals
