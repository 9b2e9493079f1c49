"""Workers that leave after a watch was cut keep getting work; see claim.txt."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab import fleet, http11, ledger, store, worker  # noqa: E402

ZONES = ["ub-hall-a", "ub-hall-b", "ub-hall-c"]
GATEWAYS = ["127.0.22.1", "127.0.22.2", "127.0.22.3"]
STORE, WORKERS = "127.0.22.99", "127.0.22.50"
#: Workers of the service, and how many of them are replaced at once: `release` with a
#: share of 0.5 and x = 2.
WORKER_COUNT = 4
REPLACED_COUNT = 2
WORK_S = 0.26
REQUESTS_PER_S = 60.0
#: Seconds from the start of traffic.
START_AT_S = 2.0
CUT_AT_S = 4.0
LEAVE_AT_S = 5.0
#: For so long a worker that has just started is slow.
COLD_S = 3.0
DRAIN_S = 2.0
#: What the leaving workers serve on for after ``DRAIN_S``.
LONGER_S = 0.4
LENGTH_S = LEAVE_AT_S + 6.0


async def play(
    folder: pathlib.Path, is_disrupted: bool
) -> tuple[int, list[ledger.Line], ledger.Line]:
    """Play the case."""
    platform = store.Store()
    await platform.start(STORE)
    workers = [
        worker.Worker(f"i-{n:08x}", "content-hub", ZONES[n % 3], work_s=WORK_S)
        for n in range(WORKER_COUNT + REPLACED_COUNT)
    ]
    first, new = workers[:WORKER_COUNT], workers[WORKER_COUNT:]
    routes = [fleet.route("media-push", "content-hub", "unsafe", timeoutS=2.5)]
    platform.put("op/config", fleet.configuration(routes, ["content-hub"]))
    for one in workers:
        await one.start(WORKERS)
    for one in first:
        platform.put(f"servers/{one.id}", one.entry())
    gateways = fleet.Fleet(folder, GATEWAYS, platform.address)
    leaving = workers[:REPLACED_COUNT]
    lines: list[ledger.Line] = []
    cuts: list[int] = []
    try:
        for number, ip in enumerate(GATEWAYS):
            await gateways.start(ip, ZONES[number], ZONES)
        for ip in GATEWAYS:
            await gateways.until_ready(ip)
        await asyncio.sleep(2.0)
        began_at = time.monotonic()
        gone_at = began_at + LEAVE_AT_S

        async def send(number: int) -> None:
            request_id = f"{number:016x}"
            ip = GATEWAYS[number % len(GATEWAYS)]
            sent_at = time.monotonic()
            found = await gateways.send(
                ip, f"/media-push/{number}", request_id, method="POST", body=b"x" * 4000
            )
            answer = found.status if isinstance(found, http11.Answer) else found
            lines.append(
                {
                    "request": request_id,
                    "gateway": ip,
                    "sent_s": round(sent_at - began_at, 3),
                    "answer": answer,
                }
            )

        async def trouble() -> None:
            await asyncio.sleep(START_AT_S)
            for one in new:
                platform.put(f"servers/{one.id}", {**one.entry(), "coldLeftS": COLD_S})
            await asyncio.sleep(CUT_AT_S - START_AT_S)
            if is_disrupted:
                cuts.append(platform.cut_watches())
            await asyncio.sleep(max(0.0, gone_at - time.monotonic()))
            platform.remove(*(f"servers/{one.id}" for one in leaving))
            await asyncio.sleep(DRAIN_S + LONGER_S)
            for one in leaving:
                one.end()

        tasks = [asyncio.ensure_future(trouble())]
        number = 0
        while time.monotonic() - began_at < LENGTH_S:
            tasks.append(asyncio.ensure_future(send(number)))
            number += 1
            next_at = began_at + number / REQUESTS_PER_S
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        await asyncio.gather(*tasks)
    finally:
        await gateways.close()
        for one in workers:
            one.close()
        platform.close()
    line_by_id = {line["request"]: line for line in lines}
    for one in workers:
        for run in one.runs:
            line = line_by_id[run.request_id]
            line["worker"] = one.id
            line["reached_s"] = round(run.arrived_at - began_at, 3)
            line["run"] = run.ended
            if one in leaving:
                line["after_entry_went_s"] = round(run.arrived_at - gone_at, 3)
    late = [x for x in lines if x.get("after_entry_went_s", 0.0) > DRAIN_S]
    lost = [x for x in late if x["answer"] != 200]
    summary = {
        "requests": len(lines),
        "served": sum(line["answer"] == 200 for line in lines),
        "watches_cut": cuts,
        "reached_a_leaving_worker_after_drainS": len(late),
        "of_these_lost": len(lost),
        "last_reached_s": max(
            (x["after_entry_went_s"] for x in lines if "after_entry_went_s" in x),
            default=None,
        ),
    }
    if summary["served"] < 0.8 * len(lines):
        return ledger.COULD_NOT_RUN, lines, summary
    return (ledger.BROKEN if late else ledger.HELD), lines, summary


if __name__ == "__main__":
    ledger.run(HERE, play)
