"""
Explain decisions and dump state: what was believed, how old, and why.

Reads the kernel's own records, so that an explanation cannot differ from what
was done. Used by the operator port and, through it, by the command line.
"""

import typing

import msgspec

from spindlenotch import ids
from spindlenotch.decisions import balancer
from spindlenotch.entry import entry_state
from spindlenotch.kernel import pool, upstreams
from spindlenotch.peers import membership

Dump = dict[str, typing.Any]


def state_dump(state: entry_state.EntryState) -> Dump:
    """Return everything the entry believes, ready for JSON."""
    now = state.clock.now()
    return {
        "host": state.config.host,
        "zone": state.config.zone,
        "incarnation": state.incarnation,
        "phase": state.readiness.phase.value,
        "serves": state.readiness.serves,
        "up_s": round(now - state.started_at, 3),
        "bundle": _bundle(state),
        "hosts_revision": state.hosts.revision if state.hosts else 0,
        "peers": [_peer(k, now) for k in state.gossip.known_by_host.values()],
        "marks": [_plain(m) for m in state.gossip.repeats_by_drain_notice],
        "once": {
            "remembered": len(state.once.record_by_key),
            "capacity": state.once.capacity,
            "joined": state.once.joined,
            "forwarded": state.counters.forwarded,
        },
        "pauses": state.counters.pauses,
        "services": {
            name: _service(service, now)
            for name, service in state.balancer_by_service.items()
        },
    }


def explain_call(state: entry_state.EntryState, call_id: str) -> list[Dump]:
    """Return the decisions on one request that are still remembered."""
    now = state.clock.now()
    return [
        _decision(decision, now)
        for service in state.balancer_by_service.values()
        for decision in service.decisions
        if decision.call == call_id
    ]


def explain_service(
    state: entry_state.EntryState, service: ids.ServiceName
) -> Dump | None:
    """Return who could take a request of ``service`` now, and recent choices."""
    found = state.balancer_by_service.get(service)
    if found is None:
        return None
    now = state.clock.now()
    recent = list(found.decisions)[-10:]
    return {
        **_service(found, now),
        "policy": found.service.policy,
        "recent": [_decision(decision, now) for decision in recent],
    }


def _bundle(state: entry_state.EntryState) -> Dump | None:
    if state.opened is None:
        return None
    return {
        "version": state.opened.bundle.version,
        "digest": state.opened.digest,
        "deployment": state.opened.bundle.deployment,
        "signed_by": state.opened.envelope.key,
    }


def _peer(known: membership.Peer, now: ids.Instant) -> Dump:
    return {
        "host": known.record.host,
        "zone": known.record.zone,
        "address": known.record.address,
        "status": known.record.status.name.lower(),
        "bundle_version": known.record.configuration_version,
        "heard_s_ago": round(now - known.updated_at, 3),
    }


def _service(service: balancer.Balancer, now: ids.Instant) -> Dump:
    found = service.pool
    return {
        "waiting": len(service.queue),
        "usual_ms": round(found.typical_s.value * 1000, 3),
        "failing_share": round(found.failing.value, 4),
        "zone_plan": found.plan,
        "zone_factor": found.zone_factor,
        "hedge_balance": round(service.hedges.balance, 2),
        "retry_balance": round(service.retries.balance, 2),
        "upstreams": [
            _upstream(found, upstream, now)
            for upstream in found.upstream_by_id.values()
        ],
    }


def _upstream(found: pool.Pool, upstream: upstreams.Upstream, now: ids.Instant) -> Dump:
    return {
        "id": upstream.spec.id,
        "zone": upstream.spec.zone,
        "address": upstream.spec.address,
        "generation": upstream.spec.generation,
        "state": upstream.state.value,
        "why": upstream.state_reason,
        "owned_slots": round(upstream.owned_slots, 3),
        "outstanding": upstream.outstanding,
        "believed_running": round(found.estimated_load(upstream, now), 2),
        "belief_age_s": round(now - upstream.report_at, 4),
        "silent_s": round(upstream.silent_s(now), 4),
        "slowness": round(upstream.latency_ratio.value, 3),
        "cost": round(found.cost(upstream, now), 3),
    }


def _decision(decision: balancer.Decision, now: ids.Instant) -> Dump:
    return {
        "call": decision.call,
        "seconds_ago": round(now - decision.at, 4),
        "try": decision.kind.value,
        "upstream": decision.upstream,
        "why": decision.rule,
        "candidates": [c._asdict() for c in decision.candidates],
    }


def _plain(value: object) -> Dump:
    return typing.cast(Dump, msgspec.to_builtins(value))
