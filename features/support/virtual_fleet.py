"""
A few entries in a ``virtual_world``, with callers and operators to go with them.

The entries run the product's own state, control loops, front, data path, ids
and measuring; only the ports are fakes.
"""

import asyncio
import dataclasses
import functools
import typing
from collections import abc

import msgspec

from features.support import (
    fake_network,
    fake_platform,
    fake_upstreams,
    host_records,
    sample_bundle,
    virtual_world,
)
from spindlenotch import headers, ids, ports, selection
from spindlenotch.bundles import bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.entry import (
    claims,
    control,
    documents_in_force,
    entry_state,
    front,
    once,
    once_path,
    once_runs,
    prober,
    settings,
    texts,
)
from spindlenotch.forwarding import data_path
from spindlenotch.kernel import outcomes
from spindlenotch.peers import documents, messages

PEER_KEY = b"a key for the peers"
ZONES = ("z1", "z2", "z3")
SEED_KEYS = bundle_seal.generate_key()


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One time a caller sent a request, and the answer that it got."""

    work: str
    number: int
    declared: bool
    host: str
    sent_at: float
    deadline: float
    outcome: outcomes.Outcome | None = None
    reason: str = ""
    body: bytes = b""
    answered_at: float = 0.0


class VirtualEntry:
    """One life of one entry process."""

    def __init__(self, fleet: "VirtualFleet", host: str, zone: str) -> None:
        self.host = host
        self.zone = zone
        self.loop = fleet.world.loop()
        self.address = f"10.0.0.{len(fleet.entries) + 1}:{len(host)}"
        seed = fleet.world.rng.getrandbits(32)
        config = _config(host, zone, self.address, fleet.peer_addresses(), seed)
        self.state = entry_state.EntryState(config, fleet.world.clock)
        self.store = fake_platform.FakeStore(fleet.store, self.loop)
        port = fake_upstreams.FakeUpstreamPort(
            fleet.upstreams, self.loop, fleet.network, self.address
        )
        make_link = functools.partial(
            fake_network.FakeLink,
            network=fleet.network,
            loop=self.loop,
            address=self.address,
        )
        self.control = control.Control(
            self.state,
            self.store,
            fake_platform.FakeHostList(fleet.hosts),
            typing.cast(typing.Any, make_link),
        )
        self.path = data_path.DataPath(
            self.state, port, on_drain_notice=self.control.spread_drain_notice
        )
        self.claims = claims.Claims(self.state, self.store)
        self.once_path = once_path.OncePath(self.state, self.path, self.claims)
        self.front = front.Front(
            self.state, self.path, self.once_path, self.control.paused
        )
        self.prober = prober.Prober(
            self.state, self.store, port, self.control.spread_drain_notice
        )
        fleet.upstreams.forward_by_address[self.address] = self._forwarded
        fleet.upstreams.loop_by_address[self.address] = self.loop
        self.versions: list[int] = []
        self.loop.call_soon(lambda: fake_upstreams._start(self.loop, self._start()))

    @property
    def alive(self) -> bool:
        """Tell whether the process has not been killed."""
        return not self.loop.dead

    async def _start(self) -> None:
        await self.control.start()
        self.state.set_addresses(ids.Address(self.address), ids.Address(self.address))
        self.prober.start()

    def record(self) -> host_records.Record:
        """Return this entry as the host list shows it."""
        return host_records.entry(self.host, self.zone, self.address, self.address)

    async def serve(
        self, method: str, raw_path: str, pairs: list[tuple[str, str]], body: bytes
    ) -> fake_upstreams.Answer:
        """Do what the caller port does, without HTTP."""
        state = self.state
        sent_at = self.front.arrived()
        call_id = state.next_call_id()
        fields = dict(pairs)
        incoming = front.Incoming(method, raw_path, fields, pairs)
        admitted = self.front.check(incoming)
        result: once_runs.Result
        if isinstance(admitted, outcomes.Refusal):
            result = admitted
        else:
            result = await self.front.run(incoming, admitted, call_id, sent_at, body)
        shown = call_id
        if headers.FORWARDED in fields:
            shown = ids.CallId(fields[headers.REQUEST_ID])
        return await _answer(result, shown)

    async def _forwarded(self, request: ports.UpstreamRequest) -> fake_upstreams.Answer:
        body = request.body if isinstance(request.body, bytes) else b""
        return await self.serve(request.method, request.target, request.headers, body)


async def _answer(
    result: once_runs.Result, call_id: ids.CallId
) -> fake_upstreams.Answer:
    shown_headers = [(headers.REQUEST_ID, str(call_id))]
    if isinstance(result, outcomes.Refusal):
        shown_headers.append((headers.OUTCOME, result.outcome.value))
        shown_headers.append((headers.REASON, result.reason.value))
        return fake_upstreams.Answer(texts.status_of(result.reason), shown_headers, b"")
    if isinstance(result, once.KeptAnswer):
        home = dict(result.headers)
        outcome = home.get(headers.OUTCOME, outcomes.Outcome.RAN.value)
        shown_headers.append((headers.OUTCOME, outcome))
        shown_headers.append((headers.REASON, home.get(headers.REASON, "served")))
        return fake_upstreams.Answer(result.status, shown_headers, result.body)
    body = b""
    while piece := await result.chunk():
        if isinstance(piece, ports.UpstreamFault):
            shown_headers.append((headers.OUTCOME, outcomes.Outcome.UNKNOWN.value))
            return fake_upstreams.Answer(502, shown_headers, b"")
        body += piece
    shown_headers.append((headers.OUTCOME, outcomes.Outcome.RAN.value))
    return fake_upstreams.Answer(result.answer.status, shown_headers, body)


class VirtualFleet:
    """Entries, store, host list, upstreams, callers and operators of a world."""

    def __init__(self, seed: int, upstream_count: int = 3) -> None:
        self.world = virtual_world.World(seed)
        self.store = fake_platform.StoreState(self.world)
        self.hosts = fake_platform.HostsState()
        self.network = fake_network.Network(self.world)
        self.upstreams = fake_upstreams.Upstreams(self.world)
        self.entries: list[VirtualEntry] = []
        self.attempts_by_work: dict[str, list[Attempt]] = {}
        #: What operators know to be accepted, in the order in which they learned it.
        self.envelopes: list[bundle_seal.Envelope] = []
        self.operators: list[asyncio.Task[publishing.Published]] = []
        self.generation_by_upstream: dict[str, int] = {}
        self.operator_loop = self.world.loop()
        for number in range(upstream_count):
            self.add_upstream(number)
        self.publish(1, 0)
        self.world.run(0.1)

    def peer_addresses(self) -> tuple[ids.Address, ...]:
        """Return the addresses of all entries there have been."""
        return tuple(ids.Address(entry.address) for entry in self.entries)

    def add_upstream(self, number: int) -> None:
        """Add one upstream and list it."""
        name = f"w{number}"
        address = f"10.1.0.{number}:80"
        state = fake_upstreams.UpstreamState(name, 6)
        self.upstreams.upstream_by_address[address] = state
        self.generation_by_upstream[name] = 1
        self.list_upstream(number)

    def list_upstream(self, number: int, state: str = "live") -> None:
        """Show an upstream in the host list."""
        name = f"w{number}"
        record = host_records.upstream(
            name,
            zone=ZONES[number % 3],
            address=f"10.1.0.{number}:80",
            generation=self.generation_by_upstream[name],
            state=state,
        )
        self.hosts.put(**record)

    def upstream(self, number: int) -> fake_upstreams.UpstreamState:
        """Return one upstream."""
        return self.upstreams.upstream_by_address[f"10.1.0.{number}:80"]

    def add_entry(self, host: str, zone: str) -> VirtualEntry:
        """Start an entry process and list it."""
        entry = VirtualEntry(self, host, zone)
        self.entries.append(entry)
        self.hosts.put(**entry.record())
        return entry

    def living(self) -> list[VirtualEntry]:
        """Return the entries whose process lives, frozen or not."""
        return [entry for entry in self.entries if entry.alive]

    def publish(self, version: int, base: int, text: str = "") -> None:
        """Let an operator publish; several may do so at the same time."""
        sealed = bundle_seal.seal(sample_bundle.text_of(version) + text, SEED_KEYS[0])
        store = fake_platform.FakeStore(self.store, self.operator_loop)

        async def run() -> publishing.Published:
            result = await publishing.publish(
                store,
                sealed,
                version=version,
                base=base,
                published_at=self.world.now,
            )
            if result.verdict is publishing.Verdict.ACCEPTED:
                assert result.envelope is not None
                self.envelopes.append(result.envelope)
            return result

        self.operators.append(self.operator_loop.create_task(run()))

    def push(self, entry: VirtualEntry, envelope: bundle_seal.Envelope) -> None:
        """Offer an accepted bundle to an entry, however old it is by now."""
        opened = bundle_seal.open_envelope(
            envelope, frozenset({SEED_KEYS[1]}), selection.POLICIES.names()
        )
        assert isinstance(opened, bundle_seal.Opened)
        frame = messages.DocumentFrame(1, False, documents_in_force.document_of(opened))
        self.world.deliver(
            entry.loop,
            fake_network.DELIVERY_S,
            lambda: entry.control._on_frame(frame) and None,
        )

    def stored_version(self) -> int:
        """Return the version that the store holds, the truth."""
        value = self.store.value_by_key.get(publishing.KEY)
        if value is None:
            return 0
        envelope = msgspec.json.decode(value.data, type=bundle_seal.Envelope)
        return envelope.log[-1].version

    def send(
        self,
        entry: VirtualEntry,
        work: str,
        id_header: tuple[str, str] | None,
        attempt: int | None,
        timeout_s: float,
    ) -> Attempt:
        """Let a caller send a booking (or, without an id, a read)."""
        now = self.world.now
        sent = Attempt(
            work=work,
            number=attempt or 1,
            declared=attempt is not None,
            host=entry.host,
            sent_at=now,
            deadline=now + timeout_s,
        )
        self.attempts_by_work.setdefault(work, []).append(sent)
        pairs = [
            (headers.TIMEOUT_MS, str(int(timeout_s * 1000))),
            (headers.CALLER, "hotel"),
            (headers.KEY, sample_bundle.KEY),
            ("X-Work", work),
        ]
        if id_header is not None:
            pairs.append(id_header)
        if attempt is not None:
            pairs.append((headers.ATTEMPT, str(attempt)))
        method, path = (
            ("POST", "/s/resv/bookings") if id_header else ("GET", "/s/resv/")
        )

        async def carry_out() -> None:
            answer = await entry.serve(method, path, pairs, b"one night")
            body = b"".join([p for p in answer._pieces if isinstance(p, bytes)])
            # The caller hangs up at its deadline.
            self.world.after(
                fake_network.DELIVERY_S, lambda: self._record_answer(sent, answer, body)
            )

        self.world.deliver(
            entry.loop,
            fake_network.DELIVERY_S,
            lambda: fake_upstreams._start(entry.loop, carry_out()),
        )
        return sent

    def _record_answer(
        self, attempt: Attempt, answer: fake_upstreams.Answer, body: bytes
    ) -> None:
        fields = dict(answer.headers)
        attempt.outcome = outcomes.Outcome(fields[headers.OUTCOME])
        attempt.reason = fields.get(headers.REASON, "")
        attempt.body = body
        attempt.answered_at = self.world.now

    def heal(self) -> None:
        """End every fault that is not a killed process."""
        self.store.down = False
        self.store.lose_answers = 0
        self.store.late_writes = 0
        self.hosts.down = False
        self.network.cut.clear()
        self.network.lose_share = 0.0
        for state in self.upstreams.upstream_by_address.values():
            state.mode = "good"
        for entry in self.entries:
            entry.loop.frozen = False

    def close(self) -> None:
        """Drop everything."""
        self.world.close()


def _config(
    host: str,
    zone: str,
    address: str,
    peers: abc.Sequence[ids.Address],
    seed: int,
) -> settings.EntrySettings:
    return settings.EntrySettings(
        host=ids.HostId(host),
        zone=ids.ZoneName(zone),
        listen=ids.Address(address),
        peer_listen=ids.Address(address),
        operator_listen=ids.Address("127.0.0.1:0"),
        store="",
        host_list="",
        peers=tuple(peers),
        peer_keys=(PEER_KEY,),
        trusted_keys=frozenset({SEED_KEYS[1]}),
        once_capacity=50,
        hand_out_s=1.0,
        drain_limit_s=0.0,
        pause_s=2.0,
        seed=seed or 1,
        plugins=(),
    )


def document_version(entry: VirtualEntry) -> int:
    """Return the bundle version in force at an entry."""
    return entry.state.documents.fence.version(documents.DocumentKind.BUNDLE)
