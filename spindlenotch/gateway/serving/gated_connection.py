"""
Connections accepted while this gateway lacks processor time.

aiohttp parses a request, starts a task and builds a response; refusing requests that
way would take much of the processor time that is lacking. Here, a connection whose
first request is not admitted gets a response that is made in one step, and is closed.
Otherwise the connection is handed to aiohttp with what it has received.
"""

import asyncio
import typing
from collections import abc

#: Ends the head of a request.
HEAD_END = b"\r\n\r\n"
#: Maximum length of a head in bytes; a longer one is left to aiohttp.
MAX_HEAD_BYTES = 64 * 1024
#: Seconds for the rest of a request to arrive once it is refused. If the connection
#: were closed before, the caller might not receive the response.
LINGER_S = 1.0


class Gate(typing.Protocol):
    """Decides on the first request of a connection."""

    def refusal(self, head: bytes) -> bytes | None:
        """Return the response that refuses the request; None if it is admitted."""


class GatedConnection(asyncio.Protocol):
    """A connection until its first request is admitted or refused."""

    def __init__(
        self, gate: Gate, accept: abc.Callable[[], asyncio.BaseProtocol]
    ) -> None:
        self._gate = gate
        self._accept = accept
        self._received = b""
        self._is_refused = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Decide as soon as the head is complete; discard what follows a refusal."""
        if self._is_refused or self._transport is None:
            return
        self._received += data
        end = self._received.find(HEAD_END)
        if end < 0 and len(self._received) < MAX_HEAD_BYTES:
            return
        response = None if end < 0 else self._gate.refusal(self._received[:end])
        if response is None:
            self._hand_over(self._transport)
        else:
            has_more = end + len(HEAD_END) < len(self._received)
            self._refuse(self._transport, response, is_whole=not has_more)

    def _hand_over(self, transport: asyncio.Transport) -> None:
        protocol = typing.cast(asyncio.Protocol, self._accept())
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        protocol.data_received(self._received)

    def _refuse(
        self, transport: asyncio.Transport, response: bytes, *, is_whole: bool
    ) -> None:
        self._is_refused = True
        transport.write(response)
        if is_whole and not announces_body(self._received):
            transport.close()
            return
        self._received = b""
        transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, transport.abort)


def announces_body(head: bytes) -> bool:
    """Return whether a request has a body, by the fields of its head."""
    fields = head.lower()
    return (
        b"\r\ntransfer-encoding:" in fields
        or b"\r\ncontent-length:" in fields
        and b"\r\ncontent-length: 0\r\n" not in fields
    )
