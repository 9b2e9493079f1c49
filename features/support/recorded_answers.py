"""
The samples of bodies that callers and the platform exchange.

To record something new, add a sample to ``answer_samples`` and run
``recorded_names``.
"""

import msgspec

from features.support import recorded
from spindlenotch import api
from spindlenotch.kernel import hostlist

Sample = recorded.Sample


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
