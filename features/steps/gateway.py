"""Property tests of the gateway's pure parts and of the adapter."""

import json
import os
import types

import hypothesis
from hypothesis import strategies

from features.steps import kernel
from features.support import hostile_bytes, platform_fleet
from spindlenotch import events, ids
from spindlenotch.gateway import log_sink, settings
from spindlenotch.gateway.cluster import duties
from spindlenotch.gateway.source import listing, routing, sources
from spindlenotch.kernel import budgets, upstreams
from spindlenotch.peers import (
    messages,
    msgpack_codec,
    wire_format,
    workload,
)
from spindlenotch_platform import (
    configuration_records,
    http_dialect,
    records,
    settings_file,
)

NOW = kernel.NOW
SERVICE = ids.ServiceName("s")
ZONE = kernel.ZONES[0]
names = strategies.text("ab/", max_size=6)


def route(
    prefix: str, parts: tuple[routing.WeightedService, ...] = ()
) -> routing.Route:
    """Return a route of host ``h``."""
    return routing.Route(
        routing.RouteName(prefix),
        "h",
        prefix,
        routing.RequestKind.SAFE,
        1.0,
        0.5,
        1,
        2,
        parts or (routing.WeightedService(SERVICE, 1.0),),
    )


def news(number: int) -> messages.MemberRecord:
    """Return a member's news."""
    return messages.MemberRecord(
        ids.HostId(f"g{number}"),
        ZONE,
        ids.Incarnation("a" * 16),
        ids.Address("127.0.0.1:1"),
        ids.Address("127.0.0.1:2"),
        1,
        number,
        messages.Status.READY,
        1,
    )


def listed(name: str, state: str = "ready") -> sources.ListedUpstream:
    """Return an entry of the source."""
    return sources.ListedUpstream(
        ids.UpstreamId(name),
        SERVICE,
        ids.Address("127.0.0.1:1"),
        ZONE,
        4,
        sources.UpstreamState(state),
        0.0,
    )


@kernel.PROPERTIES.register("the longest prefix of the host is the route")
def longest_prefix() -> None:
    @kernel.SETTINGS
    @hypothesis.given(strategies.sets(names, max_size=8), names)
    def check(prefixes: set[str], path: str) -> None:
        routes = tuple(route(f"/{prefix}/") for prefix in prefixes)
        table = routing.RouteTable(
            routing.Configuration(1, routes, {}, routing.Limits())
        )
        found = table.find("H:80", f"/{path}?x=/a/")
        fitting = [r for r in routes if f"/{path}".startswith(r.prefix)]
        longest = max(fitting, key=lambda r: len(r.prefix), default=None)
        assert (found and found.prefix) == (longest and longest.prefix)
        assert table.find("other", f"/{path}") is None

    check()


@kernel.PROPERTIES.register("weights are kept to within one request")
def weights() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 100), min_size=1, max_size=5),
        strategies.integers(1, 300),
    )
    def check(found: list[int], count: int) -> None:
        parts = tuple(
            routing.WeightedService(ids.ServiceName(f"s{n}"), float(weight))
            for n, weight in enumerate(found)
        )
        round_robin = routing.WeightedRoundRobin()
        picked = [round_robin.next(route("/", parts)) for _ in range(count)]
        for part in parts:
            share = count * part.weight / sum(found)
            assert abs(picked.count(part.service) - share) <= len(parts) - 1 + 1e-6

    check()


@kernel.PROPERTIES.register("the fleet's extra sends keep to share and reserve")
def fleet_budget() -> None:
    event = strategies.tuples(
        strategies.integers(0, 3), strategies.booleans(), strategies.floats(0, 2)
    )

    @kernel.SETTINGS
    @hypothesis.given(strategies.lists(event, max_size=300))
    def check(story: list[tuple[int, bool, float]]) -> None:
        share, reserve, window_s = 0.2, 2, 10.0
        nodes = [budgets.SlidingShareBudget(share, reserve, window_s) for _ in range(4)]
        now = NOW
        earned: list[float] = []
        spent: list[float] = []
        for node, ordinary, pause in story:
            now = ids.later(now, pause)
            if ordinary:
                nodes[node].earn(now)
                earned.append(now)
            elif nodes[node].spend(now):
                spent.append(now)
        for end in spent:
            extra = sum(end - window_s < at <= end for at in spent)
            # Ordinary ones count that came in the same window or the one before.
            usual = sum(end - 2 * window_s < at <= end for at in earned)
            assert extra <= share * usual + reserve * len(nodes) + 1e-6

    check()


