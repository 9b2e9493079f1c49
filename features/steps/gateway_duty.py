"""
Who reads the source while it is in trouble, in a zone of sixty gateways.

Each load pattern is played in virtual time with the decisions of ``reader_duty``;
only the messages and the source are stand-ins.
"""

import dataclasses
import random
from collections import abc

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.gateway.source import reader_duty, relay

HOSTS = [ids.HostId(f"g{number:02d}") for number in range(60)]
STEP_S = 0.05

#: Tells whether a host gets an answer from the source at a time.
Answers = abc.Callable[[ids.HostId, float], bool]
#: Tells whether two hosts reach each other.
Reach = abc.Callable[[ids.HostId, ids.HostId], bool]


@dataclasses.dataclass(slots=True)
class Played:
    """What a play showed: who called the source, and when all first heard a reader."""

    callers: set[ids.HostId]
    readers_at_end: set[ids.HostId]
    news_at: float


def play(
    answers: Answers, reach: Reach, end_s: float, hosts: list[ids.HostId] = HOSTS
) -> Played:
    """Let ``hosts`` run from a moment at which all have just heard the first one."""
    rng = random.Random(1)
    duties = {
        host: reader_duty.ReaderElection(host, ids.Instant(0.0)) for host in hosts
    }
    for host, election in duties.items():
        election.note_peer(ids.Instant(0.0))
        if reach(host, HOSTS[0]):
            election.note_zone_peer(HOSTS[0], ids.Instant(0.0), reads=True)
    ask_at = {host: rng.uniform(0, relay.POLL_PERIOD_S) for host in hosts}
    played = Played(set(), set(), -1.0)
    reads: set[ids.HostId] = set()
    for step in range(1, int(end_s / STEP_S)):
        now = ids.Instant(step * STEP_S)
        must = {host for host in hosts if duties[host].must_read(HOSTS, now)}
        played.callers |= must
        began = {host for host in must if answers(host, now)} - reads
        reads = {host for host in must if answers(host, now)}
        for reader in began:
            for host in hosts:
                if host != reader and reach(host, reader):
                    duties[host].note_peer(now)
                    duties[host].note_zone_peer(reader, now, reads=True)
        for host in hosts:
            if now >= ask_at[host]:
                ask_at[host] = now + relay.POLL_PERIOD_S
                for asked in duties[host].poll_targets(HOSTS, now):
                    if asked in duties and reach(host, asked):
                        duties[host].note_peer(now)
                        duties[host].note_zone_peer(asked, now, reads=asked in reads)
        if reads and played.news_at < 0:
            played.news_at = now
    played.readers_at_end = reads
    return played


def turn_s(turn: int) -> float:
    """Return after how many seconds of silence a gateway's turn has come."""
    return reader_duty.READER_TIMEOUT_S + reader_duty.TAKEOVER_STEP_S * (turn - 1)


def everyone(one: ids.HostId, other: ids.HostId) -> bool:
    """Reach every host from every other."""
    return True


@kernel.PROPERTIES.register("an outage of the source is not met by the whole zone")
def outage() -> None:
    played = play(lambda host, now: False, everyone, 9.0)
    assert len(played.callers) <= reader_duty.TAKEOVER_CANDIDATES, played
    back = play(lambda host, now: now > 4.5, everyone, 9.0)
    assert len(back.callers) <= reader_duty.TAKEOVER_CANDIDATES, back
    assert back.readers_at_end == {HOSTS[0]}
    assert back.news_at < 4.5 + 2 * STEP_S


@kernel.PROPERTIES.register("where the source turns many hosts away the next one reads")
def turned_away() -> None:
    for seed in range(200):
        away = set(random.Random(seed).sample(HOSTS, len(HOSTS) // 3))
        played = play(lambda host, now, away=away: host not in away, everyone, 4.0)
        first = next(n for n, host in enumerate(HOSTS) if host not in away)
        if first < reader_duty.TAKEOVER_CANDIDATES:
            assert 0 <= played.news_at <= turn_s(first) + 2 * STEP_S, played
            assert len(played.callers) <= reader_duty.TAKEOVER_CANDIDATES, (
                seed,
                played,
            )
            assert played.readers_at_end == {HOSTS[first]}


@kernel.PROPERTIES.register(
    "a few that are cut off from their zone read for themselves"
)
def cut_off() -> None:
    for size in (1, 3, 12):
        group = HOSTS[-size:]
        played = play(lambda host, now: True, everyone, 3.0, group)
        assert (
            0 <= played.news_at <= turn_s(reader_duty.TAKEOVER_CANDIDATES) + 2 * STEP_S
        ), played
        assert len(played.readers_at_end) >= 1
