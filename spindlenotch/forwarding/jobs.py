"""
A request on its way to an upstream, and how each of its tries is labelled.

A job outlives its tries: it is built once by the port that read the request
and never changes. A label is made anew for every try, since a try has its own
remaining time and, where upstreams echo an id, its own id.
"""

from collections import abc

import msgspec

from spindlenotch import headers
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.kernel import fingerprints, waiting


class AttemptHeaders(msgspec.Struct, frozen=True):
    """
    The headers that are set anew for one try, and the id it goes by.

    An answer that bears another id is foreign.
    """

    request_id: str
    headers: list[tuple[str, str]]


class Job(msgspec.Struct, frozen=True):
    """
    A request on its way to an upstream.

    ``headers`` and ``body`` are those of the caller; a body that is not bytes
    streams in and can be read only once. With ``needs_new_connection`` it goes
    over one on which nothing was sent before. ``hop_count`` counts the hops of
    the chain of calls, the one to the upstream included; it stays 0 where the
    upstreams' protocol does not count them. ``caller`` is who sends the request, as
    far as this process can tell, empty where it can't; ``streamed_bytes`` is the
    declared length of a body that streams.
    """

    balancer: balancer.Balancer
    call: waiting.Call
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | abc.AsyncIterable[bytes] | None
    needs_new_connection: bool
    hop_count: int = 0
    caller: str = ""
    streamed_bytes: int = 0

    def fingerprints(self) -> fingerprints.Fingerprints:
        """Return what tells whether this request was here before."""
        body = self.body if isinstance(self.body, bytes) else None
        content = fingerprints.Content(
            method=self.method,
            host=_host(self.headers),
            target=self.target,
            body=body,
            streamed_bytes=self.streamed_bytes,
        )
        return fingerprints.of(content, self.caller)

    @property
    def is_body_buffered(self) -> bool:
        """Tell whether the body is here in full, so that it can be sent again."""
        return self.body is None or isinstance(self.body, bytes)


def _host(pairs: abc.Iterable[tuple[str, str]]) -> str:
    return next((value for name, value in pairs if name.lower() == "host"), "")


#: Names one try of a job, given the seconds that are left for its answer.
AttemptHeadersFactory = abc.Callable[[Job, verdicts.Grant, float], AttemptHeaders]


def native_attempt_headers(
    job: Job, grant: verdicts.Grant, left_s: float
) -> AttemptHeaders:
    """Name a try as the product's own protocol does; ``left_s`` is in seconds."""
    request_id = f"{job.call.id}.{grant.kind.value}"
    own_headers = [
        (headers.TIMEOUT_MS, str(int(left_s * 1000))),
        (headers.REQUEST_ID, request_id),
        (headers.HOPS, str(job.hop_count)),
    ]
    if grant.kind is not verdicts.Kind.FIRST or not job.call.repeatable:
        own_headers.append((headers.NO_RETRY, "1"))
    return AttemptHeaders(request_id, own_headers)
