"""
The samples of names that operators, callers and tools rely on.

Settings, events and log lines, metrics, what a process says of itself, words
in answers, headers and registered names. See ``recorded`` for what a sample is.
"""

import ast
import json
import os
import pathlib
import types
import typing
import zlib
from collections import abc

import loguru
import msgspec
import prometheus_client

from features.support import recorded, recorded_samples, virtual_fleet
from spindlenotch import api, clock, events, headers, ids, metrics, ports, selection
from spindlenotch.bundles import bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.decisions import verdicts
from spindlenotch.drivers import upstream_dialect
from spindlenotch.entry import claims, explain, plugins, readiness, settings
from spindlenotch.forwarding import exchanges, granting, jobs
from spindlenotch.gateway import (
    dialect,
    lifecycle,
    log_sink,
    request_log,
    routing,
    settings as gateway_settings,
    side_ports,
    sources,
    state as states,
)
from spindlenotch.kernel import hostlist, outcomes, upstreams, waiting
from spindlenotch.peers import documents, messages, wire_format
from spindlenotch.settings import schema
from spindlenotch_platform import http_dialect, settings_file

#: Numbers on the wire whose names are in log lines and in the state.
NUMBERED = {
    "statuses of members": messages.Status,
    "kinds of documents": documents.DocumentKind,
}

Sample = recorded.Sample
Plain = typing.Any
CODE = (pathlib.Path("spindlenotch"), pathlib.Path("platform"))
ROOT = pathlib.Path(__file__).parents[2]
#: Maps of numbers by zone; which zones are in them is a matter of decisions.
ZONE_MAPS = ("zone_plan", "zone_factor")
BY_ZONE = "numbers by zone"
#: Statuses by which the functions of a dialect look at all their headers.
STATUSES = (200, 204, 302, 421, 429, 503)


def table(name: str, make: abc.Callable[[], object]) -> Sample:
    """Return the sample of a table that is written only."""
    return Sample(f"{name}.json", "json", None, lambda: recorded.pretty(make()))


def entry_settings() -> settings.EntrySettings:
    """Return what the recorded environment of an entry is read as."""
    return settings.EntrySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.2:1"),
        peer_listen=ids.Address("127.0.0.2:2"),
        operator_listen=ids.Address("127.0.0.2:3"),
        store="http://store:4",
        host_list="http://hosts:5",
        peers=(ids.Address("127.0.0.3:2"), ids.Address("127.0.0.4:2")),
        peer_keys=(b"a first key of peers", b"another key of peers"),
        trusted_keys=frozenset({"ab" * 32, "cd" * 32}),
        once_capacity=1234,
        hand_out_s=2.5,
        drain_limit_s=33.5,
        pause_s=1.25,
        seed=17,
        plugins=("one.module", "another"),
    )


def bare_entry_settings() -> settings.EntrySettings:
    """Return what the shortest environment of an entry is read as."""
    return settings.EntrySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.1:8080"),
        peer_listen=ids.Address("127.0.0.1:8081"),
        operator_listen=ids.Address("127.0.0.1:8082"),
        store="http://store:4",
        host_list="http://hosts:5",
        peers=(),
        peer_keys=(b"a first key of peers",),
        trusted_keys=frozenset({"ab" * 32}),
        once_capacity=100_000,
        hand_out_s=5.0,
        drain_limit_s=0.0,
        pause_s=2.0,
        seed=0,
        plugins=(),
    )


def gateway_values() -> gateway_settings.GatewaySettings:
    """Return what the recorded environment of a gateway is read as."""
    return gateway_settings.GatewaySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.2:1"),
        ready_listen=ids.Address("127.0.0.2:2"),
        directory_listen=ids.Address("127.0.0.2:3"),
        peer_listen=ids.Address("127.0.0.2:4"),
        operator_listen=ids.Address("127.0.0.2:5"),
        source="http://store:6",
        source_driver="a-driver",
        dialect="a-dialect",
        peers=(ids.Address("127.0.0.3:4"), ids.Address("127.0.0.4:4")),
        peer_keys=(b"a first key of peers", b"another key of peers"),
        stop_limit_s=7.5,
        hand_out_s=2.5,
        extra_share=0.25,
        extra_reserve=48.5,
        extra_window_s=12.5,
        probes_per_s=35.5,
        entries_per_zone=3,
        cores=0.75,
        link_mbps=250.5,
        seed=17,
    )


