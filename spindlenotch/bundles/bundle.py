"""
The bundle as the daemons see it: checked, immutable, keyed by name.

``bundle_check`` builds these objects from TOML and is the only module that
does. Units: shares are fractions of one, times are seconds unless the name
says otherwise.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import zone_schedule


class Operation(msgspec.Struct, frozen=True):
    """A kind of request: which method and path it has and whether it repeats."""

    name: str
    methods: frozenset[str]
    prefix: str
    class_name: ids.ClassName
    repeatable: bool

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request with ``method`` and ``path`` is of this kind."""
        return method in self.methods and path.startswith(self.prefix)


class Service(msgspec.Struct, frozen=True):
    """
    One service and how its traffic is treated.

    ``slots`` is what one upstream runs at once; ``typical_ms`` is the
    typical latency of one request and seeds every estimate before there are
    measurements.
    """

    name: ids.ServiceName
    zones: tuple[ids.ZoneName, ...]
    slots: int
    connections: int
    typical_ms: float
    policy: str
    hedge_share: float
    retry_share: float
    queue_limit: int
    eject_share: float
    operations: tuple[Operation, ...]
    day: tuple[zone_schedule.DayStep, ...]

    def operation_for(self, method: str, path: str) -> Operation | None:
        """Return the operation with the longest matching prefix, if any."""
        fitting = [o for o in self.operations if o.matches(method, path)]
        if not fitting:
            return None
        return max(fitting, key=lambda o: len(o.prefix))


class ClientAccount(msgspec.Struct, frozen=True):
    """
    A caller that the operators know: its key and the classes it may use.

    ``key_sha256`` is in hexadecimal. A request gets the class it asks for, else
    its operation's, else the last of ``class_names``.
    """

    name: ids.AccountName
    key_sha256: str
    class_names: tuple[ids.ClassName, ...]


class Bundle(msgspec.Struct, frozen=True):
    """
    All that the operators signed off, in one version.

    ``priority_by_class``: a lower number is served first. ``anonymous_class`` is
    the class of callers that name no account, or None where they are refused.
    ``measuring_share`` bounds probes as a share of upstream capacity.
    """

    version: ids.BundleVersion
    deployment: str
    timezone: str
    measuring_share: float
    probe_ms: float
    claims_per_second: float
    claim_keep_s: int
    priority_by_class: dict[ids.ClassName, int]
    anonymous_class: ids.ClassName | None
    account_by_name: dict[ids.AccountName, ClientAccount]
    service_by_name: dict[ids.ServiceName, Service]
