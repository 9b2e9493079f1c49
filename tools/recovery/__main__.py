"""
Play the loss and return of real gateways, as many as a site has.

    python -m tools.recovery --loss killed --cores 7 --factor 5

Prints one line of JSON: the settings, and what callers saw.
"""

import asyncio
import json
import signal
import sys
import typing

import cyclopts
import msgspec
import uvloop
from cyclopts import validators

from tools.recovery import play

app = cyclopts.App(help="Play the loss and return of real gateways.")
GATEWAYS = cyclopts.Parameter(validator=validators.Number(gte=3, lte=18))


@app.default
def run(
    *,
    loss: play.Loss = play.Loss.KILLED,
    beside: str = "nothing",
    returns: play.Return = play.Return.AT_ONCE,
    gateways: typing.Annotated[int, GATEWAYS] = 18,
    upstreams: int = 36,
    rate: float = 180.0,
    factor: float = 1.0,
    repeats_at_once: bool = False,
    holds_answers_s: float = 1.0,
    cores: tuple[int, ...] = (),
    other_cores: tuple[int, ...] = (),
    deployed: bool = False,
    logs: str = "",
) -> int:
    """
    Play one loss and return.

    Parameters
    ----------
    loss: how gateways are lost.
    beside: what else is lost.
    returns: how gateways return.
    gateways: processes to start.
    upstreams: stand-ins, in processes of their own.
    rate: calls a second before the loss.
    factor: rate from the loss on, relative to before.
    repeats_at_once: callers do not heed Retry-After.
    holds_answers_s: seconds for which callers keep an answer of the directory.
    cores: processors that all gateways share; all where none is given.
    other_cores: processors of everything else.
    deployed: start gateways as ``deploy/system.toml`` does, after its build.
    logs: folder for the gateways' logs; not kept where it is not given.
    """
    settings = play.Settings(
        loss=loss,
        beside=beside,
        returns=returns,
        gateways=gateways,
        upstreams=upstreams,
        rate=rate,
        factor=factor,
        repeats_at_once=repeats_at_once,
        holds_answers_s=holds_answers_s,
        cores=frozenset(cores),
        other_cores=frozenset(other_cores),
        deployed=deployed,
        logs=logs,
    )
    result = uvloop.run(_until_signal(play.Play(settings)))
    print(
        json.dumps(
            {"settings": msgspec.to_builtins(settings)} | msgspec.to_builtins(result)
        )
    )
    return 0 if result.attempts_served >= 0.25 * result.attempts else 1


async def _until_signal(one: play.Play) -> play.Result:
    """Play; SIGTERM ends it as an interrupt does, with all that it started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await one.run()


if __name__ == "__main__":
    sys.exit(app())
