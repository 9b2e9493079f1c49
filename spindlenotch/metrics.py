"""
The Prometheus metrics of one process.

Owns the metrics and their registry, which is not the global one because the demo and
tests run several entries in one process. Both daemons update the metrics; their
operator ports render them. Label values come only from the bundle and from
enumerations, which bounds the number of time series.
"""

import prometheus_client

#: Upper bounds of the histogram buckets of request times, in seconds. 0.0016 is the p99
#: limit of the latency that an entry adds.
REQUEST_TIME_BUCKETS_S = (
    0.0005,
    0.001,
    0.0016,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    1.0,
    5.0,
)


class Metrics:
    """All metrics of a process. Times are in seconds."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "spindlenotch_requests_total",
            "Requests answered, by service, outcome and reason",
            ("service", "outcome", "reason"),
            registry=self.registry,
        )
        self.request_time = prometheus_client.Histogram(
            "spindlenotch_request_seconds",
            "From the head of a request to the end of its answer",
            ("service",),
            buckets=REQUEST_TIME_BUCKETS_S,
            registry=self.registry,
        )
        self.extra_sends = prometheus_client.Counter(
            "spindlenotch_extra_sends_total",
            "Retries and hedges sent",
            ("service", "kind"),
            registry=self.registry,
        )
        self.extra_taken = prometheus_client.Counter(
            "spindlenotch_extra_taken_total",
            "Retries and hedges sent, by the part of the budget and the cause",
            ("service", "part", "cause"),
            registry=self.registry,
        )
        self.extra_earning = prometheus_client.Counter(
            "spindlenotch_extra_earning_requests_total",
            "Requests that earned retries and hedges",
            ("service",),
            registry=self.registry,
        )
        self.extra_unread = prometheus_client.Gauge(
            "spindlenotch_extra_unread",
            "Retries and hedges of which it is not known that they have arrived",
            ("service",),
            registry=self.registry,
        )
        self.read_late = prometheus_client.Counter(
            "spindlenotch_copies_read_late_total",
            "Copies of requests that upstreams read long after they were sent",
            ("service",),
            registry=self.registry,
        )
        self.probes = prometheus_client.Counter(
            "spindlenotch_probes_total",
            "Probes sent",
            ("service",),
            registry=self.registry,
        )
        self.probe_slot_seconds = prometheus_client.Counter(
            "spindlenotch_probe_slot_seconds_total",
            "Upstream slot time that probes took",
            ("service",),
            registry=self.registry,
        )
        self.peer_bytes = prometheus_client.Counter(
            "spindlenotch_peer_bytes_total",
            "Bytes to and from peers",
            ("direction",),
            registry=self.registry,
        )
        self.traffic_bytes = prometheus_client.Counter(
            "spindlenotch_traffic_bytes_total",
            "Bytes sent to peers, of documents fetched from them, and of bodies to and"
            " from upstreams, by kind and distance",
            ("kind", "distance"),
            registry=self.registry,
        )
        self.peer_drops = prometheus_client.Counter(
            "spindlenotch_peer_drops_total",
            "Peer messages dropped, by reason",
            ("reason",),
            registry=self.registry,
        )
        self.foreign_answers = prometheus_client.Counter(
            "spindlenotch_foreign_answers_total",
            "Upstream answers dropped because they belong to another request",
            ("service",),
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Counter(
            "spindlenotch_store_calls_total",
            "Calls to the store, by purpose",
            ("purpose",),
            registry=self.registry,
        )
        self.bundle_version = prometheus_client.Gauge(
            "spindlenotch_bundle_version",
            "Version of the bundle in force",
            registry=self.registry,
        )
        self.refused_routes = prometheus_client.Gauge(
            "spindlenotch_refused_routes",
            "Routes of the configuration in force that can't be served",
            registry=self.registry,
        )
        self.bad_items = prometheus_client.Counter(
            "spindlenotch_source_items_refused_total",
            "Items of the source that could not be used, by kind",
            ("kind",),
            registry=self.registry,
        )
        self.upstream_restarts = prometheus_client.Counter(
            "spindlenotch_upstream_restarts_total",
            "Upstreams that started again under their ids, by service",
            ("service",),
            registry=self.registry,
        )
        self.upstreams_ended = prometheus_client.Counter(
            "spindlenotch_upstreams_ended_total",
            "Upstreams that ended while they ran requests of this process, by service",
            ("service",),
            registry=self.registry,
        )
        self.handed_over = prometheus_client.Counter(
            "spindlenotch_requests_handed_over_total",
            "Requests handed to another gateway, as this one reached no upstream",
            registry=self.registry,
        )
        self.isolated = prometheus_client.Gauge(
            "spindlenotch_isolated",
            "1 while no upstream responds to this gateway",
            registry=self.registry,
        )
        self.quarantined_requests = prometheus_client.Gauge(
            "spindlenotch_quarantined_requests",
            "Requests that end the upstreams that run them and are not sent any more",
            registry=self.registry,
        )
        self.rollout_requests = prometheus_client.Counter(
            "spindlenotch_rollout_requests_total",
            "Requests that ended while a service changes its version, by result",
            ("service", "version", "result"),
            registry=self.registry,
        )
        self.rollout_time = prometheus_client.Histogram(
            "spindlenotch_rollout_request_seconds",
            "Their time at upstreams; version is empty for those that are replaced",
            ("service", "version"),
            buckets=REQUEST_TIME_BUCKETS_S,
            registry=self.registry,
        )
        self.rollout_allowed = prometheus_client.Gauge(
            "spindlenotch_rollout_allowed_requests",
            "Requests this process may have sent to a version that is tried",
            ("service", "version"),
            registry=self.registry,
        )
        self.rollout_sent = prometheus_client.Gauge(
            "spindlenotch_rollout_sent_requests",
            "Requests this process has sent to a version that is tried",
            ("service", "version"),
            registry=self.registry,
        )
        self.rollout_phase = prometheus_client.Gauge(
            "spindlenotch_rollout_phase",
            "1: running, 2: promoting, 3: rolled back, 4: completed",
            ("service", "version"),
            registry=self.registry,
        )
        self.rollout_decides = prometheus_client.Gauge(
            "spindlenotch_rollout_decides",
            "1 where this process writes the status of the service's order",
            ("service",),
            registry=self.registry,
        )
        self.in_flight = prometheus_client.Gauge(
            "spindlenotch_requests_in_flight",
            "Requests being served",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self.registry)
