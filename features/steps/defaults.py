"""Steps about what the HTTP library must not do by itself."""

import gzip
import typing

import aiohttp
import behave
from aiohttp import web

from features.support import sample_bundle
from spindlenotch.drivers import upstream_http
from standins import server

ECHOED_HEADERS = ("Spindlenotch-Request-Id",)


@behave.when("an echoing upstream is asked for a redirect, a gzip body and a cookie")
def echoing(context: typing.Any) -> None:
    context.seen, context.answers = context.runner.run(_echo(context.fleet))


async def _echo(fleet: typing.Any) -> tuple[list[typing.Any], list[typing.Any]]:
    seen: list[typing.Any] = []

    async def handle(request: web.Request) -> web.Response:
        seen.append(dict(request.headers))
        echoed = {name: request.headers.get(name, "") for name in ECHOED_HEADERS}
        if request.path == "/redirect":
            return web.Response(status=302, headers={**echoed, "Location": "/else"})
        body = gzip.compress(b"packed")
        echoed["Content-Encoding"] = "gzip"
        echoed["Set-Cookie"] = "secret=1"
        return web.Response(body=body, headers=echoed)

    app = web.Application()
    app.add_routes([web.get("/{tail:.*}", handle)])
    runner, address = await server.serve(app)
    fleet.address_by_upstream["echo"] = address
    await fleet.list_upstream("echo", "z1", generation=1)
    await fleet.post(f"{fleet.hosts_url}/host", [{"id": "w0", "gone": True}])
    entry = fleet.entry_by_host["e0"]

    async def listed() -> bool:
        state = await fleet.state("e0")
        found = state["services"]["resv"]["upstreams"]
        return [u["id"] for u in found if u["state"] == "active"] == ["echo"]

    await fleet.until(listed, "the echoing upstream alone is listed")
    answers = []
    fields = {
        "Spindlenotch-Timeout-Ms": "3000",
        "Spindlenotch-Caller": "hotel",
        "Spindlenotch-Key": sample_bundle.KEY,
        "Connection": "keep-alive, X-Private",
        "X-Private": "1",
        "TE": "trailers",
    }
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        for path in ("redirect", "packed", "again"):
            url = f"http://{entry.address}/s/resv/{path}"
            async with session.get(
                url, headers=fields, allow_redirects=False
            ) as response:
                answers.append(
                    (response.status, dict(response.headers), await response.read())
                )
            session.cookie_jar.clear()
    await runner.cleanup()
    return seen, answers


@behave.then("each came back as the upstream sent it")
def came_back(context: typing.Any) -> None:
    redirect, packed, again = context.answers
    assert redirect[0] == 302 and redirect[1]["Location"] == "/else", redirect
    assert packed[1]["Content-Encoding"] == "gzip", packed
    assert gzip.decompress(packed[2]) == b"packed"
    assert again[1]["Set-Cookie"] == "secret=1"


@behave.then("no hop-by-hop header and no secret reached the upstream")
def nothing_passed(context: typing.Any) -> None:
    for fields in context.seen:
        lower = {name.lower() for name in fields}
        for name in ("x-private", "te", "spindlenotch-key", "cookie"):
            assert name not in lower, fields


@behave.then("both sessions have no total timeout, no cookies, no resend, no unpacking")
def sessions(context: typing.Any) -> None:
    async def check() -> None:
        port = upstream_http.HttpUpstreamPort()
        for new_connection in (False, True):
            session = port._session(new_connection=new_connection)
            # Five minutes by default, which would cut long uploads.
            assert session.timeout.total is None
            assert session.timeout.sock_read is None
            assert isinstance(session.cookie_jar, aiohttp.DummyCookieJar)
            assert session.auto_decompress is False
            assert session._retry_connection is False
            assert session.connector is not None
            assert session.connector.force_close is new_connection
        await port.close()

    context.runner.run(check())