def bare_gateway_values() -> gateway_settings.GatewaySettings:
    """Return what the shortest environment of a gateway is read as."""
    return gateway_settings.GatewaySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.1:8080"),
        ready_listen=ids.Address("127.0.0.1:8083"),
        directory_listen=ids.Address("127.0.0.1:8084"),
        peer_listen=ids.Address("127.0.0.1:8081"),
        operator_listen=ids.Address("127.0.0.1:8082"),
        source="http://store:6",
        source_driver="a-driver",
        dialect="native",
        peers=(),
        peer_keys=(b"a first key of peers",),
        stop_limit_s=6.0,
        hand_out_s=1.0,
        extra_share=0.1,
        extra_reserve=0.0,
        extra_window_s=10.0,
        probes_per_s=20.0,
        entries_per_zone=1,
        cores=1.0,
        link_mbps=1000.0,
        seed=0,
    )


def platform_values() -> gateway_settings.GatewaySettings:
    """Return what the platform's recorded settings file is read as."""
    return gateway_settings.GatewaySettings(
        host=ids.HostId("host-1"),
        zone=ids.ZoneName("zone-1"),
        listen=ids.Address("127.0.0.2:1"),
        ready_listen=ids.Address("127.0.0.2:2"),
        directory_listen=ids.Address("127.0.0.2:3"),
        peer_listen=ids.Address("127.0.0.2:4400"),
        operator_listen=ids.Address("127.0.0.2:5"),
        source="http://127.0.0.9:6",
        source_driver="platform",
        dialect="platform",
        peers=(ids.Address("127.0.0.3:4400"), ids.Address("127.0.0.4:4400")),
        peer_keys=(b"spindlenotch-on-the-platform",),
        stop_limit_s=7.5,
        hand_out_s=2.5,
        extra_share=0.25,
        extra_reserve=48.5,
        extra_window_s=12.5,
        probes_per_s=17.0,
        entries_per_zone=2,
        cores=1.0,
        link_mbps=250.5,
        seed=17,
    )


def setting_rows(rows: abc.Iterable[schema.Setting]) -> Plain:
    """Return a table of settings by name."""
    return {
        row.name: {
            "flag": row.flag,
            "variable": row.variable,
            "default": row.default,
            "allowed": row.kind.allowed,
        }
        for row in rows
    }


def read_platform(data: bytes) -> object:
    """Return what the platform's settings file is read as."""
    environment = {
        "SPINDLENOTCH_SETTINGS": str(recorded.FOLDER / "platform-settings.toml"),
        "SPINDLENOTCH_SEED": "17",
        "SPINDLENOTCH_ENTRIES_PER_ZONE": "2",
    }
    return settings_file.read_settings(environment)


def settings_samples() -> list[Sample]:
    """Return the samples of settings."""

    def entry(data: bytes) -> object:
        return settings.read({}, json.loads(data))

    def gateway(data: bytes) -> object:
        return gateway_settings.read({}, json.loads(data))

    def file(data: bytes) -> object:
        path = recorded.FOLDER / "gateway-settings.toml"
        values = gateway_settings.read_file(str(path))
        if isinstance(values, list):
            return values
        return gateway_settings.read({}, {}, values)

    return [
        table("settings-entry", lambda: setting_rows(settings.SETTINGS)),
        table("settings-gateway", lambda: setting_rows(gateway_settings.SETTINGS)),
        Sample("environment-entry.json", "json", entry_settings(), read=entry),
        Sample(
            "environment-entry-bare.json",
            "json",
            bare_entry_settings(),
            read=entry,
            bare=True,
        ),
        Sample("environment-gateway.json", "json", gateway_values(), read=gateway),
        Sample(
            "environment-gateway-bare.json",
            "json",
            bare_gateway_values(),
            read=gateway,
            bare=True,
        ),
        Sample("gateway-settings.toml", "toml", gateway_values(), read=file),
        Sample("platform-settings.toml", "toml", platform_values(), read=read_platform),
    ]


def event_rows() -> Plain:
    """Return the levels of the events by number."""
    entries = sorted((event.value for event in events.Event), key=lambda e: e.number)
    return {str(e.number): e.level for e in entries}


