"""
Dialects: the header names and rules by which upstream responses are interpreted.

For each dialect one function decides whether a response was made by an upstream, one
whether it says that the request was not executed, and one whether it is a drain
notice. ``NATIVE`` is the product's own dialect; an adapter provides another (see
``gateway.dialect``). Pure.
"""

from collections import abc

import msgspec

from spindlenotch import headers
from spindlenotch.kernel import backpressure, upstreams

#: Header values by name; the lookup ignores case.
Fields = abc.Mapping[str, str]

PROBE_PATH = "/-/load"
NOT_RUN = "not-run"
DRAINING = "draining"
#: Length above which a load header is ignored, in characters.
MAX_LOAD_CHARACTERS = 64
#: Count above which a load header is ignored as implausible.
MAX_LOAD_COUNT = 1_000_000


class UpstreamDialect(msgspec.Struct, frozen=True):
    """
    The header names and rules of one protocol between this product and upstreams.

    ``request_id`` names the header that an upstream echoes. ``read_load`` takes the
    headers of a response and returns None if they hold no valid load. ``read_cold_s``
    takes those of a health response and returns for how many more seconds the
    upstream is cold, None if it does not say. The others take the status and headers
    of a response: ``read_signals`` returns its backpressure signals, ``is_genuine``
    tells whether it was made by an upstream, ``is_not_run`` whether it says that the
    request was not executed and never will be, ``is_draining`` whether the upstream
    addressed accepts no more requests. A response in which one of ``single_fields``
    occurs twice does not tell whose it is.
    """

    request_id: str
    single_fields: tuple[str, ...]
    probe_path: str
    read_load: abc.Callable[[Fields], upstreams.LoadReport | None]
    read_cold_s: abc.Callable[[Fields], float | None]
    read_signals: abc.Callable[[int, Fields], backpressure.Signals]
    is_genuine: abc.Callable[[int, Fields], bool]
    is_not_run: abc.Callable[[int, Fields], bool]
    is_draining: abc.Callable[[int, Fields], bool]


def read_load(text: str | None) -> upstreams.LoadReport | None:
    """Parse ``running=4,queued=1``; return None if it is absent or malformed."""
    if text is None or len(text) > MAX_LOAD_CHARACTERS:
        return None
    try:
        count_by_name = dict(item.split("=", 1) for item in text.split(","))
        running, queued = int(count_by_name["running"]), int(count_by_name["queued"])
    except (ValueError, KeyError):
        # Treated as no report; upstreams send one with nearly every response.
        return None
    if not (0 <= running <= MAX_LOAD_COUNT and 0 <= queued <= MAX_LOAD_COUNT):
        return None
    return upstreams.LoadReport(running, queued)


def _is_genuine(status: int, fields: Fields) -> bool:
    """Return True: native upstreams sign nothing and only echo the request id."""
    return True


def _is_not_run(status: int, fields: Fields) -> bool:
    return fields.get(headers.OUTCOME) == NOT_RUN


def _is_draining(status: int, fields: Fields) -> bool:
    return fields.get(headers.STATE) == DRAINING


NATIVE = UpstreamDialect(
    request_id=headers.REQUEST_ID,
    single_fields=(headers.REQUEST_ID,),
    probe_path=PROBE_PATH,
    read_load=lambda fields: read_load(fields.get(headers.LOAD)),
    read_cold_s=lambda fields: None,
    read_signals=lambda status, fields: backpressure.Signals(),
    is_genuine=_is_genuine,
    is_not_run=_is_not_run,
    is_draining=_is_draining,
)
