"""
Recorded bytes: their files, their samples, and what differs between the two.

A sample says how the product of today builds, writes and reads one recorded
thing; the files under ``features/recorded`` never change. ``recorded_samples``
and ``recorded_names`` collect the samples, which the modules beside them build.
"""

import dataclasses
import enum
import functools
import json
import pathlib
import textwrap
import typing
from collections import abc

import msgspec

FOLDER = pathlib.Path(__file__).parents[1] / "recorded"
HEX_LINE = 64
#: Names that are no fields: maps of today's samples whose keys are data.
DATA_MAPS = ("_by_name",)
STRANGER = "aFieldThatNobodyKnows"
#: End the names of files that hold what came after the first record, in turn.
ADDED_ENDINGS = (
    "-added",
    "-added-2",
    "-added-3",
    "-added-4",
    "-added-5",
    "-added-6",
    "-added-7",
    "-added-8",
    "-added-9",
    "-added-10",
    "-added-11",
    "-added-12",
)
#: Fields that came after the first record, each with the sample that tells it: the
#: samples recorded before can't hold them.
ADDED_SAMPLE_BY_FIELD = {
    "ListedUpstream.is_evacuated": "upstreams-added.json",
    "ServiceSpec.cold_rate_per_s": "configuration-added.json",
    "ServiceSpec.cold_start_s": "configuration-added.json",
    "LoadRecord.cold_s": "gossip-added.msgpack.hex",
    "LoadRecord.cold_age_s": "gossip-added.msgpack.hex",
    "LoadRecord.born": "gossip-added-2.msgpack.hex",
    "LoadRecord.limit_per_s": "gossip-added-6.msgpack.hex",
    "LoadRecord.limit_age_s": "gossip-added-6.msgpack.hex",
    "RolloutOrder.era": "upstreams-added-3.json",
    "DocumentVersion.position": "gossip-added-7.msgpack.hex",
    "Document.position": "frame-added.msgpack.hex",
    "GatewaySettings.evacuate_s": "environment-gateway-added.json",
    "GatewaySettings.region_by_zone": "environment-gateway-added-2.json",
    "GatewaySettings.exposure_share": "environment-gateway-added-2.json",
    "GatewaySettings.exposure_reserve": "environment-gateway-added-2.json",
    "GatewaySettings.rollback_s": "environment-gateway-added-2.json",
    "ListedUpstream.version": "upstreams-added-2.json",
    "ListedUpstream.born": "upstreams-added-2.json",
    "ListedUpstream.rollout": "upstreams-added-2.json",
    "ListedUpstream.grace_s": "upstreams-added-4.json",
    "Message.rollout_phases": "gossip-added-4.msgpack.hex",
    "Message.evidence": "gossip-added-4.msgpack.hex",
    "Message.crashes": "gossip-added-5.msgpack.hex",
    "Route.allowed_regions": "configuration-added-2.json",
    "Route.has_large_answers": "configuration-added-2.json",
    "Configuration.refused_routes": "configuration-added-2.json",
    "Configuration.remarks": "configuration-added-2.json",
    "LoadRecord.well_age_s": "gossip-added-9.msgpack.hex",
    "MemberRecord.is_isolated": "gossip-added-8.msgpack.hex",
    "Message.regions": "gossip-added-3.msgpack.hex",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """
    One recorded thing.

    ``form`` is how its bytes are looked into where they differ: "json",
    "msgpack" or another. ``value`` is what reading gives and writing takes.
    One that can only be read or written has None for the other. ``bare`` ones
    are there for their defaults. ``strangers`` says what becomes of unknown
    fields: "passed over", "refused" or "" where there can be none.
    """

    file: str
    form: str
    value: object
    write: abc.Callable[[], bytes] | None = None
    read: abc.Callable[[bytes], object] | None = None
    look: abc.Callable[[bytes], object] | None = None
    bare: bool = False
    strangers: str = ""


def table(name: str, make: abc.Callable[[], object]) -> Sample:
    """Return the sample of a table that is written only."""
    return Sample(f"{name}.json", "json", None, lambda: pretty(make()))


def grown_table(
    name: str, make: abc.Callable[[], object], times: int = 1
) -> list[Sample]:
    """
    Return the samples of a table that has grown ``times`` times since it was recorded.

    The first file holds what was there first, none of which may be missing or
    changed, each further one what came next, and the last one all the rest.
    """
    names = [name + ending for ending in ("", *ADDED_ENDINGS[:times])]
    return [
        table(file, functools.partial(_generation, names, at, make))
        for at, file in enumerate(names)
    ]


def _generation(names: list[str], at: int, make: abc.Callable[[], object]) -> object:
    """Return what belongs into the file at this place of ``names``."""
    rest = make()
    for earlier in names[:at]:
        rest = _split(rest, _plain_table(earlier)).later
    if at + 1 < len(names):
        return _split(rest, _plain_table(names[at])).first
    return rest


def _plain_table(name: str) -> object:
    return msgspec.json.decode(load(Sample(f"{name}.json", "json", None)))


class Split(typing.NamedTuple):
    """What of a table was recorded, and what was not."""

    first: typing.Any
    later: typing.Any


def _split(value: object, known: object) -> Split:
    """Split plain content by whether its place in ``known`` has it."""
    if isinstance(value, dict) and isinstance(known, dict):
        pairs = {k: _split(v, known[k]) for k, v in value.items() if k in known}
        later = {k: pair.later for k, pair in pairs.items() if pair.later}
        later |= {k: v for k, v in value.items() if k not in known}
        return Split({k: pair.first for k, pair in pairs.items()}, later)
    if isinstance(value, list) and isinstance(known, list):
        if any(isinstance(item, dict) for item in value) and len(value) == len(known):
            items = [_split(*pair) for pair in zip(value, known, strict=True)]
            later_items = [item.later for item in items]
            later_list = later_items if any(later_items) else []
            return Split([item.first for item in items], later_list)
        first = [item for item in value if item in known]
        return Split(first, [item for item in value if item not in known])
    return Split(value, None)


def path_of(sample: Sample) -> pathlib.Path:
    """Return the file of a sample."""
    return FOLDER / sample.file


def load(sample: Sample) -> bytes:
    """Return the recorded bytes of a sample."""
    text = path_of(sample).read_text()
    if sample.file.endswith(".hex"):
        return bytes.fromhex(text)
    return text.removesuffix("\n").encode()


def record(sample: Sample) -> bool:
    """Write what the product writes now, once; tell whether it was not there."""
    if path_of(sample).exists() or sample.write is None:
        return False
    data = sample.write()
    if sample.file.endswith(".hex"):
        text = "\n".join(textwrap.wrap(data.hex(), HEX_LINE))
    else:
        text = data.decode()
    path_of(sample).write_text(text + "\n")
    return True


def record_missing(samples: abc.Iterable[Sample]) -> None:
    """Record what is not there yet, and print which files those are."""
    for sample in samples:
        if record(sample):
            print(f"recorded {path_of(sample)}")


def complaints(sample: Sample) -> list[str]:
    """Return what is no longer as it was recorded, each with its field."""
    data = load(sample)
    return [*_read_complaints(sample, data), *_write_complaints(sample, data)]


def _read_complaints(sample: Sample, data: bytes) -> list[str]:
    if sample.read is None:
        return []
    try:
        read = sample.read(data)
    except Exception as error:
        return [f"read: {error!r}"]
    return [f"read: {line}" for line in unlike(sample.value, read)]


def _write_complaints(sample: Sample, data: bytes) -> list[str]:
    if sample.write is None:
        return []
    try:
        written = sample.write()
    except Exception as error:
        return [f"written: {error!r}"]
    if written == data:
        return []
    told = differences(_look(sample, data), _look(sample, written), "")
    return [f"written: {line}" for line in told or [_first(data, written)]]


def unlike(value: object, read: object) -> list[str]:
    """Return a line for each place where what was read is not ``value``."""
    if read == value and type(read) is type(value):
        return []
    if type(read) is not type(value):
        return [f"found {read!r} in place of a {type(value).__name__}"]
    return differences(plain(value), plain(read), "") or ["types differ"]


def plain(value: object) -> object:
    """Return a value as maps, lists and scalars, fields by their names."""
    if isinstance(value, enum.Enum):
        return f"{type(value).__name__}.{value.name}"
    fields = field_names(value)
    if fields:
        return {name: plain(getattr(value, name)) for name in fields}
    if isinstance(value, dict):
        return {str(key): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(str(plain(item)) for item in value)
    return value


def field_names(value: object) -> tuple[str, ...]:
    """Return the fields of a dataclass's or struct's object; else none."""
    if isinstance(value, msgspec.Struct):
        return value.__struct_fields__
    if dataclasses.is_dataclass(value):
        return tuple(field.name for field in dataclasses.fields(value))
    return ()


def differences(before: object, now: object, path: str) -> list[str]:
    """Return a line for each place where two plain values differ."""
    if isinstance(before, dict) and isinstance(now, dict):
        found = []
        for name in dict.fromkeys((*before, *now)):
            where = f"{path}.{name}".lstrip(".")
            if name not in now:
                found.append(f"{where}: recorded as {before[name]!r}, now missing")
            elif name not in before:
                found.append(f"{where}: not in the record, now {now[name]!r}")
            else:
                found += differences(before[name], now[name], where)
        if not found and list(before) != list(now):
            found.append(f"{path or 'top'}: order {list(before)}, now {list(now)}")
        return found
    if isinstance(before, list) and isinstance(now, list) and len(before) == len(now):
        return [
            line
            for number, pair in enumerate(zip(before, now, strict=True))
            for line in differences(*pair, f"{path}[{number}]")
        ]
    if before == now and type(before) is type(now):
        return []
    return [f"{path or 'all'}: recorded as {before!r}, now {now!r}"]


def untold_fields(value: object) -> list[str]:
    """
    Return the fields that no object in ``value`` tells anything by.

    A field tells something where it differs from its default and is not empty.
    """
    told: dict[str, bool] = {}
    for item in walk(value):
        for name, default in _defaults(item).items():
            here = getattr(item, name)
            key = f"{type(item).__name__}.{name}"
            tells = here != default and (_filled(here) or default is True)
            told[key] = told.get(key, False) or tells
    return [key for key, tells in told.items() if not tells]


def untold_complaints(sample: Sample) -> list[str]:
    """Return the fields that a sample ought to tell something by and does not."""
    return [
        f"{sample.file}: {field} tells nothing"
        for field in untold_fields(sample.value)
        if ADDED_SAMPLE_BY_FIELD.get(field, sample.file) == sample.file
    ]


def walk(value: object) -> abc.Iterator[object]:
    """Yield every object with fields and every enumeration's member in a value."""
    if isinstance(value, enum.Enum):
        yield value
    for name in field_names(value):
        yield from walk(getattr(value, name))
    if field_names(value):
        yield value
    elif isinstance(value, dict):
        for item in value.values():
            yield from walk(item)
    elif isinstance(value, list | tuple):
        for item in value:
            yield from walk(item)


def with_strangers(value: object, name: str = "") -> object:
    """Return plain JSON or MessagePack content with a field more in each map."""
    if isinstance(value, list):
        return [with_strangers(item) for item in value]
    if not isinstance(value, dict):
        return value
    grown = {key: with_strangers(item, key) for key, item in value.items()}
    if not name.endswith(DATA_MAPS):
        grown[STRANGER] = [1]
    return grown


def pretty(value: object) -> bytes:
    """Return plain content as indented JSON."""
    return json.dumps(value, indent=1, ensure_ascii=False).encode()


def _look(sample: Sample, data: bytes) -> object:
    if sample.look is not None:
        return sample.look(data)
    if sample.form == "json":
        return msgspec.json.decode(data)
    if sample.form == "msgpack":
        return msgspec.msgpack.decode(data)
    return data.hex()


def _first(recorded: bytes, written: bytes) -> str:
    pairs = zip(recorded, written, strict=False)
    at = next((n for n, pair in enumerate(pairs) if pair[0] != pair[1]), -1)
    return (
        f"same content, other bytes: {len(recorded)} recorded, {len(written)} now;"
        f" first at {at}"
    )


def _defaults(item: object) -> dict[str, object]:
    """Return the fields of an object with their defaults or None."""
    if isinstance(item, msgspec.Struct):
        return {
            field.name: field.default_factory()
            if field.default_factory is not msgspec.NODEFAULT
            else field.default
            for field in msgspec.structs.fields(item)
        }
    if not dataclasses.is_dataclass(item):
        return {}
    found: dict[str, object] = {}
    for field in dataclasses.fields(item):
        found[field.name] = None
        if field.default is not dataclasses.MISSING:
            found[field.name] = field.default
        elif field.default_factory is not dataclasses.MISSING:
            found[field.name] = field.default_factory()
    return found


def _filled(value: object) -> bool:
    if isinstance(value, enum.Enum):
        return True
    return bool(value)


class Body:
    """The body of an answer, which is read in one piece."""

    def __init__(self, answer: "Answer") -> None:
        self._answer: Answer | None = answer

    async def read(self, size: int) -> bytes:
        """Return the whole body, then nothing."""
        answer, self._answer = self._answer, None
        return b"" if answer is None else await answer.read()


class Answer:
    """What a recorded session answers with."""

    def __init__(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers
        self._body = body
        self.content = Body(self)

    async def __aenter__(self) -> "Answer":
        return self

    async def __aexit__(self, *rest: object) -> None:
        """Nothing to close."""

    async def read(self) -> bytes:
        """Return the body."""
        return self._body


class Session:
    """Stands in for aiohttp's session: notes calls, gives answers in turn."""

    #: As in a session that is closed; it has no connections.
    connector = None

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.calls: list[dict[str, typing.Any]] = []

    def get(self, url: str, **options: typing.Any) -> Answer:
        """Note a GET."""
        return self.request("GET", url, **options)

    def put(self, url: str, **options: typing.Any) -> Answer:
        """Note a PUT."""
        return self.request("PUT", url, **options)

    def request(self, method: str, url: str, **options: typing.Any) -> Answer:
        """Note a call and return the next answer."""
        body = options.get("data")
        call = {
            "method": method,
            "url": url,
            "query": options.get("params") or {},
            "headers": options.get("headers") or {},
            "body": None if body is None else body.decode(),
        }
        self.calls.append(call)
        return self.answers.pop(0)

    async def close(self) -> None:
        """Nothing to close."""
