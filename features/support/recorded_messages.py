"""
The gossip messages and document frames whose bytes are recorded.

One message has every field filled; the bare one has the required fields alone.
``recorded_peers`` says how they are written and read.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import crash_records
from spindlenotch.peers import documents, messages, rollout_notes, workload


def member(number: int, status: messages.Status) -> messages.MemberRecord:
    """Return the news of one member."""
    return messages.MemberRecord(
        host=ids.HostId(f"host-{number}"),
        zone=ids.ZoneName(f"zone-{number}"),
        incarnation=ids.Incarnation(f"{number:016x}"),
        address=ids.Address(f"127.0.0.{number}:8080"),
        peer_address=ids.Address(f"127.0.0.{number}:8081"),
        epoch=1_700_000_000_000 + number,
        heartbeat=40 + number,
        status=status,
        configuration_version=70 + number,
        capacity=workload.Work(requests_per_s=1500.5 + number, bytes_per_s=2.5e8),
        demand=workload.Work(requests_per_s=300.25, bytes_per_s=4.5e6 + number),
    )


def message() -> messages.Message:
    """Return a gossip message that has everything."""
    return messages.Message(
        sender=member(1, messages.Status.READY),
        sequence=4711,
        documents=(
            messages.DocumentVersion(
                documents.DocumentKind.BUNDLE, 12, ids.Digest("ab12")
            ),
            messages.DocumentVersion(
                kind=documents.DocumentKind.HOSTS,
                version=25_600,
                digest=ids.Digest("cd34"),
            ),
        ),
        members=(
            member(2, messages.Status.STARTING),
            member(3, messages.Status.LEAVING),
        ),
        drain_notices=(
            messages.DrainNotice(
                service=ids.ServiceName("core"),
                upstream=ids.UpstreamId("up-7"),
                generation=3,
            ),
        ),
        wants_reply=True,
        wants_members=True,
        suspicions=(
            messages.Suspicion(
                host=ids.HostId("host-9"), epoch=1_700_000_000_009, heartbeat=49
            ),
        ),
        reads_source=True,
        loads=(
            workload.LoadRecord(
                upstream=ids.UpstreamId("up-1"),
                running=4,
                queued=2,
                slowdown=2.5,
                age_s=0.25,
            ),
        ),
    )


def bare_message() -> messages.Message:
    """Return what a message with the required fields alone is read as."""
    sender = messages.MemberRecord(
        host=ids.HostId("h"),
        zone=ids.ZoneName("z"),
        incarnation=ids.Incarnation("i"),
        address=ids.Address("a"),
        peer_address=ids.Address("p"),
        epoch=1,
        heartbeat=2,
        status=messages.Status.READY,
        configuration_version=3,
        capacity=workload.Work(requests_per_s=0.0, bytes_per_s=0.0),
        demand=workload.Work(requests_per_s=0.0, bytes_per_s=0.0),
    )
    return messages.Message(
        sender=sender,
        sequence=5,
        documents=(),
        members=(),
        drain_notices=(),
        wants_reply=False,
        wants_members=False,
        suspicions=(),
        reads_source=False,
        loads=(),
    )


def regional_message() -> messages.Message:
    """Return a gossip message as it goes between regions."""
    gateway = messages.RegionGateway(
        ids.Address("192.0.2.7:80"), ids.Address("192.0.2.7:8081")
    )
    summary = messages.RegionSummary(
        region=ids.RegionName("north"),
        gateways=(gateway,),
        member_count=12,
        demand=workload.Work(90.0, 7000.0),
        services=(messages.ServiceUse(ids.ServiceName("svc"), 0.5),),
        age_s=0.25,
    )
    return msgspec.structs.replace(added_message(), regions=(summary,))


def added_message() -> messages.Message:
    """Return a message with what the first record does not hold."""
    (load,) = message().loads
    added = msgspec.structs.replace(load, cold_s=1.5, cold_age_s=0.125)
    return msgspec.structs.replace(message(), loads=(added,))


def added_later_message() -> messages.Message:
    """Return a message with what came after that."""
    (load,) = message().loads
    added = msgspec.structs.replace(load, born=1_700_000_000_002)
    return msgspec.structs.replace(message(), loads=(added,))


def latest_message() -> messages.Message:
    """Return a message of a gateway while services change their versions."""
    notes = tuple(
        rollout_notes.PhaseNote(ids.ServiceName(f"s-{phase}"), 810 + phase, phase)
        for phase in rollout_notes.Phase
    )
    row = rollout_notes.Row(
        "read", ids.UpstreamId("up-2"), rollout_notes.Counts(40, 3, 37, 2)
    )
    evidence = rollout_notes.EvidenceRecord(
        service=ids.ServiceName("core"),
        revision=811,
        number=12,
        phase=rollout_notes.Phase.PROMOTING,
        sent=41,
        answered=512,
        is_empty=True,
        rows=(row,),
        left_s=3.5,
    )
    return msgspec.structs.replace(
        added_message(), rollout_phases=notes, evidence=evidence
    )


def crash_message() -> messages.Message:
    """Return a message of a gateway while upstreams end under requests."""
    ended = tuple(ids.UpstreamId(f"up-{number}") for number in (4, 5, 6))
    notes = (
        crash_records.CrashRecord(
            ids.Fingerprint("00c0ffee0123456789abcdef"), 1, 3, ended, True
        ),
        crash_records.CrashRecord(ids.Fingerprint("00c0ffee0123456789abcd00"), 2),
    )
    return msgspec.structs.replace(added_message(), crashes=notes)


def limit_message() -> messages.Message:
    """Return a message of a gateway that has heard the limit of an upstream."""
    (load,) = added_message().loads
    limited = msgspec.structs.replace(load, limit_per_s=4.4, limit_age_s=0.0625)
    return msgspec.structs.replace(added_message(), loads=(limited,))


def well_message() -> messages.Message:
    """Return a message of a gateway whose health check found an upstream well."""
    (load,) = added_message().loads
    well = msgspec.structs.replace(load, well_age_s=0.125)
    return msgspec.structs.replace(added_message(), loads=(well,))


def isolated_message() -> messages.Message:
    """Return a message of a gateway that reaches no upstream."""
    sender = msgspec.structs.replace(added_message().sender, is_isolated=True)
    return msgspec.structs.replace(added_message(), sender=sender)


def frame(kind: documents.DocumentKind, body: bytes) -> messages.DocumentFrame:
    """Return a document frame."""
    return messages.DocumentFrame(
        correlation=815,
        wanted=True,
        document=documents.Document(
            kind=kind, version=25_601, digest=ids.Digest("ef56"), body=body
        ),
    )


def positioned_message() -> messages.Message:
    """Return a message with the source position of a document."""
    position = documents.SourcePosition(era=3, version=25_344)
    bundle, hosts = message().documents
    positioned = msgspec.structs.replace(hosts, position=position)
    return msgspec.structs.replace(added_message(), documents=(bundle, positioned))


def positioned_frame(body: bytes) -> messages.DocumentFrame:
    """Return a document frame with a source position."""
    plain = frame(documents.DocumentKind.HOSTS, body)
    document = msgspec.structs.replace(
        plain.document, position=documents.SourcePosition(era=3, version=25_344)
    )
    return msgspec.structs.replace(plain, document=document)


SHORT = frame(documents.DocumentKind.HOSTS, b"a short body")
