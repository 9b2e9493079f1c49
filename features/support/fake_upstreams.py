"""
Fake upstreams in a ``virtual_world``, their ledger, and forwarding between entries.

All run on the world's virtual clock and random numbers. The ledger is the
oracle: it lists what began to run, where and when.
"""

import asyncio
import dataclasses
import typing
from collections import abc

from features.support import fake_network, virtual_world
from spindlenotch import headers, ids, ports
from spindlenotch.kernel import backpressure, upstreams

#: Longest time of a request's work, as a multiple of ``service_s``.
WORK_SPREAD = 2
#: How long a lost request goes unnoticed, in seconds.
LOSS_NOTICED_S = 0.1
#: How long a probe that is answered takes, in seconds.
PROBE_S = 0.006
#: Longer than any scenario, in seconds.
NEVER_S = 1e9


@dataclasses.dataclass(slots=True)
class Run:
    """A request that began to run: where, when, and as which attempt."""

    work: str
    attempt: int
    at: float
    upstream: str


class UpstreamState:
    """
    One upstream of a world, and how it behaves.

    ``mode`` is one of "good", "refuse" (no connection), "shed" (refused as not
    run), "lost" (the request never arrives), "break" (runs, no answer),
    "truncate" (runs, half an answer), "mix" (another request's id) and
    "freeze" (runs, never answers).
    """

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.mode = "good"
        self.service_s = 0.01
        self.running = 0
        self.leaving_since: float | None = None
        self.probe_times: list[float] = []
        #: (when, entry's address) of requests that came after it began to leave.
        self.late_requests: list[tuple[float, str]] = []


class Upstreams:
    """
    All upstreams of a world and the ledger of what ran where.

    ``forward_by_address`` and ``loop_by_address`` are the entries' own, for
    requests that one entry forwards to another.
    """

    def __init__(self, world: virtual_world.World) -> None:
        self.world = world
        self.upstream_by_address: dict[str, UpstreamState] = {}
        self.ledger: list[Run] = []
        self.forward_by_address: dict[
            str, abc.Callable[[ports.UpstreamRequest], abc.Awaitable[Answer]]
        ] = {}
        self.loop_by_address: dict[str, virtual_world.WorldLoop] = {}

    def run(self, upstream: UpstreamState, request: ports.UpstreamRequest) -> Run:
        """Enter a run into the ledger."""
        fields = dict(request.headers)
        run = Run(
            work=fields.get("X-Work", ""),
            attempt=int(fields.get(headers.ATTEMPT, "1")),
            at=self.world.now,
            upstream=upstream.name,
        )
        self.ledger.append(run)
        return run


