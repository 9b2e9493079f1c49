"""
The orders to change a service's version and their statuses, as the source holds them.

Owns when each order must have ended, as an instant of this host's clock: the source
says for how long it may run, peers how much of that is left. Turns them into marks on
the list of upstreams that goes to peers, and back. Pure.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.source import sources


class Orders:
    """
    Orders and statuses by service.

    Invariant: each order has its instant in ``end_at_by_service``, which never moves
    later while the order stands.
    """

    def __init__(self) -> None:
        self.order_by_service: dict[ids.ServiceName, sources.RolloutOrder] = {}
        self.end_at_by_service: dict[ids.ServiceName, ids.Instant] = {}
        self.status_by_service: dict[ids.ServiceName, sources.RolloutStatus] = {}

    def services(self) -> set[ids.ServiceName]:
        """Return the services with an order or a status."""
        return {*self.order_by_service, *self.status_by_service}

    def replace(self, snapshot: sources.Snapshot, now: ids.Instant) -> None:
        """Put what the source holds in place of what is known."""
        kept = snapshot.unreadable_orders
        for service in list(self.order_by_service):
            if service not in snapshot.order_by_service and service not in kept:
                self._set_order(service, None, now)
        for service, order in snapshot.order_by_service.items():
            self._set_order(service, order, now)
        self.status_by_service = dict(snapshot.status_by_service)

    def change(self, changes: sources.Changes, now: ids.Instant) -> bool:
        """Take in what has changed in the source; tell whether anything had."""
        for service, order in changes.order_by_service.items():
            self._set_order(service, order, now)
        for service, status in changes.status_by_service.items():
            self._set_status(service, status)
        return bool(changes.order_by_service or changes.status_by_service)

    def written(self, status: sources.RolloutStatus) -> None:
        """Take in a status that this gateway has written."""
        known = self.status_by_service.get(status.service)
        if known is None or known.revision < status.revision:
            self._set_status(status.service, status)

    def told_left(
        self, service: ids.ServiceName, left_s: float, now: ids.Instant
    ) -> None:
        """Take in a peer's word on how long an order may run; the shortest counts."""
        known = self.end_at_by_service.get(service)
        if known is not None:
            self.end_at_by_service[service] = min(known, ids.later(now, left_s))

    def status_of(
        self, order: sources.RolloutOrder | None
    ) -> sources.RolloutStatus | None:
        """Return the status that is about an order; None where there is none yet."""
        if order is None:
            return None
        status = self.status_by_service.get(order.service)
        if status is None or status.target != order.target:
            return None
        return status if status.revision > order.revision else None

    def marked(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> tuple[sources.ListedUpstream, ...]:
        """Return a list for peers, with what is known on each upstream it is about."""
        mark_by_service = {name: self._mark(name, now) for name in self.services()}
        return tuple(_marked(one, mark_by_service.get(one.service)) for one in listed)

    def take_marks(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> list[sources.ListedUpstream]:
        """
        Take in what a peer's list says; return the list without it.

        Of a service without upstreams the list says nothing, and what is known stays.
        """
        plain = []
        mark_by_service: dict[ids.ServiceName, sources.RolloutMark | None] = {}
        for one in listed:
            mark_by_service[one.service] = one.rollout
            plain.append(_marked(one, None))
        for service, mark in mark_by_service.items():
            self._take_mark(service, mark or sources.RolloutMark(), now)
        return plain

    def _mark(self, service: ids.ServiceName, now: ids.Instant) -> sources.RolloutMark:
        end_at = self.end_at_by_service.get(service, now)
        return sources.RolloutMark(
            order=self.order_by_service.get(service),
            left_s=end_at - now,
            status=self.status_by_service.get(service),
        )

    def _take_mark(
        self, service: ids.ServiceName, mark: sources.RolloutMark, now: ids.Instant
    ) -> None:
        before = self.order_by_service.get(service)
        self._set_order(service, mark.order, now)
        if mark.order is not None:
            self.told_left(service, mark.left_s, now)
        # What this gateway has written itself may be newer than the peer's list.
        known = self.status_of(before)
        is_same = before is not None and before == mark.order
        told = 0 if mark.status is None else mark.status.revision
        if known is None or not is_same or told > known.revision:
            self._set_status(service, mark.status)

    def _set_order(
        self,
        service: ids.ServiceName,
        order: sources.RolloutOrder | None,
        now: ids.Instant,
    ) -> None:
        if order is None:
            self.order_by_service.pop(service, None)
            self.end_at_by_service.pop(service, None)
            return
        if self.order_by_service.get(service) != order:
            self.order_by_service[service] = order
            self.end_at_by_service[service] = ids.later(now, order.by_s)

    def _set_status(
        self, service: ids.ServiceName, status: sources.RolloutStatus | None
    ) -> None:
        if status is None:
            self.status_by_service.pop(service, None)
        else:
            self.status_by_service[service] = status


def _marked(
    one: sources.ListedUpstream, mark: sources.RolloutMark | None
) -> sources.ListedUpstream:
    if one.rollout == mark:
        return one
    return msgspec.structs.replace(one, rollout=mark)
