"""
A request to be forwarded to an upstream, and the headers of each of its attempts.

A job is immutable: the port that read the request builds it once for all attempts.
Each attempt has headers of its own, since it has its own remaining time and, if
upstreams echo a request id, its own id.
"""

from collections import abc

import msgspec

from spindlenotch import headers
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.kernel import fingerprints, wait_queue


class AttemptHeaders(msgspec.Struct, frozen=True):
    """
    The headers that are specific to one attempt, and its request id.

    An answer with another request id belongs to another request.
    """

    request_id: str
    headers: list[tuple[str, str]]


class Job(msgspec.Struct, frozen=True):
    """
    A request to be forwarded to an upstream.

    ``headers`` and ``body`` are those of the caller; a body that is not bytes is
    streamed and can be read only once. With ``needs_new_connection`` it is sent over a
    connection that has not been used before. ``hop_count`` counts the hops of the call
    chain, including the one to the upstream; it stays 0 if the upstreams' protocol does
    not count them. ``caller`` identifies the sender as far as this process knows it,
    and is empty otherwise; ``streamed_bytes`` is the declared length of a streamed
    body. ``handovers`` is how often gateways have handed the request to each other.
    """

    balancer: balancer.Balancer
    call: wait_queue.Call
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | abc.AsyncIterable[bytes] | None
    needs_new_connection: bool
    hop_count: int = 0
    caller: str = ""
    streamed_bytes: int = 0
    handovers: int = 0

    def fingerprints(self) -> fingerprints.Fingerprints:
        """Return the fingerprints by which identical requests are recognised."""
        body = self.body if isinstance(self.body, bytes) else None
        content = fingerprints.Content(
            method=self.method,
            host=_host(self.headers),
            target=self.target,
            body=body,
            streamed_bytes=self.streamed_bytes,
        )
        return fingerprints.compute(content, self.caller)

    @property
    def is_body_buffered(self) -> bool:
        """Return whether the whole body is in memory, so that it can be sent again."""
        return self.body is None or isinstance(self.body, bytes)


def _host(pairs: abc.Iterable[tuple[str, str]]) -> str:
    return next((value for name, value in pairs if name.lower() == "host"), "")


#: Builds the headers of one attempt; the float is its remaining time in seconds.
AttemptHeadersFactory = abc.Callable[[Job, verdicts.Grant, float], AttemptHeaders]


def native_attempt_headers(
    job: Job, grant: verdicts.Grant, left_s: float
) -> AttemptHeaders:
    """Build the headers of the native protocol; ``left_s`` is in seconds."""
    request_id = f"{job.call.id}.{grant.kind.value}"
    own_headers = [
        (headers.TIMEOUT_MS, str(int(left_s * 1000))),
        (headers.REQUEST_ID, request_id),
        (headers.HOPS, str(job.hop_count)),
    ]
    if grant.kind is not verdicts.Kind.FIRST or not job.call.repeatable:
        own_headers.append((headers.NO_RETRY, "1"))
    return AttemptHeaders(request_id, own_headers)
