"""
Ports for processes that a test starts later.

They lie below those that the system gives to outgoing connections, which
could otherwise take a free port before the process listens. They are drawn at
random, and a run reserves those that it hands out: it keeps the same port of
``HELD_ON`` bound until it ends, so that another run at the same time does not
get a port whose process happens to be down.
"""

import random
import socket
from collections import abc

LOOPBACK = "127.0.0.1"
#: No process of a test listens on this address.
HELD_ON = "127.99.0.1"
#: Below 32768, where Linux begins to draw ports for outgoing connections.
PORTS = (12_000, 30_000)
_held: dict[int, socket.socket] = {}


def find(count: int, hosts: abc.Iterable[str] = (LOOPBACK,)) -> list[int]:
    """
    Return ports that are free for TCP and UDP on every one of ``hosts``.

    No port is given twice, neither here nor by a run beside this one.
    """
    found: list[int] = []
    addresses = tuple(hosts)
    while len(found) < count:
        port = random.randrange(*PORTS)
        if port in _held or not _hold(port):
            continue
        if all(_is_free(host, port) for host in addresses):
            found.append(port)
    return found


def _hold(port: int) -> bool:
    """Reserve a port until this process ends; tell whether it was free to reserve."""
    held = socket.socket()
    try:
        held.bind((HELD_ON, port))
    except OSError:
        held.close()
        return False
    _held[port] = held
    return True


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
