"""The store of ``rollout_world``: an order, its status, and calls that go wrong."""

import typing
from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.source import sources

#: From a change until gateways have read it, at most.
NEWS_S = 0.3
#: How long a call takes, and how long one waits whose answer is lost.
CALL_S, LOST_S = 0.004, 1.5

SERVICE = ids.ServiceName("s")
TARGET = ids.SoftwareVersion("v2")


class Later:
    """Suspends a coroutine of the product until the world goes on with it."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds

    def __await__(self) -> abc.Generator["Later", None, None]:
        yield self


class Store:
    """
    Holds one order and its status.

    While ``is_down`` calls fail and news wait; while ``loses`` is set they are done,
    and answered to nobody. ``writes`` counts those that took effect.
    """

    def __init__(self, world: typing.Any) -> None:
        self.world = world
        self.is_down = False
        self.loses = False
        self.revision = 10
        self.writes = 0
        self.calls = 0
        self.order_by_service: dict[ids.ServiceName, sources.RolloutOrder] = {}
        self.status_by_service: dict[ids.ServiceName, sources.RolloutStatus] = {}

    def order(
        self,
        by_s: float,
        target: ids.SoftwareVersion = TARGET,
        service: ids.ServiceName = SERVICE,
    ) -> None:
        """Write an order as the operator does."""
        self.revision += 1
        self.order_by_service[service] = sources.RolloutOrder(
            service, target, by_s, self.revision
        )
        self._tell()

    def take_away(self, service: ids.ServiceName = SERVICE) -> None:
        """Take an order away."""
        self.revision += 1
        del self.order_by_service[service]
        self._tell()

    def snapshot(self) -> sources.Snapshot:
        """Return what it holds."""
        return sources.Snapshot(
            revision=self.revision,
            configuration=None,
            upstream_by_id={},
            order_by_service=dict(self.order_by_service),
            status_by_service=dict(self.status_by_service),
        )

    def spawn(self, work: abc.Coroutine[typing.Any, None, None]) -> None:
        """Run a coroutine in virtual time; see ``background.BackgroundTasks``."""
        try:
            pause: Later = work.send(None)
        except StopIteration:
            return
        self.world.after(pause.seconds, lambda: self.spawn(work))

    async def write_rollout_status(
        self, order: sources.RolloutOrder, status: sources.RolloutStatus
    ) -> int | sources.SourceFault:
        """Write a status under its condition; see ``sources.Source``."""
        self.calls += 1
        await Later(CALL_S)
        if self.is_down:
            await Later(LOST_S)
            return sources.SourceFault.UNAVAILABLE
        outcome = self._commit(order, status)
        if self.loses:
            await Later(LOST_S)
            return sources.SourceFault.UNAVAILABLE
        return outcome

    def _commit(
        self, order: sources.RolloutOrder, status: sources.RolloutStatus
    ) -> int | sources.SourceFault:
        service = status.service
        known = self.status_by_service.get(service)
        if status.revision != (0 if known is None else known.revision):
            return sources.SourceFault.CONFLICT
        known_order = self.order_by_service.get(service)
        if known_order is None or known_order.revision != order.revision:
            return sources.SourceFault.CONFLICT
        self.revision += 1
        self.writes += 1
        self.status_by_service[service] = sources.RolloutStatus(
            service, status.target, status.state, self.revision
        )
        self.world.status_changed(status.state)
        self._tell()
        return self.revision

    def _tell(self) -> None:
        """Let each gateway read what has changed, a moment later."""
        for gateway in self.world.gateways:
            delay_s = self.world.rng.uniform(0.01, NEWS_S)
            self.world.after(delay_s, lambda one=gateway: self._read(one))

    def _read(self, gateway: typing.Any) -> None:
        if self.is_down:
            self.world.after(NEWS_S, lambda: self._read(gateway))
        elif gateway.is_up:
            gateway.take_list(self.snapshot())
