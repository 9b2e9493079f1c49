"""
Settings of Python's garbage collector for a process that serves requests.

Both daemons apply them once they have started. Relies on modules and start-up state
being complete by then, because no collection traverses them.
"""

import gc

#: Objects allocated before a collection of the youngest generation, and collections of
#: each younger generation before one of the next. Most objects are freed with their
#: request; collections that traversed the others delayed the event loop.
THRESHOLDS = (20_000, 20, 100)


def tune() -> None:
    """
    Exclude the objects that live as long as the process from garbage collection.

    A full collection that traverses modules and start-up state blocks the event loop
    for tens of milliseconds. So none is run here either, while the first callers
    are waiting.
    """
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
    gc.enable()
