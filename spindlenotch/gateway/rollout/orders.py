"""
Orders to change a service's version, and their statuses, as the source holds them.

Owns the deadline of each order as an instant of this host's clock: the source states
for how long an order may run, peers how much of that is left. Converts orders and
statuses to marks on the upstream list that is sent to peers, and back. Performs no I/O
and reads no clock.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.source import sources, withdrawals


class Orders:
    """
    Orders and statuses by service.

    Invariant: each order has its deadline in ``end_at_by_service``, which never moves
    later while the order stands.
    """

    def __init__(self) -> None:
        self.order_by_service: dict[ids.ServiceName, sources.RolloutOrder] = {}
        self.end_at_by_service: dict[ids.ServiceName, ids.Instant] = {}
        self.status_by_service: dict[ids.ServiceName, sources.RolloutStatus] = {}
        self._drop_at_by_service: dict[ids.ServiceName, ids.Instant] = {}

    def services(self) -> set[ids.ServiceName]:
        """Return the services with an order or a status."""
        return {*self.order_by_service, *self.status_by_service}

    def replace(
        self,
        snapshot: sources.Snapshot,
        now: ids.Instant,
        *,
        is_stale: bool = False,
    ) -> None:
        """
        Replace orders and statuses with those of a snapshot of the source.

        If the snapshot ``is_stale``, a peer's newer list arrived while it was read, and
        orders and statuses written since then are kept.
        """
        orders = self.order_by_service
        newer = self._orders_after(snapshot.revision, snapshot.era)
        newer = newer if is_stale else set()
        snapshot_orders = {
            n: o for n, o in snapshot.order_by_service.items() if n not in newer
        }
        for service in orders.keys() - snapshot_orders.keys() - newer:
            if _is_later_era(snapshot.era, orders[service].era):
                # The backup may predate the order: allow time to write it again.
                drop_at = ids.later(now, withdrawals.WITHHOLD_S)
                self._drop_at_by_service.setdefault(service, drop_at)
            elif service not in snapshot.unreadable_orders:
                self._set_order(service, None, now)
        for service, order in snapshot_orders.items():
            self._set_order(service, _with_era(order, snapshot.era), now)
        known = self.status_by_service
        newer = _written_after(snapshot.revision, known) if is_stale else set()
        self.status_by_service = {
            **snapshot.status_by_service,
            **{service: known[service] for service in newer},
        }

    def change(self, changes: sources.Changes, now: ids.Instant) -> bool:
        """
        Apply changes from the source; return whether there were any.

        A watch may lag behind a peer's list: newer orders and statuses are kept.
        """
        newer = self._orders_after(changes.revision, changes.era)
        for service, order in changes.order_by_service.items():
            if service not in newer:
                changed = None if order is None else _with_era(order, changes.era)
                self._set_order(service, changed, now)
        newer = _written_after(changes.revision, self.status_by_service)
        for service, status in changes.status_by_service.items():
            if service not in newer:
                self._set_status(service, status)
        return bool(changes.order_by_service or changes.status_by_service)

    def drop_missing(self, now: ids.Instant) -> bool:
        """Drop orders not rewritten in time after a restore; return whether any was."""
        due = [name for name, at in self._drop_at_by_service.items() if at <= now]
        for service in due:
            self._set_order(service, None, now)
        return bool(due)

    @property
    def is_retaining(self) -> bool:
        """Return whether orders that a restored source lacks are kept for a while."""
        return bool(self._drop_at_by_service)

    def written(self, status: sources.RolloutStatus) -> None:
        """Record a status that this gateway has written."""
        known = self.status_by_service.get(status.service)
        if known is None or known.revision < status.revision:
            self._set_status(status.service, status)

    def limit_remaining(
        self, service: ids.ServiceName, left_s: float, now: ids.Instant
    ) -> None:
        """Apply the time left for an order by a peer, in seconds; the least counts."""
        known = self.end_at_by_service.get(service)
        if known is not None:
            self.end_at_by_service[service] = min(known, ids.later(now, left_s))

    def status_of(
        self, order: sources.RolloutOrder | None
    ) -> sources.RolloutStatus | None:
        """Return the status of an order, None if there is none yet."""
        if order is None:
            return None
        status = self.status_by_service.get(order.service)
        if status is None or status.target != order.target:
            return None
        return status if status.revision > order.revision else None

    def with_marks(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> tuple[sources.ListedUpstream, ...]:
        """Return a list for peers, with the order and status of each one's service."""
        mark_by_service = {name: self._mark(name, now) for name in self.services()}
        return tuple(
            _with_mark(entry, mark_by_service.get(entry.service)) for entry in listed
        )

    def apply_marks(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> list[sources.ListedUpstream]:
        """
        Apply the marks in a peer's list; return the list without them.

        A service without upstreams is not in the list; what is known of it is kept.
        """
        unmarked = []
        mark_by_service: dict[ids.ServiceName, sources.RolloutAnnotation | None] = {}
        for entry in listed:
            mark_by_service[entry.service] = entry.rollout
            unmarked.append(_with_mark(entry, None))
        for service, mark in mark_by_service.items():
            self._apply_mark(service, mark or sources.RolloutAnnotation(), now)
        return unmarked

    def _mark(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> sources.RolloutAnnotation:
        end_at = self.end_at_by_service.get(service, now)
        return sources.RolloutAnnotation(
            order=self.order_by_service.get(service),
            left_s=end_at - now,
            status=self.status_by_service.get(service),
        )

    def _apply_mark(
        self,
        service: ids.ServiceName,
        mark: sources.RolloutAnnotation,
        now: ids.Instant,
    ) -> None:
        before = self.order_by_service.get(service)
        self._set_order(service, mark.order, now)
        if mark.order is not None:
            self.limit_remaining(service, mark.left_s, now)
        # A status that this gateway has written may be newer than the peer's list.
        known = self.status_of(before)
        is_same = before is not None and before == mark.order
        received_revision = 0 if mark.status is None else mark.status.revision
        if known is None or not is_same or received_revision > known.revision:
            self._set_status(service, mark.status)

    def _set_order(
        self,
        service: ids.ServiceName,
        order: sources.RolloutOrder | None,
        now: ids.Instant,
    ) -> None:
        self._drop_at_by_service.pop(service, None)
        if order is None:
            self.order_by_service.pop(service, None)
            self.end_at_by_service.pop(service, None)
            return
        known = self.order_by_service.get(service)
        self.order_by_service[service] = order
        if known is None or not is_same_order(known, order):
            self.end_at_by_service[service] = ids.later(now, order.by_s)

    def _orders_after(self, revision: int, era: int | None) -> set[ids.ServiceName]:
        """Return the services whose order was written after a source position."""
        return {
            service
            for service in _written_after(revision, self.order_by_service)
            if not _is_later_era(era, self.order_by_service[service].era)
        }

    def _set_status(
        self, service: ids.ServiceName, status: sources.RolloutStatus | None
    ) -> None:
        if status is None:
            self.status_by_service.pop(service, None)
        else:
            self.status_by_service[service] = status


def is_same_order(known: sources.RolloutOrder, received: sources.RolloutOrder) -> bool:
    """
    Return whether a received order is the known one.

    An order that is rewritten after a restore has another revision in another era.
    """
    if known.era is None or received.era is None or known.era == received.era:
        return received.revision == known.revision
    compared = msgspec.structs.replace(received, revision=known.revision, era=known.era)
    return compared == known


def _is_later_era(era: int | None, known: int | None) -> bool:
    return era is not None and known is not None and era > known


def _with_era(order: sources.RolloutOrder, era: int | None) -> sources.RolloutOrder:
    if order.era == era:
        return order
    return msgspec.structs.replace(order, era=era)


def _written_after(
    revision: int,
    known_by_service: abc.Mapping[
        ids.ServiceName, sources.RolloutOrder | sources.RolloutStatus
    ],
) -> set[ids.ServiceName]:
    """Return the services whose order or status was written after a revision."""
    return {
        name for name, entry in known_by_service.items() if entry.revision > revision
    }


def _with_mark(
    entry: sources.ListedUpstream, mark: sources.RolloutAnnotation | None
) -> sources.ListedUpstream:
    if entry.rollout == mark:
        return entry
    return msgspec.structs.replace(entry, rollout=mark)
