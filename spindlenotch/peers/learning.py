"""
Whether a member is still discovering others, as after the start of a whole fleet.

Needed for one load pattern: hundreds of members start together, and each message
carries only the few records that changed last. Pure; counts periods, so it needs no
clock.
"""

#: Periods without a new member after which discovery counts as complete: in each of
#: them several peers were asked.
QUIET_PERIODS = 5


class DiscoveryProgress:
    """Tracks the number of known members from one period to the next."""

    def __init__(self) -> None:
        self._most_known = 0
        self._quiet_periods = 0

    @property
    def in_progress(self) -> bool:
        """Return whether a member was discovered in the last ``QUIET_PERIODS``."""
        return self._quiet_periods < QUIET_PERIODS

    def period_ended(self, known_count: int) -> None:
        """Record how many members are known at the end of a period."""
        if known_count > self._most_known:
            self._quiet_periods = 0
        else:
            self._quiet_periods += 1
        self._most_known = known_count
