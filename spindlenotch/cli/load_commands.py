"""
``spindlenotch caller``: one request, or a bounded load with a report.

Both go through the library that callers embed (``client``). The load is open:
requests are sent at a fixed rate, however long their answers take.
"""

import asyncio
import collections
import sys
import time

import cyclopts
import msgspec
import uvloop

from spindlenotch import client
from spindlenotch.cli import latencies, reports

app = cyclopts.App(help="Send one request, or a bounded load, through the system.")

#: Bounds of a load, so that a mistyped flag does no harm.
MAX_REQUESTS = 200_000
MAX_SECONDS = 300.0
#: Percentiles in the report of a load.
PERCENTILES = (50, 95, 99, 99.9)


class Caller(msgspec.Struct, frozen=True):
    """The entries to start from, and the client account to call as, if any."""

    seeds: str
    name: str
    key: str

    def connect(self) -> client.Client:
        """Return a client, which the caller of this closes."""
        return client.Client(self.seeds.split(","), self.name, self.key)


class LoadResult(msgspec.Struct):
    """Latencies, outcomes with their reasons, and how long the load took."""

    latencies: latencies.Latencies
    count_by_outcome: collections.Counter[str]
    elapsed_s: float = 0.0


@app.command
def one(
    service: str,
    path: str = "/",
    *,
    seeds: str,
    method: str = "GET",
    body: str = "",
    repeatable: bool = True,
    id: str = "",
    caller: str = "",
    key: str = "",
    timeout_s: float = 5.0,
) -> None:
    """Send one request and print its outcome and answer."""
    request = client.Request(
        service=service,
        method=method,
        path=path,
        timeout_s=timeout_s,
        body=body.encode() or None,
        repeatable=repeatable,
        chosen_id=id,
    )
    answer = uvloop.run(_send(Caller(seeds, caller, key), request))
    if isinstance(answer, client.NoAnswer):
        print(f"{answer.outcome.value}: {answer.reason}", file=sys.stderr)
        sys.exit(reports.ExitCode.FAILED)
    where = f"by {answer.upstream} " if answer.upstream else ""
    print(
        f"{answer.status} {answer.outcome.value} {answer.reason} {where}"
        f"id {answer.request_id}",
        file=sys.stderr,
    )
    sys.stdout.buffer.write(answer.body)


@app.command
def load(
    service: str,
    path: str = "/",
    *,
    seeds: str,
    rate: float = 100.0,
    seconds: float = 5.0,
    caller: str = "",
    key: str = "",
    timeout_s: float = 5.0,
) -> None:
    """Send RATE requests a second for SECONDS, evenly, and report the times."""
    if seconds > MAX_SECONDS or rate * seconds > MAX_REQUESTS:
        print(f"at most {MAX_SECONDS:g} s and {MAX_REQUESTS} calls", file=sys.stderr)
        sys.exit(reports.ExitCode.BAD_INPUT)
    request = client.Request(service, "GET", path, timeout_s)
    result = uvloop.run(_load(Caller(seeds, caller, key), request, rate, seconds))
    for line in describe(result):
        print(line)


async def _send(
    caller: Caller, request: client.Request
) -> client.Answer | client.NoAnswer:
    connected = caller.connect()
    try:
        return await connected.call(request)
    finally:
        await connected.close()


async def _load(
    caller: Caller, request: client.Request, rate: float, seconds: float
) -> LoadResult:
    connected = caller.connect()
    try:
        return await run_load(connected, request, rate, seconds)
    finally:
        await connected.close()


async def run_load(
    caller: client.Client, request: client.Request, rate: float, seconds: float
) -> LoadResult:
    """Send ``rate`` requests a second; a slow answer holds no other one back."""
    result = LoadResult(latencies.Latencies(), collections.Counter())
    began = time.perf_counter()
    tasks: set[asyncio.Task[None]] = set()
    for number in range(int(rate * seconds)):
        due = began + number / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.add(asyncio.ensure_future(_measure(caller, request, result)))
    await asyncio.gather(*tasks)
    result.elapsed_s = time.perf_counter() - began
    return result


async def _measure(
    caller: client.Client, request: client.Request, result: LoadResult
) -> None:
    began = time.perf_counter()
    answer = await caller.call(request)
    result.latencies.record(time.perf_counter() - began)
    result.count_by_outcome[f"{answer.outcome.value} {answer.reason}"] += 1


def describe(result: LoadResult) -> list[str]:
    """Return the report of a load, a line each."""
    total = result.latencies.count()
    rate = total / max(result.elapsed_s, 1e-9)
    percentiles = [
        f"p{percent:g} {result.latencies.percentile_ms(percent):.2f} ms"
        for percent in PERCENTILES
    ]
    counts = [f"{name}: {n}" for name, n in result.count_by_outcome.most_common()]
    return [f"{total} requests, {rate:.0f}/s", ", ".join(percentiles), *counts]
