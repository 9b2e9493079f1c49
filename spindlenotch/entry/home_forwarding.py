"""
Forwards a request that may not be repeated to the home of its id.

One hop only: a request that a peer forwarded here is not forwarded again. An
answer counts only when it is complete; after anything else the request may
have run at its home, and the caller gets the outcome "unknown".
"""

import asyncio

from spindlenotch import headers, ids, ports
from spindlenotch.entry import claims, entry_state, once, once_identity
from spindlenotch.forwarding import jobs
from spindlenotch.kernel import outcomes

#: A larger answer from a peer is not held, in bytes; its outcome is then unknown here.
MAX_FORWARDED_BODY = 8 * 1024 * 1024
#: Least time that a home is given, in milliseconds: the header counts whole
#: ones, and zero is no deadline.
LEAST_TIME_MS = 1


class HomeForwarder:
    """Sends requests to their homes over the upstream port."""

    def __init__(self, state: entry_state.EntryState, port: ports.UpstreamPort) -> None:
        self.state = state
        self.port = port

    async def forward(
        self, job: jobs.Job, identity: once_identity.Identity, home: claims.Home
    ) -> once.KeptAnswer | outcomes.Refusal:
        """Return the home's answer, or a refusal "unknown" without one."""
        home_gone = once.refuse_before_home(
            outcomes.Reason.HOME_GONE,
            has_id=True,
            first_attempt=False,
        )
        address = self.state.address_of(ids.HostId(home.host))
        if identity.forwarded or address is None:
            return home_gone
        self.state.counters.forwarded += 1
        request = self._request(job, identity, address)
        left_s = max(0.0, job.call.deadline - self.state.clock.now())
        try:
            async with asyncio.timeout(left_s):
                answer = await self.port.send(request)
                if isinstance(answer, ports.UpstreamFault):
                    return home_gone
                return await _read_whole(answer) or home_gone
        except TimeoutError:
            return outcomes.unknown(outcomes.Reason.DEADLINE_PASSED)

    def _request(
        self, job: jobs.Job, identity: once_identity.Identity, address: ids.Address
    ) -> ports.UpstreamRequest:
        left_s = job.call.deadline - self.state.clock.now()
        service = job.balancer.service.name
        return ports.UpstreamRequest(
            address=address,
            method=job.method,
            target=f"/s/{service}{job.target}",
            headers=[*job.headers, *_own_headers(job, identity, left_s)],
            body=job.body,
            request_id=job.call.id,
            needs_new_connection=True,
            may_send=lambda: self.state.clock.now() < job.call.deadline,
        )


def _own_headers(
    job: jobs.Job, identity: once_identity.Identity, left_s: float
) -> list[tuple[str, str]]:
    """Return the headers by which the home learns deadline, id and attempt."""
    left_ms = max(LEAST_TIME_MS, int(left_s * 1000))
    own_headers = [
        (headers.TIMEOUT_MS, str(left_ms)),
        (headers.FORWARDED, "1"),
        (headers.REQUEST_ID, job.call.id),
        (headers.HOPS, str(job.hop_count)),
    ]
    if identity.key:
        own_headers.append((headers.KEY, identity.key))
    if identity.ticket:
        own_headers.append((headers.TICKET, identity.ticket))
    if identity.first_attempt or identity.attempt > 1:
        own_headers.append((headers.ATTEMPT, str(identity.attempt)))
    return own_headers


async def _read_whole(answer: ports.UpstreamAnswer) -> once.KeptAnswer | None:
    """Read a peer's answer; None where it broke or is too large to hold."""
    body = bytearray()
    while True:
        piece = await answer.chunk()
        if isinstance(piece, ports.UpstreamFault):
            return None
        if not piece:
            break
        body += piece
        if len(body) > MAX_FORWARDED_BODY:
            answer.abandon()
            return None
    pairs = tuple(headers.end_to_end(answer.headers))
    return once.KeptAnswer(answer.status, pairs, bytes(body))
