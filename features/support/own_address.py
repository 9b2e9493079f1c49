"""
Start a gateway that connects from the address of its host.

On loopback, connections come from 127.0.0.1 by default, whatever address a process
listens on. Everything else is the gateway's own.
"""

import os
import pathlib
import runpy
import sys
import tomllib
import typing

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]


def connect_from(ip: str) -> None:
    """Let all HTTP sessions of this process connect from ``ip``."""
    create = aiohttp.TCPConnector.__init__

    def create_bound(self: aiohttp.TCPConnector, **options: typing.Any) -> None:
        create(self, local_addr=(ip, 0), **options)

    aiohttp.TCPConnector.__init__ = create_bound  # type: ignore[method-assign]


if __name__ == "__main__":
    with open(os.environ["SPINDLENOTCH_SETTINGS"], "rb") as file:
        connect_from(tomllib.load(file)["ip"])
    sys.argv = [str(ROOT / "platform" / "start.py")]
    # As for a program that is started from there.
    sys.path.insert(0, str(ROOT / "platform"))
    runpy.run_path(sys.argv[0], run_name="__main__")
