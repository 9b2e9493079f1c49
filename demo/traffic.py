"""
The traffic of one deployment of the demo, and what its callers saw.

Each kind of request is sent at its own fixed rate by a client of its own.
Requests carry a name, by which the upstreams' ledgers show which of them ran.
"""

import asyncio
import collections
import random
import time

from demo import deployment, plans
from spindlenotch import client
from spindlenotch.cli import latencies

#: How long a caller waits for an answer, in seconds. Chosen, not measured.
REQUEST_TIMEOUT_S = 8.0


class Callers:
    """Sends the traffic of a deployment and counts the answers."""

    def __init__(self, target: deployment.Deployment) -> None:
        self.target = target
        self.clients: list[client.Client] = []
        self.latencies_by_kind: collections.defaultdict[str, latencies.Latencies] = (
            collections.defaultdict(latencies.Latencies)
        )
        self.count_by_outcome: collections.Counter[str] = collections.Counter()
        self.sent_unrepeatable: list[str] = []
        self.rng = random.Random(target.plan.name)

    async def send(self, kind: plans.Traffic, until: float) -> None:
        """Send one kind of traffic until ``until`` (``time.monotonic``)."""
        account = kind.account
        seeds = self.target.addresses()
        caller = client.Client(seeds, account.name, account.key, rng=self.rng)
        self.clients.append(caller)
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.add(asyncio.ensure_future(self._send_one(caller, kind, number)))
            number += 1
            due += 1 / kind.rate
        await asyncio.gather(*tasks)

    def ran_twice(self) -> list[str]:
        """Return the requests that may not be repeated and ran twice."""
        runs: collections.Counter[str] = collections.Counter()
        for upstream in self.target.upstream_by_name.values():
            runs.update(run.work for run in upstream.ledger)
        return [work for work in self.sent_unrepeatable if runs[work] > 1]

    async def close(self) -> None:
        """Close the clients' connections."""
        for caller in self.clients:
            await caller.close()

    async def _send_one(
        self, caller: client.Client, kind: plans.Traffic, number: int
    ) -> None:
        work = f"{self.target.plan.name}/{kind.name}/{number}"
        if not kind.repeatable:
            self.sent_unrepeatable.append(work)
        request = client.Request(
            service=kind.service,
            method=kind.method,
            path=kind.path,
            timeout_s=REQUEST_TIMEOUT_S,
            body=b"x" * kind.body_bytes or None,
            headers=(("X-Work", work),),
            repeatable=kind.repeatable,
            class_name=kind.class_name,
        )
        began = time.perf_counter()
        answer = await caller.call(request)
        elapsed_s = time.perf_counter() - began
        self.count_by_outcome[f"{kind.name}: {answer.outcome.value}"] += 1
        self.latencies_by_kind[kind.name].record(elapsed_s)
