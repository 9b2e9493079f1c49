"""
Ports for processes that a test starts later.

They lie below those that the system gives to outgoing connections: a port
that was free a moment ago is otherwise taken by one of these before the
process listens. They are drawn at random, so that runs beside each other do
not try the same ones.
"""

import random
import socket
from collections import abc

LOOPBACK = "127.0.0.1"
PORTS = (12_000, 30_000)
_given: set[int] = set()


def find(count: int, hosts: abc.Iterable[str] = (LOOPBACK,)) -> list[int]:
    """
    Return ports that are free for TCP and UDP on every one of ``hosts``.

    No port is given twice in one process.
    """
    found: list[int] = []
    addresses = tuple(hosts)
    while len(found) < count:
        port = random.randrange(*PORTS)
        if port not in _given and all(_is_free(host, port) for host in addresses):
            _given.add(port)
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as one:
            try:
                one.bind((host, port))
            except OSError:
                return False
    return True
