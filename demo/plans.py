"""
The two sample deployments, with the sizes of today.
"""

from demo import deployment

TUUL_STEPPE = deployment.Plan(
    name="tuul",
    bundle="tuul-steppe.toml",
    zones=("ub-1", "ub-2", "ub-3"),
    pools=(
        deployment.Pool("resv-core", 30, 6, 20.0),
        deployment.Pool("content-hub", 6, 6, 40.0),
    ),
    traffic=(
        deployment.Traffic(
            "rates", "resv-core", "GET", "/rates", 60, "darkhan-hotel", "darkhan-key"
        ),
        deployment.Traffic(
            "booking",
            "resv-core",
            "POST",
            "/bookings",
            10,
            "darkhan-hotel",
            "darkhan-key",
            repeatable=False,
            body_bytes=200,
        ),
        deployment.Traffic(
            "photos",
            "content-hub",
            "PUT",
            "/photos/pack",
            2,
            "gobi-lodge",
            "gobi-key",
            body_bytes=300_000,
        ),
    ),
)

DAKAR = deployment.Plan(
    name="dakar",
    bundle="dakar.toml",
    zones=("dk-1", "dk-2", "dk-3"),
    pools=(
        deployment.Pool("carothek", 30, 3, 20.0),
        deployment.Pool("scanport", 6, 3, 200.0),
    ),
    traffic=(
        deployment.Traffic(
            "browse", "carothek", "GET", "/cores", 40, "field-crew", "field-key"
        ),
        deployment.Traffic(
            "urgent",
            "carothek",
            "GET",
            "/cores",
            10,
            "supervisor",
            "supervisor-key",
            class_name="urgent",
        ),
        deployment.Traffic(
            "split",
            "carothek",
            "POST",
            "/splits",
            5,
            "field-crew",
            "field-key",
            repeatable=False,
            body_bytes=200,
        ),
        deployment.Traffic(
            "scans",
            "scanport",
            "PUT",
            "/scans/box",
            2,
            "field-crew",
            "field-key",
            body_bytes=300_000,
        ),
    ),
)
