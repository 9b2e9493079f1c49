"""
Soak test: play the state machines with fresh seeds for a given time.

``make soak SECONDS=600``. Prints each seed before it is played; a play that
fails prints its steps, and its seed repeats it: ``python -m tools.soak 1 SEED``.
"""

import random
import sys
import time
from collections import abc

import loguru

from features.support import machines

#: Plays of each machine with one seed, and steps of a play.
PLAYS = 50
STEPS = 50
DEFAULT_SECONDS = 300.0


def main() -> int:
    """Play the given seeds, or until the time is up; a failure ends it."""
    loguru.logger.remove()
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SECONDS
    given = [int(text) for text in sys.argv[2:]]
    plays = 0
    for seed in given or fresh_seeds(seconds):
        for name in machines.MACHINES:
            print(f"seed {seed}, {name}", flush=True)
            machines.play(name, PLAYS, STEPS, seed)
            plays += PLAYS
    print(f"{plays} plays of {STEPS} steps, all green")
    return 0


def fresh_seeds(seconds: float) -> abc.Iterator[int]:
    """Yield random seeds until ``seconds`` have passed."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        yield random.SystemRandom().getrandbits(32)


if __name__ == "__main__":
    sys.exit(main())
