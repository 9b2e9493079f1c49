"""
The budgets of a service's retries and hedges: separate or shared.

A service has one of two policies: retries and hedges each get a share of the traffic
(``SeparateShares``), or both draw on one budget over a sliding window
(``SharedWindow``). Relies on ``budgets`` for the arithmetic.
"""

import typing
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import budgets


class ExtraBudgets:
    """
    The budgets of one service's retries and hedges.

    Both may be the same budget, which then earns once for each call.
    ``charges_drain_retries``: retries of requests that a draining upstream turned away
    are charged to the retry budget too.
    """

    def __init__(
        self,
        retries: budgets.ExtraBudget,
        hedges: budgets.ExtraBudget,
        *,
        charges_drain_retries: bool,
    ) -> None:
        self.retries = retries
        self.hedges = hedges
        self.charges_drain_retries = charges_drain_retries
        shared = retries is hedges
        self._distinct = (retries,) if shared else (retries, hedges)

    def earn(self, now: ids.Instant) -> None:
        """Record one ordinary request."""
        for budget in self._distinct:
            budget.earn(now)

    def settle(self, now: ids.Instant) -> None:
        """Record that one extra request has arrived by now, or never will."""
        for budget in self._distinct:
            budget.settle(now)

    def sliding_budgets(self) -> abc.Iterator[budgets.SlidingShareBudget]:
        """Yield those budgets that work over a sliding window."""
        for budget in self._distinct:
            if isinstance(budget, budgets.SlidingShareBudget):
                yield budget

    def set_reserve(self, reserve: float) -> None:
        """Set the reserve of the sliding budgets; other budgets have none."""
        for budget in self.sliding_budgets():
            budget.reserve = reserve


class ExtraPolicy(typing.Protocol):
    """Determines which budgets a service has."""

    def create(self) -> ExtraBudgets:
        """Return new budgets."""

    def update(self, existing: ExtraBudgets) -> None:
        """Apply this policy to budgets that are already in use."""


class SeparateShares(msgspec.Struct, frozen=True):
    """Retries and hedges each get a share, from 0 to 1, of the calls offered."""

    retry_share: float
    hedge_share: float

    def create(self) -> ExtraBudgets:
        """Return new budgets with their initial reserve."""
        return ExtraBudgets(
            budgets.ShareBudget(self.retry_share),
            budgets.ShareBudget(self.hedge_share),
            # These retries come once per drain, as many as the upstream had requests.
            # The budget starts with one retry, so charging them refused the second.
            charges_drain_retries=False,
        )

    def update(self, existing: ExtraBudgets) -> None:
        """Set the shares; credit that was earned already stays."""
        for budget, share in (
            (existing.retries, self.retry_share),
            (existing.hedges, self.hedge_share),
        ):
            if isinstance(budget, budgets.ShareBudget):
                budget.share = share


class SharedWindow(msgspec.Struct, frozen=True):
    """
    Retries and hedges share one budget over a sliding window.

    It allows ``share`` of the calls offered in ``window_s`` seconds, plus ``reserve``
    extra requests.
    """

    share: float
    reserve: float
    window_s: float

    def create(self) -> ExtraBudgets:
        """Return budgets in which retries and hedges use the same new one."""
        shared = budgets.SlidingShareBudget(self.share, self.reserve, self.window_s)
        # The bound on the fleet's total counts every request that arrives again.
        return ExtraBudgets(shared, shared, charges_drain_retries=True)

    def update(self, existing: ExtraBudgets) -> None:
        """Set the reserve; changes of share and window need a restart."""
        existing.set_reserve(self.reserve)
