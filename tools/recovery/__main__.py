"""
Play the loss and return of real gateways, as many as a site has.

    python -m tools.recovery --loss killed --cores 7 --factor 5

Prints one line of JSON: the settings, and what callers saw.
"""

import json
import sys
import typing

import cyclopts
import msgspec
import uvloop
from cyclopts import validators

from features.support import sigterm
from tools.recovery import losses, play as plays, results

app = cyclopts.App(help="Play the loss and return of real gateways.")
GATEWAYS = cyclopts.Parameter(validator=validators.Number(gte=3, lte=18))


@app.default
def run(
    *,
    loss: plays.Loss = plays.Loss.KILLED,
    beside: str = "nothing",
    returns: plays.Return = plays.Return.AT_ONCE,
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
    settings = plays.Settings(
        loss=loss,
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
    one = plays.Play(settings)
    attempts = uvloop.run(sigterm.cancelling(one.run(losses.BESIDE.get(beside))))
    result = results.judge(attempts, one.returned_at)
    played = {"beside": beside} | msgspec.to_builtins(settings)
    print(json.dumps({"settings": played} | msgspec.to_builtins(result)))
    least = results.MIN_SERVED_SHARE * result.attempts
    return 0 if result.attempts_served >= least else 1


if __name__ == "__main__":
    sys.exit(app())
