"""
Cuts between single gateways and all workers, which others reach.

Gateways are told apart by the address that they connect from; see ``own_address``.
"""

import asyncio
import enum


class How(enum.Enum):
    """What becomes of connections of a gateway that is cut off."""

    #: Open ones are reset, new ones too.
    RESET = "reset"
    #: Nothing passes on open ones, nor on new ones.
    HANG = "hang"
    #: Open ones go on working, new ones are refused; see ``own_address``.
    REFUSE = "refuse"


class UpstreamCuts:
    """The cuts in force, by the address of the gateway."""

    def __init__(self) -> None:
        self._how_by_ip: dict[str, How] = {}
        self._healed = asyncio.Event()

    def cut(self, ips: list[str], how: How) -> None:
        """Cut gateways off; the workers reset what is open where that is due."""
        self._how_by_ip.update(dict.fromkeys(ips, how))
        self._healed = asyncio.Event()

    def heal(self) -> None:
        """End all cuts."""
        self._how_by_ip.clear()
        self._healed.set()

    def resets(self, ip: str) -> bool:
        """Return whether connections from an address are reset."""
        return self._how_by_ip.get(ip) is How.RESET

    async def until_it_passes(self, ip: str, reader: asyncio.StreamReader) -> None:
        """Wait while nothing passes; raise ``OSError`` if the gateway has given up."""
        if self.resets(ip):
            raise ConnectionResetError
        if self._how_by_ip.get(ip) is not How.HANG:
            return
        await self._healed.wait()
        # Lets the end of a connection that was closed meanwhile arrive.
        await asyncio.sleep(0)
        if reader.at_eof():
            raise ConnectionResetError
