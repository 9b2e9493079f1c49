"""
Header names of the protocol with callers and upstreams, and hop-by-hop rules.

The names are defined here only, so that both sides of the entry agree.
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

#: Maximum hops of a chain of calls, which ends forwarding loops; the longest chain that
#: docs/CAPACITY.md assumes has 19.
MAX_HOPS = 32

#: Never forwarded (lower case): the headers of RFC 9110, section 7.6.1, and by
#: convention ``Keep-Alive``, ``Proxy-Connection`` and the two of proxy authentication.
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

#: Request headers that each hop sets anew (lower case).
SET_PER_HOP = frozenset(
    name.lower()
    for name in (TIMEOUT_MS, KEY, TICKET, FORWARDED, HOPS, NO_RETRY, REQUEST_ID)
)


def end_to_end(
    pairs: abc.Iterable[tuple[str, str]], drop: abc.Container[str] = frozenset()
) -> list[tuple[str, str]]:
    """
    Return the headers that may be forwarded.

    Omits the standard hop-by-hop headers, those listed in ``Connection``, and those
    in ``drop`` (lower case). Preserves order and case.
    """
    all_pairs = list(pairs)
    connection_options: set[str] = set()
    for name, value in all_pairs:
        if name.lower() == "connection":
            connection_options.update(
                option.strip().lower() for option in value.split(",")
            )
    return [
        (name, value)
        for name, value in all_pairs
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in connection_options
        and name.lower() not in drop
    ]
