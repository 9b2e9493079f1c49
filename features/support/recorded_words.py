"""
What is recorded of words that leave the process.

Metrics, members of enumerations, headers, dialects and registered names.
``recorded_names`` lists the samples.
"""

import typing

import prometheus_client

from features.support import recorded
from spindlenotch import clock, headers, ids, metrics, ports, selection
from spindlenotch.bundles import bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.decisions import verdicts
from spindlenotch.drivers import upstream_dialect
from spindlenotch.entry import claims, plugins, readiness
from spindlenotch.gateway import dialect, lifecycle
from spindlenotch.gateway.source import routing, sources
from spindlenotch.kernel import hostlist, outcomes, upstreams
from spindlenotch.peers import documents, messages, wire_format
from spindlenotch_platform import http_dialect, store

Plain = typing.Any
#: Numbers on the wire whose names are in log lines and in the state.
NUMBERED = {
    "statuses of members": messages.Status,
    "kinds of documents": documents.DocumentKind,
}
#: Statuses by which the functions of a dialect look at all their headers.
STATUSES = (200, 204, 302, 421, 429, 503)


def metric_rows() -> Plain:
    """Return the metrics by name."""
    found = {}
    for one in vars(metrics.Metrics()).values():
        if isinstance(one, prometheus_client.metrics.MetricWrapperBase):
            (described,) = one.describe()
            found[described.name] = {
                "type": described.type,
                "labels": list(one._labelnames),
                "buckets": [str(bound) for bound in getattr(one, "_upper_bounds", [])],
            }
    return dict(sorted(found.items()))


def word_lists() -> Plain:
    """Return the words of every enumeration that leaves the process."""
    kinds = {
        "outcomes of requests": outcomes.Outcome,
        "reasons of outcomes": outcomes.Reason,
        "tries": verdicts.Kind,
        "rules of selection": selection.Rule,
        "states of upstreams": upstreams.State,
        "phases of an entry": readiness.Phase,
        "phases of a gateway": lifecycle.Phase,
        "offers of documents": documents.Offer,
        "faults of peers' bytes": wire_format.CodecFault,
        "faults of envelopes": bundle_seal.SealFault,
        "verdicts of publishing": publishing.Verdict,
        "faults of claims": claims.ClaimFault,
        "faults of the store": ports.StoreFault,
        "faults of the host list": ports.HostListFault,
        "faults of upstreams": ports.UpstreamFault,
        "faults of a source": sources.SourceFault,
        "listed states of upstreams": sources.UpstreamState,
        "kinds of requests": routing.RequestKind,
        "roles of hosts": hostlist.Role,
        "states of hosts": hostlist.HostState,
    }
    found: dict[str, Plain] = {
        label: [member.value for member in kind] for label, kind in kinds.items()
    }
    for label, numbered in NUMBERED.items():
        found[label] = {member.name: member.value for member in numbered}
    return found


def header_names() -> Plain:
    """Return the product's own headers."""
    return {
        "names": sorted(
            value
            for name, value in vars(headers).items()
            if name.isupper() and isinstance(value, str)
        ),
        "hop by hop": sorted(headers.HOP_BY_HOP),
        "own": sorted(headers.SET_PER_HOP),
    }


def dialects() -> Plain:
    """Return how each dialect speaks, its functions by what they answer."""
    assert http_dialect.REQUEST_ID
    return {name: _spoken(name) for name in dialect.DIALECTS.names()}


def _spoken(name: str) -> Plain:
    spoken = dialect.DIALECTS.get(name)()
    directory = dialect.Directory((ids.Address("127.0.0.1:1"),), 2.5)
    towards = spoken.upstream
    marks = _Marks()
    report = towards.read_load(marks)
    for status in STATUSES:
        towards.is_genuine(status, marks)
        towards.is_not_run(status, marks)
        towards.is_draining(status, marks)
    return {
        "request id": spoken.request_id,
        "deadline": spoken.deadline_ms,
        "expected upstream": spoken.expect_upstream,
        "replaced": sorted(spoken.replaced),
        "directory": spoken.directory_path,
        "ready": spoken.ready_path,
        "directory's answer": spoken.render_directory(directory).decode(),
        "request id towards upstreams": towards.request_id,
        "probes": towards.probe_path,
        "headers looked at": sorted(marks.asked),
        "report without headers": recorded.plain(report),
    }


class _Marks(dict[str, str]):
    """Headers of an answer that has none; notes which were asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: set[str] = set()

    def get(self, name: str, default: typing.Any = None) -> typing.Any:
        """Note the name."""
        self.asked.add(name)
        return default

    def __contains__(self, name: object) -> bool:
        self.asked.add(str(name))
        return False


def registered() -> Plain:
    """Return the registered names by what they are names of."""
    plugins.load()
    # Importing these modules registers their names.
    assert upstream_dialect.NATIVE and http_dialect.REQUEST_ID and store.create
    registries: dict[str, typing.Any] = {
        "clocks": clock.CLOCKS,
        "dialects": dialect.DIALECTS,
        "host lists": ports.HOST_LISTS,
        "policies": selection.POLICIES,
        "sources": sources.SOURCES,
        "stores": ports.STORES,
        "upstream ports": ports.UPSTREAM_PORTS,
    }
    return {label: list(one.names()) for label, one in registries.items()}
