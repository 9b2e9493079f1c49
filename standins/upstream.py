"""
Stand-in for an upstream worker: slots, a queue, faults, and a ledger.

The ledger lists every request that began to run, by the name the test gave it
in ``X-Work``; it is the oracle for "not run" and "at most once".
"""

import asyncio
import dataclasses
import random
import time
import typing

from aiohttp import web

from standins import faults, server

WORK = "X-Work"
REQUEST_ID = "Spindlenotch-Request-Id"


@dataclasses.dataclass(slots=True)
class Run:
    """One run in the ledger."""

    work: str
    request_id: str
    ended: bool = False


@dataclasses.dataclass(slots=True)
class Behaviour:
    """
    What an upstream is like just now.

    ``service_ms`` is the mean time of a request, drawn from an exponential
    distribution unless ``steady``. The rest are faults: ``frozen``,
    ``fail_fast``, ``draining``, ``shed`` (refuse as not run), ``mix_up``
    (another's request id), ``truncate`` (die mid-body), ``break_after_run``
    (run, then cut without an answer).
    """

    service_ms: float = 5.0
    steady: bool = False
    frozen: bool = False
    fail_fast: bool = False
    draining: bool = False
    shed: bool = False
    mix_up: bool = False
    truncate: bool = False
    break_after_run: bool = False


class Upstream:
    """
    One worker.

    Invariant: at most ``slots`` requests run at once, probes included; a run
    enters the ledger at the moment it takes its slot.
    """

    def __init__(
        self,
        name: str,
        slots: int = 6,
        queue_limit: int = 100,
        probe_ms: float = 6.0,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.slots = slots
        self.queue_limit = queue_limit
        self.probe_ms = probe_ms
        self.behaviour = Behaviour()
        self.ledger: list[Run] = []
        self.running = 0
        self.queued = 0
        self.probe_times: list[float] = []
        self.address = ""
        self.rng = random.Random(f"{name}/{seed}")
        self._slots = asyncio.Semaphore(slots)
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen; return ``IP:port``."""
        app = web.Application(client_max_size=1 << 30)
        app.add_routes(
            [
                web.get("/-/load", self._probe),
                web.post("/-/control", self._control),
                web.get("/-/ledger", self._ledger),
                web.route("*", "/{tail:.*}", self._work),
            ]
        )
        self._runner, self.address = await server.serve(app, port)
        return self.address

    async def stop(self) -> None:
        """Stop listening and cut every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _work(self, request: web.Request) -> web.StreamResponse:
        now = self.behaviour
        if now.frozen:
            await asyncio.Event().wait()
        if now.fail_fast:
            return web.Response(status=500, headers=self._marks(request))
        if now.draining or now.shed or self.queued >= self.queue_limit:
            return self._not_run(request)
        timeout_s = int(request.headers.get("Spindlenotch-Timeout-Ms", 60_000)) / 1000
        self.queued += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._slots.acquire()
        except TimeoutError:
            return self._not_run(request)
        finally:
            self.queued -= 1
        self.running += 1
        try:
            return await self._run(request)
        finally:
            self.running -= 1
            self._slots.release()

    async def _run(self, request: web.Request) -> web.StreamResponse:
        run = Run(request.headers.get(WORK, ""), request.headers.get(REQUEST_ID, ""))
        self.ledger.append(run)
        size = 0
        async for piece in request.content.iter_any():
            size += len(piece)
        await asyncio.sleep(self._service_s(request))
        while self.behaviour.frozen:
            await asyncio.sleep(0.01)
        run.ended = True
        if self.behaviour.break_after_run:
            faults.cut(request)
        return await self._answer(request, run, size)

    async def _answer(
        self, request: web.Request, run: Run, size: int
    ) -> web.StreamResponse:
        marks = self._marks(request)
        if self.behaviour.truncate:
            response = web.StreamResponse(headers={**marks, "Content-Length": "100000"})
            await response.prepare(request)
            await response.write(b"x" * 1000)
            faults.cut(request)
        text = f"{self.name} ran {run.work} with {size} bytes\n"
        extra = int(request.query.get("size", 0))
        return web.Response(text=text + "." * extra, headers=marks)

    def _service_s(self, request: web.Request) -> float:
        now = self.behaviour
        mean = float(request.query.get("ms", now.service_ms)) / 1000
        return mean if now.steady else self.rng.expovariate(1 / mean)

    def _not_run(self, request: web.Request) -> web.Response:
        marks = {"Spindlenotch-Outcome": "not-run", "Retry-After": "1"}
        return web.Response(status=503, headers={**self._marks(request), **marks})

    def _marks(self, request: web.Request) -> dict[str, str]:
        request_id = request.headers.get(REQUEST_ID, "")
        if self.behaviour.mix_up:
            request_id = "somebody-else"
        marks = {
            REQUEST_ID: request_id,
            "Spindlenotch-Load": f"running={self.running},queued={self.queued}",
        }
        if self.behaviour.draining:
            marks["Spindlenotch-State"] = "draining"
        return marks

    async def _probe(self, request: web.Request) -> web.Response:
        self.probe_times.append(time.monotonic())
        if self.behaviour.frozen:
            await asyncio.Event().wait()
        async with self._slots:
            await asyncio.sleep(self.probe_ms / 1000)
        return web.Response(headers=self._marks(request))

    async def _control(self, request: web.Request) -> web.Response:
        """Change the behaviour by JSON."""
        changes: dict[str, typing.Any] = await request.json()
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        return web.json_response({})

    async def _ledger(self, request: web.Request) -> web.Response:
        """Return the ledger."""
        runs = [dataclasses.asdict(run) for run in self.ledger]
        return web.json_response({"runs": runs})
