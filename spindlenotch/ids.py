"""
Types of identifiers and of time.

They let mypy reject, for example, a host id passed as an upstream id. This is the
lowest layer: it has no state and imports nothing of the package.
"""

import typing

#: Name of a service, as the bundle or the routes give it.
ServiceName = typing.NewType("ServiceName", str)

#: Id of an upstream in the host list or the source.
UpstreamId = typing.NewType("UpstreamId", str)

#: Id of a host of the entry fleet, or of a gateway.
HostId = typing.NewType("HostId", str)

#: Name of an availability zone.
ZoneName = typing.NewType("ZoneName", str)

#: Name of a region: a group of availability zones near each other.
RegionName = typing.NewType("RegionName", str)

#: Version of the software that an upstream runs.
SoftwareVersion = typing.NewType("SoftwareVersion", str)

#: A client account: a caller whose key and classes the bundle lists.
AccountName = typing.NewType("AccountName", str)
ClassName = typing.NewType("ClassName", str)

#: Id of one request, the same in every process that handles it.
CallId = typing.NewType("CallId", str)

#: Identifies repetitions of the same request; see ``kernel.fingerprints``.
Fingerprint = typing.NewType("Fingerprint", str)

#: Random id of one run of a process; each restart gets a new one.
Incarnation = typing.NewType("Incarnation", str)

#: Version of a signed bundle; grows by one with each accepted bundle.
BundleVersion = typing.NewType("BundleVersion", int)

#: SHA-256 of the bundle text, as 64 hexadecimal digits.
Digest = typing.NewType("Digest", str)

#: ``IP:port``.
Address = typing.NewType("Address", str)

#: A reading of the monotonic clock (``clock.Clock.now``), in seconds. Deadlines are
#: stored as instants, never as durations.
Instant = typing.NewType("Instant", float)

#: Later than any instant.
NEVER = Instant(float("inf"))


def later(start: Instant, seconds: float) -> Instant:
    """Return the instant ``seconds`` after ``start``."""
    return Instant(start + seconds)
