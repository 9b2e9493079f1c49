"""
Listening socket that accepts all connections that wait, in each iteration of the loop.

libuv accepts one connection in an iteration. When iterations become longer, the others
wait in the kernel's queue, where neither their number nor their age can be observed,
and what is accepted in the end has lost its caller.
"""

import asyncio
import errno
import socket
import typing
from collections import abc

from spindlenotch import ids

#: Creates the protocol of an accepted connection; None if it has already closed it.
ProtocolFactory = abc.Callable[[socket.socket], asyncio.BaseProtocol | None]

#: Maximum number of connections accepted in one iteration.
MAX_ACCEPTS = 256
#: Errors of a process or host that has no descriptors or memory left.
EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
#: Seconds until the next attempt to accept after such an error.
RETRY_S = 0.1


class Listener:
    """
    A listening TCP socket; ``create_protocol`` is called for each connection.

    ``backlog`` is the maximum number of connections waiting to be accepted.
    """

    def __init__(self, create_protocol: ProtocolFactory, backlog: int) -> None:
        self._create_protocol = create_protocol
        self._backlog = backlog
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task[typing.Any]] = set()

    def start(self, host: str, port: int) -> None:
        """Listen; raises ``OSError`` if the address can't be bound."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening.setblocking(False)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind((host, port))
            listening.listen(self._backlog)
        except OSError:
            listening.close()
            raise
        self._socket = listening
        asyncio.get_running_loop().add_reader(listening, self._accept_waiting)

    def close(self) -> None:
        """Accept the connections that wait, then stop listening."""
        if self._socket is None:
            return
        self._accept_waiting()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def _accept_waiting(self) -> None:
        for _ in range(MAX_ACCEPTS):
            if self._socket is None:
                return
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    # The caller has closed its connection before it was accepted.
                    continue
                self._pause()
                return
            self._open(connection)

    def _open(self, connection: socket.socket) -> None:
        protocol = self._create_protocol(connection)
        if protocol is None:
            return
        loop = asyncio.get_running_loop()
        opening = loop.create_task(
            loop.connect_accepted_socket(lambda: protocol, connection)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._opened)

    def _opened(self, opening: asyncio.Task[typing.Any]) -> None:
        self._opening.discard(opening)
        if not opening.cancelled():
            # Retrieved, so that it is not reported; the connection is closed by now.
            opening.exception()

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        assert self._socket is not None
        loop.remove_reader(self._socket)
        loop.call_later(RETRY_S, self._resume, self._socket)

    def _resume(self, listening: socket.socket) -> None:
        if self._socket is listening:
            asyncio.get_running_loop().add_reader(listening, self._accept_waiting)


def create(
    create_protocol: ProtocolFactory, address: ids.Address, backlog: int
) -> Listener:
    """Listen on ``address``; raises ``OSError`` if it can't be bound."""
    host, _, port = address.rpartition(":")
    listener = Listener(create_protocol, backlog)
    listener.start(host.strip("[]"), int(port))
    return listener
