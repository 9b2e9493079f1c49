"""
The settings of a running gateway that can change without a restart.

Pure. Addresses, the host's name and settings that are only read at startup keep
their values.
"""

import msgspec

from spindlenotch.gateway import settings

RELOADABLE = (
    "hand_out_s",
    "stop_limit_s",
    "probes_per_s",
    "entries_per_zone",
    "peers",
)


def reloaded(
    running: settings.GatewaySettings, read: settings.GatewaySettings
) -> settings.GatewaySettings:
    """Return the running settings with the reloadable ones taken from ``read``."""
    return msgspec.structs.replace(
        running, **{name: getattr(read, name) for name in RELOADABLE}
    )
