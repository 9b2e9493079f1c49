"""
Start a stand-in's web application on a loopback port.
"""

from aiohttp import web

LOOPBACK = "127.0.0.1"


async def serve(app: web.Application, port: int = 0) -> tuple[web.AppRunner, str]:
    """Listen on ``port`` (0: any free); return the runner and the address."""
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port, backlog=1024).start()
    return runner, f"{LOOPBACK}:{runner.addresses[0][1]}"
