"""
At most once: the table of requests that may not be repeated.

Every such request has an id with exactly one home: one life of one entry
process. A ticket names the life that minted it; an id the caller chose gets
its home by a claim in the store. Only the home runs it, and only after
``begin`` said so. Pure state; ``once_runs`` carries out the verdicts.
"""

import enum
import typing

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import outcomes

#: A larger answer is not kept to be given again, in bytes.
MAX_KEPT_BODY = 64 * 1024
#: When a caller that finds the table full may ask again, in seconds.
TABLE_FULL_RETRY_S = 1.0

OnceKey = typing.NewType("OnceKey", str)


class RunState(enum.Enum):
    """How far a request has come at its home."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class KeptAnswer(msgspec.Struct, frozen=True):
    """An upstream's whole answer, kept to be given again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Record(msgspec.Struct):
    """
    What is known of one id.

    Invariant: ``attempt`` is the highest attempt that was refused or begun;
    ``RUNNING`` changes to exactly one of the other states, and only
    ``REFUSED`` ever goes back to ``RUNNING``, for a higher attempt.
    """

    state: RunState
    attempt: int
    expires_at: ids.Instant
    fingerprint: str
    answer: KeptAnswer | None = None
    refusal: outcomes.Refusal | None = None


class Verdict(enum.Enum):
    """
    What is to be done with an arrival that the table has no result for.

    ``RUN`` starts the request; ``JOIN`` waits for the run that is under way.
    """

    RUN = "run"
    JOIN = "join"


class Arrival(msgspec.Struct, frozen=True):
    """
    One arrival of a request at its home.

    ``attempt`` counts from 1. ``first_attempt`` is true where the caller said
    so itself. ``fingerprint`` tells apart requests that wrongly share an id.
    ``expires_at`` is the end of the record that the arrival may open.
    """

    key: OnceKey
    attempt: int
    first_attempt: bool
    fingerprint: str
    expires_at: ids.Instant
    now: ids.Instant


class OnceTable:
    """
    Records by id in the one process that may run them.

    Invariants: an unexpired record is never dropped; ``begin`` answers
    ``RUN`` at most once per id and attempt, and never again once an attempt
    has run or may have run.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.record_by_key: dict[OnceKey, Record] = {}
        self.joined = 0

    def begin(self, arrival: Arrival) -> Verdict | KeptAnswer | outcomes.Refusal:
        """
        Decide on one arrival of a request at its home.

        | record of the id | arrival | verdict |
        |---|---|---|
        | none | expired | unknown: it may have run in a record now dropped |
        | none | table full | refused before the home |
        | none | else | ``RUN`` |
        | any | another fingerprint | not run: the id is taken |
        | running | any attempt | ``JOIN`` |
        | ran | any attempt | the kept answer, or that it is not kept |
        | unknown | any attempt | unknown, for ever |
        | refused | an attempt that is closed | not run, as before |
        | refused | a higher attempt | ``RUN`` |
        """
        record = self.record_by_key.get(arrival.key)
        if record is None:
            return self._begin_new(arrival)
        if record.fingerprint != arrival.fingerprint:
            return outcomes.not_run(
                outcomes.Reason.BAD_ID, detail="the id belongs to another request"
            )
        if record.state is RunState.RUNNING:
            self.joined += 1
            return Verdict.JOIN
        if record.state is RunState.REFUSED:
            return self._begin_again(record, arrival.attempt)
        return _result_of(record)

    def ran(self, key: OnceKey, answer: KeptAnswer | None) -> None:
        """Note that the request ran, with its answer if it is small enough."""
        record = self.record_by_key[key]
        record.state = RunState.RAN
        if answer is not None and len(answer.body) <= MAX_KEPT_BODY:
            record.answer = answer

    def may_have_run(self, key: OnceKey, refusal: outcomes.Refusal) -> None:
        """Note that it may have run; that is final."""
        record = self.record_by_key[key]
        record.state = RunState.UNKNOWN
        record.refusal = refusal

    def refused(self, key: OnceKey, refusal: outcomes.Refusal) -> None:
        """Note that it positively did not run, and close this attempt."""
        record = self.record_by_key[key]
        record.state = RunState.REFUSED
        record.refusal = refusal

    def sweep(self, now: ids.Instant) -> int:
        """Drop expired records; return how many."""
        expired = [
            key
            for key, record in self.record_by_key.items()
            if record.expires_at <= now and record.state is not RunState.RUNNING
        ]
        for key in expired:
            del self.record_by_key[key]
        return len(expired)

    def _begin_new(self, arrival: Arrival) -> Verdict | outcomes.Refusal:
        now = arrival.now
        if arrival.expires_at <= now:
            return outcomes.unknown(outcomes.Reason.ID_EXPIRED)
        if len(self.record_by_key) >= self.capacity:
            self.sweep(now)
        if len(self.record_by_key) >= self.capacity:
            return refuse_before_home(
                outcomes.Reason.ID_TABLE_FULL,
                has_id=True,
                first_attempt=arrival.first_attempt,
                retry_at=ids.later(now, TABLE_FULL_RETRY_S),
            )
        self.record_by_key[arrival.key] = Record(
            state=RunState.RUNNING,
            attempt=arrival.attempt,
            expires_at=arrival.expires_at,
            fingerprint=arrival.fingerprint,
        )
        return Verdict.RUN

    def _begin_again(self, record: Record, attempt: int) -> Verdict | outcomes.Refusal:
        assert record.refusal is not None
        if attempt <= record.attempt:
            return msgspec.structs.replace(
                record.refusal, reason=outcomes.Reason.ATTEMPT_CLOSED
            )
        record.state = RunState.RUNNING
        record.attempt = attempt
        record.refusal = None
        return Verdict.RUN


def _result_of(record: Record) -> KeptAnswer | outcomes.Refusal:
    """Return the final result of a request that ran or may have run."""
    if record.state is RunState.UNKNOWN:
        assert record.refusal is not None
        return record.refusal
    return record.answer or outcomes.Refusal(
        outcomes.Outcome.RAN, outcomes.Reason.ANSWER_NOT_KEPT
    )


def refuse_before_home(
    reason: outcomes.Reason,
    *,
    has_id: bool,
    first_attempt: bool,
    retry_at: ids.Instant | None = None,
) -> outcomes.Refusal:
    """
    Refuse a request that has not reached its home.

    Without an id, or on an attempt that the caller declares to be the first,
    it is known not to have run. Otherwise an earlier attempt may be running
    somewhere else.
    """
    if first_attempt or not has_id:
        return outcomes.not_run(reason, retry_at)
    return outcomes.unknown(reason, retry_at)
