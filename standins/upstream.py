"""
Stand-in for an upstream: slots, a queue, faults, and a ledger of its runs.

The ledger lists every request that began to run, by the name that its sender
gave it in ``X-Work``; it is the oracle for "not run" and "at most once".
Callers may set a request's mean time and the size of its answer's body by
``ms`` and ``size`` in the query.
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
#: Time of a request that brings none, in milliseconds.
DEFAULT_TIMEOUT_MS = 60_000
#: A truncated answer's announced and sent size, in bytes.
ANNOUNCED_BYTES = 100_000
SENT_BYTES = 1_000
#: How often a frozen upstream looks whether it goes on.
FROZEN_CHECK_S = 0.01


@dataclasses.dataclass(slots=True)
class Run:
    """One request that began to run; ``ended`` when its work was done."""

    work: str
    request_id: str
    ended: bool = False


@dataclasses.dataclass(slots=True)
class Behaviour:
    """
    How an upstream works and which faults it shows.

    ``service_ms`` is the mean time of a request, drawn from an exponential
    distribution unless ``steady``. The faults: ``frozen`` stops all work,
    ``fail_fast`` answers 500 at once, ``draining`` announces a planned stop and
    refuses, ``shed`` refuses as not run, ``mix_up`` echoes another request's
    id, ``truncate`` cuts the answer's body, ``break_after_run`` runs the
    request and cuts the connection without an answer.
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
    One upstream; refuses as not run when ``queue_limit`` requests wait.

    Invariant: at most ``slots`` requests run at once, probes included; a run
    enters the ledger as soon as it has its slot.
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
        behaviour = self.behaviour
        if behaviour.frozen:
            await asyncio.Event().wait()
        if behaviour.fail_fast:
            return web.Response(status=500, headers=self._headers(request))
        full = self.queued >= self.queue_limit
        if behaviour.draining or behaviour.shed or full:
            return self._not_run(request)
        timeout_ms = request.headers.get("Spindlenotch-Timeout-Ms", DEFAULT_TIMEOUT_MS)
        timeout_s = int(timeout_ms) / 1000
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
            await asyncio.sleep(FROZEN_CHECK_S)
        run.ended = True
        if self.behaviour.break_after_run:
            faults.cut(request)
        return await self._answer(request, run, size)

    async def _answer(
        self, request: web.Request, run: Run, size: int
    ) -> web.StreamResponse:
        headers = self._headers(request)
        if self.behaviour.truncate:
            headers["Content-Length"] = str(ANNOUNCED_BYTES)
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(b"x" * SENT_BYTES)
            faults.cut(request)
        text = f"{self.name} ran {run.work} with {size} bytes\n"
        padding = "." * int(request.query.get("size", 0))
        return web.Response(text=text + padding, headers=headers)

    def _service_s(self, request: web.Request) -> float:
        mean_ms = float(request.query.get("ms", self.behaviour.service_ms))
        mean_s = mean_ms / 1000
        return mean_s if self.behaviour.steady else self.rng.expovariate(1 / mean_s)

    def _not_run(self, request: web.Request) -> web.Response:
        headers = self._headers(request)
        headers["Spindlenotch-Outcome"] = "not-run"
        headers["Retry-After"] = "1"
        return web.Response(status=503, headers=headers)

    def _headers(self, request: web.Request) -> dict[str, str]:
        request_id = request.headers.get(REQUEST_ID, "")
        if self.behaviour.mix_up:
            request_id = "somebody-else"
        headers = {
            REQUEST_ID: request_id,
            "Spindlenotch-Load": f"running={self.running},queued={self.queued}",
        }
        if self.behaviour.draining:
            headers["Spindlenotch-State"] = "draining"
        return headers

    async def _probe(self, request: web.Request) -> web.Response:
        self.probe_times.append(time.monotonic())
        if self.behaviour.frozen:
            await asyncio.Event().wait()
        async with self._slots:
            await asyncio.sleep(self.probe_ms / 1000)
        return web.Response(headers=self._headers(request))

    async def _control(self, request: web.Request) -> web.Response:
        """Change the behaviour by JSON."""
        changes: dict[str, typing.Any] = await request.json()
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        return web.json_response({})

    async def _ledger(self, request: web.Request) -> web.Response:
        """Return the ledger."""
        runs = [dataclasses.asdict(run) for run in self.ledger]
        return web.json_response({"runs": runs})
