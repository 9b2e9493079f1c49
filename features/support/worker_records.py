"""
What platform workers are made of: how they treat requests, and what they note.

Relies on nothing; ``platform_worker`` uses it.
"""

import collections
import dataclasses
import enum
import time
import typing


class Mode(enum.Enum):
    """How a worker treats the next requests."""

    GOOD = "good"
    #: Refuses and says that the request has not run.
    SHED = "shed"
    #: Runs, and answers 503 without saying whether it ran.
    BARE_503 = "bare-503"
    #: Runs, and answers 500.
    ERROR = "error"
    #: Closes the connection before the end of the body.
    CUT = "cut"
    #: Sends a body without length and resets the connection in its midst.
    RESET_UNFRAMED = "reset-unframed"
    #: Sends a body whose end is that of the connection.
    UNFRAMED = "unframed"
    #: Echoes the id of another request.
    FOREIGN = "foreign"
    #: Leaves its stamp out.
    UNSTAMPED = "unstamped"
    #: Sends bytes that are no answer.
    GARBAGE = "garbage"
    #: Sends another answer right behind its own.
    SURPLUS = "surplus"
    #: Sends another answer a moment after its own.
    LATE_SURPLUS = "late-surplus"
    #: Answers before it has read the request's body.
    EARLY = "early"
    #: Runs, and resets the connection without an answer.
    LOST = "lost"
    #: Works until the caller's connection closes.
    HANG = "hang"
    #: Works several times as long.
    SLOW = "slow"


#: How many times as long work takes in the mode "slow".
SLOWDOWN = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionFault:
    """
    What is wrong with a version of the workers' software.

    A part ``share`` of its requests is treated as ``mode`` says: only of those
    whose target begins with ``prefix``, only where ``least_running`` others run
    at the worker, and only ``after_s`` seconds after the worker's start.
    """

    mode: Mode
    share: float = 1.0
    prefix: str = "/"
    least_running: int = 0
    after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Poison:
    """A request that ends each worker that runs it, whatever its id is."""

    target: str
    body: bytes = b""


#: The faults of versions that have any.
FaultByVersion = dict[str, VersionFault]


class Run(typing.NamedTuple):
    """
    A request that began to run; ``mode`` is how it was treated.

    ``at`` is on the monotonic clock, and ``born`` names the life that ran it.
    """

    request_id: str
    target: str
    body: bytes
    mode: Mode = Mode.GOOD
    at: float = 0.0
    born: int | None = None


class Rest(typing.NamedTuple):
    """A request that was turned away; ``text`` says for how long nothing is wanted."""

    at: float
    request_id: str
    text: str

    @property
    def seconds(self) -> float:
        """Return the time that is asked for."""
        return float(self.text)


@dataclasses.dataclass(slots=True)
class Coldness:
    """
    Until when a worker is cold, on the monotonic clock, and what it bears while it is.

    ``most_in_a_second`` requests are borne in any one second; at the next one the
    worker has fallen over for good.
    """

    until: float
    most_in_a_second: float
    arrived_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    has_fallen: bool = False

    def left_ms(self) -> int:
        """Return for how many milliseconds more it is cold; 0 where it is not."""
        return max(0, int(1000 * (self.until - time.monotonic())))

    def arrives(self) -> None:
        """Note the arrival of a request."""
        now = time.monotonic()
        if now >= self.until:
            return
        self.arrived_at.append(now)
        while self.arrived_at[0] <= now - 1.0:
            self.arrived_at.popleft()
        self.has_fallen |= len(self.arrived_at) > self.most_in_a_second
