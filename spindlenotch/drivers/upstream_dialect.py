"""
How upstreams say what the product needs to know: names and judgements.

The rules by which an answer counts as an upstream's own, as not run, or as a
drain notice stand in one function each per dialect. ``NATIVE`` is the
product's own; an adapter brings another (see ``gateway.dialect``). Pure.
"""

from collections import abc

import msgspec

from spindlenotch import headers
from spindlenotch.kernel import backpressure, upstreams

#: Header values by name; looked up without regard to case.
Fields = abc.Mapping[str, str]

PROBE_PATH = "/-/load"
NOT_RUN = "not-run"
DRAINING = "draining"
#: Longest load header that is read, in characters.
MAX_LOAD_CHARACTERS = 64
#: Largest count that is believed in a load header.
MAX_LOAD_COUNT = 1_000_000


class UpstreamDialect(msgspec.Struct, frozen=True):
    """
    The names and judgements of one way to speak with upstreams.

    ``request_id`` names the header that an upstream echoes. ``read_load`` gets
    the headers of an answer and returns None where they hold no load that can
    be read. ``read_cold_s`` gets those of a health answer and returns for how many
    seconds more the upstream is cold, None where it does not say. The others get its
    status and headers: ``read_signals`` returns what the answer says of how much the
    upstream will take, ``is_genuine`` tells
    whether an upstream made the answer, ``is_not_run`` whether it says that
    the request has not run and never will, ``is_draining`` whether the
    upstream that was meant gets no more work.
    """

    request_id: str
    probe_path: str
    read_load: abc.Callable[[Fields], upstreams.LoadReport | None]
    read_cold_s: abc.Callable[[Fields], float | None]
    read_signals: abc.Callable[[int, Fields], backpressure.Signals]
    is_genuine: abc.Callable[[int, Fields], bool]
    is_not_run: abc.Callable[[int, Fields], bool]
    is_draining: abc.Callable[[int, Fields], bool]


def read_load(text: str | None) -> upstreams.LoadReport | None:
    """Read ``running=4,queued=1``; None where it is absent or malformed."""
    if text is None or len(text) > MAX_LOAD_CHARACTERS:
        return None
    try:
        count_by_name = dict(item.split("=", 1) for item in text.split(","))
        running, queued = int(count_by_name["running"]), int(count_by_name["queued"])
    except (ValueError, KeyError):
        # As good as no report; upstreams send one with nearly every answer.
        return None
    if not (0 <= running <= MAX_LOAD_COUNT and 0 <= queued <= MAX_LOAD_COUNT):
        return None
    return upstreams.LoadReport(running, queued)


def _is_genuine(status: int, fields: Fields) -> bool:
    """Native upstreams sign nothing; the echoed request id is the only proof."""
    return True


def _is_not_run(status: int, fields: Fields) -> bool:
    return fields.get(headers.OUTCOME) == NOT_RUN


def _is_draining(status: int, fields: Fields) -> bool:
    return fields.get(headers.STATE) == DRAINING


NATIVE = UpstreamDialect(
    request_id=headers.REQUEST_ID,
    probe_path=PROBE_PATH,
    read_load=lambda fields: read_load(fields.get(headers.LOAD)),
    read_cold_s=lambda fields: None,
    read_signals=lambda status, fields: backpressure.Signals(),
    is_genuine=_is_genuine,
    is_not_run=_is_not_run,
    is_draining=_is_draining,
)