@kernel.PROPERTIES.register("entries that lapse with the store are kept for a while")
def lapse() -> None:
    found = listing.Listing()
    found.replace([listed(f"w{n}") for n in range(6)], NOW)
    back = ids.later(NOW, 1.0)
    found.note_outage_end(back)
    found.replace([listed("w0")], back)
    assert len(found.specs(NOW)[SERVICE]) == 6
    # Those that live are back about two seconds after the store is.
    found.drop_expired(ids.later(back, 2.0))
    assert len(found.specs(NOW)[SERVICE]) == 6
    found.drop_expired(ids.later(back, 2.5))
    assert len(found.specs(NOW)[SERVICE]) == 1


@kernel.PROPERTIES.register("entries that leave a sound store are dropped at once")
def leave_at_once() -> None:
    found = listing.Listing()
    found.replace([listed(f"w{n}") for n in range(6)], NOW)
    found.remove([ids.UpstreamId("w1")], NOW)
    found.add([listed("w2", "draining")], NOW)
    assert {spec.id for spec in found.specs(NOW)[SERVICE]} == {"w0", "w3", "w4", "w5"}
    found.note_outage_end(NOW)
    # One that vanishes alone after an outage has left.
    found.remove([ids.UpstreamId("w3")], ids.later(NOW, 1.0))
    assert {spec.id for spec in found.specs(NOW)[SERVICE]} == {"w0", "w4", "w5"}
    before = found.lease_by_id[ids.UpstreamId("w2")].spec.generation
    found.add([listed("w2")], NOW)
    assert found.lease_by_id[ids.UpstreamId("w2")].spec.generation > before


@kernel.PROPERTIES.register("a probed upstream has one prober with equal views")
def one_prober() -> None:
    hosts = {ZONE: [ids.HostId(f"g{n}") for n in range(5)]}
    for zone in (ZONE, kernel.ZONES[1]):
        spec = upstreams.UpstreamSpec(ids.UpstreamId("u"), zone, ids.Address(""), 1)
        changes: list[upstreams.Upstream] = []
        one = upstreams.Upstream(spec, 1, NOW, changes.append)
        asking = 0
        for host in hosts[ZONE]:
            asking += duties.is_prober(host, one.spec, hosts)
        assert asking == 1


def message() -> messages.Message:
    """Return a message with something in every field."""
    load = workload.LoadRecord(ids.UpstreamId("u"), 1, 2, 1.5, 0.25)
    return messages.Message(
        news(0),
        1,
        members=tuple(news(n) for n in range(4)),
        wants_reply=True,
        suspicions=(messages.Suspicion(ids.HostId("h"), 1, 2),),
        reads_source=True,
        loads=(load,),
    )


@kernel.PROPERTIES.register("hostile bytes of gateways are refused and bounded")
def hostile() -> None:
    wire = msgpack_codec.MSGPACK
    good = wire.encode_gossip(message())

    hostile_bytes.check(wire, good)
    crowd = messages.Message(news(0), 1, (), tuple(map(news, range(50))))
    read = wire.decode_gossip(wire.encode_gossip(crowd))
    assert read is wire_format.CodecFault.GARBLED


@kernel.PROPERTIES.register("peer messages come out as they went in")
def round_trip() -> None:
    wire = msgpack_codec.MSGPACK
    assert wire.decode_gossip(wire.encode_gossip(message())) == message()


