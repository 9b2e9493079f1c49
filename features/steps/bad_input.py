"""Steps that send what no well-behaved caller would."""

import asyncio
import os
import struct
import typing

import aiohttp
import behave

from features.support import sample_bundle
from spindlenotch.peers import peer_link

Fields = dict[str, str]
GOOD = {"Spindlenotch-Timeout-Ms": "3000"}
HOTEL = {**GOOD, "Spindlenotch-Caller": "hotel", "Spindlenotch-Key": sample_bundle.KEY}

#: What is sent, by the name the feature gives it: method, path, headers.
REQUESTS: dict[str, tuple[str, str, Fields]] = {
    "no deadline": ("GET", "/s/resv/", {}),
    "bad deadline": ("GET", "/s/resv/", {"Spindlenotch-Timeout-Ms": "-5"}),
    "huge deadline": ("GET", "/s/resv/", {"Spindlenotch-Timeout-Ms": "999999999"}),
    "unknown service": ("GET", "/s/nothing/", GOOD),
    "unknown operation": ("PATCH", "/s/resv/", GOOD),
    "unknown caller": ("GET", "/s/resv/", {**GOOD, "Spindlenotch-Caller": "who"}),
    "wrong key": ("GET", "/s/resv/", {**HOTEL, "Spindlenotch-Key": "wrong"}),
    "nameless with id": ("POST", "/s/resv/bookings", {**GOOD, "Idempotency-Key": "a"}),
    "class not granted": ("GET", "/s/resv/", {**GOOD, "Spindlenotch-Class": "urgent"}),
    "two ids": (
        "POST",
        "/s/resv/bookings",
        {**HOTEL, "Idempotency-Key": "a", "Spindlenotch-Ticket": "b"},
    ),
    "forged ticket": (
        "POST",
        "/s/resv/bookings",
        {**HOTEL, "Spindlenotch-Ticket": "not-a-ticket"},
    ),
    "non-ASCII ticket": (
        "POST",
        "/s/resv/bookings",
        {**HOTEL, "Spindlenotch-Ticket": "~".join(("e0", "i", "1", "1", "\u00e9"))},
    ),
    "key of raw bytes": (
        "GET",
        "/s/resv/",
        {**HOTEL, "Spindlenotch-Key": "\udcff\udcfe"},
    ),
    "endless count": ("GET", "/v1/entries?tickets=" + "9" * 5000, {}),
    "too many hops": ("GET", "/s/resv/", {**GOOD, "Spindlenotch-Hops": "32"}),
    "operator pages": ("GET", "/state", {}),
}
#: Requests with an id that are not declared first attempts: an earlier attempt
#: may have run, so the entry cannot answer "not run".
OUTCOME_UNKNOWN = {"nameless with id", "two ids"}

FRAMINGS: dict[str, bytes] = {
    "two lengths": b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "length and chunked": (
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "a malformed length": b"Content-Length: +5\r\n\r\nhello",
    "a header of 40000 bytes": b"X-Big: " + b"a" * 40_000 + b"\r\n\r\n",
}


@behave.when("a raw request is sent as {name}")
def raw_request(context: typing.Any, name: str) -> None:
    context.raw = context.runner.run(_send_request(context.fleet, name))
    context.sent = name


async def _send_request(fleet: typing.Any, name: str) -> tuple[int, Fields]:
    method, path, fields = REQUESTS[name]
    url = f"http://{fleet.entry_by_host['e0'].address}{path}"
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, headers=fields) as response:
            await response.read()
            return response.status, dict(response.headers)


@behave.then('the raw answer is status {status:d} with reason "{reason}"')
def raw_answer(context: typing.Any, status: int, reason: str) -> None:
    found, fields = context.raw
    assert (found, fields["Spindlenotch-Reason"]) == (status, reason), context.raw
    outcome = "unknown" if context.sent in OUTCOME_UNKNOWN else "not-run"
    assert fields["Spindlenotch-Outcome"] == outcome, fields


@behave.then("the raw status is {status:d}")
def raw_status(context: typing.Any, status: int) -> None:
    assert context.raw[0] == status, context.raw


@behave.then("no upstream ran anything")
def nothing_ran(context: typing.Any) -> None:
    assert context.runner.run(context.fleet.ledger()) == []


@behave.when("raw bytes are sent with {name}")
def raw_bytes(context: typing.Any, name: str) -> None:
    address = context.fleet.entry_by_host["e0"].address
    context.raw = context.runner.run(_send_bytes(address, FRAMINGS[name]))


async def _send_bytes(address: str, rest: bytes) -> tuple[int, Fields]:
    head = (
        b"POST /s/resv/bookings HTTP/1.1\r\nHost: a\r\nSpindlenotch-Timeout-Ms: 500\r\n"
    )
    reader, writer = await asyncio.open_connection(*address.split(":"))
    writer.write(head + rest)
    line = await reader.readline()
    writer.close()
    return int(line.split()[1]), {}


@behave.when("{count:d} pieces of garbage are sent to the peer port by UDP and TCP")
def garbage(context: typing.Any, count: int) -> None:
    address = context.fleet.entry_by_host["e0"].peer_address
    context.runner.run(_send_garbage(address, count))


async def _send_garbage(address: str, count: int) -> None:
    loop = asyncio.get_running_loop()
    target = peer_link.split_host_port(typing.cast(typing.Any, address))
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=target
    )
    for number in range(count):
        transport.sendto(os.urandom(number * 7 % 1400 + 1))
        # Slow enough that no datagram is lost before it reaches the entry.
        await asyncio.sleep(0.002)
    transport.close()
    for length in (0, 10, 5_000_000):
        _, writer = await asyncio.open_connection(*target)
        writer.write(struct.pack("!I", length) + os.urandom(min(length, 1000)))
        await writer.drain()
        writer.close()


@behave.then("the entry still serves")
def still_serves(context: typing.Any) -> None:
    status, fields = context.runner.run(
        _get_root(context.fleet.entry_by_host["e0"].address)
    )
    assert status == 200, (status, fields)


async def _get_root(address: str) -> tuple[int, Fields]:
    async with aiohttp.ClientSession() as session:
        url = f"http://{address}/s/resv/"
        async with session.get(url, headers=GOOD) as response:
            return response.status, dict(response.headers)


@behave.then("the entry counted dropped peer messages")
def counted(context: typing.Any) -> None:
    async def counted_all() -> bool:
        entry = context.fleet.entry_by_host["e0"]
        _, body = await context.fleet.get(f"http://{entry.operator_address}/metrics")
        lines = [
            line
            for line in body.decode().splitlines()
            if line.startswith("spindlenotch_peer_drops_total")
        ]
        return sum(float(line.split()[-1]) for line in lines) >= 200

    context.runner.run(context.fleet.until(counted_all, "all garbage is counted"))


@behave.then("the entry knows no peers")
def no_peers(context: typing.Any) -> None:
    state = context.runner.run(context.fleet.state("e0"))
    assert state["peers"] == [], state["peers"]
