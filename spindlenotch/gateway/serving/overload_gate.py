"""
Refuses requests while processor time is lacking, by the decision of ``overload_guard``.

Connections that are accepted meanwhile pass the gate with their first request; later
requests are refused by ``request_processing``. Holds no state.
"""

import enum
import socket

from spindlenotch.gateway import dialect, state
from spindlenotch.gateway.serving import (
    gated_connection,
    overload_guard,
    refusals,
    request_log,
)
from spindlenotch.kernel import outcomes


class Verdict(enum.Enum):
    """What becomes of a connection."""

    ADMITTED = enum.auto()
    REFUSED = enum.auto()
    #: The head of the first request has not arrived, or its body may still arrive.
    UNKNOWN = enum.auto()


class OverloadGate:
    """The gate of new connections; closed while processor time is lacking."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_dialect: dialect.Dialect,
        guard: overload_guard.OverloadGuard,
        log: request_log.RequestLog,
    ) -> None:
        self.state = gateway_state
        self._guard = guard
        self._log = log
        self._id_field = f"\r\n{gateway_dialect.request_id}:".lower().encode()

    def is_closed(self) -> bool:
        """Return whether a connection that is accepted now has to pass the gate."""
        return self._guard.is_limiting()

    def refuse(self, request_id: str) -> float:
        """Log and count a refused request; return its Retry-After in seconds."""
        wait_s = self._guard.retry_after_s()
        self.state.demand.count_refused()
        self._log.overloaded(request_id, wait_s, is_logged=self._guard.may_log())
        return wait_s

    def judge(self, connection: socket.socket) -> Verdict:
        """Decide on a connection that was accepted; closes it if it is refused."""
        with self._guard.refusing():
            return self._judge(connection)

    def _judge(self, connection: socket.socket) -> Verdict:
        connection.setblocking(False)
        try:
            received = connection.recv(gated_connection.MAX_HEAD_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return Verdict.UNKNOWN
        except OSError:
            connection.close()
            return Verdict.REFUSED
        head, end, rest = received.partition(gated_connection.HEAD_END)
        if rest or not end or gated_connection.announces_body(head + end):
            return Verdict.UNKNOWN
        response = self.refusal(head)
        if response is None:
            return Verdict.ADMITTED
        _respond(connection, response, len(received))
        return Verdict.REFUSED

    def refusal(self, head: bytes) -> bytes | None:
        """Return the response that refuses a request; None if it is admitted."""
        if self._guard.admits():
            return None
        self.state.demand.count(0)
        wait_s = self.refuse(self._request_id(head))
        return refusals.render_not_run(outcomes.Reason.OVERLOADED, wait_s)

    def _request_id(self, head: bytes) -> str:
        """Return the request id in a head, empty if there is none."""
        start = head.lower().find(self._id_field)
        if start < 0:
            return ""
        value = head[start + len(self._id_field) :].split(b"\r\n", 1)[0]
        return value.strip().decode("latin-1")


def _respond(connection: socket.socket, response: bytes, received_bytes: int) -> None:
    """Send a response and close; what was received is read, or the caller is reset."""
    try:
        connection.recv(received_bytes)
        connection.send(response)
    except OSError:
        # The caller has left.
        pass
    finally:
        connection.close()
