"""
The types of the gossip messages and document frames that members exchange.

Types only; messages are composed and handled in ``gossip`` and encoded by the
codecs. MessagePack writes the field names of these types: a renamed field keeps its
name on the wire through ``rename``, since old and new processes run side by side
during a rolling restart. The limits here bound the size of a message for any fleet
size; a receiver refuses a message that exceeds them.
"""

import enum
import typing

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import crash_records
from spindlenotch.peers import documents, rollout_notes, workload

#: Maximum number of changed member records in a message. With this value, gossip took
#: 2.6 to 4.7 KB/s at 1% loss (docs/CAPACITY.md, "Slopes").
MEMBERS_PER_MESSAGE = 4
#: Maximum number of member records in a reply to a sender that knows too few members,
#: and in any message that a receiver accepts.
MAX_MEMBERS_PER_MESSAGE = 10
#: Maximum number of drain notices in a message.
DRAIN_NOTICES_PER_MESSAGE = 12
#: Maximum number of suspicions in a message.
SUSPICIONS_PER_MESSAGE = 4
#: Maximum number of load records in a message.
LOADS_PER_MESSAGE = 64
#: Maximum number of region summaries in a message: fleets span few regions, and with
#: more of them a datagram would exceed its size limit.
REGIONS_PER_MESSAGE = 8
#: Maximum number of gateways in a summary: callers of an unreachable region spread over
#: them, and if some fail, others remain.
GATEWAYS_PER_SUMMARY = 8
#: Maximum number of services in a summary; calls of further ones stay in their region
#: as long as it can serve them.
SERVICES_PER_SUMMARY = 16
#: Maximum number of crash records in a message; each takes some 100 bytes. Further ones
#: are sent in the next messages.
CRASH_NOTES_PER_MESSAGE = 8
#: Hexadecimal digits of a document's digest that a message carries. Enough to
#: distinguish documents of the same version.
DIGEST_DIGITS = 16


class Status(enum.Enum):
    """The state of a member; the value is its number on the wire."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class RecordVersion(typing.NamedTuple):
    """
    The version of a member's record; the higher one is newer.

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

    ``configuration_version`` is the version in force there: of the bundle in an
    entry, of the route configuration in a gateway; on the wire both are
    ``bundle_version``. ``is_isolated`` is set to True while the member reaches no
    upstream, and omitted otherwise. ``capacity`` is the work that the host can
    handle, ``demand`` the work that callers request of it.
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
    is_isolated: bool | msgspec.UnsetType = msgspec.UNSET

    @property
    def record_version(self) -> RecordVersion:
        """Return the version that orders this among the records of its member."""
        return RecordVersion(self.epoch, self.heartbeat)


class DrainNotice(msgspec.Struct, frozen=True):
    """Announces that an upstream leaves in this generation and gets no new work."""

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
    Reports that a member did not reply while its newest record had this version.

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
    """An active gateway of another region: its addresses for callers and for peers."""

    address: ids.Address
    peer_address: ids.Address


class ServiceUse(msgspec.Struct, frozen=True):
    """The share of slots in use at the upstreams of a service in a region."""

    service: ids.ServiceName
    used: float


class RegionSummary(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    What other regions need to know of one, made ``age_s`` seconds before it was sent.

    ``gateways`` are some of its active ones, ``member_count`` is the number of all
    its members, ``demand`` their total demand from callers, ``services`` the
    utilisation of its upstreams.
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

    ``wants_reply`` asks for a reply; ``wants_members`` asks for further member
    records, of which the sender knows too few; ``reads_source`` says that the sender
    reads the source itself. ``regions`` is omitted if no region is to be reported,
    ``rollout_phases`` and ``evidence`` while no service rolls out a version,
    ``crashes`` while no upstream crashes under a request. On the wire
    ``drain_notices`` is called ``marks`` and ``wants_members`` ``hungry``.
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
