"""
Settings of the gateway: flags, environment variables and a checked file.

A flag goes before a variable, that before the file, that before a default.
All faults are reported at once.
"""

import dataclasses
import os
import tomllib
import typing
from collections import abc

from spindlenotch import ids
from spindlenotch.entry import settings

Fault = settings.Fault
Setting = settings.Setting

SETTINGS = (
    Setting("host", settings.HOST_NAME, None, "this host's id, unique in the fleet"),
    Setting("zone", settings.HOST_NAME, None, "this host's availability zone"),
    Setting("listen", settings.ADDRESS, "127.0.0.1:8080", "where callers connect"),
    Setting("ready_listen", settings.ADDRESS, "127.0.0.1:8083", "readiness checks"),
    Setting(
        "directory_listen",
        settings.ADDRESS,
        "127.0.0.1:8084",
        "where callers ask which addresses to use",
    ),
    Setting(
        "peer_listen",
        settings.ADDRESS,
        "127.0.0.1:8081",
        "where peers connect (both UDP and TCP)",
    ),
    Setting("operator_listen", settings.ADDRESS, "127.0.0.1:8082", "metrics and state"),
    Setting("source", settings.URL, None, "where configuration and upstreams are"),
    Setting("source_driver", settings.HOST_NAME, None, "driver of the source"),
    Setting("dialect", settings.HOST_NAME, "native", "how callers and upstreams speak"),
    Setting("peers", settings.ADDRESSES, "", "peer addresses to start from"),
    Setting("peer_keys", settings.SECRETS, None, "keys that authenticate peers"),
    Setting(
        "stop_limit_s", settings.number(1, 3600), "6", "longest planned stop, seconds"
    ),
    Setting(
        "hand_out_s", settings.number(0.1, 60), "1", "how long callers keep an answer"
    ),
    Setting(
        "extra_share",
        settings.number(0, 1),
        "0.1",
        "retries and hedges of the whole fleet, as a share of requests",
    ),
    Setting(
        "extra_reserve",
        settings.number(0, 100_000),
        "0",
        "retries and hedges of the whole fleet beyond the share, in a window",
    ),
    Setting(
        "extra_window_s", settings.number(0.1, 3600), "10", "that window, in seconds"
    ),
    Setting(
        "probes_per_s",
        settings.number(0, 1000),
        "20",
        "most probes of an upstream by the whole fleet, a second",
    ),
    Setting(
        "entries_per_zone",
        settings.whole(1, 64),
        "1",
        "gateways in each zone that callers are sent to, more under load",
    ),
    Setting("cores", settings.number(0.01, 1000), "1", "processor cores of this host"),
    Setting(
        "link_mbps",
        settings.number(0.01, 1e6),
        "1000",
        "this host's link, in Mbit/s one way",
    ),
    Setting("seed", settings.whole(0, 2**53), "0", "random seed; 0: from the system"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
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
    entries_per_zone: int
    cores: float
    link_mbps: float
    seed: int


def read(
    flags: abc.Mapping[str, str | None],
    environment: abc.Mapping[str, str] = os.environ,
    file_values: abc.Mapping[str, str] | None = None,
) -> GatewaySettings | list[Fault]:
    """Read all settings, or return all faults."""
    values = settings.read_table(SETTINGS, flags, environment, file_values or {})
    if isinstance(values, list):
        return values
    return GatewaySettings(**values)


def read_file(path: str) -> dict[str, str] | list[Fault]:
    """Return the values of a settings file, or every fault in it."""
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        return [Fault(path, error.strerror or "unreadable", "a readable file")]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return [Fault(path, str(error), "a whole TOML file")]
    names = {setting.name for setting in SETTINGS}
    faults = [
        Fault(f"{path}: {name}", "an unknown name", ", ".join(sorted(names)))
        for name in document
        if name not in names
    ]
    return faults or {name: _text(value) for name, value in document.items()}


def _text(value: typing.Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)
