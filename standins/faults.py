"""
Faults that a stand-in can be told to show, and how it shows them.
"""

import asyncio
import dataclasses

from aiohttp import web


@dataclasses.dataclass(slots=True)
class Faults:
    """
    What is wrong just now.

    ``down`` cuts every connection without an answer; ``lose_answers`` lets that
    many writes take effect and then cuts the connection.
    """

    down: bool = False
    lose_answers: int = 0

    def before(self, request: web.Request) -> None:
        """Apply what happens before a request is handled."""
        if self.down:
            cut(request)

    def after_write(self, request: web.Request) -> None:
        """Apply what happens after a write took effect."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            cut(request)


def cut(request: web.Request) -> None:
    """Drop the connection; the client never gets an answer."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
