"""Properties of the adapter to the users' platform that need no process."""

import asyncio
import json
import pathlib
import tempfile
import typing

import aiohttp
import loguru

from features.steps import kernel
from features.support import recorded, recorded_store
from spindlenotch.gateway.source import sources
from spindlenotch.settings import schema
from spindlenotch_platform import settings_file


def follow(*answers: recorded.Answer) -> sources.Changes | sources.SourceFault:
    """Return what the platform's source reads from these answers of its store."""
    source, session = recorded_store.platform_source(b"")
    session.answers = list(answers)
    return typing.cast(
        "sources.Changes | sources.SourceFault", asyncio.run(source.follow(1, 0.1))
    )


@kernel.PROPERTIES.register("items of the platform that are not base64 are named")
def not_base64() -> None:
    keys = ("op/config", "servers/i-1", "gateways/z1", "elsewhere")
    for value in ("!", "abc", "e30", "größe"):
        items = [{"key": key, "revision": 7, "value": value} for key in keys]
        body = json.dumps({"events": items, "at": 7}).encode()
        changes = follow(recorded.Answer(200, body, {}))
        assert isinstance(changes, sources.Changes), changes
        assert [bad.key for bad in changes.bad] == list(keys[:3])
        for bad in changes.bad:
            assert repr(value) in bad.reason and "allowed: base64" in bad.reason, bad
        assert changes.configuration is None
        assert not changes.listed and not changes.discovery_records


class LostAnswer(recorded.Answer):
    """An answer that never comes: the connection breaks first."""

    async def read(self) -> bytes:
        """Break the connection."""
        raise aiohttp.ServerDisconnectedError


@kernel.PROPERTIES.register("a failed call of the platform's store says why")
def failed_call() -> None:
    lines: list[typing.Any] = []
    handler = loguru.logger.add(lines.append, level="DEBUG", format="{message}")
    try:
        for answer, cause in (
            (LostAnswer(200, b"", {}), "ServerDisconnectedError"),
            (recorded.Answer(503, b"", {}), "status 503"),
            (recorded.Answer(200, b"{}", {}), "`events`"),
        ):
            assert follow(answer) is sources.SourceFault.UNAVAILABLE
            line = str(lines.pop())
            assert "kv-watch" in line and cause in line, line
        for status, fault in (
            (410, sources.SourceFault.HISTORY_GONE),
            (412, sources.SourceFault.CONFLICT),
            (429, sources.SourceFault.OVER_LIMIT),
        ):
            assert follow(recorded.Answer(status, b"", {})) is fault
        assert not lines
    finally:
        loguru.logger.remove(handler)


@kernel.PROPERTIES.register("a probe limit of the platform that is no number is named")
def bad_probe_limit() -> None:
    text = (recorded.FOLDER / "platform-settings.toml").read_text()
    for found in ("many", "", "nan", "inf"):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text.replace("probesPerS=50", f"probesPerS={found}"))
            faults = settings_file.read_settings({settings_file.VARIABLE: str(path)})
        assert isinstance(faults, list), (found, faults)
        (fault,) = faults
        assert isinstance(fault, schema.Fault)
        assert fault.flag.startswith("--probes-per-s"), fault
        assert fault.found == found and fault.allowed == "a number from 0 to 1000"
