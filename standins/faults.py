"""
Faults that the store and the host list show on request.
"""

import asyncio
import dataclasses

from aiohttp import web


@dataclasses.dataclass(slots=True)
class Faults:
    """
    The faults in force.

    ``down`` cuts every connection without an answer; ``lose_answers`` lets that
    many writes take effect and then cuts the connection.
    """

    down: bool = False
    lose_answers: int = 0

    def before(self, request: web.Request) -> None:
        """Show the faults that come before a request is handled."""
        if self.down:
            cut(request)

    def after_write(self, request: web.Request) -> None:
        """Show the faults that come after a write took effect."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            cut(request)


def cut(request: web.Request) -> None:
    """Drop the connection, so that the client never gets an answer."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
