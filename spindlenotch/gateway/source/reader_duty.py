"""
When a gateway reads the source for its zone: in turn, not all at once.

Answers one load pattern: the source turns some hosts away, or is down, while a
zone has dozens of gateways. Were each of them to read as soon as the zone's
reader falls silent, calls to the source would grow with the fleet just when it
is in trouble. So the next in the order of duty step in one after the other, and
once several that were heard have had their turn in vain, the rest wait for news.

Pure: ``relay`` passes in what it hears and when. Owns what was heard of the
gateways of the zone.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.cluster import active_set

#: Seconds without a word of a reader after which the next in turn reads: it has left
#: two questions unanswered (``relay.ASK_PERIOD_S``); one answer may just get lost.
READER_LOST_S = 1.0
#: Seconds that each further one in the order of duty waits longer: a reading and its
#: announcement take less than 0.1 s.
TURN_S = 0.2
#: How many step in one after the other; later ones wait as long as the last of
#: them, so that a group cut off from all of these reads within 1.8 s.
TURNS = 5
#: How many that were heard lately must have had their turn in vain for the others
#: to leave the source alone. Where it turns a third of the hosts away, the first
#: four are among them once in 80 times.
TRIED_IN_VAIN = 4
#: Seconds for which they count as heard: all of them are asked in turn meanwhile.
IN_VAIN_KEPT_S = 2.5


#: How long a starting gateway waits on average for a peer that has read already, at
#: least, in seconds: so that a fleet that starts together does not read as often as
#: it has members, and callers are not refused for longer after a loss of all.
FIRST_PEER_WAIT_S = 0.2
#: Power of the number of cores by which stronger hosts wait less:
#: hosts of 2.15 cores wait 0.04 s on average, about a reading.
STRENGTH_POWER = 2


def first_wait_s(local_host: ids.HostId, startup_s: float, cores: float) -> float:
    """
    Return for how long a gateway that starts waits for a peer that has read.

    Answers a fleet whose hosts lose power together and start again: those of the
    settings may come up last, and until then nobody can be asked. The waits are
    spread from none to twice the mean, in the order in which gateways become active,
    so that those come first that callers will be sent to. The mean is what the own
    start took, ``startup_s``, since peers of the same strength come up around the
    same time; shorter on a host of more than one core, ``cores``, which is up before
    the weaker ones and sooner among the active.
    """
    mean_s = max(FIRST_PEER_WAIT_S, startup_s) / max(1.0, cores) ** STRENGTH_POWER
    return 2.0 * mean_s * active_set.precedence(local_host)


class _Heard(msgspec.Struct, frozen=True):
    """The last message of a gateway: when it came, and whether that one reads."""

    at: ids.Instant
    reads: bool


class ReaderDuty:
    """
    Decides whether this gateway reads the source.

    Invariant: while this gateway hears a reader of its zone that comes before it
    in the order of duty, it does not read.
    """

    def __init__(self, local_host: ids.HostId, started_at: ids.Instant) -> None:
        self.local_host = local_host
        self._heard_by_host: dict[ids.HostId, _Heard] = {}
        self._peer_heard_at = ids.Instant(float("-inf"))
        self._reader_heard_at = started_at
        self._is_reading = False
        self._asked = 0

    @property
    def has_heard_peer(self) -> bool:
        """Tell whether any gateway of the fleet has been heard since the start."""
        return self._peer_heard_at > float("-inf")

    def lacks_reader(self, now: ids.Instant) -> bool:
        """Tell whether no reader was heard lately, so that other regions know more."""
        return self._is_stale(self._reader_heard_at, now)

    def peer_heard(self, now: ids.Instant) -> None:
        """Note a message of any gateway of the fleet."""
        self._peer_heard_at = now

    def zone_peer_heard(
        self, host: ids.HostId, now: ids.Instant, *, reads: bool
    ) -> None:
        """Note a message of a gateway of this zone, and whether it reads."""
        self._heard_by_host[host] = _Heard(now, reads)
        if reads:
            self._reader_heard_at = now

    def must_read(self, order: abc.Sequence[ids.HostId], now: ids.Instant) -> bool:
        """
        Tell whether this gateway has to read the source now.

        ``order`` are the gateways that may read for the zone, the first one first.
        """
        self._is_reading = self._decide(order, now)
        return self._is_reading

    def whom_to_ask(
        self, order: abc.Sequence[ids.HostId], now: ids.Instant
    ) -> list[ids.HostId]:
        """
        Return whom to ask for news: the first one, and whoever reads in its place.

        While nobody does, one of those whose turn it may be, each in its turn.
        """
        others = [host for host in order if host != self.local_host]
        first = others[:1]
        if not first or self._reads(first[0], now):
            return first
        reading = [host for host in self._heard_by_host if self._reads(host, now)]
        if reading:
            return [*first, reading[0]]
        next_ones = others[1 : TURNS + 1]
        if not next_ones:
            return first
        self._asked += 1
        return [*first, next_ones[self._asked % len(next_ones)]]

    def _decide(self, order: abc.Sequence[ids.HostId], now: ids.Instant) -> bool:
        turn = self._turn(order)
        is_alone = self._is_stale(self._peer_heard_at, now)
        if turn == 0 or is_alone:
            return True
        if any(self._reads(host, now) for host in order[:turn]):
            return False
        if self._is_reading:
            return True
        wait_s = READER_LOST_S + TURN_S * (min(turn, TURNS) - 1)
        if now - self._reader_heard_at <= wait_s:
            return False
        return turn < TURNS or not self._tried_in_vain(order, now)

    def _turn(self, order: abc.Sequence[ids.HostId]) -> int:
        """Return this gateway's place in the order; the last one where it has none."""
        if self.local_host in order:
            return order.index(self.local_host)
        return len(order)

    def _tried_in_vain(self, order: abc.Sequence[ids.HostId], now: ids.Instant) -> bool:
        heard = [
            host
            for host in order[:TURNS]
            if host in self._heard_by_host
            and now - self._heard_by_host[host].at <= IN_VAIN_KEPT_S
        ]
        return len(heard) >= TRIED_IN_VAIN

    def _reads(self, host: ids.HostId, now: ids.Instant) -> bool:
        heard = self._heard_by_host.get(host)
        return heard is not None and heard.reads and not self._is_stale(heard.at, now)

    def _is_stale(self, heard_at: ids.Instant, now: ids.Instant) -> bool:
        return now - heard_at > READER_LOST_S
