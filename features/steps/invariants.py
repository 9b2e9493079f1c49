"""Steps that run the state machines."""

import typing

import behave

from features.support import machines


@behave.then('the "{name}" machine holds over {plays:d} plays of {steps:d} steps')
def holds(context: typing.Any, name: str, plays: int, steps: int) -> None:
    machines.play(name, plays, steps)
