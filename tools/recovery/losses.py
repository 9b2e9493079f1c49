"""
What else is lost beside all gateways.

Each is registered with a coroutine that loses it, loses and returns the gateways, and
puts things right again.
"""

import asyncio
from collections import abc

from spindlenotch import registry
from tools.recovery import play as plays

#: Seconds after the return for which trouble with the store lasts.
STORE_TROUBLE_S = 4.0
#: Seconds until writes that a restore has lost are written again.
REWRITTEN_AFTER_S = 1.0
#: Seconds that each call of a slow store takes more.
SLOW_S = 0.5
#: Status of each call while the store refuses.
UNAVAILABLE = 503
#: Starts a gateway whose clock is set back, and by how many seconds.
CLOCK_BEHIND, CLOCK_BEHIND_S = "tools/recovery/clock_behind.py", "30"
#: What else is lost, with the coroutine that loses and returns the gateways.
BESIDE: registry.Registry[plays.Lose] = registry.Registry("loss beside the gateways'")


@BESIDE.register("nothing")
async def nothing(play: plays.Play) -> None:
    """Only the gateways are lost."""
    await play.lose_and_return()


@BESIDE.register("store-down")
async def store_down(play: plays.Play) -> None:
    """The store refuses all calls until some seconds after the return."""
    play.fleet.store.trouble.refuse = UNAVAILABLE
    await play.lose_and_return()
    await asyncio.sleep(STORE_TROUBLE_S)
    play.fleet.store.trouble.refuse = 0


@BESIDE.register("store-silent")
async def store_silent(play: plays.Play) -> None:
    """The store does not answer until some seconds after the return."""
    play.fleet.store.trouble.silent = True
    await play.lose_and_return()
    await asyncio.sleep(STORE_TROUBLE_S)
    play.fleet.store.trouble.silent = False


@BESIDE.register("store-slow")
async def store_slow(play: plays.Play) -> None:
    """The store takes longer for each call until some seconds after the return."""
    play.fleet.store.trouble.slow_s = SLOW_S
    await play.lose_and_return()
    await asyncio.sleep(STORE_TROUBLE_S)
    play.fleet.store.trouble.slow_s = 0.0


@BESIDE.register("store-restored")
async def store_restored(play: plays.Play) -> None:
    """The store is restored from a backup while the gateways are away."""
    backup = play.fleet.store.backup()
    await play.end_upstreams()
    await play.start_upstreams("b")
    await play.lose_and_return()
    lost = play.fleet.store.restore(backup)
    await asyncio.sleep(REWRITTEN_AFTER_S)
    play.fleet.store.rewrite(lost)


@BESIDE.register("upstreams")
async def upstreams_lost(play: plays.Play) -> None:
    """All upstreams are lost too, and return under other ids and addresses."""
    await play.end_upstreams()
    await play.lose_and_return()
    await play.start_upstreams("b")


@BESIDE.register("seeds")
async def seeds_gone(play: plays.Play) -> None:
    """The seeds that the settings name never return."""
    play.forget_seeds()
    await play.lose_and_return()


@BESIDE.register("clock")
async def clock_set_back(play: plays.Play) -> None:
    """Gateways start again with the time of day 30 s behind."""
    _set_clocks_back(play, play.numbers)
    await play.lose_and_return()


@BESIDE.register("clock-of-every-other")
async def every_other_clock_set_back(play: plays.Play) -> None:
    """Every other gateway starts again with the time of day 30 s behind."""
    _set_clocks_back(play, play.numbers[::2])
    await play.lose_and_return()


def _set_clocks_back(play: plays.Play, numbers: abc.Iterable[int]) -> None:
    """Let gateways start with their time of day behind from now on."""
    play.fleet.more_variables["CLOCK_BEHIND_S"] = CLOCK_BEHIND_S
    for number in numbers:
        play.fleet.program_by_node[f"node-{number}"] = CLOCK_BEHIND
