"""
The front of an entry, free of any transport: a request in, a result out.

Checks whether requests may be decided on at all, admits them, gives each its
deadline and sends it the way its kind needs: straight to the data path, or
through the path of those that may not be repeated. The caller port wraps it
in HTTP; tests drive it directly.
"""

from collections import abc

import msgspec

from spindlenotch import headers, ids
from spindlenotch.entry import (
    admit,
    entry_state,
    once,
    once_identity,
    once_path,
    once_runs,
    readiness,
)
from spindlenotch.forwarding import data_path, jobs
from spindlenotch.kernel import outcomes, wait_queue

#: When a caller may ask an entry again that is not ready, in seconds.
NOT_READY_RETRY_S = 0.5

Body = bytes | abc.AsyncIterable[bytes] | None


class Incoming(msgspec.Struct, frozen=True):
    """
    A request as it was read, before any check.

    ``pairs`` are its headers in order; ``fields`` finds them whatever their
    case.
    """

    method: str
    raw_path: str
    fields: abc.Mapping[str, str]
    pairs: list[tuple[str, str]]


class Front:
    """
    Brings requests to their results for one entry.

    ``on_pause`` is called when a request finds that the process stood still
    for longer than its bundle can be trusted.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        path: data_path.DataPath,
        at_most_once: once_path.OncePath,
        on_pause: abc.Callable[[], None],
    ) -> None:
        self.state = state
        self.path = path
        self.once_path = at_most_once
        self.on_pause = on_pause

    def arrived(self) -> ids.Instant:
        """Note that a request was read; return the earliest it can have been sent."""
        now = self.state.clock.now()
        if self.state.readiness.observe(now) is readiness.Gap.PAUSE:
            self.on_pause()
        return self.state.readiness.sent_by(now)

    def check(self, incoming: Incoming) -> admit.Admitted | outcomes.Refusal:
        """Check a request against the bundle in force."""
        current = self.state.bundle
        if current is None or not self.state.readiness.serves:
            return self.not_ready(incoming.fields)
        admitted = admit.admit(
            current, incoming.method, incoming.raw_path, incoming.fields
        )
        if isinstance(admitted, outcomes.Refusal):
            return _refuse_before_home(incoming.fields, admitted)
        return admitted

    def not_ready(self, fields: abc.Mapping[str, str]) -> outcomes.Refusal:
        """Refuse a request because nothing may be decided on now."""
        reason = outcomes.Reason.NOT_READY
        if self.state.bundle is not None:
            reason = outcomes.Reason.RESYNCHRONISING
        retry_at = ids.later(self.state.clock.now(), NOT_READY_RETRY_S)
        return _refuse_before_home(fields, outcomes.not_run(reason, retry_at))

    async def run(
        self,
        incoming: Incoming,
        admitted: admit.Admitted,
        call_id: ids.CallId,
        sent_at: ids.Instant,
        body: Body,
    ) -> once_runs.Result:
        """Carry an admitted request to its result."""
        job = self._job(incoming, admitted, call_id, sent_at, body)
        has_id = bool(admitted.ticket or admitted.chosen_id)
        if admitted.operation.repeatable or not has_id:
            return await self.path.dispatch(job)
        identity = once_identity.Identity(
            client_account=admitted.client_account,
            ticket=admitted.ticket,
            chosen=admitted.chosen_id,
            attempt=admitted.attempt,
            first_attempt=admitted.first_attempt,
            forwarded=admitted.forwarded,
            key=incoming.fields.get(headers.KEY, ""),
        )
        return await self.once_path.run(job, identity)

    def _job(
        self,
        incoming: Incoming,
        admitted: admit.Admitted,
        call_id: ids.CallId,
        sent_at: ids.Instant,
        body: Body,
    ) -> jobs.Job:
        operation = admitted.operation
        # A body that streams in is gone once it is sent.
        can_resend = operation.repeatable and isinstance(body, (bytes, type(None)))
        call = wait_queue.Call(
            id=call_id,
            priority=admitted.priority,
            repeatable=can_resend and not admitted.no_retry,
            deadline=ids.later(sent_at, admitted.timeout_s),
            latency_key=operation.name,
            arrived_at=sent_at,
        )
        return jobs.Job(
            balancer=self.state.balancer_by_service[admitted.service.name],
            call=call,
            method=incoming.method,
            target=admitted.target,
            headers=headers.end_to_end(incoming.pairs, headers.SET_PER_HOP),
            body=body,
            needs_new_connection=not can_resend,
            hop_count=admitted.hops + 1,
            caller=admitted.client_account or "",
        )


def _refuse_before_home(
    fields: abc.Mapping[str, str], refusal: outcomes.Refusal
) -> outcomes.Refusal:
    """
    Refuse a request that is not admitted here.

    Says "unknown" where an earlier attempt may be running elsewhere. The
    headers are read as they stand: they may not have been checked yet.
    """
    return once.refuse_before_home(
        refusal.reason,
        has_id=headers.TICKET in fields or headers.IDEMPOTENCY_KEY in fields,
        first_attempt=fields.get(headers.ATTEMPT) == "1",
        retry_at=refusal.retry_at,
    )
