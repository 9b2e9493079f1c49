"""
Fake upstreams in a ``virtual_world``, their ledger, and forwarding between entries.

The ledger is the oracle: it lists what began to run, where and when.
"""

import asyncio
import dataclasses
import typing
from collections import abc

from features.support import fake_network, virtual_world
from spindlenotch import headers, ids, ports
from spindlenotch.kernel import upstreams


@dataclasses.dataclass(slots=True)
class Run:
    """One run in an upstream's ledger."""

    work: str
    attempt: int
    at: float
    upstream: str


class UpstreamState:
    """One upstream of a world, and how it behaves just now."""

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.mode = "good"
        self.service_s = 0.01
        self.running = 0
        self.leaving_since: float | None = None
        self.probe_times: list[float] = []
        #: (when, entry's address) of requests that came while it was leaving.
        self.late_requests: list[tuple[float, str]] = []


class Upstreams:
    """All upstreams of a world and the ledger of what ran where."""

    def __init__(self, world: virtual_world.World) -> None:
        self.world = world
        self.upstream_by_address: dict[str, UpstreamState] = {}
        self.ledger: list[Run] = []
        self.forward_by_address: dict[
            str, abc.Callable[[ports.UpstreamRequest], abc.Awaitable[Answer]]
        ] = {}
        self.loop_by_address: dict[str, virtual_world.WorldLoop] = {}

    def run(self, one: UpstreamState, request: ports.UpstreamRequest) -> Run:
        """Enter a run into the ledger."""
        fields = dict(request.headers)
        attempt = int(fields.get(headers.ATTEMPT, "1"))
        run = Run(fields.get("X-Work", ""), attempt, self.world.now, one.name)
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
        everyone: Upstreams,
        loop: virtual_world.WorldLoop,
        network: fake_network.Network,
        own: str,
    ) -> None:
        self.everyone = everyone
        self.loop = loop
        self.network = network
        self.own = own

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Send a request the way the upstream's mode says."""
        world = self.everyone.world
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        await asyncio.sleep(fake_network.DELIVERY_S if request.fresh else 0)
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        future, resolve = fake_network.reply(world, self.loop)
        if request.address in self.everyone.forward_by_address:
            self._forward(request, resolve)
        else:
            one = self.everyone.upstream_by_address[request.address]
            if one.mode == "refuse":
                return ports.UpstreamFault.CONNECT_FAILED
            world.after(
                fake_network.DELIVERY_S, lambda: self._reach(one, request, resolve)
            )
        result = await future
        if isinstance(result, Answer):
            shown = dict(result.headers).get(headers.REQUEST_ID)
            if shown != request.request_id:
                return ports.UpstreamFault.FOREIGN_ANSWER
        return typing.cast("Answer | ports.UpstreamFault", result)

    async def probe(
        self, address: ids.Address, timeout_s: float
    ) -> upstreams.LoadReport | ports.UpstreamFault:
        """Count the probe and answer it."""
        one = self.everyone.upstream_by_address[address]
        one.probe_times.append(self.everyone.world.now)
        if one.mode in ("freeze", "refuse", "lost"):
            await asyncio.sleep(timeout_s)
            return ports.UpstreamFault.CONNECTION_LOST
        await asyncio.sleep(0.006)
        if one.leaving_since is not None:
            return ports.UpstreamFault.DRAINING
        return upstreams.LoadReport(one.running, 0)

    async def close(self) -> None:
        """Do nothing."""

    def _forward(
        self,
        request: ports.UpstreamRequest,
        resolve: abc.Callable[[typing.Any, float], None],
    ) -> None:
        peer = request.address
        loop = self.everyone.loop_by_address[peer]
        if not self.network.reaches(self.own, peer):
            return
        serve = self.everyone.forward_by_address[peer]

        async def carry_out() -> None:
            resolve(await serve(request), fake_network.DELIVERY_S)

        world = self.everyone.world
        world.deliver(loop, fake_network.DELIVERY_S, lambda: _start(loop, carry_out()))

    def _reach(
        self,
        one: UpstreamState,
        request: ports.UpstreamRequest,
        resolve: abc.Callable[[typing.Any, float], None],
    ) -> None:
        world = self.everyone.world
        marks = [(headers.REQUEST_ID, request.request_id)]
        if one.leaving_since is not None:
            one.late_requests.append((world.now, self.own))
            marks.append((headers.STATE, "draining"))
        if one.mode == "shed" or one.leaving_since is not None:
            marks.append((headers.OUTCOME, "not-run"))
            resolve(Answer(503, marks, b""), fake_network.DELIVERY_S)
            return
        if one.mode == "lost":
            resolve(ports.UpstreamFault.CONNECTION_LOST, 0.1)
            return
        run = self.everyone.run(one, request)
        body = f"{one.name} ran {run.work}".encode()
        answer: Answer | ports.UpstreamFault = Answer(200, marks, body)
        if one.mode == "break":
            answer = ports.UpstreamFault.CONNECTION_LOST
        elif one.mode == "truncate":
            answer = Answer(200, marks, body, breaks=True)
        elif one.mode == "mix":
            wrong = [(headers.REQUEST_ID, "somebody-else")]
            answer = Answer(200, wrong, b"another caller's answer")
        delay = 1e9 if one.mode == "freeze" else one.service_s * world.rng.random() * 2
        resolve(answer, delay)


def _start(
    loop: virtual_world.WorldLoop, work: abc.Coroutine[None, None, None]
) -> None:
    task = loop.create_task(work)
    loop.world_tasks = getattr(loop, "world_tasks", set())  # type: ignore[attr-defined]
    loop.world_tasks.add(task)  # type: ignore[attr-defined]
    task.add_done_callback(loop.world_tasks.discard)  # type: ignore[attr-defined]