def line_fields() -> Plain:
    """
    Return the field names of each event's lines, in their order.

    Read from the code, since most lines take a fault to come by: each call of
    ``emit`` is found wherever it stands.
    """
    found: dict[int, set[tuple[str, ...]]] = {}
    for folder in CODE:
        for path in sorted((ROOT / folder).rglob("*.py")):
            tree = ast.parse(path.read_text())
            for call in ast.walk(tree):
                if not isinstance(call, ast.Call) or _name(call.func) != "emit":
                    continue
                fields = tuple(str(keyword.arg) for keyword in call.keywords)
                for number in _numbers(call.args[0], tree):
                    found.setdefault(number, set()).add(fields)
    return {
        str(number): sorted(" ".join(fields) for fields in found[number])
        for number in sorted(found)
    }


def _numbers(asked: ast.expr, tree: ast.Module) -> list[int]:
    """Return the numbers of the events that an expression may name."""
    names = {_name(node) for node in ast.walk(asked)} - {""}
    parts = list(ast.walk(asked))
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and _name(node.targets[0]) in names:
            parts += ast.walk(node.value)
    found = {
        part.attr
        for part in parts
        if isinstance(part, ast.Attribute) and _name(part.value) == "Event"
    }
    assert found, f"no event in {ast.dump(asked)}"
    return [events.Event[name].value.number for name in found]


def _name(node: ast.AST) -> str:
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def serving() -> tuple[states.GatewayState, typing.Any]:
    """Return a gateway with everything in force and a peer, and its relay."""
    state, passing = recorded_samples.gateway()
    by_id = {one.id: one for one in recorded_samples.listed()}
    bad = (sources.BadItem("servers/up-9", "a reason"),)
    snapshot = sources.Snapshot(5, recorded_samples.configuration(), by_id, bad)
    state.apply_snapshot(snapshot)
    news = recorded_samples.member(2, messages.Status.READY)
    state.gossip.handle(messages.Message(news, 1), state.clock.now())
    return state, passing


def log_lines() -> bytes:
    """Return the lines that a gateway writes of some events; times are zero."""
    reading, writing = os.pipe()
    handler = loguru.logger.add(
        log_sink.LogSink(writing), level="INFO", format="{message}"
    )
    try:
        recorded_samples.run(_provoke())
    finally:
        loguru.logger.remove(handler)
        os.close(writing)
    with open(reading, "rb") as pipe:
        lines = [json.loads(line) for line in pipe.read().splitlines()]
    return b"\n".join(msgspec.json.encode({**line, "at": 0}) for line in lines)


async def _provoke() -> None:
    """Let a gateway take everything in, and tell of requests' ends."""
    state, _ = serving()
    core = ids.ServiceName("core")
    service = state.balancer_by_service[core]
    (upstream,) = service.pool.upstream_by_id.values()
    now = state.clock.now()
    call = waiting.Call(
        id=ids.CallId("call-1"),
        priority=1,
        repeatable=True,
        deadline=ids.later(now, 5),
        latency_key="route-0",
        arrived_at=now,
    )
    job = jobs.Job(
        balancer=service,
        call=call,
        method="GET",
        target="/path-0",
        headers=[],
        body=None,
        needs_new_connection=False,
    )
    grant = verdicts.Grant(call, upstream, verdicts.Kind.RETRY, now, 2.5)
    answer = typing.cast(ports.UpstreamAnswer, types.SimpleNamespace(status=503))
    grants = typing.cast(granting.Grants, None)
    exchange = exchanges.Exchange(grants, job, grant, answer)
    log = request_log.RequestLog(state)
    log.served(_sampled(), job, exchange)
    log.failed_upstream("request-1", job, exchange)
    log.refused(
        "request-2", job, outcomes.not_run(outcomes.Reason.QUEUE_FULL), wait_s=0.5
    )
    log.failed("request-3", job, 504, outcomes.Reason.DEADLINE_PASSED)
    state.leave_upstream(core, upstream.spec, "a reason")


def _sampled() -> str:
    """Return the first request id that is in the sample of 64."""
    names = (f"request-{number}" for number in range(10_000))
    return next(name for name in names if zlib.crc32(name.encode()) % 64 == 0)


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


