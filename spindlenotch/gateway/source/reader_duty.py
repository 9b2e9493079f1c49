"""
Decides which gateway of a zone reads the source, with staggered takeover.

A zone can have dozens of gateways while the source is down or rejects some hosts. If
all of them read as soon as the zone's reader stops responding, the load on the source
would grow with the fleet just when the source is overloaded or failing. So the
gateways next in rank take over one after the other, and once several that are known to
be alive have tried without success, the others do not call the source.

Pure: ``relay`` passes in the messages received and their times. Owns the last message
of each gateway of the zone.
"""

import math
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.cluster import active_set

#: Seconds without a message from a reader after which the next in rank takes over: two
#: polls (``relay.POLL_PERIOD_S``) went unanswered, as a single answer may be lost.
READER_TIMEOUT_S = 1.0
#: Maximum time in seconds that a reader's call waits for changes. A longer wait needs
#: fewer calls.
FOLLOW_TIMEOUT_S = 2.4
#: Seconds within which some reader's call must end. A reader that is cut off from the
#: source notices only then, and the others read the source themselves no sooner.
MAX_UNCHECKED_S = 0.9
#: The same where one reader serves a whole region, all of whose gateways it notifies
#: itself.
MAX_UNCHECKED_IN_REGION_S = 2.4
#: Minimum wait for changes in seconds, so that calls do not end right after each other.
MIN_FOLLOW_S = 0.1
#: Additional seconds that a gateway waits for each rank ahead of it: one read and its
#: announcement take less than 0.1 s.
TAKEOVER_STEP_S = 0.2
#: Number of gateways that take over one after the other; all others wait as long as the
#: last of them, so that a partition without any of these reads within 1.8 s.
TAKEOVER_CANDIDATES = 5
#: Number of recently heard takeover candidates that must have failed to read before the
#: other gateways stop calling the source. If the source rejects a third of the hosts,
#: it rejects all of the first four in one of 80 cases.
MIN_FAILED_TAKEOVERS = 4
#: Seconds for which a candidate counts as recently heard: long enough to poll each of
#: them once.
FAILED_TAKEOVER_WINDOW_S = 2.5


#: Minimum of the mean time in seconds that a starting gateway waits for a peer that has
#: read already. A fleet that starts together does not read once per member then; a
#: longer wait would refuse callers for longer after the loss of the whole fleet.
MIN_MEAN_START_WAIT_S = 0.2
#: Exponent of the number of cores by which the mean wait is divided: hosts of 2.15
#: cores wait 0.04 s on average, about the duration of one read.
CORES_EXPONENT = 2


def start_wait_s(local_host: ids.HostId, startup_s: float, cores: float) -> float:
    """
    Return how many seconds a starting gateway waits for a peer that has read.

    When all hosts of a fleet lose power and restart together, the seeds of the settings
    may come up last, and until then there is no peer to poll. The waits are spread from
    zero to twice the mean in the order in which gateways become active, so that the
    gateways to which callers will be sent read first. The mean is ``startup_s``, the
    seconds that this gateway's own start took, since peers with as many cores come up
    at about the same time. It is shorter on a host with more than one core (``cores``),
    which comes up before the weaker hosts and becomes active sooner.
    """
    mean_s = max(MIN_MEAN_START_WAIT_S, startup_s) / max(1.0, cores) ** CORES_EXPONENT
    return 2.0 * mean_s * active_set.precedence(local_host)


def follow_wait_s(
    unix_s: float, slot: int, readers: int, max_unchecked_s: float = MAX_UNCHECKED_S
) -> float:
    """
    Return how many seconds the next call of a reader waits for changes.

    The calls of ``readers`` readers end in turns, so that one ends every
    ``max_unchecked_s`` seconds; ``slot`` is this reader's number among them. The turns
    are derived from the time of day ``unix_s``: if a clock is wrong, some calls end
    together.
    """
    period_s = min(FOLLOW_TIMEOUT_S, max_unchecked_s * readers)
    if readers == 1:
        return period_s
    phase_s = period_s * slot / readers
    turns = math.ceil((unix_s + MIN_FOLLOW_S - phase_s) / period_s)
    return min(period_s, turns * period_s + phase_s - unix_s)


class _LastMessage(msgspec.Struct, frozen=True):
    """Time of a gateway's last message, and whether that gateway reads the source."""

    at: ids.Instant
    reads: bool


