"""
The samples of settings: flags, environment variables and settings files.

To record something new, add a sample to ``settings_samples`` and run
``recorded_names``.
"""

import json
import typing
from collections import abc

import msgspec

from features.support import recorded
from spindlenotch import ids
from spindlenotch.entry import settings
from spindlenotch.gateway import settings as gateway_settings
from spindlenotch.settings import schema
from spindlenotch_platform import settings_file

Sample = recorded.Sample
Plain = typing.Any


def entry_settings() -> settings.EntrySettings:
    """Return what the recorded environment of an entry is read as."""
    return settings.EntrySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.2:1"),
        peer_listen=ids.Address("127.0.0.2:2"),
        operator_listen=ids.Address("127.0.0.2:3"),
        store="http://store:4",
        host_list="http://hosts:5",
        peers=(ids.Address("127.0.0.3:2"), ids.Address("127.0.0.4:2")),
        peer_keys=(b"a first key of peers", b"another key of peers"),
        trusted_keys=frozenset({"ab" * 32, "cd" * 32}),
        once_capacity=1234,
        hand_out_s=2.5,
        drain_limit_s=33.5,
        pause_s=1.25,
        seed=17,
        plugins=("one.module", "another"),
    )


def bare_entry_settings() -> settings.EntrySettings:
    """Return what the shortest environment of an entry is read as."""
    return settings.EntrySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.1:8080"),
        peer_listen=ids.Address("127.0.0.1:8081"),
        operator_listen=ids.Address("127.0.0.1:8082"),
        store="http://store:4",
        host_list="http://hosts:5",
        peers=(),
        peer_keys=(b"a first key of peers",),
        trusted_keys=frozenset({"ab" * 32}),
        once_capacity=100_000,
        hand_out_s=5.0,
        drain_limit_s=0.0,
        pause_s=2.0,
        seed=0,
        plugins=(),
    )


def gateway_values() -> gateway_settings.GatewaySettings:
    """Return what the recorded environment of a gateway is read as."""
    return gateway_settings.GatewaySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.2:1"),
        ready_listen=ids.Address("127.0.0.2:2"),
        directory_listen=ids.Address("127.0.0.2:3"),
        peer_listen=ids.Address("127.0.0.2:4"),
        operator_listen=ids.Address("127.0.0.2:5"),
        source="http://store:6",
        source_driver="a-driver",
        dialect="a-dialect",
        peers=(ids.Address("127.0.0.3:4"), ids.Address("127.0.0.4:4")),
        peer_keys=(b"a first key of peers", b"another key of peers"),
        stop_limit_s=7.5,
        hand_out_s=2.5,
        extra_share=0.25,
        extra_reserve=48.5,
        extra_window_s=12.5,
        probes_per_s=35.5,
        evacuate_s=0.0,
        region_by_zone={},
        exposure_share=0.1,
        exposure_reserve=0.0,
        rollback_s=5.0,
        entries_per_zone=3,
        cores=0.75,
        link_mbps=250.5,
        seed=17,
    )


def added_gateway_values() -> gateway_settings.GatewaySettings:
    """Return what the environment with the later settings is read as."""
    return msgspec.structs.replace(gateway_values(), evacuate_s=4.5)


def latest_gateway_values() -> gateway_settings.GatewaySettings:
    """Return what the environment with the latest settings is read as."""
    return msgspec.structs.replace(
        added_gateway_values(),
        region_by_zone={ids.ZoneName("zone-1"): ids.RegionName("region-1")},
        exposure_share=0.125,
        exposure_reserve=24.5,
        rollback_s=3.5,
    )


def bare_gateway_values() -> gateway_settings.GatewaySettings:
    """Return what the shortest environment of a gateway is read as."""
    return gateway_settings.GatewaySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.1:8080"),
        ready_listen=ids.Address("127.0.0.1:8083"),
        directory_listen=ids.Address("127.0.0.1:8084"),
        peer_listen=ids.Address("127.0.0.1:8081"),
        operator_listen=ids.Address("127.0.0.1:8082"),
        source="http://store:6",
        source_driver="a-driver",
        dialect="native",
        peers=(),
        peer_keys=(b"a first key of peers",),
        stop_limit_s=6.0,
        hand_out_s=1.0,
        extra_share=0.1,
        extra_reserve=0.0,
        extra_window_s=10.0,
        probes_per_s=20.0,
        evacuate_s=0.0,
        region_by_zone={},
        exposure_share=0.1,
        exposure_reserve=0.0,
        rollback_s=5.0,
        entries_per_zone=1,
        cores=1.0,
        link_mbps=1000.0,
        seed=0,
    )


