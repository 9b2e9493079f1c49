"""
The identity of a request that may not be repeated.

What the caller said of the request's id, and what follows from it: the key of
its record, and the fingerprint that tells apart requests that share an id.
"""

import hashlib

import msgspec

from spindlenotch import ids
from spindlenotch.entry import once
from spindlenotch.forwarding import jobs


class Identity(msgspec.Struct, frozen=True):
    """
    The id a caller gave. Exactly one of ``ticket`` and ``chosen`` is not empty.

    ``key`` is the caller's secret, passed on only to the id's home.
    ``forwarded`` is true where a peer took this process for the home.
    """

    client_account: ids.AccountName | None
    ticket: str
    chosen: str
    attempt: int
    first_attempt: bool
    forwarded: bool
    key: str


def key_of(job: jobs.Job, identity: Identity) -> once.OnceKey:
    """Return the key of the record: an account's chosen ids are its own."""
    if identity.ticket:
        return once.OnceKey(f"ticket/{identity.ticket}")
    service = job.balancer.service.name
    return once.OnceKey(f"chosen/{identity.client_account}/{service}/{identity.chosen}")


def fingerprint_of(job: jobs.Job, identity: Identity) -> str:
    """Return a digest of what the request asks; a streamed body is left out."""
    body = job.body if isinstance(job.body, bytes) else b""
    parts = (
        str(identity.client_account),
        job.balancer.service.name,
        job.method,
        job.target,
    )
    head = "\n".join(parts).encode()
    return hashlib.sha256(head + b"\n" + body).hexdigest()
