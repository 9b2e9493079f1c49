"""Properties of gateways that lack processor time."""

import asyncio
import socket

import uvloop

from features.steps import kernel
from features.support import free_ports
from spindlenotch import ids
from spindlenotch.drivers import listener

HOST = "127.0.0.1"
WAITING = 50


@kernel.PROPERTIES.register("all waiting connections are accepted in one iteration")
def accepts_all() -> None:
    uvloop.run(_accept_all())


async def _accept_all() -> None:
    accepted: list[socket.socket] = []
    (port,) = free_ports.find(1)

    def refuse(connection: socket.socket) -> None:
        accepted.append(connection)
        connection.close()

    listening = listener.create(refuse, ids.Address(f"{HOST}:{port}"), 2 * WAITING)
    callers = [socket.create_connection((HOST, port)) for _ in range(WAITING)]
    # The first turn may end before the loop looks at its sockets.
    for _ in range(3):
        await asyncio.sleep(0)
    assert len(accepted) == WAITING, len(accepted)
    listening.close()
    for caller in callers:
        caller.close()
