"""
Classifies the results of attempts.

The only place that decides whether an attempt was answered, definitely did not run or
may have run, which reason a refusal then gives, and which result the balancer records
for the upstream. Performs no I/O and reads no clock.
"""

import msgspec

from spindlenotch import ids, ports
from spindlenotch.kernel import outcomes, upstreams


class AttemptOutcome(msgspec.Struct, frozen=True):
    """
    The classified result of one attempt.

    ``result`` is what the balancer records. ``may_have_run`` is false only if
    it is certain that the attempt did not run and never will. ``reason`` is
    what the request is refused with if no other attempt succeeds; None leaves
    the reason of the attempt before.
    """

    result: upstreams.Result
    may_have_run: bool
    reason: outcomes.Reason | None


#: Outcome of an attempt that got no answer head, by its fault. Only three of
#: the faults occur before the first byte of the request is sent.
OUTCOME_BY_FAULT = {
    ports.UpstreamFault.CONNECT_FAILED: AttemptOutcome(
        upstreams.Result.CONNECT_FAILED,
        may_have_run=False,
        reason=outcomes.Reason.CONNECT_FAILED,
    ),
    # The deadline passed before the request was written, which is not the
    # upstream's fault.
    ports.UpstreamFault.TOO_LATE: AttemptOutcome(
        upstreams.Result.CANCELLED,
        may_have_run=False,
        reason=outcomes.Reason.DEADLINE_PASSED,
    ),
    ports.UpstreamFault.WITHDRAWN: AttemptOutcome(
        upstreams.Result.SHED,
        may_have_run=False,
        reason=outcomes.Reason.UPSTREAM_SHED,
    ),
    ports.UpstreamFault.CONNECTION_LOST: AttemptOutcome(
        upstreams.Result.FAILED,
        may_have_run=True,
        reason=outcomes.Reason.CONNECTION_LOST,
    ),
    ports.UpstreamFault.FOREIGN_ANSWER: AttemptOutcome(
        upstreams.Result.FAILED,
        may_have_run=True,
        reason=outcomes.Reason.FOREIGN_ANSWER,
    ),
    # Only probes get this fault today; a request that got it may have run.
    ports.UpstreamFault.DRAINING: AttemptOutcome(
        upstreams.Result.FAILED,
        may_have_run=True,
        reason=outcomes.Reason.UPSTREAM_SHED,
    ),
}

#: The upstream answered that it did not run the request.
SHED = AttemptOutcome(
    upstreams.Result.SHED,
    may_have_run=False,
    reason=outcomes.Reason.UPSTREAM_SHED,
)
#: The upstream ran the request and answered with a server error.
FAILED_ANSWER = AttemptOutcome(upstreams.Result.FAILED, may_have_run=True, reason=None)
#: The upstream ran the request and answered.
GOOD_ANSWER = AttemptOutcome(upstreams.Result.ANSWERED, may_have_run=True, reason=None)


def classify_fault(fault: ports.UpstreamFault) -> AttemptOutcome:
    """Classify an attempt that got no answer head."""
    return OUTCOME_BY_FAULT[fault]


def classify_answer(answer: ports.UpstreamAnswer) -> AttemptOutcome:
    """Classify an attempt by its answer head, as if the body were complete."""
    if answer.not_run:
        return SHED
    if answer.status >= outcomes.MIN_FAILED_STATUS:
        return FAILED_ANSWER
    return GOOD_ANSWER


def classify_body(
    answer: ports.UpstreamAnswer, last_chunk: bytes | ports.UpstreamFault
) -> upstreams.Result:
    """
    Classify an attempt by the end of its answer's body.

    An answer is complete only with the empty chunk that ends its body.
    """
    if isinstance(last_chunk, ports.UpstreamFault):
        return upstreams.Result.FAILED
    if answer.status >= outcomes.MIN_FAILED_STATUS:
        return upstreams.Result.FAILED
    return upstreams.Result.ANSWERED


def refusal(
    reason: outcomes.Reason,
    *,
    may_have_run: bool,
    next_retry_at: ids.Instant,
) -> outcomes.Refusal:
    """
    Return the refusal of a request none of whose attempts was answered.

    ``next_retry_at`` is when there may be capacity for a request. A request whose
    deadline has passed gets no retry time: it would be too late again.
    """
    retry_at = None
    if reason is not outcomes.Reason.DEADLINE_PASSED:
        retry_at = next_retry_at
    if may_have_run:
        return outcomes.unknown(reason, retry_at)
    return outcomes.not_run(reason, retry_at)
