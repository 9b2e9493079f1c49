"""
Start a gateway that connects from the address of its host.

On loopback, connections come from 127.0.0.1 by default, whatever address a process
listens on. While the file of ``refusal_path`` exists, new connections to the upstreams
that it names are refused, to all if it is empty. Everything else is the gateway's own.
"""

import errno
import os
import pathlib
import runpy
import socket
import sys
import tomllib
import typing

import aiohttp

#: Upstreams listen here; gateways have addresses of their own.
UPSTREAM_IP = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]


def refusal_path(settings_path: pathlib.Path) -> pathlib.Path:
    """Return the file that lets new connections to upstreams be refused."""
    return settings_path.with_suffix(".refused")


def connect_from(ip: str, store: str, refused: pathlib.Path) -> None:
    """
    Let all HTTP sessions of this process connect from ``ip``.

    While ``refused`` exists, they reach none of the upstreams named there over a new
    connection. The store listens at ``UPSTREAM_IP`` too, and is always reached.
    """
    create = aiohttp.TCPConnector.__init__

    def create_bound(self: aiohttp.TCPConnector, **options: typing.Any) -> None:
        open_socket = options.pop("socket_factory", None) or _open_socket

        def open_allowed(address: aiohttp.AddrInfoType) -> socket.socket:
            host, port = address[4][:2]
            there = f"{host}:{port}"
            if host == UPSTREAM_IP and there != store and _is_named(refused, there):
                raise ConnectionRefusedError(errno.ECONNREFUSED, "cut off")
            return typing.cast(socket.socket, open_socket(address))

        create(self, local_addr=(ip, 0), socket_factory=open_allowed, **options)

    aiohttp.TCPConnector.__init__ = create_bound  # type: ignore[method-assign]


def _is_named(refused: pathlib.Path, address: str) -> bool:
    try:
        addresses = refused.read_text().split()
    except FileNotFoundError:
        return False
    return not addresses or address in addresses


def _open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    return socket.socket(*address[:3])


if __name__ == "__main__":
    path = pathlib.Path(os.environ["SPINDLENOTCH_SETTINGS"])
    with path.open("rb") as file:
        settings = tomllib.load(file)
    connect_from(settings["ip"], settings["provider"]["address"], refusal_path(path))
    sys.argv = [str(ROOT / "platform" / "start.py")]
    # As for a program that is started from there.
    sys.path.insert(0, str(ROOT / "platform"))
    runpy.run_path(sys.argv[0], run_name="__main__")
