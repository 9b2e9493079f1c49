"""
Ask a running entry's operator port for an explanation, and describe it.

The types here hold what the description shows of the JSON that
``entry.explain`` writes; further fields are passed over.
"""

import typing
from collections import abc

import aiohttp
import msgspec

from spindlenotch.drivers import http_client

#: Longest wait for the operator port.
TIMEOUT_S = 3.0

Shape = typing.TypeVar("Shape")

#: A number as the entry wrote it; null stands for infinity.
Number = int | float | None


class FetchError(Exception):
    """There is no explanation; the text says why."""


class Candidate(msgspec.Struct):
    """An upstream that was compared in a decision."""

    upstream: str
    cost: Number
    believed_running: Number
    belief_age_s: Number


class Decision(msgspec.Struct):
    """One choice of an upstream for one attempt of a request."""

    call: str
    attempt: str = msgspec.field(name="try")
    upstream: str
    why: str
    seconds_ago: Number
    candidates: list[Candidate]


class Upstream(msgspec.Struct):
    """An upstream of a service as the entry sees it now."""

    id: str
    state: str
    cost: Number
    believed_running: Number
    outstanding: int
    owned_slots: Number
    belief_age_s: Number
    why: str


class Service(msgspec.Struct):
    """A service as the entry sees it now, with its last decisions."""

    policy: str
    waiting: int
    upstreams: list[Upstream]
    recent: list[Decision]


async def fetch(operator: str, *, service: str = "", call: str = "") -> bytes:
    """
    Return the explanation of a service or of a request id, as JSON.

    Raise ``FetchError`` where the entry refuses or does not answer.
    """
    params = {"service": service} if service else {"call": call}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    url = f"http://{operator}/explain"
    try:
        async with http_client.new_session(timeout=timeout) as session:
            async with session.get(url, params=params) as response:
                if response.status != 200:
                    raise FetchError((await response.text()).strip())
                return await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise FetchError(f"{operator}: {error or 'no answer'}") from error


def formatted(body: bytes) -> str:
    """Return an explanation as indented JSON; raise ``FetchError`` if unreadable."""
    try:
        return msgspec.json.format(body).decode()
    except msgspec.MsgspecError as error:
        raise FetchError(f"the answer is no explanation: {error}") from error


def describe_call(body: bytes) -> list[str]:
    """Describe the decisions on one request; raise ``FetchError`` if unreadable."""
    decisions = _decode(body, list[Decision])
    if not decisions:
        return ["no decision on this request is remembered here"]
    return [line for decision in decisions for line in _decision_lines(decision)]


def describe_service(body: bytes) -> list[str]:
    """Describe a service; raise ``FetchError`` if ``body`` is unreadable."""
    service = _decode(body, Service)
    lines = [f"policy {service.policy}, {service.waiting} waiting"]
    lines += [_upstream_line(upstream) for upstream in service.upstreams]
    lines.append("last decisions:")
    for decision in service.recent:
        lines += _decision_lines(decision)
    return lines


def _decode(body: bytes, shape: type[Shape]) -> Shape:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError as error:
        raise FetchError(f"the answer is no explanation: {error}") from error


def _upstream_line(upstream: Upstream) -> str:
    return (
        f"{upstream.id:<20} {upstream.state:<10} cost {_exact(upstream.cost):<7}"
        f" believed running {_exact(upstream.believed_running):<6}"
        f" own {upstream.outstanding} of {upstream.owned_slots} owned"
        f" ({_age(upstream.belief_age_s)};"
        f" {upstream.why})"
    )


def _decision_lines(decision: Decision) -> abc.Iterator[str]:
    yield (
        f"{decision.call} {decision.attempt}: {decision.upstream},"
        f" {decision.why} ({decision.seconds_ago} s ago)"
    )
    for candidate in decision.candidates:
        yield (
            f"    {candidate.upstream}: cost {_rounded(candidate.cost, 2)},"
            f" believed running {_rounded(candidate.believed_running, 1)},"
            f" {_age(candidate.belief_age_s)}"
        )


def _age(seconds: Number) -> str:
    if seconds is None:
        return "no report yet"
    return f"belief {seconds * 1000:.0f} ms old"


def _exact(value: Number) -> str:
    return "infinite" if value is None else str(value)


def _rounded(value: Number, digits: int) -> str:
    return "infinite" if value is None else f"{value:.{digits}f}"
