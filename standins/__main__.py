"""
Run one stand-in as a process: ``python -m standins KIND [--port P]``.

Prints its address on one line when it listens.
"""

import asyncio
import sys

import cyclopts
import uvloop

from standins import hostlist, store, upstream

app = cyclopts.App(name="standins", help="Stand-ins for the platform.")


async def _forever(address: str) -> None:
    print(address, flush=True)
    await asyncio.Event().wait()


@app.command(name="store")
def run_store(*, port: int = 0) -> None:
    """Run the key-value service."""

    async def main() -> None:
        await _forever(await store.Store().start(port))

    uvloop.run(main())


@app.command(name="hosts")
def run_hosts(*, port: int = 0) -> None:
    """Run the host list."""

    async def main() -> None:
        await _forever(await hostlist.HostList().start(port))

    uvloop.run(main())


@app.command(name="upstream")
def run_upstream(*, name: str, port: int = 0, slots: int = 6) -> None:
    """Run one upstream."""

    async def main() -> None:
        await _forever(await upstream.Upstream(name, slots).start(port))

    uvloop.run(main())


if __name__ == "__main__":
    sys.exit(app())
