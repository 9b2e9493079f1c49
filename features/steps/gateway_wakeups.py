"""How often the loops of a standby gateway wake its process."""

import random

from features.steps import kernel
from spindlenotch.gateway import gateway, state, wakeups
from spindlenotch.gateway.cluster import load_exchange, prober
from spindlenotch.gateway.source import discovery, relay, source_reader

PERIODS_S = (
    gateway.TICK_S,
    source_reader.STANDBY_CHECK_S,
    prober.RECONCILE_PERIOD_S,
    load_exchange.IDLE_PERIOD_S,
    relay.POLL_PERIOD_S,
    state.GOSSIP_TIMING.period_s,
    discovery.CHECK_PERIOD_S,
)
PLAYED_S = 20.0


@kernel.PROPERTIES.register("the loops of a standby gateway wake it together")
def together() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        shared = wakeups.Wakeups(rng)
        instants: set[int] = set()
        for period_s in PERIODS_S:
            now_s = 100.0 + rng.uniform(0.0, 0.1)
            woken = 0
            while now_s < 100.0 + PLAYED_S:
                next_wakeup_s = shared.next_wakeup_s(now_s, period_s)
                assert next_wakeup_s > now_s
                if next_wakeup_s < 100.0 + PLAYED_S:
                    instants.add(round(1000 * next_wakeup_s))
                # What a loop does takes a little time.
                now_s = next_wakeup_s + rng.uniform(0.0, 0.02)
                woken += 1
            assert abs(woken - PLAYED_S / period_s) <= 2, (period_s, woken)
        assert len(instants) <= PLAYED_S / wakeups.WAKEUP_INTERVAL_S + 1, len(instants)
