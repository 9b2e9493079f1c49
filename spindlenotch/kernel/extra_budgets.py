"""
How the budgets of retries and hedges go together: separate or shared.

A service has one of two named policies: each kind gets a share of the traffic
of its own (``SeparateShares``), or both draw on one sliding window
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
    ``charges_drain_retries``: also requests that an upstream turned away because it
    drains take a retry from it.
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
        """Count one ordinary request."""
        for budget in self._distinct:
            budget.earn(now)

    def settle(self, now: ids.Instant) -> None:
        """Take in that one extra request has arrived by now, or never will."""
        for budget in self._distinct:
            budget.settle(now)

    def sliding_budgets(self) -> abc.Iterator[budgets.SlidingShareBudget]:
        """Return the budgets that are sliding ones."""
        for budget in self._distinct:
            if isinstance(budget, budgets.SlidingShareBudget):
                yield budget

    def set_reserve(self, reserve: float) -> None:
        """Change what sliding budgets allow beyond their share; others have none."""
        for budget in self.sliding_budgets():
            budget.reserve = reserve


class ExtraPolicy(typing.Protocol):
    """Says which budgets a service has."""

    def create(self) -> ExtraBudgets:
        """Return new budgets."""

    def update(self, existing: ExtraBudgets) -> None:
        """Put this policy into force in budgets that are already in use."""


class SeparateShares(msgspec.Struct, frozen=True):
    """Retries and hedges each get a share of the calls offered, from 0 to 1."""

    retry_share: float
    hedge_share: float

    def create(self) -> ExtraBudgets:
        """Return new budgets with their initial reserve."""
        return ExtraBudgets(
            budgets.ShareBudget(self.retry_share),
            budgets.ShareBudget(self.hedge_share),
            # They come once, when an upstream begins to drain, as many as it had. From
            # a budget that begins with one retry the second of two was refused.
            charges_drain_retries=False,
        )

    def update(self, existing: ExtraBudgets) -> None:
        """Change the shares; what has been earned stays."""
        for budget, share in (
            (existing.retries, self.retry_share),
            (existing.hedges, self.hedge_share),
        ):
            if isinstance(budget, budgets.ShareBudget):
                budget.share = share


class SharedWindow(msgspec.Struct, frozen=True):
    """
    Retries and hedges together get one budget over a sliding window.

    ``share`` of the calls offered in ``window_s`` seconds, and ``reserve``
    besides.
    """

    share: float
    reserve: float
    window_s: float

    def create(self) -> ExtraBudgets:
        """Return one new budget for both."""
        shared = budgets.SlidingShareBudget(self.share, self.reserve, self.window_s)
        # The sum over the fleet counts whatever arrives again.
        return ExtraBudgets(shared, shared, charges_drain_retries=True)

    def update(self, existing: ExtraBudgets) -> None:
        """Change the reserve; the share and the window need a restart."""
        existing.set_reserve(self.reserve)
