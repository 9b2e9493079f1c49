"""
The way of a request that may not be repeated.

Finds the home of its id, this process or a peer to forward to, and lets the
home's table decide. The steps lie in ``claims``, ``home_forwarding``, ``once``
(the rule) and ``once_runs``.
"""

from spindlenotch import events, ids
from spindlenotch.entry import (
    claims,
    entry_state,
    home_forwarding,
    once,
    once_identity,
    once_runs,
    tickets,
)
from spindlenotch.forwarding import data_path, jobs
from spindlenotch.kernel import outcomes

#: When a caller whose id could not be claimed may ask again, in seconds.
CLAIM_RETRY_S = 1.0

_REASON_BY_FAULT = {
    claims.ClaimFault.UNAVAILABLE: outcomes.Reason.CLAIM_UNAVAILABLE,
    claims.ClaimFault.OVER_BUDGET: outcomes.Reason.CLAIM_OVER_BUDGET,
}


class OncePath:
    """
    Brings requests with an id to their results, each at its home only.

    Invariant: a job is dispatched here only if this process is the home of
    its id and the table said ``RUN``.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        path: data_path.DataPath,
        home_claims: claims.Claims,
    ) -> None:
        self.state = state
        self.claims = home_claims
        self._runs = once_runs.OnceRuns(state.clock, state.once, path)
        self._forwarder = home_forwarding.HomeForwarder(state, path.port)

    async def run(
        self, job: jobs.Job, identity: once_identity.Identity
    ) -> once_runs.Result:
        """Bring one arrival of a request to its result."""
        home = await self._home(job, identity)
        if isinstance(home, outcomes.Refusal):
            return home
        if not claims.is_mine(home, self.state.config.host, self.state.incarnation):
            return await self._forwarder.forward(job, identity, home)
        return await self._run_at_home(job, identity)

    async def drained(self) -> None:
        """Return once no run is under way, their callers connected or not."""
        await self._runs.drained()

    async def _run_at_home(
        self, job: jobs.Job, identity: once_identity.Identity
    ) -> once_runs.Result:
        arrival = self._arrival(job, identity)
        verdict = self.state.once.begin(arrival)
        if verdict is once.Verdict.RUN:
            return await self._runs.run(job, arrival.key)
        if verdict is once.Verdict.JOIN:
            return await self._runs.join(job, arrival.key)
        if isinstance(verdict, outcomes.Refusal):
            self._log_full_table(verdict)
        return verdict

    async def _home(
        self, job: jobs.Job, identity: once_identity.Identity
    ) -> claims.Home | outcomes.Refusal:
        if identity.ticket:
            return self._home_of_ticket(identity)
        home = await self.claims.home_of(once_identity.key_of(job, identity))
        if isinstance(home, claims.Home):
            return home
        return once.refuse_before_home(
            _REASON_BY_FAULT[home],
            has_id=True,
            first_attempt=identity.first_attempt,
            retry_at=ids.later(self.state.clock.now(), CLAIM_RETRY_S),
        )

    def _home_of_ticket(
        self, identity: once_identity.Identity
    ) -> claims.Home | outcomes.Refusal:
        """Read the home off a ticket; refuse one that is malformed or forged."""
        ticket = tickets.read_ticket(identity.ticket)
        if ticket is None:
            return outcomes.not_run(outcomes.Reason.BAD_ID)
        is_ours = ticket.incarnation == self.state.incarnation
        if is_ours and not self.state.mint.minted(ticket, identity.ticket):
            return outcomes.not_run(outcomes.Reason.BAD_ID)
        return claims.Home(ticket.host, ticket.incarnation)

    def _arrival(self, job: jobs.Job, identity: once_identity.Identity) -> once.Arrival:
        now = self.state.clock.now()
        return once.Arrival(
            key=once_identity.key_of(job, identity),
            attempt=identity.attempt,
            first_attempt=identity.first_attempt,
            fingerprint=once_identity.fingerprint_of(job, identity),
            expires_at=self._expires_at(identity, now),
            now=now,
        )

    def _expires_at(
        self, identity: once_identity.Identity, now: ids.Instant
    ) -> ids.Instant:
        """Return until when the id is remembered here."""
        ticket = tickets.read_ticket(identity.ticket)
        if ticket is not None:
            return ids.later(ticket.minted_at, tickets.LIFETIME_S)
        bundle = self.state.bundle
        assert bundle is not None
        return ids.later(now, bundle.claim_keep_s)

    def _log_full_table(self, refusal: outcomes.Refusal) -> None:
        if refusal.reason is outcomes.Reason.ID_TABLE_FULL:
            events.emit(events.Event.ID_TABLE_FULL, size=self.state.once.capacity)
