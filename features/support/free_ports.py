"""
Ports for processes that a test starts later.

They lie below those that the system gives to outgoing connections: a port
that was free a moment ago is otherwise taken by one of these before the
process listens. They are drawn at random, and a run keeps those that it has
given for itself: it holds the same port of ``HELD_ON`` bound until it ends, so
that a run beside it is not given a port whose process is just not up.
"""

import random
import socket
from collections import abc

LOOPBACK = "127.0.0.1"
#: No process of a test listens on this address.
HELD_ON = "127.99.0.1"
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
    """Keep a port for this process until it ends; tell whether it was to be had."""
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
        with socket.socket(type=kind) as one:
            try:
                one.bind((host, port))
            except OSError:
                return False
    return True
