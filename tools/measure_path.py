"""
Measure what an entry adds to a call, with real processes on loopback.

One upstream stand-in that answers at once, one entry, store and host list.
Each round sends the same even load alternately to the upstream directly and
through the entry, so that both run on an equally busy host. Run with
``make measure-path``; prints tables for ``docs/MEASUREMENTS.md``.
"""

import asyncio
import os
import sys
import time

import aiohttp
import uvloop
from hdrh import histogram

from features.support import entry_fleet

#: Requests per second.
RATES = (50, 200, 500)
#: Seconds of load at a rate, in each round.
LOAD_S = 6.0
#: Seconds over which the idle entry is measured.
IDLE_S = 10.0
ROUNDS = 2
NS_PER_US = 1_000
US_PER_MS = 1_000
#: The longest time that the histogram holds, in microseconds.
MAX_TIME_US = 60_000_000
SIGNIFICANT_DIGITS = 3
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGESIZE")
HEADERS = {"Spindlenotch-Timeout-Ms": "5000", "X-Work": "measured"}


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in 10^6 bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


async def load(
    session: aiohttp.ClientSession, url: str, rate: float, seconds: float
) -> histogram.HdrHistogram:
    """Send an even open load; return the times in microseconds."""
    times = histogram.HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)

    async def call() -> None:
        started = time.perf_counter_ns()
        async with session.get(url, headers=HEADERS) as response:
            await response.read()
            assert response.status == 200, response.status
        times.record_value(max(1, (time.perf_counter_ns() - started) // NS_PER_US))

    tasks = []
    started = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = started + number / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(call()))
    await asyncio.gather(*tasks)
    return times


def quantiles(times: histogram.HdrHistogram) -> list[float]:
    """Return p50, p99 and p99.9 in ms."""
    return [times.get_value_at_percentile(q) / US_PER_MS for q in (50, 99, 99.9)]


async def main() -> int:
    """Run all rounds."""
    deployment = entry_fleet.Fleet()
    try:
        await deployment.start_platform(1, 200)
        await deployment.behave("w0", service_ms=0.001, steady=True)
        await deployment.publish(1)
        await deployment.start_entries(1)
        await measure(deployment)
    finally:
        await deployment.close()
    return 0


async def measure(deployment: entry_fleet.Fleet) -> None:
    """Print what the entry adds, and what it uses."""
    entry = deployment.entry_by_host["e0"]
    assert entry.process is not None
    pid = entry.process.child.pid
    before = cpu_s(pid)
    await asyncio.sleep(IDLE_S)
    idle = (cpu_s(pid) - before) / IDLE_S
    print(f"idle: {idle:.2%} of a core, {resident_mb(pid):.1f} MB resident\n")
    direct_url = f"http://{deployment.address_by_upstream['w0']}/rates"
    entry_url = f"http://{entry.address}/s/resv/rates"
    print(
        "| rate /s | direct p50, p99, p99.9 ms | through the entry |"
        " added | entry CPU per call ms | resident MB |"
    )
    print("|---|---|---|---|---|---|")
    async with aiohttp.ClientSession() as session:
        for rate in RATES:
            direct = histogram.HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
            through = histogram.HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
            used = 0.0
            for _ in range(ROUNDS):
                direct.add(await load(session, direct_url, rate, LOAD_S))
                start = cpu_s(pid)
                through.add(await load(session, entry_url, rate, LOAD_S))
                used += cpu_s(pid) - start
            calls = through.get_total_count()
            plain, routed = quantiles(direct), quantiles(through)
            added = [b - a for a, b in zip(plain, routed, strict=True)]
            print(
                f"| {rate} | {_three(plain)} | {_three(routed)} | {_three(added)}"
                f" | {used / calls * 1000:.3f} | {resident_mb(pid):.1f} |"
            )


def _three(values: list[float]) -> str:
    return ", ".join(f"{v:.2f}" for v in values)


if __name__ == "__main__":
    sys.exit(uvloop.run(main()))
