"""
Header names of the protocol with callers and upstreams, and hop-by-hop rules.

One place for every name, so that both sides of the entry agree.
"""

from collections import abc

TIMEOUT_MS = "Spindlenotch-Timeout-Ms"
CALLER = "Spindlenotch-Caller"
KEY = "Spindlenotch-Key"
CLASS = "Spindlenotch-Class"
TICKET = "Spindlenotch-Ticket"
ATTEMPT = "Spindlenotch-Attempt"
FORWARDED = "Spindlenotch-Forwarded"
NO_RETRY = "Spindlenotch-No-Retry"
HOPS = "Spindlenotch-Hops"
OUTCOME = "Spindlenotch-Outcome"
REASON = "Spindlenotch-Reason"
REQUEST_ID = "Spindlenotch-Request-Id"
UPSTREAM = "Spindlenotch-Upstream"
RETRY_AFTER_MS = "Spindlenotch-Retry-After-Ms"
LOAD = "Spindlenotch-Load"
STATE = "Spindlenotch-State"
IDEMPOTENCY_KEY = "Idempotency-Key"

#: Most hops a chain of calls may have; the users' deepest is 19.
MAX_HOPS = 32

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

#: Set anew on each hop, never passed on as they came.
OWN = frozenset(
    name.lower()
    for name in (TIMEOUT_MS, KEY, TICKET, FORWARDED, HOPS, NO_RETRY, REQUEST_ID)
)


def end_to_end(
    pairs: abc.Iterable[tuple[str, str]], drop: abc.Container[str] = frozenset()
) -> list[tuple[str, str]]:
    """
    Return the headers that may pass a hop.

    Leaves out the standard hop-by-hop headers, those that ``Connection``
    names, and those in ``drop`` (lower case).
    """
    everything = list(pairs)
    named: set[str] = set()
    for name, value in everything:
        if name.lower() == "connection":
            named.update(token.strip().lower() for token in value.split(","))
    return [
        (name, value)
        for name, value in everything
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in named
        and name.lower() not in drop
    ]
