"""
What members send each other: the types of gossip messages and document frames.

Types only; composing and handling is in ``gossip``, encoding in the codecs.
MessagePack writes the field names of these types: a renamed field keeps its
name on the wire through ``rename``, since old and new processes run side by
side during a rolling restart. The limits here bound the size of a message
whatever the size of the fleet; a receiver refuses a message that exceeds them.
"""

import enum
import typing

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import crash_records
from spindlenotch.peers import documents, rollout_notes, workload

#: Changed member records in a message. With it gossip took 2.6 to 4.7 KB/s at 1% loss
#: (docs/CAPACITY.md, "Slopes").
MEMBERS_PER_MESSAGE = 4
#: Member records in a reply to a sender that knows too few members, and the most that a
#: receiver accepts.
MAX_MEMBERS_PER_MESSAGE = 10
#: Drain notices in a message.
DRAIN_NOTICES_PER_MESSAGE = 12
#: Suspicions in a message.
SUSPICIONS_PER_MESSAGE = 4
#: Load records in a message.
LOADS_PER_MESSAGE = 64
#: Summaries of regions in a message: fleets lie in a few regions, and a datagram that
#: held more would no longer fit its limit.
REGIONS_PER_MESSAGE = 8
#: Gateways that a summary names: callers of a region that is lost spread over them,
#: and the loss of some leaves others.
GATEWAYS_PER_SUMMARY = 8
#: Services in a summary; calls of further ones stay in their region while it can.
SERVICES_PER_SUMMARY = 16
#: Notes on requests under which upstreams ended, in a message; each takes some 100
#: bytes. Further ones go with the next messages.
CRASH_NOTES_PER_MESSAGE = 8
#: Hexadecimal digits of a document's digest that a message carries. Enough to tell two
#: documents of one version apart.
DIGEST_DIGITS = 16


class Status(enum.Enum):
    """A member's own state; the value is its number on the wire."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class RecordVersion(typing.NamedTuple):
    """
    Orders the records of one member; the higher one is newer.

    ``epoch`` grows with each start of the process, ``heartbeat`` with each
    change of its record and each refuted suspicion.
    """

    epoch: int
    heartbeat: int


class MemberRecord(
    msgspec.Struct, frozen=True, rename={"configuration_version": "bundle_version"}
):
    """
    What a member publishes about itself.

    ``configuration_version`` is the one in force there: of the bundle in an entry,
    of the routes in a gateway; both call it ``bundle_version`` on the wire.
    ``capacity`` is what the host can carry, ``demand`` what callers ask of it.
    """

    host: ids.HostId
    zone: ids.ZoneName
    incarnation: ids.Incarnation
    address: ids.Address
    peer_address: ids.Address
    epoch: int
    heartbeat: int
    status: Status
    configuration_version: int
    capacity: workload.Work = workload.NO_WORK
    demand: workload.Work = workload.NO_WORK

    @property
    def record_version(self) -> RecordVersion:
        """Return what orders this among the records of its member."""
        return RecordVersion(self.epoch, self.heartbeat)


class DrainNotice(msgspec.Struct, frozen=True):
    """The upstream is leaving in this generation and gets no new work."""

    service: ids.ServiceName
    upstream: ids.UpstreamId
    generation: int


class DocumentVersion(msgspec.Struct, frozen=True, omit_defaults=True):
    """The version of a document that the sender has in force."""

    kind: documents.DocumentKind
    version: int
    digest: ids.Digest
    position: documents.SourcePosition | None = None


class Suspicion(msgspec.Struct, frozen=True):
    """
    A member did not answer while its newest record was of this version.

    The member refutes it by publishing a newer record.
    """

    host: ids.HostId
    epoch: int
    heartbeat: int

    @property
    def record_version(self) -> RecordVersion:
        """Return the version of the record that the suspicion is about."""
        return RecordVersion(self.epoch, self.heartbeat)


class RegionGateway(msgspec.Struct, frozen=True):
    """An active gateway of another region: where callers and where peers reach it."""

    address: ids.Address
    peer_address: ids.Address


class ServiceUse(msgspec.Struct, frozen=True):
    """Which share of its slots the upstreams of a service have in use in a region."""

    service: ids.ServiceName
    used: float


class RegionSummary(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    What other regions need to know of one, made ``age_s`` seconds before this was sent.

    ``gateways`` are some of its active ones, ``member_count`` is how many it has in
    all, ``demand`` what callers ask of them together, ``services`` how full its
    upstreams are.
    """

    region: ids.RegionName
    gateways: tuple[RegionGateway, ...] = ()
    member_count: int = 0
    demand: workload.Work = workload.NO_WORK
    services: tuple[ServiceUse, ...] = ()
    age_s: float = 0.0


class Message(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={"drain_notices": "marks", "wants_members": "hungry"},
):
    """
    One gossip datagram.

    ``wants_reply`` asks for one back; ``wants_members`` says that the sender
    knows fewer members than the host list names; ``reads_source`` that it reads
    the source itself. ``regions`` is left out where there is nothing to tell of any,
    ``rollout_phases`` and ``evidence`` while no service changes its version,
    ``crashes`` while no upstream ends under a request. On the wire ``drain_notices`` is
    called ``marks`` and ``wants_members`` ``hungry``.
    """

    sender: MemberRecord
    sequence: int
    documents: tuple[DocumentVersion, ...] = ()
    members: tuple[MemberRecord, ...] = ()
    drain_notices: tuple[DrainNotice, ...] = ()
    wants_reply: bool = False
    wants_members: bool = False
    suspicions: tuple[Suspicion, ...] = ()
    reads_source: bool = False
    loads: tuple[workload.LoadRecord, ...] = ()
    regions: tuple[RegionSummary, ...] = ()
    rollout_phases: tuple[rollout_notes.PhaseNote, ...] = ()
    evidence: rollout_notes.EvidenceRecord | None = None
    crashes: tuple[crash_records.CrashRecord, ...] = ()


class DocumentFrame(msgspec.Struct, frozen=True):
    """
    One document on a TCP connection, or a request for one (``wanted``).

    An answer carries the ``correlation`` number of its request.
    """

    correlation: int
    wanted: bool
    document: documents.Document
