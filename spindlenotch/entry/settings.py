"""
Settings of the entry daemon.

Owns the table of rows and the typed values read from it. Parsing, checks and
the reference in the operators' page are in ``spindlenotch.settings``.
"""

import os
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.settings import kinds, schema

SETTINGS = (
    schema.Setting("host", kinds.NAME, None, "this host's id in the host list"),
    schema.Setting("zone", kinds.NAME, None, "this host's availability zone"),
    schema.Setting("listen", kinds.ADDRESS, "127.0.0.1:8080", "where callers connect"),
    schema.Setting(
        "peer_listen",
        kinds.ADDRESS,
        "127.0.0.1:8081",
        "where peers connect (both UDP and TCP)",
    ),
    schema.Setting(
        "operator_listen", kinds.ADDRESS, "127.0.0.1:8082", "metrics, state and health"
    ),
    schema.Setting("store", kinds.URL, None, "the platform's key-value service"),
    schema.Setting("host_list", kinds.URL, None, "the platform's host list"),
    schema.Setting(
        "peers", kinds.ADDRESSES, "", "peer addresses to start from, if the list is out"
    ),
    schema.Setting(
        "peer_keys",
        kinds.SECRETS,
        None,
        "keys that authenticate peers; the first signs",
    ),
    schema.Setting(
        "trusted_keys", kinds.PUBLIC_KEYS, None, "operators whose bundles are accepted"
    ),
    schema.Setting(
        "once_capacity", kinds.whole(1, 10_000_000), "100000", "request ids remembered"
    ),
    schema.Setting(
        "hand_out_s", kinds.number(0.1, 3600), "5", "how long callers keep an answer"
    ),
    schema.Setting(
        "drain_limit_s",
        kinds.number(0, 604_800),
        "0",
        "longest planned stop; 0: no limit",
    ),
    schema.Setting(
        "pause_s", kinds.number(0.1, 60), "2", "a gap this long counts as a pause"
    ),
    schema.Setting(
        "seed", kinds.whole(0, 2**53), "0", "random seed; 0: from the system"
    ),
    schema.Setting(
        "plugins", kinds.MODULE_NAMES, "", "further plug-in modules to load"
    ),
)


class EntrySettings(msgspec.Struct, frozen=True):
    """The checked settings of one entry, one attribute per row above."""

    host: ids.HostId
    zone: ids.ZoneName
    listen: ids.Address
    peer_listen: ids.Address
    operator_listen: ids.Address
    store: str
    host_list: str
    peers: tuple[ids.Address, ...]
    peer_keys: tuple[bytes, ...]
    trusted_keys: frozenset[str]
    once_capacity: int
    hand_out_s: float
    drain_limit_s: float
    pause_s: float
    seed: int
    plugins: tuple[str, ...]


def read(
    flags: abc.Mapping[str, str | None],
    environment: abc.Mapping[str, str] = os.environ,
) -> EntrySettings | list[schema.Fault]:
    """Read all settings from flags, variables and defaults, or return all faults."""
    values = schema.read(SETTINGS, flags, environment, {})
    if isinstance(values, list):
        return values
    return EntrySettings(**values)
