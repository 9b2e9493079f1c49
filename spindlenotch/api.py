"""
Bodies that entries and callers exchange, as JSON.

Shared by the caller port and the caller library; imports nothing of either.
"""

import msgspec


class NamedEntry(msgspec.Struct, frozen=True):
    """An entry host that a caller may use."""

    address: str
    zone: str


class EntriesAnswer(msgspec.Struct, frozen=True):
    """
    Which entries to use. ``valid_for_ms`` counts from when the answer comes,
    since clocks differ; the caller stores the deadline that follows.
    """

    entries: tuple[NamedEntry, ...]
    valid_for_ms: int
    tickets: tuple[str, ...] = ()


class RefusalBody(msgspec.Struct, frozen=True):
    """The body of a refusal."""

    outcome: str
    reason: str
    text: str
    detail: str
    request_id: str
    retry_after_ms: int | None
