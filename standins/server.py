"""
Starts a stand-in's web application on a loopback port.
"""

from aiohttp import web

LOOPBACK = "127.0.0.1"
#: Connections that may wait to be accepted.
BACKLOG = 1024
#: How long a stop waits for requests under way.
SHUTDOWN_S = 0.1


async def serve(app: web.Application, port: int = 0) -> tuple[web.AppRunner, str]:
    """
    Listen on ``port`` (0: any free one); return the runner and ``IP:port``.

    A request's handler is cancelled when its client disconnects.
    """
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=SHUTDOWN_S
    )
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port, backlog=BACKLOG).start()
    return runner, f"{LOOPBACK}:{runner.addresses[0][1]}"
