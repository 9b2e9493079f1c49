"""
Fetch an explanation from an entry's operator port and word it.
"""

import typing
from collections import abc

import aiohttp

Found = typing.Any

TIMEOUT_S = 3.0


async def fetch(operator: str, service: str, call: str) -> Found:
    """Return the parsed explanation, or the error as a string."""
    params = {"service": service} if service else {"call": call}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(
                f"http://{operator}/explain", params=params
            ) as response:
                if response.status != 200:
                    return (await response.text()).strip()
                return await response.json()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return f"{operator}: {error or 'no answer'}"


def lines(found: Found) -> abc.Iterator[str]:
    """Word an explanation, a line at a time."""
    if isinstance(found, list):
        if not found:
            yield "no decision on this request is remembered here"
        for decision in found:
            yield from _decision(decision)
        return
    yield f"policy {found['policy']}, {found['waiting']} waiting"
    for upstream in found["upstreams"]:
        yield (
            f"{upstream['id']:<20} {upstream['state']:<10} cost {upstream['cost']:<7}"
            f" believed running {upstream['believed_running']:<6}"
            f" own {upstream['outstanding']} of {upstream['owned_slots']} owned"
            f" (belief {upstream['belief_age_s'] * 1000:.0f} ms old;"
            f" {upstream['why']})"
        )
    yield "last decisions:"
    for decision in found["recent"]:
        yield from _decision(decision)


def _decision(decision: Found) -> abc.Iterator[str]:
    yield (
        f"{decision['call']} {decision['try']}: {decision['upstream']},"
        f" {decision['why']} ({decision['seconds_ago']} s ago)"
    )
    for candidate in decision["candidates"]:
        yield (
            f"    {candidate['upstream']}: cost {candidate['cost']:.2f},"
            f" believed running {candidate['believed_running']:.1f},"
            f" belief {candidate['belief_age_s'] * 1000:.0f} ms old"
        )
