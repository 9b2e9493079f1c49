"""
Logs the state changes of upstreams.

Both daemons log the decisions of their pools through this module, so that an
ejection has the same form in both logs. Owns the map from an upstream's state
to its event; relies on the kernel's pools, which keep their changes until
they are collected.
"""

from spindlenotch import events, ids
from spindlenotch.kernel import upstream_pool, upstreams

EVENT_BY_STATE = {
    upstreams.State.EJECTED: events.Event.UPSTREAM_EJECTED,
    upstreams.State.ACTIVE: events.Event.UPSTREAM_BACK,
    upstreams.State.LEAVING: events.Event.UPSTREAM_LEAVING,
    upstreams.State.PROBATION: events.Event.UPSTREAM_PROBATION,
}


def report_changes(service: ids.ServiceName, changed: upstream_pool.Pool) -> None:
    """Log every state change in a service's pool since the last call."""
    for change in changed.changes.collect():
        events.emit(
            EVENT_BY_STATE[change.state],
            service=service,
            upstream=change.upstream,
            reason=change.reason,
        )
