"""
A fake worker in virtual time: slots, a queue, and a speed that changes.

Service is integrated over speed: a request that needs ten milliseconds of
work takes longer where the worker slows down on the way.
"""

import collections
import dataclasses
import heapq
import itertools
import typing
from collections import abc

from spindlenotch.kernel import upstreams


class Simulation:
    """Events in order of time; equal times in order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, action: abc.Callable[[], None]) -> None:
        """Do ``action`` at time ``when``, in seconds."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def after(self, delay: float, action: abc.Callable[[], None]) -> None:
        """Do ``action`` after ``delay`` seconds."""
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        """Carry out all events up to ``until``."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """A piece of work in a worker; ``done`` is told how it ended."""

    seconds: float
    done: abc.Callable[[upstreams.Result, upstreams.LoadReport], None]
    rank: int = 0
    state: str = "new"
    finish_at_work: float = 0.0


class Worker:
    """
    One worker.

    Invariant: at most ``slots`` pieces run; each advances by ``speed``
    seconds of work per second. ``work_clock`` is the integral of the speed.
    """

    def __init__(
        self, simulation: Simulation, name: str, zone: str, slots: int
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.slots = slots
        self.speed = 1.0
        self.fail_fast = False
        self.draining = False
        self.running: list[tuple[float, int, Work]] = []
        self.count = 0
        self.queue: collections.deque[Work] = collections.deque()
        self.work_clock = 0.0
        self.busy_s = 0.0
        self.probe_s = 0.0
        self._at = 0.0
        self._version = 0
        self._order = itertools.count()
        self.on_free: abc.Callable[[], None] | None = None

    def report(self) -> upstreams.LoadReport:
        """Return its true load."""
        return upstreams.LoadReport(self.count, len(self.queue))

    def offer(self, work: Work) -> None:
        """Take in a piece of work."""
        if self.fail_fast:
            self.simulation.after(
                0.0005, lambda: work.done(upstreams.Result.FAILED, self.report())
            )
        elif self.draining:
            work.done(upstreams.Result.SHED, self.report())
        elif self.count < self.slots:
            self._begin(work)
        else:
            work.state = "queued"
            self.queue.append(work)

    def cancel(self, work: Work) -> None:
        """Drop a piece of work that nobody waits for."""
        if work.state == "running":
            self._advance()
            work.state = "cancelled"
            self.count -= 1
            self._next()
        elif work.state == "queued":
            work.state = "cancelled"
            self.queue.remove(work)

    def set_speed(self, speed: float) -> None:
        """Change the speed from now on."""
        self._advance()
        self.speed = speed
        self._schedule()

    def _advance(self) -> None:
        elapsed = self.simulation.now - self._at
        self.work_clock += elapsed * self.speed
        self.busy_s += elapsed * self.count
        self._at = self.simulation.now

    def _begin(self, work: Work) -> None:
        self._advance()
        self.count += 1
        work.state = "running"
        work.finish_at_work = self.work_clock + work.seconds
        heapq.heappush(self.running, (work.finish_at_work, next(self._order), work))
        self._schedule()

    def _next(self) -> None:
        while self.queue and self.count < self.slots:
            self._begin(self.queue.popleft())
        self._schedule()
        if self.on_free is not None:
            self.on_free()

    def _schedule(self) -> None:
        self._version += 1
        while self.running and self.running[0][2].state == "cancelled":
            heapq.heappop(self.running)
        if not self.running or self.speed <= 0:
            return
        wait = max(0.0, self.running[0][0] - self.work_clock) / self.speed
        version = self._version
        self.simulation.after(wait, lambda: self._finish(version))

    def _finish(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        _, _, work = heapq.heappop(self.running)
        work.state = "done"
        self.count -= 1
        self._next()
        work.done(upstreams.Result.ANSWERED, self.report())


def expected_wait(worker: Worker) -> float:
    """Return what an all-knowing dispatcher compares: requests per slot."""
    return typing.cast(float, (worker.count + len(worker.queue)) / worker.slots)
