"""
Import every plug-in module, so that each registers itself.

A bench of somebody else's plugs in the same way: import a module that
registers its drivers, then start the daemon.
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
    """Import the built-in plug-ins and those named in ``extra``."""
    for name in (*MODULES, *extra):
        importlib.import_module(name)
