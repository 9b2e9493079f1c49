"""
Play the machines with fresh seeds for as long as asked.

``make soak SECONDS=600``. Prints each seed before it is played; a play that
fails prints its steps, and the seed repeats it:
``python -m tools.soak 1 SEED``.
"""

import random
import sys
import time

import loguru

from features.support import machines

PLAYS = 50
STEPS = 50


def main() -> int:
    """Play until the time is up; return 1 at the first failure."""
    loguru.logger.remove()
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 300.0
    seeds = [int(text) for text in sys.argv[2:]]
    until = time.monotonic() + seconds
    plays = 0
    while time.monotonic() < until or seeds:
        seed = seeds.pop(0) if seeds else random.SystemRandom().getrandbits(32)
        for name in machines.MACHINES:
            print(f"seed {seed}, {name}", flush=True)
            machines.play(name, PLAYS, STEPS, seed)
            plays += PLAYS
        if len(sys.argv) > 2 and not seeds:
            break
    print(f"{plays} plays of {STEPS} steps, all green")
    return 0


if __name__ == "__main__":
    sys.exit(main())
