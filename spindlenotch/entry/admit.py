"""
Read what a caller sent and decide whether it is a request at all.

Turns method, path and headers into an ``Admitted`` request or a refusal. Pure:
headers in, verdict out. The caller port does the reading and writing.
"""

import hashlib
import hmac
import re
from collections import abc

import msgspec

from spindlenotch import headers, ids
from spindlenotch.bundles import bundle
from spindlenotch.entry import tickets
from spindlenotch.kernel import outcomes

SERVICE_PREFIX = "/s/"
#: Longest time a request may ask for, in milliseconds: a day.
MAX_TIMEOUT_MS = 24 * 3600 * 1000
#: Numbers in headers have at most nine digits, enough for ``MAX_TIMEOUT_MS``.
NUMBER = re.compile(r"[0-9]{1,9}")


class Admitted(msgspec.Struct, frozen=True):
    """
    A well-formed request of a client account that may make it.

    ``client_account`` is None for callers that name none. At most one of
    ``ticket`` and ``chosen_id`` is not empty. ``hops`` counts the hops of the
    chain of calls before this one.
    """

    service: bundle.Service
    operation: bundle.Operation
    target: str
    priority: int
    client_account: ids.AccountName | None
    timeout_s: float
    ticket: str
    chosen_id: str
    attempt: int
    first_attempt: bool
    forwarded: bool
    no_retry: bool
    hops: int


class _Rights(msgspec.Struct, frozen=True):
    """Whose request it is, and the priority of its class; lower is served first."""

    client_account: ids.AccountName | None
    priority: int


class _Id(msgspec.Struct, frozen=True):
    """The id a caller gave its request, if any, and which attempt it is."""

    ticket: str
    chosen: str
    attempt: int


def admit(
    current: bundle.Bundle, method: str, raw_path: str, fields: abc.Mapping[str, str]
) -> Admitted | outcomes.Refusal:
    """
    Check one request against the bundle in force.

    ``fields`` finds headers whatever their case. The first check that fails
    gives the reason: service, operation, deadline, account, id, hops.
    """
    service_name, _, rest = raw_path[len(SERVICE_PREFIX) :].partition("/")
    service = current.service_by_name.get(ids.ServiceName(service_name))
    if service is None:
        return outcomes.not_run(outcomes.Reason.UNKNOWN_SERVICE)
    target = "/" + rest
    operation = service.operation_for(method, target.partition("?")[0])
    if operation is None:
        return outcomes.not_run(outcomes.Reason.UNKNOWN_OPERATION)
    timeout_s = _timeout_s(fields)
    if isinstance(timeout_s, outcomes.Refusal):
        return timeout_s
    rights = _rights(current, operation, fields)
    if isinstance(rights, outcomes.Refusal):
        return rights
    request_id = _request_id(rights, fields)
    if isinstance(request_id, outcomes.Refusal):
        return request_id
    hops = _number(fields, headers.HOPS, default=0)
    if hops is None or hops >= headers.MAX_HOPS:
        return outcomes.not_run(outcomes.Reason.BAD_HEADER)
    return Admitted(
        service=service,
        operation=operation,
        target=target,
        priority=rights.priority,
        client_account=rights.client_account,
        timeout_s=timeout_s,
        ticket=request_id.ticket,
        chosen_id=request_id.chosen,
        attempt=request_id.attempt,
        first_attempt=headers.ATTEMPT in fields and request_id.attempt == 1,
        forwarded=headers.FORWARDED in fields,
        no_retry=headers.NO_RETRY in fields,
        hops=hops,
    )


def _request_id(
    rights: _Rights, fields: abc.Mapping[str, str]
) -> _Id | outcomes.Refusal:
    ticket = fields.get(headers.TICKET, "")
    chosen = fields.get(headers.IDEMPOTENCY_KEY, "")
    if ticket and chosen:
        return outcomes.not_run(outcomes.Reason.TWO_IDS)
    if max(len(ticket), len(chosen)) > tickets.MAX_ID_CHARS:
        return outcomes.not_run(outcomes.Reason.BAD_ID)
    if chosen and rights.client_account is None:
        # Callers without an account share one name space and could use the
        # same id for different requests.
        return outcomes.not_run(outcomes.Reason.UNAUTHENTICATED)
    attempt = _number(fields, headers.ATTEMPT, default=1)
    if attempt is None or attempt < 1:
        return outcomes.not_run(outcomes.Reason.BAD_ID)
    return _Id(ticket, chosen, attempt)


def _timeout_s(fields: abc.Mapping[str, str]) -> float | outcomes.Refusal:
    text = fields.get(headers.TIMEOUT_MS)
    if text is None:
        return outcomes.not_run(outcomes.Reason.MISSING_DEADLINE)
    if not NUMBER.fullmatch(text) or not 0 < int(text) <= MAX_TIMEOUT_MS:
        return outcomes.not_run(outcomes.Reason.BAD_DEADLINE)
    return int(text) / 1000


def _rights(
    current: bundle.Bundle, operation: bundle.Operation, fields: abc.Mapping[str, str]
) -> _Rights | outcomes.Refusal:
    """
    Find the class of a request: the one it asks for or the operation's.

    An account without the operation's class gets the last of its own.
    """
    asked = fields.get(headers.CLASS)
    name = fields.get(headers.CALLER)
    if name is None:
        return _rights_without_account(current, asked)
    account = current.account_by_name.get(ids.AccountName(name))
    # Bytes of a header that are no UTF-8 stand as surrogates in its text.
    key = fields.get(headers.KEY, "").encode(errors="surrogateescape")
    digest = hashlib.sha256(key).hexdigest()
    if account is None or not hmac.compare_digest(digest, account.key_sha256):
        return outcomes.not_run(outcomes.Reason.UNAUTHENTICATED)
    if asked is not None and asked not in account.class_names:
        return outcomes.not_run(outcomes.Reason.CLASS_NOT_GRANTED)
    class_name = ids.ClassName(asked or operation.class_name)
    if class_name not in account.class_names:
        class_name = account.class_names[-1]
    return _Rights(account.name, current.priority_by_class[class_name])


def _rights_without_account(
    current: bundle.Bundle, asked: str | None
) -> _Rights | outcomes.Refusal:
    if current.anonymous_class is None:
        return outcomes.not_run(outcomes.Reason.UNAUTHENTICATED)
    if asked is not None and asked != current.anonymous_class:
        return outcomes.not_run(outcomes.Reason.CLASS_NOT_GRANTED)
    return _Rights(None, current.priority_by_class[current.anonymous_class])


def _number(fields: abc.Mapping[str, str], name: str, *, default: int) -> int | None:
    """Read a whole number; None where the header holds something else."""
    text = fields.get(name)
    if text is None:
        return default
    return int(text) if NUMBER.fullmatch(text) else None
