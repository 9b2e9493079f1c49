"""Steps that run the state machines."""

import typing

import behave

from features.support import machine


@behave.then("the mixed-fault machine holds over {plays:d} plays of {steps:d} steps")
def mixed_faults(context: typing.Any, plays: int, steps: int) -> None:
    machine.play(plays, steps)
