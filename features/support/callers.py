"""
Requests as callers of the tests send them: bookings, and many reads at once.
"""

import asyncio
import typing
from collections import abc

from spindlenotch import client

#: How long a caller waits for an answer, in seconds.
TIMEOUT_S = 8.0

#: What happens while requests are sent.
Event = abc.Callable[[], abc.Awaitable[None]]
Result = tuple[str, client.Answer | client.NoAnswer]


def booking(work: str, **options: typing.Any) -> client.Request:
    """Return a booking with a ticket, or with ``chosen_id``."""
    return client.Request(
        "resv",
        "POST",
        "/bookings",
        TIMEOUT_S,
        b"one night",
        (("X-Work", work),),
        repeatable=False,
        **options,
    )


async def send_many(
    fleet: typing.Any,
    count: int,
    seconds: float,
    event: Event | None,
) -> list[Result]:
    """
    Send ``count`` reads evenly over ``seconds``; return each with its name.

    ``event`` happens once a quarter of them has been sent.
    """
    caller = fleet.client()

    async def send_one(number: int) -> Result:
        work = f"many-{number}"
        request = client.Request(
            "resv", "GET", "/rates?ms=10", TIMEOUT_S, headers=(("X-Work", work),)
        )
        return work, await caller.call(request)

    tasks = []
    for number in range(count):
        if number == count // 4 and event is not None:
            await event()
        tasks.append(asyncio.ensure_future(send_one(number)))
        await asyncio.sleep(seconds / count)
    return list(await asyncio.gather(*tasks))
