"""
``spindlenotch caller``: one request, or a bounded load with a report.
"""

import asyncio
import collections
import dataclasses
import sys
import time

import cyclopts
import uvloop
from hdrh import histogram

from spindlenotch import client

app = cyclopts.App(help="Send one request, or a bounded load, through the system.")

MAX_CALLS = 200_000
MAX_SECONDS = 300.0
EXIT_FAILED = 1
MICROSECONDS = 1_000_000


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
        service,
        method,
        path,
        timeout_s,
        body.encode() or None,
        repeatable=repeatable,
        chosen_id=id,
    )
    answer = uvloop.run(_one(seeds, caller, key, request))
    if isinstance(answer, client.NoAnswer):
        print(f"{answer.outcome.value}: {answer.reason}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    where = f"by {answer.upstream} " if answer.upstream else ""
    print(
        f"{answer.status} {answer.outcome.value} {answer.reason} {where}"
        f"id {answer.request_id}",
        file=sys.stderr,
    )
    sys.stdout.buffer.write(answer.body)


async def _one(
    seeds: str, caller: str, key: str, request: client.Request
) -> client.Answer | client.NoAnswer:
    lib = client.Client(seeds.split(","), caller, key)
    try:
        return await lib.call(request)
    finally:
        await lib.close()


@dataclasses.dataclass(slots=True)
class LoadResult:
    """What a load brought: times in microseconds, and outcomes."""

    times: histogram.HdrHistogram
    count_by_outcome: collections.Counter[str]
    elapsed_s: float


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
    if seconds > MAX_SECONDS or rate * seconds > MAX_CALLS:
        print(f"at most {MAX_SECONDS:g} s and {MAX_CALLS} calls", file=sys.stderr)
        sys.exit(2)
    lib_request = client.Request(service, "GET", path, timeout_s)
    result = uvloop.run(_load(seeds, caller, key, lib_request, rate, seconds))
    for line in report(result):
        print(line)


async def _load(
    seeds: str,
    caller: str,
    key: str,
    request: client.Request,
    rate: float,
    seconds: float,
) -> LoadResult:
    lib = client.Client(seeds.split(","), caller, key)
    try:
        return await run_load(lib, request, rate, seconds)
    finally:
        await lib.close()


async def run_load(
    lib: client.Client, request: client.Request, rate: float, seconds: float
) -> LoadResult:
    """Send an open load; a slow answer does not hold later requests back."""
    result = LoadResult(
        histogram.HdrHistogram(1, 60 * MICROSECONDS, 3), collections.Counter(), 0.0
    )

    async def send() -> None:
        began = time.perf_counter()
        answer = await lib.call(request)
        took = time.perf_counter() - began
        result.times.record_value(max(1, int(took * MICROSECONDS)))
        result.count_by_outcome[f"{answer.outcome.value} {answer.reason}"] += 1

    began = time.perf_counter()
    tasks: set[asyncio.Task[None]] = set()
    for number in range(int(rate * seconds)):
        due = began + number / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.add(asyncio.ensure_future(send()))
    await asyncio.gather(*tasks)
    result.elapsed_s = time.perf_counter() - began
    return result


def report(result: LoadResult) -> list[str]:
    """Word the result of a load."""
    times = result.times
    quantiles = [
        f"p{q:g} {times.get_value_at_percentile(q) / 1000:.2f} ms"
        for q in (50, 95, 99, 99.9)
    ]
    total = times.get_total_count()
    rate = total / max(result.elapsed_s, 1e-9)
    counts = [f"{name}: {n}" for name, n in result.count_by_outcome.most_common()]
    return [f"{total} requests, {rate:.0f}/s", ", ".join(quantiles), *counts]
