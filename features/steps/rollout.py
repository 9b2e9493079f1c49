"""Steps on a service that changes its version, with gateways as processes."""

import asyncio
import json
import signal
import time
import typing

import aiohttp
import behave

from features.support import (
    platform_context,
    platform_fleet,
    platform_worker,
    worker_records,
)
from spindlenotch.cli import explain_logs

ORDER, STATUS = "op/rollout/core", "status/rollout/core"
TARGET = "v2"
#: Time between two requests, in seconds.
GAP_S = 0.01
#: Time that requests go on after the order's end, in seconds.
AFTER_S = 0.5
#: Share of the requests that the new version may get until it is promoted.
SHARE = 0.1

run = platform_context.run
fleet_of = platform_context.fleet_of


class Story:
    """What was seen of one order."""

    def __init__(self) -> None:
        self.statuses: list[tuple[float, str]] = []
        self.answers: list[int] = []
        self.sent = 0
        #: At each look, requests answered by all and run by the new version.
        self.looks: list[tuple[float, int, int]] = []
        self.running_on_old = -1
        self.by_s = 0.0

    def state(self) -> str:
        """Return the newest state."""
        return self.statuses[-1][1] if self.statuses else ""


def workers_of(
    fleet: platform_fleet.PlatformFleet, version: str
) -> list[platform_worker.PlatformWorker]:
    """Return the workers of a version."""
    return [w for w in fleet.worker_by_id.values() if w.version == version]


def runs_of(fleet: platform_fleet.PlatformFleet, version: str) -> int:
    """Return how many requests a version has run."""
    return sum(len(worker.runs) for worker in workers_of(fleet, version))


@behave.given("3 workers of a new version")
def new_workers(context: typing.Any) -> None:
    context.story = Story()


@behave.given("the new version fails all requests")
def fails(context: typing.Any) -> None:
    context.mode = worker_records.Mode.ERROR


@behave.when("the operator orders it within {by_s:d} s while requests are sent")
def orders(context: typing.Any, by_s: int) -> None:
    run(context, play(context, by_s))


@behave.given("a third gateway")
def third(context: typing.Any) -> None:
    async def start() -> None:
        fleet = fleet_of(context)
        await fleet.until_ready(await fleet.start_gateway(3))

    run(context, start())


@behave.when(
    "the operator orders it within {by_s:d} s, and the gateway that decides is killed"
)
def orders_and_kills(context: typing.Any, by_s: int) -> None:
    async def both() -> None:
        await asyncio.gather(play(context, by_s), kill_decider(context))

    run(context, both())


async def kill_decider(context: typing.Any) -> None:
    """Kill the gateway that decides, once it has written."""
    fleet = fleet_of(context)

    async def is_written() -> bool:
        return STATUS in fleet.store.item_by_key

    await fleet.until(is_written)
    node = platform_context.living(context)[0]
    async with fleet.session.get(fleet.url(node, "control", "/state")) as answer:
        decider = (await answer.json())["rollouts"]["core"]["decider"]
    process = fleet.process_by_node[decider]
    process.send_signal(signal.SIGKILL)
    await process.wait()


async def play(context: typing.Any, by_s: int) -> None:
    """Order the new version, start its workers and send requests until the end."""
    fleet = fleet_of(context)
    story: Story = context.story
    story.by_s = by_s
    order = {"service": "core", "targetVersion": TARGET, "rampS": by_s}
    fleet.store.put(ORDER, order)
    began_at = time.monotonic()
    for number in range(3):
        worker = await fleet.add_worker(f"new-{number}", version=TARGET)
        worker.mode = getattr(context, "mode", worker_records.Mode.GOOD)
    tasks = []
    while time.monotonic() < began_at + by_s + AFTER_S:
        nodes = platform_context.living(context)
        node = nodes[story.sent % len(nodes)]
        tasks.append(asyncio.ensure_future(send(fleet, story, node)))
        look(fleet, story, time.monotonic() - began_at)
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


async def send(fleet: platform_fleet.PlatformFleet, story: Story, node: str) -> None:
    story.sent += 1
    try:
        answer = await fleet.send(node, "/read/x", f"r-{story.sent}")
    except (aiohttp.ClientError, OSError):
        # Its gateway was killed.
        return
    story.answers.append(answer.status)


def look(fleet: platform_fleet.PlatformFleet, story: Story, at: float) -> None:
    """Note the status, and what ran until now."""
    item = fleet.store.item_by_key.get(STATUS)
    state = "" if item is None else json.loads(item.value)["state"]
    if state and state != story.state():
        story.statuses.append((at, state))
        old = workers_of(fleet, "v1")
        story.running_on_old = sum(worker.running for worker in old)
    story.looks.append((at, len(story.answers), runs_of(fleet, TARGET)))


@behave.then('the order is "{state}" in time')
def is_in_time(context: typing.Any, state: str) -> None:
    story: Story = context.story
    assert story.state() == state, story.statuses
    assert story.statuses[-1][0] < story.by_s, story.statuses


@behave.then('its status was "{state}" before, and was written {count:d} times')
def was(context: typing.Any, state: str, count: int) -> None:
    fleet = fleet_of(context)
    assert [s for _, s in context.story.statuses][:-1] == [state]
    written = [e for e in fleet.store.log if e["key"] == STATUS]
    assert len(written) == count, written


@behave.then("until then no more than its share went to the new version")
def within_share(context: typing.Any) -> None:
    story: Story = context.story
    # All requests move to it a while before the end, and not before it was tried.
    tried = [(done, ran) for at, done, ran in story.looks if at < 0.5 * story.by_s]
    done, ran = tried[-1]
    assert 0 < ran <= SHARE * done, (done, ran)


@behave.then("nothing runs on the old workers then")
def is_empty(context: typing.Any) -> None:
    assert context.story.running_on_old == 0, context.story.running_on_old


@behave.then("no more than {count:d} requests ran on the new version")
def at_most(context: typing.Any, count: int) -> None:
    ran = runs_of(fleet_of(context), TARGET)
    assert 0 < ran <= count, ran


@behave.then("explain tells from the logs that failures were the reason")
def explained(context: typing.Any) -> None:
    logs = list(fleet_of(context).logs.values())
    subject = explain_logs.Subject(explain_logs.SubjectKind.ROLLOUT, "core")
    told = explain_logs.describe(explain_logs.read_story(logs, subject))
    assert any("E222" in line and "reason=failures on" in line for line in told), told


@behave.then("all requests were answered")
def answered(context: typing.Any) -> None:
    story: Story = context.story
    others = [status for status in story.answers if status != 200]
    assert len(story.answers) == story.sent
    assert not others, (others, failures_in(context))


def failures_in(context: typing.Any) -> list[str]:
    """Return what gateways logged of requests that failed."""
    lines = [
        line
        for path in fleet_of(context).logs.values()
        for line in path.read_text().splitlines()
    ]
    return [line for line in lines if '"event":601' in line or '"event":602' in line]
