"""
Dumps of an entry's state and explanations of its decisions.

Reads the kernel's own records, so that an explanation cannot differ from what
was done. The operator port serves the results as JSON; ``state_view`` holds
their keys. Nothing here changes any state.
"""

import msgspec

from spindlenotch import ids, selection
from spindlenotch.bundles import bundle_seal
from spindlenotch.decisions import balancer, queueing_cost, verdicts
from spindlenotch.entry import entry_state, state_view
from spindlenotch.kernel import upstream_pool, upstreams
from spindlenotch.peers import known_peer, messages

#: How many of a service's latest decisions are shown.
RECENT_DECISIONS = 10


def state_dump(state: entry_state.EntryState) -> state_view.StateView:
    """Return everything the entry knows and estimates."""
    now = state.clock.now()
    hosts = state.documents.hosts
    opened = state.documents.opened
    return state_view.StateView(
        host=state.config.host,
        zone=state.config.zone,
        incarnation=state.incarnation,
        phase=state.readiness.phase.value,
        serves=state.readiness.serves,
        up_s=round(now - state.started_at, 3),
        bundle=_bundle(opened) if opened else None,
        hosts_revision=hosts.revision if hosts else 0,
        peers=[_peer(peer, now) for peer in state.gossip.known_by_host.values()],
        drain_notices=[
            _drain_notice(notice) for notice in state.gossip.repeats_by_drain_notice
        ],
        request_ids=_request_ids(state),
        pauses=state.counters.pauses,
        services={
            name: _service(service, now)
            for name, service in state.balancer_by_service.items()
        },
    )


def explain_call(
    state: entry_state.EntryState, call_id: str
) -> list[state_view.DecisionView]:
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
) -> state_view.ServiceExplanation | None:
    """Return who could take a request of ``service`` now, and recent choices."""
    found = state.balancer_by_service.get(service)
    if found is None:
        return None
    now = state.clock.now()
    recent = list(found.decisions)[-RECENT_DECISIONS:]
    return state_view.ServiceExplanation(
        **msgspec.structs.asdict(_service(found, now)),
        policy=found.service.selection,
        recent=[_decision(decision, now) for decision in recent],
    )


def _bundle(opened: bundle_seal.Opened) -> state_view.BundleView:
    return state_view.BundleView(
        version=opened.bundle.version,
        digest=opened.digest,
        deployment=opened.bundle.deployment,
        signed_by=opened.envelope.key,
    )


def _peer(known: known_peer.Peer, now: ids.Instant) -> state_view.PeerView:
    return state_view.PeerView(
        host=known.record.host,
        zone=known.record.zone,
        address=known.record.address,
        status=known.record.status.name.lower(),
        bundle_version=known.record.configuration_version,
        heard_s_ago=round(now - known.updated_at, 3),
    )


def _drain_notice(notice: messages.DrainNotice) -> state_view.DrainNoticeView:
    return state_view.DrainNoticeView(
        service=notice.service,
        upstream=notice.upstream,
        generation=notice.generation,
    )


def _request_ids(state: entry_state.EntryState) -> state_view.RequestIdsView:
    return state_view.RequestIdsView(
        remembered=len(state.once.record_by_key),
        capacity=state.once.capacity,
        joined=state.once.joined,
        forwarded=state.counters.forwarded,
    )


def _service(service: balancer.Balancer, now: ids.Instant) -> state_view.ServiceView:
    found = service.pool
    return state_view.ServiceView(
        waiting=len(service.queue),
        typical_ms=round(found.latencies.overall.value * 1000, 3),
        failing_share=round(found.failed_share.value, 4),
        zone_plan=found.plan,
        zone_factor=found.zone_factor,
        hedge_balance=round(service.hedges.balance, 2),
        retry_balance=round(service.retries.balance, 2),
        upstreams=[
            _upstream(found, upstream, now)
            for upstream in found.upstream_by_id.values()
        ],
    )


def _upstream(
    found: upstream_pool.Pool, upstream: upstreams.Upstream, now: ids.Instant
) -> state_view.UpstreamView:
    load = found.estimated_load(upstream, now)
    cost = queueing_cost.estimate_cost(found, upstream, load, now)
    return state_view.UpstreamView(
        id=upstream.spec.id,
        zone=upstream.spec.zone,
        address=upstream.spec.address,
        generation=upstream.spec.generation,
        state=upstream.state.value,
        state_reason=upstream.state_reason,
        owned_slots=round(upstream.owned_slots, 3),
        outstanding=upstream.outstanding,
        estimated_load=round(load, 2),
        report_age_s=round(now - upstream.report_at, 4),
        silent_s=round(upstream.silent_s(now), 4),
        latency_ratio=round(upstream.latency_ratio.value, 3),
        cost=round(cost, 3),
    )


def _decision(decision: verdicts.Decision, now: ids.Instant) -> state_view.DecisionView:
    return state_view.DecisionView(
        call=decision.call,
        seconds_ago=round(now - decision.at, 4),
        kind=decision.kind.value,
        upstream=decision.upstream,
        rule=decision.rule,
        candidates=[_candidate(one) for one in decision.candidates],
    )


def _candidate(candidate: selection.Candidate) -> state_view.CandidateView:
    return state_view.CandidateView(
        upstream=candidate.upstream,
        cost=candidate.cost,
        estimated_load=candidate.load,
        report_age_s=candidate.report_age_s,
        owned_slots=candidate.owned_slots,
    )
