"""
Identifier and time types.

Every other module uses these names so that mypy keeps, say, a host id from
being passed where an upstream id is meant. This module sits at the bottom of
the layers and imports nothing of the package.
"""

import typing

ServiceName = typing.NewType("ServiceName", str)
UpstreamId = typing.NewType("UpstreamId", str)
HostId = typing.NewType("HostId", str)
ZoneName = typing.NewType("ZoneName", str)
#: A client account: a caller whose key and classes the bundle lists.
AccountName = typing.NewType("AccountName", str)
ClassName = typing.NewType("ClassName", str)

#: Name of one request as it travels through the system.
CallId = typing.NewType("CallId", str)

#: Random name of one life of one entry process. A restart gets a new one.
Incarnation = typing.NewType("Incarnation", str)

#: Number of a signed bundle. Grows by one with each accepted bundle.
BundleVersion = typing.NewType("BundleVersion", int)

#: SHA-256 of the bundle text, as 64 hexadecimal digits.
Digest = typing.NewType("Digest", str)

#: ``IP:port``.
Address = typing.NewType("Address", str)

#: Seconds on a clock that never runs backwards and counts suspended time.
#: Deadlines are instants; durations are never stored.
Instant = typing.NewType("Instant", float)

NEVER = Instant(float("inf"))


def later(start: Instant, seconds: float) -> Instant:
    """Return the instant that lies ``seconds`` after ``start``."""
    return Instant(start + seconds)
