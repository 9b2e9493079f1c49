"""
Settings of the entry daemon: flags and environment variables, checked.

The table drives parsing, the checks and the reference in the operators' page.
All faults are reported at once, each with the flag, what was found and what
is allowed.
"""

import dataclasses
import ipaddress
import os
import re
import typing
from collections import abc

from spindlenotch import ids

ENVIRONMENT_PREFIX = "SPINDLENOTCH_"
NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,62})")
HEX_64 = re.compile(r"[0-9a-f]{64}")
LEAST_KEY_CHARACTERS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One setting that cannot be used."""

    flag: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.flag}: found {self.found!r}; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """How a setting is read: returns the value or raises ``ValueError``."""

    allowed: str
    read: abc.Callable[[str], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One row of the table; ``default`` None means that it is required."""

    name: str
    kind: Kind
    default: str | None
    meaning: str

    @property
    def flag(self) -> str:
        """Return the flag's name."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable's name."""
        return ENVIRONMENT_PREFIX + self.name.upper()


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65_535:
        raise ValueError
    return text


def _addresses(text: str) -> tuple[str, ...]:
    return tuple(_address(part) for part in text.split(",") if part)


def _url(text: str) -> str:
    if not re.fullmatch(r"http://[0-9A-Za-z.:\[\]-]+/?", text):
        raise ValueError
    return text


def _name(text: str) -> str:
    if not NAME.fullmatch(text):
        raise ValueError
    return text


def _secrets(text: str) -> tuple[bytes, ...]:
    keys = tuple(part.encode() for part in text.split(",") if part)
    if not keys or any(len(key) < LEAST_KEY_CHARACTERS for key in keys):
        raise ValueError
    return keys


def _public_keys(text: str) -> frozenset[str]:
    keys = frozenset(part for part in text.split(",") if part)
    if not keys or not all(HEX_64.fullmatch(key) for key in keys):
        raise ValueError
    return keys


def _modules(text: str) -> tuple[str, ...]:
    parts = tuple(part for part in text.split(",") if part)
    if not all(re.fullmatch(r"[A-Za-z_][\w.]*", part) for part in parts):
        raise ValueError
    return parts


def number(low: float, high: float) -> Kind:
    """Return the kind of a number within bounds."""

    def read(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return Kind(f"a number from {low:g} to {high:g}", read)


def whole(low: int, high: int) -> Kind:
    """Return the kind of a whole number within bounds."""

    def read(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return Kind(f"a whole number from {low} to {high}", read)


ADDRESS = Kind("IP:port", _address)
ADDRESSES = Kind("IP:port, comma-separated, may be empty", _addresses)
URL = Kind("http://HOST:PORT", _url)
HOST_NAME = Kind("a-z, 0-9 and inner hyphens, at most 63", _name)
SECRETS = Kind("comma-separated keys of at least 16 characters", _secrets)
PUBLIC_KEYS = Kind("comma-separated Ed25519 public keys, 64 hex digits", _public_keys)
MODULES = Kind("comma-separated Python module names", _modules)

SETTINGS = (
    Setting("host", HOST_NAME, None, "this host's id in the host list"),
    Setting("zone", HOST_NAME, None, "this host's availability zone"),
    Setting("listen", ADDRESS, "127.0.0.1:8080", "where callers connect"),
    Setting(
        "peer_listen",
        ADDRESS,
        "127.0.0.1:8081",
        "where peers connect (both UDP and TCP)",
    ),
    Setting("operator_listen", ADDRESS, "127.0.0.1:8082", "metrics, state and health"),
    Setting("store", URL, None, "the platform's key-value service"),
    Setting("host_list", URL, None, "the platform's host list"),
    Setting("peers", ADDRESSES, "", "peer addresses to start from, if the list is out"),
    Setting(
        "peer_keys", SECRETS, None, "keys that authenticate peers; the first signs"
    ),
    Setting("trusted_keys", PUBLIC_KEYS, None, "operators whose bundles are accepted"),
    Setting("once_capacity", whole(1, 10_000_000), "100000", "request ids remembered"),
    Setting("hand_out_s", number(0.1, 3600), "5", "how long callers keep an answer"),
    Setting(
        "drain_limit_s", number(0, 604_800), "0", "longest planned stop; 0: no limit"
    ),
    Setting("pause_s", number(0.1, 60), "2", "a gap this long counts as a pause"),
    Setting("seed", whole(0, 2**53), "0", "random seed; 0: from the system"),
    Setting("plugins", MODULES, "", "further plug-in modules to load"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """The checked settings of one entry, one attribute per row above."""

    host: ids.HostId
    zone: ids.ZoneName
    listen: ids.Address
    peer_listen: ids.Address
    operator_listen: ids.Address
    store: str
    host_list: str
    peers: tuple[ids.Address, ...]
    peer_keys: tuple[bytes, ...]
    trusted_keys: frozenset[str]
    once_capacity: int
    hand_out_s: float
    drain_limit_s: float
    pause_s: float
    seed: int
    plugins: tuple[str, ...]


def read(
    flags: abc.Mapping[str, str | None],
    environment: abc.Mapping[str, str] = os.environ,
) -> EntrySettings | list[Fault]:
    """Read all settings; a flag goes before a variable, that before a default."""
    values = read_table(SETTINGS, flags, environment, {})
    if isinstance(values, list):
        return values
    return EntrySettings(**values)


def read_table(
    table: abc.Iterable[Setting],
    flags: abc.Mapping[str, str | None],
    environment: abc.Mapping[str, str],
    file_values: abc.Mapping[str, str],
) -> dict[str, typing.Any] | list[Fault]:
    """Return the values of all settings by name, or every fault."""
    values: dict[str, typing.Any] = {}
    faults: list[Fault] = []
    for setting in table:
        text = flags.get(setting.name)
        if text is None:
            text = environment.get(setting.variable)
        if text is None:
            text = file_values.get(setting.name, setting.default)
        value = _read_one(setting, text)
        if isinstance(value, Fault):
            faults.append(value)
        else:
            values[setting.name] = value
    return faults or values


def _read_one(setting: Setting, text: str | None) -> object:
    name = f"{setting.flag} ({setting.variable})"
    if text is None:
        return Fault(name, "nothing", setting.kind.allowed)
    try:
        return setting.kind.read(text)
    except ValueError:
        shown = "(secret)" if setting.kind is SECRETS else text
        return Fault(name, shown, setting.kind.allowed)


def reference(table: abc.Iterable[Setting]) -> str:
    """Return settings as a table for the operators' pages."""
    lines = [
        "| flag | variable | default | allowed | meaning |",
        "|---|---|---|---|---|",
    ]
    for s in table:
        default = "required" if s.default is None else s.default or "(empty)"
        lines.append(
            f"| `{s.flag}` | `{s.variable}` | {default}"
            f" | {s.kind.allowed} | {s.meaning} |"
        )
    return "\n".join(lines) + "\n"
