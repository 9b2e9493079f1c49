"""
Virtual time for tests: the real entry code on fake ports, one loop an entry.

Each entry has an event loop of its own that only runs when the world steps
it, so that an entry can be frozen (its loop is not stepped, whatever arrives
stays unread) and killed like a process. Everything happens in one thread, in
an order that follows from the test's choices alone.
"""

import asyncio
import heapq
import itertools
import random
import typing
from collections import abc

from spindlenotch import clock, ids

#: Rounds within one instant after which a test fails instead of hanging.
MAX_STEPS = 10_000


class WorldClock:
    """The clock that every entry of a world reads."""

    def __init__(self, world: "World") -> None:
        self.world = world

    def now(self) -> ids.Instant:
        """Return the world's time."""
        return ids.Instant(self.world.now)

    def unix_s(self) -> float:
        """Return a wall-clock time that moves with the world's."""
        return 1_700_000_000.0 + self.world.now


class WorldLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the world's."""

    def __init__(self, world: "World") -> None:
        super().__init__()
        self.world = world
        self.frozen = False
        self.dead = False

    def time(self) -> float:
        """Return the world's time."""
        return self.world.now

    def _check_closed(self) -> None:
        """Let coroutines of a dead process unwind without complaint."""

    def step(self) -> bool:
        """Run what is ready; tell whether there was anything."""
        if not self.busy():
            return False
        self.call_soon(self.stop)
        self.run_forever()
        return True

    def busy(self) -> bool:
        """Tell whether anything is ready to run now."""
        if self._ready:  # type: ignore[attr-defined]
            return True
        due = self.next_timer()
        return due is not None and due <= self.world.now

    def next_timer(self) -> float | None:
        """Return when the next timer is due."""
        scheduled = self._scheduled  # type: ignore[attr-defined]
        while scheduled and scheduled[0]._cancelled:
            heapq.heappop(scheduled)._scheduled = False
        return scheduled[0]._when if scheduled else None


class World:
    """
    Time, loops and messages on their way.

    Invariant: a loop that is frozen or dead runs nothing; what is delivered
    to a frozen one waits in its loop, what is delivered to a dead one is lost.
    """

    def __init__(self, seed: int) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.loops: list[WorldLoop] = []
        self.clock: clock.Clock = WorldClock(self)
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()

    def loop(self) -> WorldLoop:
        """Return the loop of a new process."""
        loop = WorldLoop(self)
        loop.set_exception_handler(_raise_later(self))
        self.loops.append(loop)
        return loop

    def after(self, delay: float, action: abc.Callable[[], None]) -> None:
        """Call ``action`` outside all processes after ``delay`` seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def deliver(
        self, loop: WorldLoop, delay: float, action: abc.Callable[[], None]
    ) -> None:
        """Call ``action`` in a process after ``delay`` seconds, unless it is dead."""

        def arrive() -> None:
            if not loop.dead:
                loop.call_soon(action)

        self.after(delay, arrive)

    def run(self, seconds: float) -> None:
        """Advance the time by ``seconds``, and do all that is due until then."""
        until = self.now + seconds
        while True:
            self._settle()
            following = self._next_time()
            if following is None or following > until:
                break
            self.now = max(self.now, following)
        self.now = until
        self._settle()

    def close(self) -> None:
        """Drop all loops."""
        for loop in self.loops:
            kill(loop)
            for task in asyncio.all_tasks(loop):
                task._log_destroy_pending = False  # type: ignore[attr-defined]
            loop.close()

    def _settle(self) -> None:
        for _ in range(MAX_STEPS):
            moved = False
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
                moved = True
            for loop in self.loops:
                if not loop.frozen and not loop.dead:
                    moved |= loop.step()
            if not moved:
                return
        raise AssertionError("the world does not come to rest")

    def _next_time(self) -> float | None:
        times = [self._events[0][0]] if self._events else []
        for loop in self.loops:
            due = None if loop.frozen or loop.dead else loop.next_timer()
            if due is not None:
                times.append(due)
        return min(times, default=None)


def kill(loop: WorldLoop) -> None:
    """End a process at once: nothing of it runs again."""
    loop.dead = True


def _raise_later(world: World) -> abc.Callable[[typing.Any, typing.Any], None]:
    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        error = context.get("exception")
        if isinstance(error, Exception):
            world.after(0.0, _raiser(error))

    return handle


def _raiser(error: Exception) -> abc.Callable[[], None]:
    def fail() -> None:
        raise AssertionError("an entry raised") from error

    return fail
