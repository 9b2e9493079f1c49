"""
Settings of Python's garbage collector for a process that serves requests.

Both daemons apply them once they have started. Owns nothing; relies on modules
and start-up state being complete by then, because they are never walked.
"""

import gc

#: Objects allocated, and younger collections, before a collection. Most objects
#: die with their request; collections that walked the rest held up the loop.
THRESHOLDS = (20_000, 20, 100)


def tune() -> None:
    """
    Keep the garbage collector away from what lives as long as the process.

    A full collection that walks modules and start-up state stops the loop for
    tens of milliseconds; so there is none here either, while the first callers wait.
    """
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
    gc.enable()