def shape(value: object) -> Plain:
    """Return plain content with kinds in place of scalars, lists by their kinds."""
    if isinstance(value, dict):
        return {
            name: BY_ZONE if name in ZONE_MAPS else shape(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        shapes: list[Plain] = []
        for item in value:
            if shape(item) not in shapes:
                shapes.append(shape(item))
        return shapes
    if isinstance(value, bool):
        return "bool"
    if isinstance(value, int | float):
        return "number"
    return "none" if value is None else "text"


def gateway_dump() -> Plain:
    """Return what a gateway answers on its side ports: paths and the state."""

    async def ask() -> Plain:
        state, passing = serving()
        found = side_ports.SidePorts(
            state, passing.fleet, dialect.DIALECTS.get("native")()
        )
        body = found._state().body
        assert isinstance(body, bytes)
        paths = sorted(found._responder_by_path)
        return {"paths": paths, "/state": shape(json.loads(body))}

    return recorded_samples.run(ask())


def entry_dump() -> Plain:
    """Return what an entry tells operators: its state and explanations."""
    plugins.load()
    fleet = virtual_fleet.VirtualFleet(7, 2)
    try:
        entries = [fleet.add_entry(f"e{n}", virtual_fleet.ZONES[n]) for n in range(2)]
        fleet.world.run(3.0)
        state = entries[0].state
        fleet.send(entries[0], "a read", None, None, 2.0)
        fleet.world.run(0.3)
        (service,) = state.balancer_by_service.values()
        name = service.service.name
        upstream = next(iter(service.pool.upstream_by_id.values()))
        call = service.decisions[-1].call
        state.leave_upstream(name, upstream.spec, "a reason")
        told = {
            "state": explain.state_dump(state),
            "explain service": explain.explain_service(state, name),
            "explain call": explain.explain_call(state, call),
        }
        return {
            name: shape(json.loads(msgspec.json.encode(one)))
            for name, one in told.items()
        }
    finally:
        fleet.close()


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
        "own": sorted(headers.OWN),
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
    assert upstream_dialect.NATIVE and http_dialect.REQUEST_ID
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


def name_samples() -> list[Sample]:
    """Return the samples of names in logs, metrics, answers and registries."""
    return [
        table("events", event_rows),
        table("log-fields", line_fields),
        Sample("log-lines.jsonl", "lines", None, log_lines, look=_lines),
        table("metrics", metric_rows),
        table("gateway-state", gateway_dump),
        table("entry-state", entry_dump),
        table("words", word_lists),
        table("headers", header_names),
        table("dialects", dialects),
        table("registries", registered),
    ]


def _lines(data: bytes) -> object:
    return [json.loads(line) for line in data.splitlines()]


def answer_samples() -> list[Sample]:
    """Return the samples of bodies that callers and the platform exchange."""
    entries = api.EntriesAnswer(
        entries=(api.NamedEntry(address="127.0.0.1:1", zone="zone-1"),),
        valid_for_ms=2500,
        tickets=("a-ticket",),
    )
    refusal = api.RefusalBody(
        outcome="not-run",
        reason="queue-full",
        text="a text",
        detail="a detail",
        request_id="call-1",
        retry_after_ms=250,
    )
    hosts = hostlist.HostTable(
        revision=9,
        hosts=tuple(
            hostlist.HostRecord(
                id=f"host-{number}",
                role=role,
                zone="zone-1",
                address="127.0.0.1:1",
                service="core",
                peer_address="127.0.0.1:2",
                generation=3,
                state=state,
            )
            for number, (role, state) in enumerate(
                zip(hostlist.Role, hostlist.HostState, strict=True)
            )
        ),
    )
    return [
        _body("entries-answer.json", entries),
        _body("refusal.json", refusal),
        Sample(
            "host-list.json",
            "json",
            hosts,
            lambda: msgspec.json.encode(hosts),
            hostlist.decode,
            strangers="passed over",
        ),
    ]


def _body(file: str, value: msgspec.Struct) -> Sample:
    return Sample(
        file,
        "json",
        value,
        lambda: msgspec.json.encode(value),
        lambda data: msgspec.json.decode(data, type=type(value)),
        strangers="passed over",
    )


def all_samples() -> list[Sample]:
    """Return every sample of this module."""
    return [*settings_samples(), *name_samples(), *answer_samples()]


def main() -> None:
    """Record what is not there yet."""
    for sample in all_samples():
        if recorded.record(sample):
            print(f"recorded {recorded.path_of(sample)}")


if __name__ == "__main__":
    main()
