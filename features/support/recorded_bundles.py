"""
The samples of bundles: their text, and the signed envelopes around it.

To record something new, add a sample to ``bundle_samples`` and run
``recorded_samples``.
"""

from features.support import recorded
from spindlenotch import ids
from spindlenotch.bundles import bundle, bundle_check, bundle_seal
from spindlenotch.kernel import zone_schedule

Sample = recorded.Sample
PRIVATE = "1f" * 32
PRIVATE_EARLIER = "2e" * 32
POLICIES = ("owned", "other")


def signed_bundle() -> bundle.Bundle:
    """Return what the recorded bundle's text is read as."""
    zones = (ids.ZoneName("zone-a"), ids.ZoneName("zone-b"))
    operations = (
        bundle.Operation(
            name="book",
            methods=frozenset({"GET", "POST"}),
            prefix="/bookings",
            class_name=ids.ClassName("urgent"),
            repeatable=True,
        ),
    )
    day = (
        zone_schedule.DayStep(
            minute=390, weight_by_zone={zones[0]: 1.5, zones[1]: 0.0}
        ),
        zone_schedule.DayStep(
            minute=1080, weight_by_zone={zones[0]: 0.5, zones[1]: 2.0}
        ),
    )
    service = bundle.Service(
        name=ids.ServiceName("core"),
        zones=zones,
        slots=6,
        connections=120,
        typical_ms=12.5,
        policy="other",
        hedge_share=0.025,
        retry_share=0.075,
        queue_limit=33,
        eject_share=0.25,
        operations=operations,
        day=day,
    )
    account = bundle.ClientAccount(
        name=ids.AccountName("hotel"),
        key_sha256="a3" * 32,
        class_names=(ids.ClassName("urgent"), ids.ClassName("browse")),
    )
    return bundle.Bundle(
        version=ids.BundleVersion(42),
        deployment="records",
        timezone="Asia/Ulaanbaatar",
        measuring_share=0.02,
        probe_ms=4.5,
        claims_per_second=75.0,
        claim_keep_s=7200,
        priority_by_class={ids.ClassName("urgent"): 1, ids.ClassName("browse"): 3},
        anonymous_class=ids.ClassName("browse"),
        account_by_name={account.name: account},
        service_by_name={service.name: service},
    )


def bare_bundle() -> bundle.Bundle:
    """Return what a bundle with the required fields alone is read as."""
    operation = bundle.Operation(
        name="read",
        methods=frozenset({"GET"}),
        prefix="/",
        class_name=ids.ClassName("browse"),
        repeatable=True,
    )
    service = bundle.Service(
        name=ids.ServiceName("core"),
        zones=(ids.ZoneName("zone-a"),),
        slots=2,
        connections=250,
        typical_ms=20.0,
        policy="owned",
        hedge_share=0.05,
        retry_share=0.05,
        queue_limit=200,
        eject_share=0.3,
        operations=(operation,),
        day=(),
    )
    return bundle.Bundle(
        version=ids.BundleVersion(1),
        deployment="records",
        timezone="UTC",
        measuring_share=0.01,
        probe_ms=6.0,
        claims_per_second=100.0,
        claim_keep_s=86_400,
        priority_by_class={ids.ClassName("browse"): 0},
        anonymous_class=None,
        account_by_name={},
        service_by_name={service.name: service},
    )


def text_of(name: str) -> str:
    """Return the text of a recorded bundle."""
    return (recorded.FOLDER / name).read_text().removesuffix("\n")


def earlier_envelope() -> bundle_seal.Envelope:
    """Return the envelope of version 41, whose log begins there."""
    sealed = bundle_seal.seal(text_of("bundle-bare.toml"), PRIVATE_EARLIER)
    return bundle_seal.with_log(sealed, None, 41, 1_700_000_000.5)


def sealed_bundle() -> bundle_seal.Envelope:
    """Return the envelope of version 42 as an operator signs it."""
    return bundle_seal.seal(text_of("bundle.toml"), PRIVATE)


def envelope() -> bundle_seal.Envelope:
    """Return the envelope of version 42 with its log."""
    return bundle_seal.with_log(
        sealed_bundle(), earlier_envelope(), 42, 1_700_000_060.25
    )


def opened(data: bytes) -> object:
    """Return the bundle in an envelope whose signature holds."""
    found = bundle_seal.open_bytes(data, frozenset({envelope().key}), POLICIES)
    return found.bundle if isinstance(found, bundle_seal.Opened) else found


def bundle_samples() -> list[Sample]:
    """Return the samples of signed bundles."""
    return [
        Sample(
            "bundle.toml",
            "toml",
            signed_bundle(),
            read=lambda data: bundle_check.check(data.decode(), POLICIES),
        ),
        Sample(
            "bundle-bare.toml",
            "toml",
            bare_bundle(),
            read=lambda data: bundle_check.check(data.decode(), POLICIES),
            bare=True,
        ),
        Sample(
            "envelope.json",
            "json",
            envelope(),
            lambda: bundle_seal.encode(envelope()),
            bundle_seal.decode,
            strangers="passed over",
        ),
        Sample("envelope.json", "json", signed_bundle(), read=opened),
    ]
