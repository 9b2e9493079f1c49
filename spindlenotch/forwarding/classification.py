"""
What the end of one try says of its request.

The one place that decides whether a try was answered, positively did not run
or may have run, which reason a refusal then gives, and what the balancer
learns of the upstream. Pure: no input or output, no clock.
"""

import msgspec

from spindlenotch import ids, ports
from spindlenotch.kernel import outcomes, upstreams


class AttemptOutcome(msgspec.Struct, frozen=True):
    """
    The judgement of one try that has ended.

    ``result`` is what the balancer learns. ``may_have_run`` is false only
    where it is positively known that the try did not run and never will.
    ``reason`` is what the request is refused with if no other try does
    better; None leaves the reason of the try before.
    """

    result: upstreams.Result
    may_have_run: bool
    reason: outcomes.Reason | None


#: A try that ended without the head of an answer, by the fault. Only three of
#: the faults are found before the first byte of the request is sent.
OUTCOME_BY_FAULT = {
    ports.UpstreamFault.CONNECT_FAILED: AttemptOutcome(
        upstreams.Result.CONNECT_FAILED,
        may_have_run=False,
        reason=outcomes.Reason.CONNECT_FAILED,
    ),
    # The deadline passed before the request was written: no fault of the
    # upstream.
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
    # Only probes end this way today; for a request it would promise nothing.
    ports.UpstreamFault.DRAINING: AttemptOutcome(
        upstreams.Result.FAILED,
        may_have_run=True,
        reason=outcomes.Reason.UPSTREAM_SHED,
    ),
}

#: The upstream answered that it has not run the request.
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
    """Judge a try that gave no head of an answer."""
    return OUTCOME_BY_FAULT[fault]


def classify_answer(answer: ports.UpstreamAnswer) -> AttemptOutcome:
    """Judge a try by the head of its answer, as if its body were complete."""
    if answer.not_run:
        return SHED
    if answer.status >= outcomes.FIRST_FAILED_STATUS:
        return FAILED_ANSWER
    return GOOD_ANSWER


def classify_body(
    answer: ports.UpstreamAnswer, last_piece: bytes | ports.UpstreamFault
) -> upstreams.Result:
    """
    Judge a try by the end of its answer's body.

    An answer counts as whole only with the empty piece that ends its body.
    """
    if isinstance(last_piece, ports.UpstreamFault):
        return upstreams.Result.FAILED
    if answer.status >= outcomes.FIRST_FAILED_STATUS:
        return upstreams.Result.FAILED
    return upstreams.Result.ANSWERED


def refusal(
    reason: outcomes.Reason,
    *,
    may_have_run: bool,
    room_at: ids.Instant,
) -> outcomes.Refusal:
    """
    Refuse a request none of whose tries was answered.

    ``room_at`` is when another may find room. A request whose deadline passed gets
    no instant to ask again: the same request would be too late again.
    """
    retry_at = None
    if reason is not outcomes.Reason.DEADLINE_PASSED:
        retry_at = room_at
    if may_have_run:
        return outcomes.unknown(reason, retry_at)
    return outcomes.not_run(reason, retry_at)
