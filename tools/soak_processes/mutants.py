"""
Broken mechanisms that a check of the soak of processes must catch.

Each brings the steps that show it. ``python -m tools.soak_processes.mutants`` plays
all, or those whose name holds a given word; see ``tools.mutants``.
"""

import asyncio
import sys

from tools import mutant_table, mutants

#: Played side by side: each starts five gateways.
SIDE_BY_SIDE = 2

MUTANTS = (
    mutant_table.Mutant(
        "what may run once is sent again after a lost connection",
        "decisions/retrying",
        "return call.repeatable and not overload.is_failing(pool)",
        "return True",
        held_by="runs at most once",
        steps=("0.5 5 upstreams-treat-badly 47",),
    ),
    mutant_table.Mutant(
        "a lost answer is taken for not run",
        "forwarding/attempts",
        "self._may_have_run |= end.may_have_run",
        "self._may_have_run |= False",
        held_by="not run is true",
        steps=("0.5 5 upstreams-treat-badly 47",),
    ),
    mutant_table.Mutant(
        "another request's answer is passed on",
        "../platform/spindlenotch_platform/http_dialect",
        "return status not in SUCCESS or STAMP in fields",
        "return True",
        held_by="own whole answer",
        steps=("0.5 5 upstreams-treat-badly 34",),
    ),
    mutant_table.Mutant(
        "who has taken over an upstream's address runs its requests",
        "../platform/spindlenotch_platform/http_dialect",
        'EXPECT_INSTANCE = "X-Spindlenotch-Expect-Instance"',
        'EXPECT_INSTANCE = "X-Spindlenotch-Nobody"',
        held_by="unchanged, to its own service",
        steps=("0.2 6 store-fails 0", "0.5 5 upstream-address-reused 1"),
    ),
    mutant_table.Mutant(
        "a gateway does not notice that it is isolated",
        "kernel/reachability",
        "            self.is_isolated = True\n",
        "            self.is_isolated = False\n",
        held_by="callers of gateways cut off are served",
        steps=("0.5 4 gateways-cut-off 6",),
    ),
    mutant_table.Mutant(
        "an upstream that drains is used on",
        "gateway/source/leases",
        "is_ready = self.listed.state is sources.UpstreamState.READY\n",
        "is_ready = True\n",
        held_by="nothing new to upstreams that are closed",
        steps=("0.5 3 upstream-drains 1", "0.6 3 upstream-drains 2"),
    ),
    mutant_table.Mutant(
        "an upstream without entry is used on",
        "gateway/source/listing",
        "                lease.drop_at = now\n",
        "                lease.drop_at = ids.later(now, 60.0)\n",
        held_by="nothing new to upstreams that are closed",
        steps=("0.5 3 upstream-vanishes 1", "0.6 3 upstream-vanishes 2"),
    ),
    mutant_table.Mutant(
        "lists are ordered without the era of the store",
        "../platform/spindlenotch_platform/store_client",
        'ERA_HEADER = "Store-Era"',
        'ERA_HEADER = "Store-Nobody"',
        held_by="nothing new to upstreams that are closed",
        steps=(
            "0.2 1 store-restored 1",
            "7 4 upstream-vanishes 2",
            "7.5 4 upstream-vanishes 5",
        ),
    ),
    mutant_table.Mutant(
        "an evacuated zone is used on",
        "gateway/source/leases",
        "return is_ready and now < self.leave_at",
        "return is_ready",
        held_by="nothing new to upstreams that are closed",
        steps=("0.5 3 zone-evacuated 1",),
    ),
    mutant_table.Mutant(
        "a new configuration is not taken in",
        "gateway/state",
        "if self.table is not None and configuration.version <= self.version:",
        "if self.table is not None:",
        held_by="configuration in force and never back",
        steps=("0.5 4 configuration-changed 1", "5 4 configuration-changed 2"),
    ),
    mutant_table.Mutant(
        "a gateway goes back to the configuration before",
        "gateway/state",
        "            return False\n        self.table = routing",
        "            return False\n        old = self.table\n"
        "        if old is not None:\n            import threading\n"
        "            back = lambda: setattr(self, 'table', old)\n"
        "            threading.Timer(1.0, back).start()\n"
        "        self.table = routing",
        held_by="configuration in force and never back",
        steps=("0.5 4 configuration-changed 1",),
    ),
    mutant_table.Mutant(
        "a cold upstream is sent to at any pace",
        "kernel/cold_start",
        "return now >= self.until or now >= self._next_at",
        "return True",
        held_by="cold upstreams get what they bear",
        steps=(
            "0.1 0.3 upstream-drains 3",
            "2.5 5 upstream-paths 36",
            "2.6 5 upstream-paths 20",
            "3.6 4 burst 2",
        ),
    ),
    mutant_table.Mutant(
        "retries know no bound",
        "../platform/spindlenotch_platform/settings_file",
        '"extra_reserve": bounds.get("retrySlack"),',
        '"extra_reserve": "100000",',
        held_by="retries within the budget",
        steps=("0.5 6 upstreams-treat-badly 92", "0.6 6 burst 3"),
    ),
    mutant_table.Mutant(
        "probes know no bound",
        "../platform/spindlenotch_platform/settings_file",
        "PROBE_SHARE = 0.34",
        "PROBE_SHARE = 6.0",
        held_by="probes within their bound",
        steps=("3 2 bad-entries 1",),
    ),
    mutant_table.Mutant(
        "a new version gets all that it can take",
        "../platform/spindlenotch_platform/settings_file",
        '"exposure_share": bounds.get("exposureShare"),',
        '"exposure_share": "1.0",',
        held_by="exposure to bad versions",
        steps=("0.5 1 version-ordered 5",),
    ),
    mutant_table.Mutant(
        "a request waits for good",
        "gateway/serving/job_factory",
        "        timeout_s = min(timeout_s, route.timeout_s)",
        "        timeout_s = 60.0",
        held_by="final answers in time",
        steps=("0.5 6 upstreams-treat-badly 75",),
    ),
    mutant_table.Mutant(
        "a request that ends upstreams is sent on",
        "decisions/quarantine",
        "MIN_CRASHED_UPSTREAMS = 3\n",
        "MIN_CRASHED_UPSTREAMS = 3_000\n",
        held_by="few sends of a request that ends upstreams",
        steps=("0.5 4 poison-request 11",),
    ),
    mutant_table.Mutant(
        "a planned stop cuts what is in flight",
        "gateway/gateway",
        "        schedule = self.state.leave()\n",
        "        import os\n        os._exit(0)\n",
        held_by="a planned stop cuts nothing",
        steps=("0.1 6 upstreams-treat-badly 132", "1 1 gateway-stopped 2"),
    ),
    mutant_table.Mutant(
        "a configuration is read only where no peer address is in the store yet",
        "gateway/state",
        "if snapshot.configuration is not None:",
        "if snapshot.configuration is not None and not snapshot.discovery_records:",
        held_by="recovery",
        steps=("7 1 all-gateways-killed 1",),
    ),
    mutant_table.Mutant(
        "the limit that an upstream names is not heeded",
        "kernel/backpressure",
        "return self.limit.per_s is None or self.limit.may_send(now, read_until)",
        "return True",
        held_by="limits that upstreams name",
        steps=("0.5 5 upstreams-name-limits 4", "0.6 5 burst 2"),
    ),
    mutant_table.Mutant(
        "the rest that an upstream asks for is not kept",
        "kernel/backpressure",
        "self.backoff_until = max(self.backoff_until, ids.later(now, backoff_s))",
        "pass",
        held_by="rests that upstreams ask for",
        steps=("0.5 5 upstreams-ask-for-rest 6", "0.6 5 burst 2"),
    ),
    mutant_table.Mutant(
        "that an upstream says it leaves is not heeded",
        "forwarding/attempts",
        "if answer.signals.is_leaving:",
        "if False:",
        held_by="upstreams that say they leave",
        steps=("0.5 5 upstream-says-it-leaves 7", "0.6 5 upstream-says-it-leaves 8"),
    ),
)


if __name__ == "__main__":
    sys.exit(asyncio.run(mutants.main(MUTANTS, SIDE_BY_SIDE)))
