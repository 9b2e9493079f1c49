"""
Read what a caller sent and decide whether it is a request at all.

Turns method, path and headers into an ``Admitted`` request or a refusal. Pure:
headers in, verdict out. The caller port does the reading and writing.
"""

import dataclasses
import hashlib
import hmac
import re
from collections import abc

from spindlenotch import headers, ids
from spindlenotch.bundles import bundle
from spindlenotch.kernel import outcomes

SERVICE_PREFIX = "/s/"
MAX_TIMEOUT_MS = 24 * 3600 * 1000
MAX_ID_LENGTH = 200
DIGITS = re.compile(r"[0-9]{1,9}")


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A well-formed request of a caller that may make it."""

    service: bundle.Service
    operation: bundle.Operation
    target: str
    rank: int
    caller: ids.AccountName | None
    timeout_s: float
    ticket: str
    chosen_id: str
    attempt: int
    first_attempt: bool
    forwarded: bool
    no_retry: bool
    hops: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Standing:
    caller: ids.AccountName | None
    rank: int


def admit(
    current: bundle.Bundle, method: str, raw_path: str, fields: abc.Mapping[str, str]
) -> Admitted | outcomes.Refusal:
    """Check one request against the bundle in force."""
    service_name, _, rest = raw_path[len(SERVICE_PREFIX) :].partition("/")
    service = current.service_by_name.get(ids.ServiceName(service_name))
    if service is None:
        return outcomes.not_run(outcomes.Reason.UNKNOWN_SERVICE)
    target = "/" + rest
    operation = service.operation_for(method, target.partition("?")[0])
    if operation is None:
        return outcomes.not_run(outcomes.Reason.UNKNOWN_OPERATION)
    timeout_s = _timeout(fields)
    if isinstance(timeout_s, outcomes.Refusal):
        return timeout_s
    standing = _standing(current, operation, fields)
    if isinstance(standing, outcomes.Refusal):
        return standing
    return _with_id(service, operation, target, timeout_s, standing, fields)


def _with_id(
    service: bundle.Service,
    operation: bundle.Operation,
    target: str,
    timeout_s: float,
    standing: _Standing,
    fields: abc.Mapping[str, str],
) -> Admitted | outcomes.Refusal:
    ticket = fields.get(headers.TICKET, "")
    chosen = fields.get(headers.IDEMPOTENCY_KEY, "")
    if ticket and chosen:
        return outcomes.not_run(outcomes.Reason.TWO_IDS)
    if len(ticket) > MAX_ID_LENGTH or len(chosen) > MAX_ID_LENGTH:
        return outcomes.not_run(outcomes.Reason.BAD_ID)
    if chosen and standing.caller is None:
        # Nameless callers share one name space and could meet in it.
        return outcomes.not_run(outcomes.Reason.UNAUTHENTICATED)
    attempt = _whole(fields, headers.ATTEMPT, 1)
    hops = _whole(fields, headers.HOPS, 0)
    if attempt is None or attempt < 1:
        return outcomes.not_run(outcomes.Reason.BAD_ID)
    if hops is None or hops >= headers.MAX_HOPS:
        return outcomes.not_run(outcomes.Reason.BAD_HEADER)
    return Admitted(
        service=service,
        operation=operation,
        target=target,
        rank=standing.rank,
        caller=standing.caller,
        timeout_s=timeout_s,
        ticket=ticket,
        chosen_id=chosen,
        attempt=attempt,
        first_attempt=headers.ATTEMPT in fields and attempt == 1,
        forwarded=headers.FORWARDED in fields,
        no_retry=headers.NO_RETRY in fields,
        hops=hops,
    )


def _timeout(fields: abc.Mapping[str, str]) -> float | outcomes.Refusal:
    text = fields.get(headers.TIMEOUT_MS)
    if text is None:
        return outcomes.not_run(outcomes.Reason.MISSING_DEADLINE)
    if not DIGITS.fullmatch(text) or not 0 < int(text) <= MAX_TIMEOUT_MS:
        return outcomes.not_run(outcomes.Reason.BAD_DEADLINE)
    return int(text) / 1000


def _standing(
    current: bundle.Bundle, operation: bundle.Operation, fields: abc.Mapping[str, str]
) -> _Standing | outcomes.Refusal:
    """Find the caller's class: the asked one, the operation's, or its last."""
    asked = fields.get(headers.CLASS)
    name = fields.get(headers.CALLER)
    if name is None:
        return _nameless(current, asked)
    account = current.account_by_name.get(ids.AccountName(name))
    digest = hashlib.sha256(fields.get(headers.KEY, "").encode()).hexdigest()
    if account is None or not hmac.compare_digest(digest, account.key_sha256):
        return outcomes.not_run(outcomes.Reason.UNAUTHENTICATED)
    if asked is not None and asked not in account.class_names:
        return outcomes.not_run(outcomes.Reason.CLASS_NOT_GRANTED)
    wanted = ids.ClassName(asked or operation.class_name)
    if wanted not in account.class_names:
        wanted = account.class_names[-1]
    return _Standing(account.name, current.priority_by_class[wanted])


def _nameless(
    current: bundle.Bundle, asked: str | None
) -> _Standing | outcomes.Refusal:
    if current.anonymous_class is None:
        return outcomes.not_run(outcomes.Reason.UNAUTHENTICATED)
    if asked is not None and asked != current.anonymous_class:
        return outcomes.not_run(outcomes.Reason.CLASS_NOT_GRANTED)
    return _Standing(None, current.priority_by_class[current.anonymous_class])


def _whole(fields: abc.Mapping[str, str], name: str, default: int) -> int | None:
    text = fields.get(name)
    if text is None:
        return default
    return int(text) if DIGITS.fullmatch(text) else None
