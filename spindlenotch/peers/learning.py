"""
Whether a member still learns of others, as after the start of a whole fleet.

Answers one load pattern: hundreds of members start together, and each message carries
the few records that changed last. Pure; counts periods, so it needs no clock.
"""

#: Periods without a further member after which nothing more is to be learnt: in each
#: of them several peers were asked.
QUIET_PERIODS = 5


class DiscoveryProgress:
    """Follows how many members are known from one period to the next."""

    def __init__(self) -> None:
        self._most_known = 0
        self._quiet_periods = 0

    @property
    def in_progress(self) -> bool:
        """Tell whether a further member became known lately."""
        return self._quiet_periods < QUIET_PERIODS

    def period_ended(self, known_count: int) -> None:
        """Note how many members are known at the end of a period."""
        if known_count > self._most_known:
            self._quiet_periods = 0
        else:
            self._quiet_periods += 1
        self._most_known = known_count