def platform_values() -> gateway_settings.GatewaySettings:
    """Return what the platform's recorded settings file is read as."""
    return gateway_settings.GatewaySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.2:1"),
        ready_listen=ids.Address("127.0.0.2:2"),
        directory_listen=ids.Address("127.0.0.2:3"),
        peer_listen=ids.Address("127.0.0.2:4400"),
        operator_listen=ids.Address("127.0.0.2:5"),
        source="http://127.0.0.9:6",
        source_driver="platform",
        dialect="platform",
        peers=(ids.Address("127.0.0.3:4400"), ids.Address("127.0.0.4:4400")),
        peer_keys=(b"spindlenotch-on-the-platform",),
        stop_limit_s=7.5,
        hand_out_s=2.5,
        extra_share=0.25,
        extra_reserve=48.5,
        extra_window_s=12.5,
        probes_per_s=17.0,
        evacuate_s=0.0,
        region_by_zone={ids.ZoneName("zone-1"): ids.RegionName("region-1")},
        exposure_share=0.1,
        exposure_reserve=0.0,
        rollback_s=5.0,
        entries_per_zone=2,
        cores=1.0,
        link_mbps=250.5,
        seed=17,
    )


def setting_rows(rows: abc.Iterable[schema.Setting]) -> Plain:
    """Return a table of settings by name."""
    return {
        row.name: {
            "flag": row.flag,
            "variable": row.variable,
            "default": row.default,
            "allowed": row.kind.allowed,
        }
        for row in rows
    }


def read_platform(file: str) -> object:
    """Return what a settings file of the platform is read as."""
    environment = {
        "SPINDLENOTCH_SETTINGS": str(recorded.FOLDER / file),
        "SPINDLENOTCH_SEED": "17",
        "SPINDLENOTCH_ENTRIES_PER_ZONE": "2",
    }
    return settings_file.read_settings(environment)


def settings_samples() -> list[Sample]:
    """Return the samples of settings."""

    def entry(data: bytes) -> object:
        return settings.read({}, json.loads(data))

    def gateway(data: bytes) -> object:
        return gateway_settings.read({}, json.loads(data))

    def file(data: bytes) -> object:
        path = recorded.FOLDER / "gateway-settings.toml"
        values = gateway_settings.read_file(str(path))
        if isinstance(values, list):
            return values
        return gateway_settings.read({}, {}, values)

    return [
        recorded.table("settings-entry", lambda: setting_rows(settings.SETTINGS)),
        *recorded.grown_table(
            "settings-gateway", lambda: setting_rows(gateway_settings.SETTINGS), 2
        ),
        Sample("environment-entry.json", "json", entry_settings(), read=entry),
        Sample(
            "environment-entry-bare.json",
            "json",
            bare_entry_settings(),
            read=entry,
            bare=True,
        ),
        Sample("environment-gateway.json", "json", gateway_values(), read=gateway),
        Sample(
            "environment-gateway-bare.json",
            "json",
            bare_gateway_values(),
            read=gateway,
            bare=True,
        ),
        Sample("gateway-settings.toml", "toml", gateway_values(), read=file),
        Sample(
            "environment-gateway-added.json",
            "json",
            added_gateway_values(),
            read=gateway,
        ),
        Sample(
            "environment-gateway-added-2.json",
            "json",
            latest_gateway_values(),
            read=gateway,
        ),
        Sample(
            "platform-settings.toml",
            "toml",
            platform_values(),
            read=lambda data: read_platform("platform-settings.toml"),
        ),
        Sample(
            "platform-settings-added.toml",
            "toml",
            msgspec.structs.replace(platform_values(), evacuate_s=4.5),
            read=lambda data: read_platform("platform-settings-added.toml"),
        ),
        Sample(
            "platform-settings-added-2.toml",
            "toml",
            msgspec.structs.replace(
                platform_values(),
                evacuate_s=4.5,
                region_by_zone={
                    ids.ZoneName("zone-1"): ids.RegionName("region-1"),
                    ids.ZoneName("zone-2"): ids.RegionName("region-2"),
                },
                exposure_share=0.125,
                exposure_reserve=24.5,
                rollback_s=3.5,
            ),
            read=lambda data: read_platform("platform-settings-added-2.toml"),
        ),
    ]
