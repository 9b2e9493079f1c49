"""Steps of the gateway on stand-ins: readers, settings, planned stops."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import typing

import behave

from features.support import platform_context, platform_fleet

Fleet = platform_fleet.PlatformFleet
fleet_of = platform_context.fleet_of
run = platform_context.run
#: Well before a stop of 6 s takes nothing more.
TAKEN_AFTER_S = 1.5
#: Between slow requests: six of them at once, half of what the workers bear.
APART_S = 0.05


@behave.then("only one of the first zone's gateways goes on reading the store")
def one_reads(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def readers() -> list[str]:
        found = []
        for node in ("node-1", "node-4", "node-7"):
            async with fleet.session.get(fleet.url(node, "control", "/state")) as page:
                if (await page.json())["reads_source"]:
                    found.append(node)
        return found

    async def one() -> bool:
        return len(await readers()) == 1

    run(context, fleet.until(one))
    context.readers = run(context, readers())


@behave.when("that gateway is killed")
def kill_reader(context: typing.Any) -> None:
    async def kill() -> None:
        process = fleet_of(context).process_by_node[context.readers[0]]
        process.send_signal(signal.SIGKILL)
        await process.wait()

    run(context, kill())


@behave.when("a gateway is started whose only seed is dead")
def dead_seed(context: typing.Any) -> None:
    async def start() -> None:
        fleet = fleet_of(context)
        node = await fleet.start_gateway(3, seed=platform_fleet.DEAD_IP)
        await fleet.until_ready(node)

    run(context, start())


@behave.then("that gateway and the others name each other to callers")
def name_each_other(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def named(node: str) -> int:
        url = fleet.url(node, "directory", "/resolve?name=h&region=r&zone=z1")
        async with fleet.session.get(url) as page:
            return len((await page.json())["addresses"])

    async def all_named() -> bool:
        return [await named(node) for node in fleet.ip_by_node] == [3, 3, 3]

    run(context, fleet.until(all_named))


@behave.then("each zone's place for newcomers was written at most {most:d} times")
def few_writes(context: typing.Any, most: int) -> None:
    store = fleet_of(context).store
    assert store.calls_by_name["txn"] <= most * len(platform_fleet.ZONES)


@behave.then('the started program finds the standard library\'s "platform"')
def standard_platform(context: typing.Any) -> None:
    async def ask() -> bytes:
        code = "import runpy, sys; sys.argv = ['x']; sys.path.insert(0, 'platform');"
        code += "runpy.run_path('platform/start.py', run_name='loaded');"
        code += "import platform; print(platform.system(), platform.__file__)"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE
        )
        return (await process.communicate())[0]

    text = run(context, ask()).decode()
    assert text.startswith("Linux ") and "platform.py" in text, text


@behave.when("a gateway is started with settings that are cut short")
def cut_settings(context: typing.Any) -> None:
    async def start() -> tuple[int | None, bytes]:
        path = pathlib.Path(fleet_of(context).folder.name) / "cut.toml"
        path.write_text('node = "n"\nzone = "z')
        context.settings_path = str(path)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/start.py",
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "SPINDLENOTCH_SETTINGS": str(path)},
        )
        out, _ = await process.communicate()
        return process.returncode, out

    context.ended = run(context, start())


@behave.then("it ends with code 2 and a line that names the file")
def ended_badly(context: typing.Any) -> None:
    code, out = context.ended
    assert code == 2, context.ended
    assert context.settings_path in json.loads(out.splitlines()[0])["fault"]


async def named(fleet: Fleet, node: str) -> list[str]:
    """Return what a directory tells callers of the first zone."""
    url = fleet.url(node, "directory", f"/resolve?name={platform_fleet.HOST}&zone=z1")
    async with fleet.session.get(url) as page:
        answer = await page.json(content_type=None)
    assert 0 < answer["ttlS"] <= 1, answer
    return typing.cast(list[str], answer["addresses"])


@behave.then("the directory names {count:d} address")
@behave.then("the directory names {count:d} addresses")
def directory_names(context: typing.Any, count: int) -> None:
    fleet = fleet_of(context)

    async def right() -> bool:
        return len(await named(fleet, "node-2")) == count

    run(context, fleet.until(right))


@behave.when("a gateway gets SIGTERM while {count:d} slow requests are sent through it")
def stop_under_load(context: typing.Any, count: int) -> None:
    fleet = fleet_of(context)
    for worker in fleet.worker_by_id.values():
        worker.work_s = 0.3

    async def send() -> list[platform_fleet.Answer]:
        sending = []
        process = fleet.process_by_node["node-1"]
        for number in range(count):
            work = fleet.send("node-1", f"/read/x?n={number}", f"s{number}")
            sending.append(asyncio.ensure_future(work))
            await asyncio.sleep(APART_S)
            if number == count // 2:
                process.send_signal(signal.SIGTERM)
        answers = await asyncio.gather(*sending)
        await process.wait()
        return answers

    context.answers = run(context, send())
    context.target = "/read/x"


@behave.then("that gateway ended with code 0")
def ended_well(context: typing.Any) -> None:
    assert fleet_of(context).process_by_node["node-1"].returncode == 0


@behave.when(
    "a gateway gets SIGTERM and a slow request follows late on an open connection"
)
def late_request(context: typing.Any) -> None:
    fleet = fleet_of(context)
    for worker in fleet.worker_by_id.values():
        worker.work_s = 2.5

    async def port_closed() -> bool:
        ip, port = fleet.ip_by_node["node-1"], fleet.port_by_name["front"]
        try:
            _, probe = await asyncio.open_connection(ip, port)
        except OSError:
            return True
        probe.close()
        return False

    async def send() -> tuple[bytes, int]:
        ip, port = fleet.ip_by_node["node-1"], fleet.port_by_name["front"]
        reader, writer = await asyncio.open_connection(ip, port)
        fleet.process_by_node["node-1"].send_signal(signal.SIGTERM)
        # Under way when the port closes, and well past that.
        await asyncio.sleep(TAKEN_AFTER_S)
        taken = asyncio.ensure_future(fleet.send("node-1", "/read/x", "taken"))
        await fleet.until(port_closed)
        fields = (
            f"GET /read/x HTTP/1.1\r\nHost: {platform_fleet.HOST}\r\n"
            "X-Spindlenotch-Request-Id: late\r\n"
            "X-Spindlenotch-Deadline-Ms: 5000\r\n\r\n"
        )
        writer.write(fields.encode())
        try:
            return await reader.read(), (await taken).status
        finally:
            writer.close()

    context.late, context.taken = run(context, send())


@behave.then("that request gets status 503 and a time to come back")
def refused_late(context: typing.Any) -> None:
    assert context.taken == 200
    assert context.late.startswith(b"HTTP/1.1 503"), context.late
    assert b"Retry-After: " in context.late
    assert fleet_of(context).runs_of("late") == []


@behave.when("the settings file of a gateway changes without a signal")
def settings_change(context: typing.Any) -> None:
    path = fleet_of(context).logs["node-2"].with_suffix(".toml")
    path.write_text(path.read_text().replace("ttl_max_s=1", "ttl_max_s=0.5"))


@behave.then("that gateway tells callers the new time")
def new_time(context: typing.Any) -> None:
    fleet = fleet_of(context)
    url = fleet.url("node-2", "directory", f"/resolve?name={platform_fleet.HOST}")

    async def told() -> bool:
        async with fleet.session.get(url) as page:
            return bool((await page.json(content_type=None))["ttlS"] == 0.5)

    run(context, fleet.until(told))


@behave.when("its settings file is cut short and it gets SIGHUP")
def settings_cut(context: typing.Any) -> None:
    fleet = fleet_of(context)
    path = fleet.logs["node-2"].with_suffix(".toml")
    path.write_text(path.read_text()[:100])
    fleet.process_by_node["node-2"].send_signal(signal.SIGHUP)


@behave.then("a gateway's log has event 212 that names the file")
def refused_settings(context: typing.Any) -> None:
    log = fleet_of(context).logs["node-2"]

    async def logged() -> bool:
        lines = [json.loads(line) for line in log.read_text().splitlines()]
        return any(
            line["event"] == 212 and str(log.with_suffix(".toml")) in line["fault"]
            for line in lines
        )

    run(context, fleet_of(context).until(logged))


@behave.given(
    "a gateway that may take 60 seconds to stop, and a connection to it that rests"
)
def resting(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def start() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        node = await fleet.start_gateway(5, grace_s=60.0)
        await fleet.until_ready(node)
        reader, writer = await asyncio.open_connection(
            fleet.ip_by_node[node], fleet.port_by_name["front"]
        )
        writer.write(b"GET /nowhere HTTP/1.1\r\nHost: nobody\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        return reader, writer

    context.resting = run(context, start())


@behave.when("that gateway gets SIGTERM")
def stop_it(context: typing.Any) -> None:
    fleet_of(context).process_by_node["node-5"].send_signal(signal.SIGTERM)


@behave.then("the connection is closed and the process ends with code 0")
def closed_and_ended(context: typing.Any) -> None:
    async def end() -> int:
        reader, writer = context.resting
        async with asyncio.timeout(platform_fleet.LIMIT_S):
            await reader.read()
            writer.close()
            return await fleet_of(context).process_by_node["node-5"].wait()

    assert run(context, end()) == 0
