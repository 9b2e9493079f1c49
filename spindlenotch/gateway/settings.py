"""
Settings of the gateway daemon.

Defines the table of settings and the type of their values. Parsing, validation and
the reference in the operators' documentation are in ``spindlenotch.settings``.
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
    schema.Setting(
        "dialect", kinds.NAME, "native", "protocol used with callers and upstreams"
    ),
    schema.Setting("peers", kinds.ADDRESSES, "", "initial peer addresses"),
    schema.Setting("peer_keys", kinds.SECRETS, None, "keys that authenticate peers"),
    schema.Setting(
        "stop_limit_s",
        kinds.number(1, 3600),
        "6",
        "time limit of a planned stop, seconds",
    ),
    schema.Setting(
        "hand_out_s",
        kinds.number(0.1, 60),
        "1",
        "how long callers may cache a directory response, seconds",
    ),
    schema.Setting(
        "extra_share",
        kinds.number(0, 1),
        "0.1",
        "fleet-wide limit of retries and hedges, as a share of requests",
    ),
    schema.Setting(
        "extra_reserve",
        kinds.number(0, 100_000),
        "0",
        "fleet-wide retries and hedges per window in addition to the share",
    ),
    schema.Setting(
        "extra_window_s",
        kinds.number(0.1, 3600),
        "10",
        "window of the limits on retries and hedges, seconds",
    ),
    schema.Setting(
        "probes_per_s",
        kinds.number(0, 1000),
        "20",
        "fleet-wide limit of probes per upstream and second",
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
        "maximum share of a service's requests for a version that is not yet trusted",
    ),
    schema.Setting(
        "exposure_reserve",
        kinds.number(0, 100_000),
        "0",
        "fleet-wide requests for such a version in addition to that share",
    ),
    schema.Setting(
        "rollback_s",
        kinds.number(0.1, 3600),
        "5",
        "time within which a failing version must get no more requests, seconds",
    ),
    schema.Setting(
        "entries_per_zone",
        kinds.whole(1, 64),
        "1",
        "gateways per zone that the directory lists, more under load",
    ),
    schema.Setting(
        "cores", kinds.number(0.01, 1000), "1", "processor cores of this host"
    ),
    schema.Setting(
        "link_mbps",
        kinds.number(0.01, 1e6),
        "1000",
        "network capacity of this host per direction, Mbit/s",
    ),
    schema.Setting(
        "seed", kinds.whole(0, 2**53), "0", "random seed; 0: from the system"
    ),
)


class GatewaySettings(msgspec.Struct, frozen=True):
    """The validated settings of one gateway, one attribute per setting above."""

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
    """Return the values in a settings file by name, or all faults in it."""
    return toml_file.read(path, SETTINGS)
