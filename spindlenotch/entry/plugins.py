"""
The plug-in modules of the entry daemon.

Importing one makes it register its policies, drivers or clocks (see
``registry``). Owns the list of the built-in ones; the setting ``plugins`` adds
others, which must be importable in the daemon's environment.
"""

import importlib

MODULES = (
    "spindlenotch.clock",
    "spindlenotch.decisions.baselines",
    "spindlenotch.decisions.owned_slots",
    "spindlenotch.drivers.store_http",
    "spindlenotch.drivers.hostlist_http",
    "spindlenotch.drivers.upstream_http",
)


def load(extra: tuple[str, ...] = ()) -> None:
    """
    Import the built-in plug-ins and those named in ``extra``.

    Raises ``ImportError`` for a module that cannot be imported.
    """
    for name in (*MODULES, *extra):
        importlib.import_module(name)