@kernel.PROPERTIES.register("bad documents of the platform are named")
def bad_documents() -> None:
    good = platform_fleet.configuration(
        3, [platform_fleet.route("r", "/r/")], ("core",)
    )
    assert isinstance(
        configuration_records.read(json.dumps(good).encode()), routing.Configuration
    )
    text = json.dumps(good)
    for bad, word in (
        (text[:40], "truncated"),
        (text.replace('"version": "00000003"', '"version": "no"'), "no"),
        (text.replace('"version": "00000003"', '"version": "-3"'), "-3"),
        (text.replace('"version": "00000003"', f'"version": "{"f" * 17}"'), "fff"),
        (text.replace('"hosts"', '"houses"'), "hosts"),
    ):
        found = configuration_records.read(bad.encode())
        assert isinstance(found, sources.BadItem), bad
        assert word in found.reason, found
    worker = {"service": "s", "address": "a:1", "zone": "z", "state": "ready"}
    for slots, word in ((0, "slots"), ("x", "slots")):
        body = json.dumps({**worker, "slots": slots}).encode()
        bad_worker = records.read_upstream("servers/i", body)
        assert isinstance(bad_worker, sources.BadItem) and word in bad_worker.reason


@kernel.PROPERTIES.register("all mistakes in the gateway's settings are told at once")
def settings_mistakes() -> None:
    found = settings.read({"listen": "nowhere", "seed": "-1", "hand_out_s": "x"}, {})
    assert isinstance(found, list)
    flags = {fault.flag.split()[0] for fault in found}
    wanted = {"--listen", "--seed", "--hand-out-s", "--host", "--zone", "--source"}
    assert wanted <= flags, flags
    variable = {"SPINDLENOTCH_HOST": "from-variable"}
    given = {
        "zone": "z",
        "source": "http://127.0.0.1:1",
        "source_driver": "platform",
        "peer_keys": "0123456789abcdef",
    }
    read = settings.read(given, variable, {"host": "from-file", "seed": "7"})
    assert isinstance(read, settings.GatewaySettings), read
    assert (read.host, read.seed) == ("from-variable", 7)


@kernel.PROPERTIES.register("a port range of the platform that is no list is named")
def port_range() -> None:
    for ports in (7660, "7660", {}, [], ["7660"], None):
        document = {"ip": "127.0.0.1", "portRange": ports}
        found = settings.read(settings_file.translate(document), {})
        assert isinstance(found, list)
        assert "--peer-listen" in {fault.flag.split()[0] for fault in found}, ports
    document = {"ip": "127.0.0.1", "portRange": [7660, 7675]}
    assert settings_file.translate(document)["peer_listen"] == "127.0.0.1:7660"


@kernel.PROPERTIES.register("a load header is read whatever it holds")
def load_header() -> None:
    assert http_dialect.read_load("3,1,8,250") == upstreams.LoadReport(3, 1, 2.5)
    assert http_dialect.read_load("3,0,8") == upstreams.LoadReport(3, 0, 1.0)

    @kernel.SETTINGS
    @hypothesis.given(strategies.text("0123456789,-.einfa ", max_size=30))
    def check(text: str) -> None:
        read = http_dialect.read_load(text)
        assert read is None or (read.running >= 0 and read.slowdown > 0)

    check()


@kernel.PROPERTIES.register("a full pipe drops lines and says how many")
def full_pipe() -> None:
    reader, writer = os.pipe()
    try:
        sink = log_sink.LogSink(writer)
        filler = b"x" * 4096
        written = 0
        try:
            while True:
                written += os.write(writer, filler)
        except BlockingIOError:
            pass
        record = {
            "extra": {"event": 601},
            "level": types.SimpleNamespace(name="INFO"),
            "message": "E601 text",
        }
        for _ in range(3):
            sink(types.SimpleNamespace(record=record))
        assert sink.dropped == 3
        os.read(reader, written)
        sink(types.SimpleNamespace(record=record))
        lines = [json.loads(line) for line in os.read(reader, 4096).splitlines()]
    finally:
        os.close(reader)
        os.close(writer)
    assert [line["event"] for line in lines] == [
        events.Event.LINES_DROPPED.value.number,
        601,
    ]
    assert lines[0]["lines"] == 3
