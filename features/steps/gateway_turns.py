"""
Calls that wait for their turn at upstreams that all name limits, in virtual time.

Callers were let wait because a turn would come just in time, and refused 0.08 s later
(E601, queue-too-long): turns were taken when the queue happened to be looked at, which
moved all later ones. With this load 55 of 804 refused callers had waited.
"""

import collections
import random

import msgspec

from features.steps import kernel
from features.support import rate_pools
from spindlenotch import ids
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.forwarding import granting
from spindlenotch.kernel import outcomes, upstreams

NOW = kernel.NOW
UPSTREAMS, LIMIT_PER_S = 6, 2.0
#: What callers send, for how long, and how long they may wait.
CALLS_PER_S, PLAY_S, WAITS_S = 50, 20.0, 0.5
ANSWER_S = 0.08
#: Seconds after which a process that is alone has all of a limit.
LONG_S = 10.0
STEP_S = 0.001
#: How much later than it is due a timer may run, in seconds.
TIMER_LATE_S = 0.003


class Play:
    """One gateway with more calls than its upstreams take."""

    def __init__(self) -> None:
        self.decider = limited_balancer()
        self.counts: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(3)
        self._check_at = NOW
        self._sent: collections.deque[verdicts.Grant] = collections.deque()

    def run(self) -> "Play":
        """Offer calls, end them, and look at the queue when that is due."""
        every = round(1 / (CALLS_PER_S * STEP_S))
        for step in range(int(PLAY_S / STEP_S)):
            now = ids.later(NOW, step * STEP_S)
            self._end(now)
            if step % every == 0:
                self._offer(step, now)
            if now >= self._check_at:
                self._check(now)
        return self

    def _offer(self, number: int, now: ids.Instant) -> None:
        call = msgspec.structs.replace(
            kernel.call(number),
            arrived_at=now,
            deadline=ids.later(now, 2.0),
            wait_until=ids.later(now, WAITS_S),
        )
        verdict = self.decider.offer(call, now)
        if isinstance(verdict, verdicts.Grant):
            self._sent.append(verdict)
        elif isinstance(verdict, outcomes.Refusal):
            self.counts["refused at once"] += 1

    def _check(self, now: ids.Instant) -> None:
        settled = self.decider.settle(now)
        settled += self.decider.refuse_hopeless(now)
        self._take(settled)
        due_in_s = granting.queue_check_delay_s([self.decider], now)
        self._check_at = ids.later(now, due_in_s + self._rng.random() * TIMER_LATE_S)

    def _end(self, now: ids.Instant) -> None:
        while self._sent and self._sent[0].sent_at <= now - ANSWER_S:
            grant = self._sent.popleft()
            answered = upstreams.Result.ANSWERED
            self._take(self.decider.finish(grant, answered, None, now))

    def _take(self, settled: list[verdicts.Settlement]) -> None:
        for settlement in settled:
            if isinstance(settlement.verdict, verdicts.Grant):
                self._sent.append(settlement.verdict)
                self.counts["waited and sent"] += 1
            else:
                self.counts["waited and refused"] += 1


def limited_balancer() -> balancer.Balancer:
    """Return the balancer of a gateway that alone shares its upstreams' limits."""
    made = rate_pools.balancer_of(UPSTREAMS)
    # It has been the only one for long.
    made.pool.set_rate_view(
        rate_pools.view(rate_pools.host(0)), ids.later(NOW, -LONG_S)
    )
    for upstream in made.pool.usable_order:
        upstream.backpressure.limit.record_response(LIMIT_PER_S, NOW)
    return made


@kernel.PROPERTIES.register("who is let wait for a turn is not refused after all")
def kept() -> None:
    counts = Play().run().counts
    takes = UPSTREAMS * LIMIT_PER_S * PLAY_S
    assert counts["waited and sent"] >= 0.9 * takes, counts
    assert counts["waited and refused"] * 100 <= counts["refused at once"], counts
