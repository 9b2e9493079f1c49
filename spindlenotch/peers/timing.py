"""
Failure detection timing: probe period, reply timeout and suspicion timeout.

Durations are in seconds. With the defaults a killed member was dropped everywhere
in 9 s (18 members) to 12 s (450), see docs/CAPACITY.md, "Slopes".
"""

import msgspec

#: Seconds between two rounds of probes.
PERIOD_S = 1.0
#: Seconds from a probe until its reply is due. Shorter than the period, so that each
#: round evaluates the replies of the one before.
REPLY_S = 0.7
#: Seconds until a suspected member is dropped unless it refutes the suspicion; more is
#: added as the fleet grows, see ``membership``.
SUSPECT_S = 3.0


class Timing(msgspec.Struct, frozen=True):
    """
    The timeouts of one member, in seconds, and options for large fleets.

    ``period_s`` is the time between two rounds of probes, ``reply_s`` from a probe to
    the deadline of its reply; a suspected member is dropped unless it refutes the
    suspicion within ``suspect_s``. With ``prefers_own_zone`` all but one of the
    members probed in a round are in the local zone, if it has that many; with
    ``asks_while_discovering`` a member asks for further ones as long as it discovers
    any.
    """

    period_s: float = PERIOD_S
    reply_s: float = REPLY_S
    suspect_s: float = SUSPECT_S
    prefers_own_zone: bool = False
    asks_while_discovering: bool = False