class ReaderElection:
    """
    Decides whether this gateway reads the source.

    Invariant: it does not read while it receives messages from a reader of its zone
    that ranks before it.
    """

    def __init__(self, local_host: ids.HostId, started_at: ids.Instant) -> None:
        self.local_host = local_host
        self._message_by_host: dict[ids.HostId, _LastMessage] = {}
        self._peer_heard_at = ids.Instant(float("-inf"))
        # The second one is for gateways that are no candidates: they first have to hear
        # that the candidates failed.
        self._takeover_from = ids.later(started_at, READER_TIMEOUT_S)
        self._fallback_from = self._takeover_from
        self._is_reading = False
        self._poll_count = 0

    @property
    def has_heard_peer(self) -> bool:
        """Tell whether any gateway of the fleet has sent a message since the start."""
        return self._peer_heard_at > float("-inf")

    def lacks_reader(self, now: ids.Instant) -> bool:
        """
        Tell whether no reader of the zone has sent a message recently.

        Other regions may hold newer documents then.
        """
        return now > self._takeover_from

    def note_peer(self, now: ids.Instant) -> None:
        """Record a message from any gateway of the fleet."""
        self._peer_heard_at = now

    def note_zone_peer(
        self, host: ids.HostId, now: ids.Instant, *, reads: bool
    ) -> bool:
        """
        Record a message from a gateway of this zone, and whether it reads.

        Returns whether the only reader no longer reads; the next in rank then takes
        over at once.
        """
        has_read = self._reads(host, now)
        self._message_by_host[host] = _LastMessage(now, reads)
        if reads:
            self._takeover_from = ids.later(now, READER_TIMEOUT_S)
            self._fallback_from = self._takeover_from
            return False
        if not has_read or self._has_reader(now):
            return False
        self._takeover_from = now
        self._fallback_from = ids.later(now, READER_TIMEOUT_S)
        return True

    def must_read(self, order: abc.Sequence[ids.HostId], now: ids.Instant) -> bool:
        """
        Tell whether this gateway has to read the source now.

        ``order`` holds the gateways that may read for the zone, by rank.
        """
        self._is_reading = self._decide(order, now)
        return self._is_reading

    def poll_targets(
        self, order: abc.Sequence[ids.HostId], now: ids.Instant
    ) -> list[ids.HostId]:
        """
        Return the gateways to poll: the first in rank, and the one that reads instead.

        While no gateway reads, the other takeover candidates are polled in rotation,
        one for each call.
        """
        others = [host for host in order if host != self.local_host]
        first = others[:1]
        if not first or self._reads(first[0], now):
            return first
        reading = [host for host in self._message_by_host if self._reads(host, now)]
        if reading:
            return [*first, reading[0]]
        next_ones = others[1 : TAKEOVER_CANDIDATES + 1]
        if not next_ones:
            return first
        self._poll_count += 1
        return [*first, next_ones[self._poll_count % len(next_ones)]]

    def _decide(self, order: abc.Sequence[ids.HostId], now: ids.Instant) -> bool:
        rank = self._rank(order)
        is_alone = self._is_stale(self._peer_heard_at, now)
        if rank == 0 or is_alone:
            return True
        if any(self._reads(host, now) for host in order[:rank]):
            return False
        if self._is_reading:
            return True
        if rank < TAKEOVER_CANDIDATES:
            return now >= ids.later(self._takeover_from, TAKEOVER_STEP_S * (rank - 1))
        last_s = TAKEOVER_STEP_S * (TAKEOVER_CANDIDATES - 1)
        if now < ids.later(self._fallback_from, last_s):
            return False
        return not self._have_takeovers_failed(order, now)

    def _rank(self, order: abc.Sequence[ids.HostId]) -> int:
        """Return this gateway's index in ``order``, or its length if not in it."""
        if self.local_host in order:
            return order.index(self.local_host)
        return len(order)

    def _have_takeovers_failed(
        self, order: abc.Sequence[ids.HostId], now: ids.Instant
    ) -> bool:
        heard = [
            host
            for host in order[:TAKEOVER_CANDIDATES]
            if host in self._message_by_host
            and now - self._message_by_host[host].at <= FAILED_TAKEOVER_WINDOW_S
        ]
        return len(heard) >= MIN_FAILED_TAKEOVERS

    def _has_reader(self, now: ids.Instant) -> bool:
        return any(self._reads(host, now) for host in self._message_by_host)

    def _reads(self, host: ids.HostId, now: ids.Instant) -> bool:
        heard = self._message_by_host.get(host)
        return heard is not None and heard.reads and not self._is_stale(heard.at, now)

    def _is_stale(self, heard_at: ids.Instant, now: ids.Instant) -> bool:
        return now - heard_at > READER_TIMEOUT_S
