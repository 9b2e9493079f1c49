"""
How fast a fleet finds failed members: periods, reply and suspicion timeouts.

Durations in seconds. With the defaults a killed member was dropped everywhere
in 9 s (18 members) to 12 s (450), see docs/CAPACITY.md, "Slopes".
"""

import msgspec

#: Between two rounds of probes, in seconds.
PERIOD_S = 1.0
#: Seconds from a probe until its reply is due. It is shorter than the period, so that
#: each round judges the one before.
REPLY_S = 0.7
#: Seconds a suspicion stands before its member is dropped; more is added as the fleet
#: grows, see ``membership``.
SUSPECT_S = 3.0


class Timing(msgspec.Struct, frozen=True):
    """
    The timeouts of one member, in seconds.

    ``period_s`` lies between two rounds of probes, ``reply_s`` between a probe
    and the deadline of its reply; a suspicion is refuted within ``suspect_s``
    or its member is dropped. With ``prefers_own_zone`` all but one of the members that
    are probed in a round are of the own zone, where there are as many; with
    ``asks_while_discovering`` a member asks for further ones as long as it learns of
    any.
    """

    period_s: float = PERIOD_S
    reply_s: float = REPLY_S
    suspect_s: float = SUSPECT_S
    prefers_own_zone: bool = False
    asks_while_discovering: bool = False