class Answer:
    """An answer from a fake upstream or from a peer."""

    def __init__(
        self,
        status: int,
        pairs: list[tuple[str, str]],
        body: bytes,
        *,
        breaks: bool = False,
    ) -> None:
        self.status = status
        self.headers = pairs
        self.length: int | None = len(body)
        fields = dict(pairs)
        self.not_run = fields.get(headers.OUTCOME) == "not-run" and status == 503
        self.draining = fields.get(headers.STATE) == "draining"
        self.retry_after_s: float | None = None
        self.signals = backpressure.Signals()
        self.report: upstreams.LoadReport | None = upstreams.LoadReport(1, 0)
        self._pieces: list[bytes | ports.UpstreamFault] = [body] if body else []
        if breaks:
            self._pieces = [body[:3], ports.UpstreamFault.CONNECTION_LOST]

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next piece."""
        return self._pieces.pop(0) if self._pieces else b""

    def abandon(self) -> None:
        """Do nothing."""


class FakeUpstreamPort:
    """One entry's driver for upstreams, and for forwarding to peers."""

    def __init__(
        self,
        all_upstreams: Upstreams,
        loop: virtual_world.WorldLoop,
        network: fake_network.Network,
        own: str,
    ) -> None:
        self.all_upstreams = all_upstreams
        self.loop = loop
        self.network = network
        self.own = own

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Send a request and answer it as the upstream's mode says."""
        world = self.all_upstreams.world
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        await asyncio.sleep(
            fake_network.DELIVERY_S if request.needs_new_connection else 0
        )
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        future, resolve = fake_network.reply(world, self.loop)
        if request.address in self.all_upstreams.forward_by_address:
            self._forward(request, resolve)
        else:
            upstream = self.all_upstreams.upstream_by_address[request.address]
            if upstream.mode == "refuse":
                return ports.UpstreamFault.CONNECT_FAILED
            world.after(
                fake_network.DELIVERY_S,
                lambda: self._arrive(upstream, request, resolve),
            )
        result = await future
        if isinstance(result, Answer):
            echoed_id = dict(result.headers).get(headers.REQUEST_ID)
            if echoed_id != request.request_id:
                return ports.UpstreamFault.FOREIGN_ANSWER
        return typing.cast("Answer | ports.UpstreamFault", result)

    async def probe(
        self, address: ids.Address, timeout_s: float
    ) -> upstreams.LoadReport | ports.UpstreamFault:
        """Note the probe and answer it."""
        upstream = self.all_upstreams.upstream_by_address[address]
        upstream.probe_times.append(self.all_upstreams.world.now)
        if upstream.mode in ("freeze", "refuse", "lost"):
            await asyncio.sleep(timeout_s)
            return ports.UpstreamFault.CONNECTION_LOST
        await asyncio.sleep(PROBE_S)
        if upstream.leaving_since is not None:
            return ports.UpstreamFault.DRAINING
        return upstreams.LoadReport(upstream.running, 0)

    async def liveness(self, address: ids.Address, timeout_s: float) -> ports.Liveness:
        """Tell what a new connection would."""
        mode = self.all_upstreams.upstream_by_address[address].mode
        await asyncio.sleep(fake_network.DELIVERY_S)
        if mode == "refuse":
            return ports.Liveness.GONE
        return ports.Liveness.SILENT if mode == "freeze" else ports.Liveness.ALIVE

    def close_idle(self, address: ids.Address) -> None:
        """Keep none."""

    async def close(self) -> None:
        """Do nothing."""

    def _forward(
        self,
        request: ports.UpstreamRequest,
        resolve: abc.Callable[[typing.Any, float], None],
    ) -> None:
        peer = request.address
        loop = self.all_upstreams.loop_by_address[peer]
        if not self.network.reaches(self.own, peer):
            return
        serve = self.all_upstreams.forward_by_address[peer]

        async def carry_out() -> None:
            resolve(await serve(request), fake_network.DELIVERY_S)

        world = self.all_upstreams.world
        world.deliver(loop, fake_network.DELIVERY_S, lambda: _start(loop, carry_out()))

    def _arrive(
        self,
        upstream: UpstreamState,
        request: ports.UpstreamRequest,
        resolve: abc.Callable[[typing.Any, float], None],
    ) -> None:
        """Refuse or run a request that has reached its upstream."""
        world = self.all_upstreams.world
        pairs = [(headers.REQUEST_ID, request.request_id)]
        if upstream.leaving_since is not None:
            upstream.late_requests.append((world.now, self.own))
            pairs.append((headers.STATE, "draining"))
        if upstream.mode == "shed" or upstream.leaving_since is not None:
            pairs.append((headers.OUTCOME, "not-run"))
            resolve(Answer(503, pairs, b""), fake_network.DELIVERY_S)
            return
        if upstream.mode == "lost":
            resolve(ports.UpstreamFault.CONNECTION_LOST, LOSS_NOTICED_S)
            return
        run = self.all_upstreams.run(upstream, request)
        answer = _answer_of(upstream, run, pairs)
        if upstream.mode == "freeze":
            resolve(answer, NEVER_S)
            return
        resolve(answer, upstream.service_s * world.rng.random() * WORK_SPREAD)


def _answer_of(
    upstream: UpstreamState, run: Run, pairs: list[tuple[str, str]]
) -> Answer | ports.UpstreamFault:
    """Return what an upstream answers to a request that it ran."""
    body = f"{upstream.name} ran {run.work}".encode()
    if upstream.mode == "break":
        return ports.UpstreamFault.CONNECTION_LOST
    if upstream.mode == "truncate":
        return Answer(200, pairs, body, breaks=True)
    if upstream.mode == "mix":
        wrong = [(headers.REQUEST_ID, "somebody-else")]
        return Answer(200, wrong, b"another caller's answer")
    return Answer(200, pairs, body)


def _start(
    loop: virtual_world.WorldLoop, work: abc.Coroutine[None, None, None]
) -> None:
    """Start a task of a loop, which holds it until it is done."""
    task = loop.create_task(work)
    loop.world_tasks = getattr(loop, "world_tasks", set())  # type: ignore[attr-defined]
    loop.world_tasks.add(task)  # type: ignore[attr-defined]
    task.add_done_callback(loop.world_tasks.discard)  # type: ignore[attr-defined]
