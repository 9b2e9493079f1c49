"""
When the kernel would end a TCP connection whose peer has gone silent.

The kernel of a stand-in on this host answers keep-alive probes even where the stand-in
does not answer. So a test reads the options that a process has set on its sockets, and
ends the connection when the kernel would.
"""

import contextlib
import ctypes
import math
import os
import pathlib
import socket
from collections import abc

#: Number of the system call; the same on all architectures.
PIDFD_GETFD = 438

Endpoint = tuple[str, int]


def abort_after_s(connection: socket.socket) -> float:
    """
    Return after how many seconds of silence the kernel ends an idle connection.

    Infinite if it never does. With ``TCP_USER_TIMEOUT`` it ends the connection at the
    first probe that is due after that time, whatever the number of probes.
    """
    if not connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return math.inf
    idle_s, interval_s, count, user_timeout_ms = (
        connection.getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
            socket.TCP_USER_TIMEOUT,
        )
    )
    if user_timeout_ms:
        late_s = user_timeout_ms / 1000 - idle_s
        count = max(1, math.ceil(late_s / interval_s))
    return float(idle_s + count * interval_s)


@contextlib.contextmanager
def sockets_of(pid: int) -> abc.Iterator[dict[Endpoint, socket.socket]]:
    """Yield duplicates of a child's connected IPv4 sockets, by their local address."""
    pidfd = os.pidfd_open(pid)
    socket_by_address: dict[Endpoint, socket.socket] = {}
    try:
        for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                if not os.readlink(link).startswith("socket:"):
                    continue
                found = _duplicate(pidfd, int(link.name))
                try:
                    found.getpeername()
                    socket_by_address[found.getsockname()[:2]] = found
                except OSError:
                    found.close()
        yield socket_by_address
    finally:
        os.close(pidfd)
        for found in socket_by_address.values():
            found.close()


def _duplicate(pidfd: int, fd: int) -> socket.socket:
    """Return a duplicate of another process's socket; raise ``OSError`` on failure."""
    libc = ctypes.CDLL(None, use_errno=True)
    duplicated = libc.syscall(PIDFD_GETFD, pidfd, fd, 0)
    if duplicated < 0:
        raise OSError(ctypes.get_errno(), "pidfd_getfd")
    return socket.socket(fileno=duplicated)
