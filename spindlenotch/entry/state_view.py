"""
What operators are shown of an entry's state: one type a JSON object.

Owns the names of the keys, which operators and their tools rely on. Where a
key differs from the project's name for the thing, ``name=`` holds the key.
Ages and durations are in seconds unless the name ends in another unit.
"""

import msgspec

from spindlenotch import ids


class BundleView(msgspec.Struct, kw_only=True):
    """The bundle in force."""

    version: int
    digest: str
    deployment: str
    signed_by: str


class PeerView(msgspec.Struct, kw_only=True):
    """A peer as this entry knows it."""

    host: str
    zone: str
    address: str
    status: str
    bundle_version: int
    heard_s_ago: float


class DrainNoticeView(msgspec.Struct, kw_only=True):
    """An upstream that said itself that it takes no new work."""

    service: str
    upstream: str
    generation: int


class RequestIdsView(msgspec.Struct, kw_only=True):
    """The table of request ids."""

    remembered: int
    capacity: int
    joined: int
    forwarded: int


class UpstreamView(msgspec.Struct, kw_only=True):
    """An upstream and the load it is estimated to have."""

    id: str
    zone: str
    address: str
    generation: int
    state: str
    state_reason: str = msgspec.field(name="why")
    owned_slots: float
    outstanding: int
    estimated_load: float = msgspec.field(name="believed_running")
    report_age_s: float = msgspec.field(name="belief_age_s")
    silent_s: float
    latency_ratio: float = msgspec.field(name="slowness")
    cost: float


class ServiceView(msgspec.Struct, kw_only=True):
    """A service's queue, budgets and upstreams."""

    waiting: int
    typical_ms: float = msgspec.field(name="usual_ms")
    failing_share: float
    zone_plan: dict[ids.ZoneName, float]
    zone_factor: dict[ids.ZoneName, float]
    hedge_balance: float
    retry_balance: float
    upstreams: list[UpstreamView]


class CandidateView(msgspec.Struct, kw_only=True):
    """An upstream that was considered, as it was estimated then."""

    upstream: str
    cost: float
    estimated_load: float = msgspec.field(name="believed_running")
    report_age_s: float = msgspec.field(name="belief_age_s")
    owned_slots: float


class DecisionView(msgspec.Struct, kw_only=True):
    """One decision on one request, and why it was made."""

    call: str
    seconds_ago: float
    kind: str = msgspec.field(name="try")
    upstream: str | None
    rule: str = msgspec.field(name="why")
    candidates: list[CandidateView]


class ServiceExplanation(ServiceView, kw_only=True):
    """A service with its policy and its latest decisions."""

    policy: str
    recent: list[DecisionView]


class StateView(msgspec.Struct, kw_only=True):
    """Everything that an entry knows and estimates."""

    host: str
    zone: str
    incarnation: str
    phase: str
    serves: bool
    up_s: float
    bundle: BundleView | None
    hosts_revision: int
    peers: list[PeerView]
    drain_notices: list[DrainNoticeView] = msgspec.field(name="marks")
    request_ids: RequestIdsView = msgspec.field(name="once")
    pauses: int
    services: dict[ids.ServiceName, ServiceView]
