"""
At most once: the table of requests that may not be repeated.

Every such request has an id with exactly one home: one life of one entry
process. A ticket names the life that minted it; an id the caller chose gets
its home by a claim in the store. Only the home runs it, and only after
``begin`` said so. Pure state; the data path carries out the verdicts.
"""

import base64
import dataclasses
import enum
import hashlib
import hmac
import typing

from spindlenotch import ids
from spindlenotch.kernel import outcomes

#: A ticket is good for this long after it was minted.
TICKET_LIFETIME_S = 120.0
#: A kept answer is given again for this long after the id's last use.
MAX_KEPT_BODY = 64 * 1024
MAC_BYTES = 12

OnceKey = typing.NewType("OnceKey", str)


class RunState(enum.Enum):
    """How far a request has come at its home."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An upstream's whole answer, kept to be given again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(slots=True)
class Record:
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
    """What the data path is to do with an id."""

    RUN = "run"
    JOIN = "join"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A minted id, taken apart. ``minted_at`` is on the home's clock."""

    host: ids.HostId
    incarnation: ids.Incarnation
    sequence: int
    minted_at: ids.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """
    One arrival of a request at its home.

    ``first_attempt`` is true where the caller said so itself.
    ``fingerprint`` tells apart requests that wrongly share an id.
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
        """Decide on one arrival of a request at its home."""
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
        if record.state is RunState.RAN:
            return record.answer or outcomes.Refusal(
                outcomes.Outcome.RAN, outcomes.Reason.ANSWER_NOT_KEPT
            )
        if record.state is RunState.UNKNOWN:
            assert record.refusal is not None
            return record.refusal
        return self._begin_again(record, arrival.attempt)

    def ran(self, key: OnceKey, answer: KeptAnswer | None) -> None:
        """Note that the request ran, with its answer if it is small enough."""
        record = self.record_by_key[key]
        record.state = RunState.RAN
        if answer is not None and len(answer.body) <= MAX_KEPT_BODY:
            record.answer = answer

    def may_have_run(self, key: OnceKey, refusal: outcomes.Refusal) -> None:
        """Note that nobody can tell whether it ran."""
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
        gone = [
            key
            for key, record in self.record_by_key.items()
            if record.expires_at <= now and record.state is not RunState.RUNNING
        ]
        for key in gone:
            del self.record_by_key[key]
        return len(gone)

    def _begin_new(self, arrival: Arrival) -> Verdict | outcomes.Refusal:
        now = arrival.now
        if arrival.expires_at <= now:
            return outcomes.unknown(outcomes.Reason.ID_EXPIRED)
        if len(self.record_by_key) >= self.capacity:
            self.sweep(now)
        if len(self.record_by_key) >= self.capacity:
            return before_home(
                outcomes.Reason.ID_TABLE_FULL,
                has_id=True,
                first_attempt=arrival.first_attempt,
                retry_at=ids.later(now, 1.0),
            )
        self.record_by_key[arrival.key] = Record(
            RunState.RUNNING, arrival.attempt, arrival.expires_at, arrival.fingerprint
        )
        return Verdict.RUN

    def _begin_again(self, record: Record, attempt: int) -> Verdict | outcomes.Refusal:
        assert record.refusal is not None
        if attempt <= record.attempt:
            return dataclasses.replace(
                record.refusal, reason=outcomes.Reason.ATTEMPT_CLOSED
            )
        record.state = RunState.RUNNING
        record.attempt = attempt
        record.refusal = None
        return Verdict.RUN


class Mint:
    """
    Mints and reads the tickets of one life of one process.

    Invariant: sequences never repeat. The key of the MAC never leaves the
    process, so nobody else can make a ticket that ``mine`` accepts.
    """

    def __init__(
        self, host: ids.HostId, incarnation: ids.Incarnation, secret: bytes
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.secret = secret
        self.sequence = 0

    def mint(self, now: ids.Instant) -> str:
        """Return a new ticket."""
        self.sequence += 1
        body = f"{self.host}~{self.incarnation}~{self.sequence}~{int(now * 1000)}"
        return f"{body}~{self._mac(body)}"

    def mine(self, ticket: Ticket, text: str) -> bool:
        """Tell whether this very process minted ``text``."""
        if ticket.incarnation != self.incarnation:
            return False
        body, _, mac = text.rpartition("~")
        return hmac.compare_digest(mac, self._mac(body))

    def _mac(self, body: str) -> str:
        digest = hmac.new(self.secret, body.encode(), hashlib.sha256).digest()
        return base64.urlsafe_b64encode(digest[:MAC_BYTES]).decode()


def read_ticket(text: str) -> Ticket | None:
    """Take a ticket apart; None where it is malformed."""
    parts = text.split("~")
    if len(parts) != 5 or len(text) > 200:
        return None
    host, incarnation, sequence, minted_ms, _ = parts
    if not (sequence.isascii() and sequence.isdigit()):
        return None
    if not (minted_ms.isascii() and minted_ms.isdigit()):
        return None
    return Ticket(
        ids.HostId(host),
        ids.Incarnation(incarnation),
        int(sequence),
        ids.Instant(int(minted_ms) / 1000),
    )


def before_home(
    reason: outcomes.Reason,
    *,
    has_id: bool,
    first_attempt: bool,
    retry_at: ids.Instant | None = None,
) -> outcomes.Refusal:
    """
    Refuse a request that has not reached its home.

    Without an id, or on a declared first attempt, it is known not to have
    run. Otherwise an earlier attempt may be running somewhere else.
    """
    if first_attempt or not has_id:
        return outcomes.not_run(reason, retry_at)
    return outcomes.unknown(reason, retry_at)
