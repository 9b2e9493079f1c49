"""
What the two sample deployments of the demo are made of, with the sizes of today.

A plan names one of the bundles in ``bundles/``, whose services, zones and
client accounts it uses. Rates and times are those of a small machine, chosen
so that the demo shows its faults; they are not measured.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGroup:
    """The upstreams of one service; ``service_ms`` is their mean time."""

    service: str
    count: int
    slots: int
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account of a bundle, with its key."""

    name: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """One kind of request, sent evenly at ``rate`` a second."""

    name: str
    service: str
    method: str
    path: str
    rate: float
    account: Account
    repeatable: bool = True
    body_bytes: int = 0
    class_name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One deployment: an entry in each zone, upstreams and traffic."""

    name: str
    bundle: str
    zones: tuple[str, ...]
    upstream_groups: tuple[UpstreamGroup, ...]
    traffic: tuple[Traffic, ...]


DARKHAN_HOTEL = Account("darkhan-hotel", "darkhan-key")
GOBI_LODGE = Account("gobi-lodge", "gobi-key")

TUUL_STEPPE = Plan(
    name="tuul",
    bundle="tuul-steppe.toml",
    zones=("ub-1", "ub-2", "ub-3"),
    upstream_groups=(
        UpstreamGroup(service="resv-core", count=30, slots=6, service_ms=20.0),
        UpstreamGroup(service="content-hub", count=6, slots=6, service_ms=40.0),
    ),
    traffic=(
        Traffic(
            name="rates",
            service="resv-core",
            method="GET",
            path="/rates",
            rate=60,
            account=DARKHAN_HOTEL,
        ),
        Traffic(
            name="booking",
            service="resv-core",
            method="POST",
            path="/bookings",
            rate=10,
            account=DARKHAN_HOTEL,
            repeatable=False,
            body_bytes=200,
        ),
        Traffic(
            name="photos",
            service="content-hub",
            method="PUT",
            path="/photos/pack",
            rate=2,
            account=GOBI_LODGE,
            body_bytes=300_000,
        ),
    ),
)

FIELD_CREW = Account("field-crew", "field-key")
SUPERVISOR = Account("supervisor", "supervisor-key")

DAKAR = Plan(
    name="dakar",
    bundle="dakar.toml",
    zones=("dk-1", "dk-2", "dk-3"),
    upstream_groups=(
        UpstreamGroup(service="carothek", count=30, slots=3, service_ms=20.0),
        UpstreamGroup(service="scanport", count=6, slots=3, service_ms=200.0),
    ),
    traffic=(
        Traffic(
            name="browse",
            service="carothek",
            method="GET",
            path="/cores",
            rate=40,
            account=FIELD_CREW,
        ),
        Traffic(
            name="urgent",
            service="carothek",
            method="GET",
            path="/cores",
            rate=10,
            account=SUPERVISOR,
            class_name="urgent",
        ),
        Traffic(
            name="split",
            service="carothek",
            method="POST",
            path="/splits",
            rate=5,
            account=FIELD_CREW,
            repeatable=False,
            body_bytes=200,
        ),
        Traffic(
            name="scans",
            service="scanport",
            method="PUT",
            path="/scans/box",
            rate=2,
            account=FIELD_CREW,
            body_bytes=300_000,
        ),
    ),
)
