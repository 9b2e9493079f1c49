"""A planned stop with a grace of ten seconds, and bookings that take five."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lab2 import loopback

RECORD = pathlib.Path(__file__).with_name("record.txt")
GRACE_S = 10.0
#: Bounds of the large deployment, where they differ from a small one's.
BOUNDS = {"graceS": GRACE_S, "touchS": 4, "drainS": 3, "configApplyS": 3}
WORK_S = 5.0
#: Bookings are sent so often, from before the signal until callers stop to come.
PERIOD_S = 0.5
#: The rule leaves those sent up to here to the worker's work in the last sixth.
EXCUSED_UNTIL_S = 3.0


async def case(deployment: loopback.Deployment) -> bool:
    """Return whether a booking was cut off that the rule protects."""
    await deployment.store.start()
    for number in range(6):
        zone = deployment.gateways[number % 3].zone
        await deployment.add_worker(WORK_S, zone)
    options = {"timeoutS": 30.0, "targetLatencyS": 3.0}
    deployment.configure([loopback.route("book", "unsafe", **options)])
    for gateway in deployment.gateways:
        deployment.start(gateway)
    for gateway in deployment.gateways:
        await deployment.until_ready(gateway)
    # The machines are in touch for longer than ``touchS`` before the signal.
    await asyncio.sleep(5.0)
    stopped = deployment.gateways[0]
    assert stopped.process is not None
    began_at = deployment.now()
    if loopback.has_trouble():
        stopped.process.send_signal(signal.SIGTERM)
        deployment.note(f"SIGTERM to {stopped.node}; SIGKILL is due after {GRACE_S} s")
    cut = []

    async def book(number: int) -> None:
        await asyncio.sleep(number * PERIOD_S)
        sent_s = deployment.now() - began_at
        request_id = f"book-{number:02d}"
        result = await deployment.send(
            stopped, request_id, "/book/1", b"room 7", 30_000
        )
        ended_s = deployment.now() - began_at
        runs = len(deployment.runs_of(request_id))
        deployment.note(
            f"{request_id} sent {sent_s:.2f} s after SIGTERM: {result} after"
            f" {ended_s - sent_s:.2f} s; runs {runs}"
        )
        is_protected = sent_s > EXCUSED_UNTIL_S and ended_s < GRACE_S + 1.0
        if is_protected and result == "closed" and runs:
            cut.append(request_id)

    await asyncio.gather(*(book(number) for number in range(15)))
    if loopback.has_trouble():
        code = await asyncio.to_thread(stopped.process.wait, 15)
        ended_s = deployment.now() - began_at
        deployment.note(f"{stopped.node} ended with {code} at {ended_s:.2f} s")
    deployment.note(f"read whole, run by a worker, closed without an answer: {cut}")
    return bool(cut)


if __name__ == "__main__":
    loopback.play(case, loopback.Deployment(RECORD, 3, BOUNDS))
