"""
Settings of the gateway daemon.

Owns the table of rows and the typed values read from it. Parsing, checks and
the reference in the operators' page are in ``spindlenotch.settings``.
"""

import os
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.settings import kinds, schema, toml_file

SETTINGS = (
    schema.Setting("host", kinds.NAME, None, "this host's id, unique in the fleet"),
    schema.Setting("zone", kinds.NAME, None, "this host's availability zone"),
    schema.Setting("listen", kinds.ADDRESS, "127.0.0.1:8080", "where callers connect"),
    schema.Setting("ready_listen", kinds.ADDRESS, "127.0.0.1:8083", "readiness checks"),
    schema.Setting(
        "directory_listen",
        kinds.ADDRESS,
        "127.0.0.1:8084",
        "where callers ask which addresses to use",
    ),
    schema.Setting(
        "peer_listen",
        kinds.ADDRESS,
        "127.0.0.1:8081",
        "where peers connect (both UDP and TCP)",
    ),
    schema.Setting(
        "operator_listen", kinds.ADDRESS, "127.0.0.1:8082", "metrics and state"
    ),
    schema.Setting("source", kinds.URL, None, "where configuration and upstreams are"),
    schema.Setting("source_driver", kinds.NAME, None, "driver of the source"),
    schema.Setting("dialect", kinds.NAME, "native", "how callers and upstreams speak"),
    schema.Setting("peers", kinds.ADDRESSES, "", "peer addresses to start from"),
    schema.Setting("peer_keys", kinds.SECRETS, None, "keys that authenticate peers"),
    schema.Setting(
        "stop_limit_s", kinds.number(1, 3600), "6", "longest planned stop, seconds"
    ),
    schema.Setting(
        "hand_out_s", kinds.number(0.1, 60), "1", "how long callers keep an answer"
    ),
    schema.Setting(
        "extra_share",
        kinds.number(0, 1),
        "0.1",
        "retries and hedges of the whole fleet, as a share of requests",
    ),
    schema.Setting(
        "extra_reserve",
        kinds.number(0, 100_000),
        "0",
        "retries and hedges of the whole fleet beyond the share, in a window",
    ),
    schema.Setting(
        "extra_window_s", kinds.number(0.1, 3600), "10", "that window, in seconds"
    ),
    schema.Setting(
        "probes_per_s",
        kinds.number(0, 1000),
        "20",
        "most probes of an upstream by the whole fleet, a second",
    ),
    schema.Setting(
        "evacuate_s",
        kinds.number(0, 3600),
        "0",
        "time within which an evacuated zone's upstreams must get no new work, seconds",
    ),
    schema.Setting(
        "region_by_zone",
        kinds.NAMES_BY_NAME,
        "",
        "the region of each zone, as ZONE=REGION; zones without one share a region",
    ),
    schema.Setting(
        "exposure_share",
        kinds.number(0, 1),
        "0.1",
        "requests of a service that a new version gets before it is trusted, a share",
    ),
    schema.Setting(
        "exposure_reserve",
        kinds.number(0, 100_000),
        "0",
        "requests of the whole fleet that it gets beyond that share",
    ),
    schema.Setting(
        "rollback_s",
        kinds.number(0.1, 3600),
        "5",
        "time within which a version that fails must get no more requests, seconds",
    ),
    schema.Setting(
        "entries_per_zone",
        kinds.whole(1, 64),
        "1",
        "gateways in each zone that callers are sent to, more under load",
    ),
    schema.Setting(
        "cores", kinds.number(0.01, 1000), "1", "processor cores of this host"
    ),
    schema.Setting(
        "link_mbps",
        kinds.number(0.01, 1e6),
        "1000",
        "this host's link, in Mbit/s one way",
    ),
    schema.Setting(
        "seed", kinds.whole(0, 2**53), "0", "random seed; 0: from the system"
    ),
)


class GatewaySettings(msgspec.Struct, frozen=True):
    """The checked settings of one gateway, one attribute per row above."""

    host: ids.HostId
    zone: ids.ZoneName
    listen: ids.Address
    ready_listen: ids.Address
    directory_listen: ids.Address
    peer_listen: ids.Address
    operator_listen: ids.Address
    source: str
    source_driver: str
    dialect: str
    peers: tuple[ids.Address, ...]
    peer_keys: tuple[bytes, ...]
    stop_limit_s: float
    hand_out_s: float
    extra_share: float
    extra_reserve: float
    extra_window_s: float
    probes_per_s: float
    evacuate_s: float
    region_by_zone: dict[ids.ZoneName, ids.RegionName]
    exposure_share: float
    exposure_reserve: float
    rollback_s: float
    entries_per_zone: int
    cores: float
    link_mbps: float
    seed: int


def read(
    flags: abc.Mapping[str, str | None],
    environment: abc.Mapping[str, str] = os.environ,
    file_values: abc.Mapping[str, str] | None = None,
) -> GatewaySettings | list[schema.Fault]:
    """Read all settings, or return all faults."""
    values = schema.read(SETTINGS, flags, environment, file_values or {})
    if isinstance(values, list):
        return values
    return GatewaySettings(**values)


def read_file(path: str) -> dict[str, str] | list[schema.Fault]:
    """Return the texts in a settings file by name, or every fault in it."""
    return toml_file.read(path, SETTINGS)
