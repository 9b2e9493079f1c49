"""
The kinds of values that settings take, each with its reader.

Owns the syntax of addresses, names, keys and numbers. A reader takes the
setting's text and returns the value, or raises ``ValueError``; it touches
neither network nor files.
"""

import ipaddress
import re
from collections import abc

import msgspec

#: Longest name in characters: that of a DNS label (RFC 1035).
LONGEST_NAME = 63
#: Shortest shared key in characters.
SHORTEST_KEY = 16
#: Highest TCP and UDP port.
HIGHEST_PORT = 65_535

_NAME = re.compile(rf"[a-z0-9]([a-z0-9-]{{0,{LONGEST_NAME - 1}}})")
_URL = re.compile(r"http://[0-9A-Za-z.:\[\]-]+/?")
_PUBLIC_KEY = re.compile(r"[0-9a-f]{64}")
_MODULE_NAME = re.compile(r"[A-Za-z_][\w.]*")


class Kind(msgspec.Struct, frozen=True):
    """
    How a setting is read.

    ``read`` returns the value or raises ``ValueError``; ``allowed`` says in
    words what it accepts. The text of a ``secret`` setting is never shown.
    """

    allowed: str
    read: abc.Callable[[str], object]
    secret: bool = False


def number(low: float, high: float) -> Kind:
    """Return the kind of a number from ``low`` to ``high``, both included."""

    def read(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return Kind(f"a number from {low:g} to {high:g}", read)


def whole(low: int, high: int) -> Kind:
    """Return the kind of a whole number from ``low`` to ``high``, both included."""

    def read(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return Kind(f"a whole number from {low} to {high}", read)


def _read_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= HIGHEST_PORT:
        raise ValueError
    return text


def _read_addresses(text: str) -> tuple[str, ...]:
    return tuple(_read_address(part) for part in _parts(text))


def _read_url(text: str) -> str:
    if not _URL.fullmatch(text):
        raise ValueError
    return text


def _read_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError
    return text


def _read_names_by_name(text: str) -> dict[str, str]:
    pairs = [part.split("=") for part in _parts(text)]
    return {_read_name(name): _read_name(value) for name, value in pairs}


def _read_secrets(text: str) -> tuple[bytes, ...]:
    keys = tuple(part.encode() for part in _parts(text))
    if not keys or any(len(key) < SHORTEST_KEY for key in keys):
        raise ValueError
    return keys


def _read_public_keys(text: str) -> frozenset[str]:
    keys = frozenset(_parts(text))
    if not keys or not all(_PUBLIC_KEY.fullmatch(key) for key in keys):
        raise ValueError
    return keys


def _read_module_names(text: str) -> tuple[str, ...]:
    names = tuple(_parts(text))
    if not all(_MODULE_NAME.fullmatch(name) for name in names):
        raise ValueError
    return names


def _parts(text: str) -> list[str]:
    return [part for part in text.split(",") if part]


ADDRESS = Kind("IP:port", _read_address)
ADDRESSES = Kind("IP:port, comma-separated, may be empty", _read_addresses)
URL = Kind("http://HOST:PORT", _read_url)
NAME = Kind(f"a-z, 0-9 and inner hyphens, at most {LONGEST_NAME}", _read_name)
NAMES_BY_NAME = Kind("NAME=NAME, comma-separated, may be empty", _read_names_by_name)
SECRETS = Kind(
    f"comma-separated keys of at least {SHORTEST_KEY} characters",
    _read_secrets,
    secret=True,
)
PUBLIC_KEYS = Kind(
    "comma-separated Ed25519 public keys, 64 hex digits", _read_public_keys
)
MODULE_NAMES = Kind("comma-separated Python module names", _read_module_names)
