"""
JSON bodies that entries send to callers.

Shared by the caller port and the caller library; imports neither of them.
"""

import msgspec


class NamedEntry(msgspec.Struct, frozen=True):
    """An entry that a caller may use; ``address`` is ``IP:port``."""

    address: str
    zone: str


class EntriesAnswer(msgspec.Struct, frozen=True):
    """
    The entries to use, and tickets for requests that may not be repeated.

    ``valid_for_ms`` counts from the arrival of the response, because the clocks of
    caller and entry differ; the caller stores the resulting deadline.
    """

    entries: tuple[NamedEntry, ...]
    valid_for_ms: int
    tickets: tuple[str, ...] = ()


class RefusalBody(msgspec.Struct, frozen=True):
    """
    The body of a refusal.

    ``retry_after_ms`` counts from the arrival of the response; None if the same
    request would be refused again.
    """

    outcome: str
    reason: str
    text: str
    detail: str
    request_id: str
    retry_after_ms: int | None
