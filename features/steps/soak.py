"""Steps of the soak of processes."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import typing

import behave

from tools.soak_processes import faults, plan as plans, play, summary, versions

#: Loaded for the fault that it registers.
assert versions.version_ordered in faults.FAULTS.factory_by_name.values()
#: Faults that came after the seed of the short play was chosen, or take longer than it.
LATER_FAULTS = ("version-ordered", "poison-request", "gateway-suspended")
LATER_FAULTS += ("upstreams-stand-still", "gateways-cut-off", "all-gateways-killed")
#: A request that ends upstreams, while hosts are suspended and gateways start again.
POISON_STEPS = (
    "0.5 3 poison-request 11",
    "0.6 1.8 gateway-suspended 5",
    "2.5 1.5 gateways-killed 3",
    "3 2 poison-request 12",
)
#: Upstreams that stand still while others shed, load jumps and gateways start again.
STANDSTILL_STEPS = (
    "0.5 5 upstreams-stand-still 3",
    "2 3 burst 1",
    "3 2 upstreams-treat-badly 8",
    "4 2 gateways-killed 3",
)
#: Upstreams that say how much they will take while gateways end and stand still.
ASKING_STEPS = (
    "0.5 4 upstreams-name-limits 8",
    "1 3 upstreams-ask-for-rest 12",
    "1.5 2 upstream-says-it-leaves 7",
    "2 2 gateways-killed 5",
    "4 2 gateway-paused 4",
    "4.5 3 upstreams-name-limits 5",
)
#: Restores of the store while upstreams drain or lose their entry and a gateway pauses.
RESTORE_STEPS = (
    "0.20 1.00 store-restored 1",
    "3.50 2.00 upstream-drains 5",
    "4.50 1.00 gateway-paused 3",
    "7.00 3.00 upstream-vanishes 2",
    "7.50 1.00 upstream-drains 4",
    "9.00 1.00 store-restored 4",
)
#: Gateways lose their links to all upstreams while others end and load jumps.
CUT_STEPS = (
    "0.50 1.50 gateways-cut-off 6",
    "2.00 2.00 burst 1",
    "5.50 1.50 gateways-cut-off 4",
    "6.00 1.00 gateways-killed 3",
)
#: All gateways end at once while the store fails, upstreams drain and load jumps; again
#: just after they have returned.
RETURN_STEPS = (
    "0.50 1.00 all-gateways-killed 1",
    "0.60 3.00 store-fails 3",
    "1.00 2.00 upstream-drains 2",
    "4.00 3.00 burst 1",
    "5.00 0.50 all-gateways-killed 2",
)
#: How a log line of the event begins that tells of a suspension.
HOST_SUSPENDED = '"event":109,'
#: Longest time until a play that is interrupted has ended, in seconds.
ENDS_WITHIN_S = 15.0


def drawn(seed: int, seconds: float) -> tuple[plans.Settings, tuple[plans.Step, ...]]:
    """Return the settings and the steps of a seed."""
    settings = plans.Settings(seconds, seed, gateways=4, upstreams=9, rate=40.0)
    names = [name for name in faults.FAULTS.names() if name not in LATER_FAULTS]
    return settings, plans.draw(settings, names)


@behave.then("seed {seed:d} gives the same steps again, also from their text")
def same_steps(context: typing.Any, seed: int) -> None:
    _, steps = drawn(seed, 30.0)
    assert drawn(seed, 30.0)[1] == steps
    assert tuple(plans.read(str(step)) for step in steps) == steps


@behave.when("the plan of seed {seed:d} is played for {seconds:d} seconds")
def played(context: typing.Any, seed: int, seconds: int) -> None:
    settings, steps = drawn(seed, seconds)
    _play(context, settings, steps)


@behave.when("requests that end upstreams are sent beside other faults")
def poison_played(context: typing.Any) -> None:
    settings, _ = drawn(1, 6.0)
    _play(context, settings, tuple(plans.read(step) for step in POISON_STEPS))


@behave.when("upstreams stand still beside other faults")
def standstill_played(context: typing.Any) -> None:
    settings, _ = drawn(1, 6.0)
    _play(context, settings, tuple(plans.read(step) for step in STANDSTILL_STEPS))


@behave.when("upstreams name limits, ask for rest and leave beside other faults")
def asking_played(context: typing.Any) -> None:
    settings, _ = drawn(1, 6.0)
    _play(context, settings, tuple(plans.read(step) for step in ASKING_STEPS))


@behave.when("the store is restored from backups beside other faults")
def restores_played(context: typing.Any) -> None:
    settings, _ = drawn(1, 10.0)
    _play(context, settings, tuple(plans.read(step) for step in RESTORE_STEPS))


@behave.when("gateways lose their links to all upstreams beside other faults")
def cuts_played(context: typing.Any) -> None:
    settings, _ = drawn(1, 10.0)
    _play(context, settings, tuple(plans.read(step) for step in CUT_STEPS))


@behave.when("all gateways end at once, twice, beside other faults")
def returns_played(context: typing.Any) -> None:
    settings, _ = drawn(1, 10.0)
    _play(context, settings, tuple(plans.read(step) for step in RETURN_STEPS))


def _play(
    context: typing.Any, settings: plans.Settings, steps: tuple[plans.Step, ...]
) -> None:
    context.folder = tempfile.TemporaryDirectory()
    folder = pathlib.Path(context.folder.name)
    one = play.Play(settings, steps, folder)
    context.outcome = context.runner.run(one.run())
    summary.write(folder, settings, context.outcome)
    context.pids = [p.pid for p in one.world.fleet.process_by_node.values()]


@behave.then("the play has no violation")
def clean(context: typing.Any) -> None:
    assert not context.outcome.violations, context.outcome.violations


@behave.then("at least {count:d} upstreams ended under such a request")
def ended_under(context: typing.Any, count: int) -> None:
    ends = [end for worker in context.outcome.ledger.workers for end in worker.crashes]
    assert len(ends) >= count, ends


@behave.then("a gateway noticed that its host was suspended")
def noticed(context: typing.Any) -> None:
    logs = pathlib.Path(context.folder.name).glob("node-*.log")
    assert any(HOST_SUSPENDED in log.read_text() for log in logs)


@behave.then("it left a page with a plot and the log of each gateway")
def left_page(context: typing.Any) -> None:
    folder = pathlib.Path(context.folder.name)
    assert "timeline.svg" in (folder / "summary.md").read_text()
    assert (folder / "timeline.svg").read_text().startswith("<svg ")
    assert len(list(folder.glob("node-*.log"))) == 4
    context.folder.cleanup()


@behave.when("a play is interrupted while its gateways run")
def interrupted(context: typing.Any) -> None:
    async def interrupt() -> None:
        command = [sys.executable, "-m", "tools.soak_processes", "--seed", "4"]
        with tempfile.TemporaryDirectory() as folder:
            process = await asyncio.create_subprocess_exec(
                *command,
                f"--out={folder}",
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.PIPE,
            )
            # It writes its first line when the traffic begins.
            assert process.stderr is not None
            await process.stderr.readline()
            context.pids = _children(process.pid)
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(ENDS_WITHIN_S):
                await process.communicate()

    context.runner.run(interrupt())
    assert context.pids


def _children(pid: int) -> list[int]:
    text = pathlib.Path(f"/proc/{pid}/task/{pid}/children").read_text()
    return [int(child) for child in text.split()]


@behave.then("nothing that it started still runs")
def nothing_runs(context: typing.Any) -> None:
    for pid in context.pids:
        try:
            os.kill(pid, 0)
        except ProcessLookupError:
            continue
        raise AssertionError(f"process {pid} still runs")
