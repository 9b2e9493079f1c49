"""
Bodies that entries and callers exchange, as JSON.

Shared by the caller port and the caller library; imports nothing of either.
"""

import msgspec


class NamedEntry(msgspec.Struct, frozen=True):
    """An entry that a caller may use; ``address`` is ``IP:port``."""

    address: str
    zone: str


class EntriesAnswer(msgspec.Struct, frozen=True):
    """
    Which entries to use, and tickets for requests that may not be repeated.

    ``valid_for_ms`` counts from the arrival of the answer, since clocks
    differ; the caller stores the deadline that follows.
    """

    entries: tuple[NamedEntry, ...]
    valid_for_ms: int
    tickets: tuple[str, ...] = ()


class RefusalBody(msgspec.Struct, frozen=True):
    """
    The body of a refusal.

    ``retry_after_ms`` counts from the arrival of the answer; None where the
    same request would be refused again.
    """

    outcome: str
    reason: str
    text: str
    detail: str
    request_id: str
    retry_after_ms: int | None
