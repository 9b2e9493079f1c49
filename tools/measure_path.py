"""
Measure what an entry adds to a call, with real processes on loopback.

One upstream stand-in that answers at once, one entry, store and host list.
Each round sends the same even load in turns straight to the upstream and
through the entry, so that both meet the same machine. Run with
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

RATES = (50, 200, 500)
SECONDS = 6.0
ROUNDS = 2
NANOSECONDS = 1_000
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGESIZE")
HEADERS = {"Spindlenotch-Timeout-Ms": "5000", "X-Work": "measured"}


def cpu_s(pid: int) -> float:
    """Return the processor time a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE / 1e6


async def load(
    session: aiohttp.ClientSession, url: str, rate: float, seconds: float
) -> histogram.HdrHistogram:
    """Send an even open load; return the times in microseconds."""
    times = histogram.HdrHistogram(1, 60_000_000, 3)

    async def one() -> None:
        began = time.perf_counter_ns()
        async with session.get(url, headers=HEADERS) as response:
            await response.read()
            assert response.status == 200, response.status
        times.record_value(max(1, (time.perf_counter_ns() - began) // NANOSECONDS))

    tasks = []
    began = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = began + number / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(one()))
    await asyncio.gather(*tasks)
    return times


def quantiles(times: histogram.HdrHistogram) -> list[float]:
    """Return p50, p99 and p99.9 in ms."""
    return [times.get_value_at_percentile(q) / 1000 for q in (50, 99, 99.9)]


async def main() -> int:
    """Run all rounds."""
    everything = entry_fleet.Fleet()
    try:
        await everything.start_platform(1, 200)
        await everything.behave("w0", service_ms=0.001, steady=True)
        await everything.publish(1)
        await everything.start_entries(1)
        await measure(everything)
    finally:
        await everything.close()
    return 0


async def measure(everything: entry_fleet.Fleet) -> None:
    """Print what the entry adds, and what it uses."""
    entry = everything.entry_by_host["e0"]
    assert entry.process is not None
    pid = entry.process.child.pid
    before = cpu_s(pid)
    await asyncio.sleep(10.0)
    idle = (cpu_s(pid) - before) / 10.0
    print(f"idle: {idle:.2%} of a core, {resident_mb(pid):.1f} MB resident\n")
    direct_url = f"http://{everything.address_by_upstream['w0']}/rates"
    entry_url = f"http://{entry.address}/s/resv/rates"
    print(
        "| rate /s | direct p50, p99, p99.9 ms | through the entry |"
        " added | entry CPU per call ms | resident MB |"
    )
    print("|---|---|---|---|---|---|")
    async with aiohttp.ClientSession() as session:
        for rate in RATES:
            direct = histogram.HdrHistogram(1, 60_000_000, 3)
            through = histogram.HdrHistogram(1, 60_000_000, 3)
            used = 0.0
            for _ in range(ROUNDS):
                direct.add(await load(session, direct_url, rate, SECONDS))
                start = cpu_s(pid)
                through.add(await load(session, entry_url, rate, SECONDS))
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
