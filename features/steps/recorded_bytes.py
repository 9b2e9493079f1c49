"""Steps that hold the product to what was recorded."""

import enum
import pathlib
import tempfile
import typing

import behave
import msgspec

from features.support import (
    recorded,
    recorded_answers,
    recorded_bundles,
    recorded_names,
    recorded_peers,
    recorded_settings,
    recorded_store,
)
from spindlenotch.bundles import bundle_check
from spindlenotch.gateway import settings

SAMPLES = {
    "peer messages": recorded_peers.peer_samples,
    "signed bundles": recorded_bundles.bundle_samples,
    "records in the store": recorded_store.store_samples,
    "settings": recorded_settings.settings_samples,
    "answers and the host list": recorded_answers.answer_samples,
    "names": recorded_names.name_samples,
}


def everything() -> list[recorded.Sample]:
    """Return every sample."""
    return [sample for make in SAMPLES.values() for sample in make()]


@behave.then("everything recorded of {kind} is read and written to the byte")
def same(context: typing.Any, kind: str) -> None:
    found = [
        f"{sample.file}: {line}"
        for sample in SAMPLES[kind]()
        for line in recorded.complaints(sample)
    ]
    assert not found, "\n".join(found)


@behave.then("every recorded file belongs to a sample")
def whole(context: typing.Any) -> None:
    files = {path.name for path in recorded.FOLDER.iterdir()}
    sampled = {sample.file for sample in everything()}
    assert files == sampled, files ^ sampled


@behave.then("every field of every sample differs from its default")
def told(context: typing.Any) -> None:
    found = [
        line
        for sample in everything()
        if not sample.bare
        for line in recorded.untold_complaints(sample)
    ]
    assert not found, "\n".join(found)
    files = {sample.file for sample in everything()}
    unknown = set(recorded.ADDED_SAMPLE_BY_FIELD.values()) - files
    assert not unknown, unknown


@behave.then("every member of every enumeration is in some sample")
def members(context: typing.Any) -> None:
    found = {
        item
        for sample in everything()
        for item in recorded.walk(sample.value)
        if isinstance(item, enum.Enum)
    }
    assert found
    missing = {one for item in found for one in type(item)} - found
    assert not missing, missing


@behave.then("unknown fields in what was recorded are passed over")
def strangers(context: typing.Any) -> None:
    checked = 0
    for sample in everything():
        if sample.strangers != "passed over":
            continue
        form = msgspec.json if sample.form == "json" else msgspec.msgpack
        content = form.decode(recorded.load(sample))
        grown = form.encode(recorded.with_strangers(content))
        assert sample.read is not None
        found = recorded.unlike(sample.value, sample.read(grown))
        assert not found, (sample.file, found)
        checked += 1
    assert checked


@behave.then("unknown fields in a bundle are refused")
def refused(context: typing.Any) -> None:
    text = recorded_bundles.text_of("bundle.toml")
    lines = text.splitlines()
    places = ("", "measuring", "claims", "services.core", "services.core.operations[0]")
    headers = ("format = 1", "[measuring]", "[claims]", "[services.core]")
    for place, header in zip(
        places, (*headers, "[[services.core.operations]]"), strict=True
    ):
        at = lines.index(header) + 1
        grown = [*lines[:at], f"{recorded.STRANGER} = 1", *lines[at:]]
        found = bundle_check.check("\n".join(grown), recorded_bundles.POLICIES)
        assert isinstance(found, list), (place, found)
        path = f"{place}.{recorded.STRANGER}".lstrip(".")
        assert [(one.path, one.found) for one in found] == [
            (path, "'an unknown field'")
        ], found


@behave.then("unknown names in a gateway's settings file are refused")
def refused_setting(context: typing.Any) -> None:
    text = (recorded.FOLDER / "gateway-settings.toml").read_text()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.toml"
        path.write_text(f"{text}{recorded.STRANGER} = 1\n")
        found = settings.read_file(str(path))
    assert isinstance(found, list), found
    assert [one.found for one in found] == ["an unknown name"], found
    assert recorded.STRANGER in found[0].flag, found
