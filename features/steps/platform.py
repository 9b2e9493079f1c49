"""Steps of the gateway on stand-ins for the users' platform."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import typing

import behave

from features.support import platform_fleet, platform_worker

Fleet = platform_fleet.PlatformFleet
ROUTES = [
    platform_fleet.route("read", "/read/"),
    platform_fleet.route("book", "/book/", "unsafe"),
    platform_fleet.route("photos", "/photos/", "upload"),
    platform_fleet.route("brief", "/brief/", "unsafe", timeoutS=0.4),
    platform_fleet.route("empty", "/empty/", service="nobody"),
]
SERVICES = ("core", "nobody")


def run(context: typing.Any, work: typing.Any) -> typing.Any:
    """Run a coroutine in the scenario's loop."""
    return context.runner.run(work)


def fleet_of(context: typing.Any) -> Fleet:
    """Return the scenario's fleet."""
    return typing.cast(Fleet, context.platform)


def living(context: typing.Any) -> list[str]:
    """Return the nodes whose processes run."""
    processes = fleet_of(context).process_by_node
    return [node for node, p in processes.items() if p.returncode is None]


@behave.given("a platform store with a configuration and {count:d} workers")
def platform_store(context: typing.Any, count: int) -> None:
    async def start() -> None:
        context.platform = Fleet()
        fleet = fleet_of(context)
        await fleet.store.start()
        config = platform_fleet.configuration(3, ROUTES, SERVICES)
        fleet.store.put("op/config", config)
        for number in range(count):
            await fleet.add_worker(f"i-{number}")

    run(context, start())


@behave.given("{count:d} gateways")
def gateways(context: typing.Any, count: int) -> None:
    async def start() -> None:
        fleet = fleet_of(context)
        nodes = [await fleet.start_gateway(number + 1) for number in range(count)]
        for node in nodes:
            await fleet.until_ready(node)

    run(context, start())


@behave.given("2 more gateways of the first zone")
def more_gateways(context: typing.Any) -> None:
    async def start() -> None:
        fleet = fleet_of(context)
        for number in (4, 7):
            await fleet.until_ready(await fleet.start_gateway(number))

    run(context, start())


@behave.given('one worker is "{mode}"')
def one_worker(context: typing.Any, mode: str) -> None:
    worker = fleet_of(context).worker_by_id["i-0"]
    worker.mode = platform_worker.Mode(mode)


@behave.given('all workers are "{mode}"')
@behave.when('all workers are "{mode}"')
def all_workers(context: typing.Any, mode: str) -> None:
    for worker in fleet_of(context).worker_by_id.values():
        worker.mode = platform_worker.Mode(mode)


@behave.when('a client sends {method} "{target}" as "{request_id}"')
def sends(context: typing.Any, method: str, target: str, request_id: str) -> None:
    context.target = target
    fleet = fleet_of(context)
    body = b"one night" if method == "POST" else None
    context.answer = run(
        context, fleet.send("node-1", target, request_id, method, body)
    )


@behave.when('a client uploads {size:d} bytes as "{request_id}"')
def uploads(context: typing.Any, size: int, request_id: str) -> None:
    fleet = fleet_of(context)
    work = fleet.send("node-1", "/photos/x", request_id, "POST", b"x" * size)
    context.answer = run(context, work)


@behave.when('a client sends POST "{target}" as "{request_id}" and leaves')
def leaves(context: typing.Any, target: str, request_id: str) -> None:
    async def send() -> None:
        fleet = fleet_of(context)
        sending = asyncio.ensure_future(
            fleet.send("node-1", target, request_id, "POST", b"x")
        )

        async def running() -> bool:
            return bool(fleet.runs_of(request_id))

        await fleet.until(running)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    run(context, send())


@behave.when('{count:d} requests GET "{target}" are sent')
def many(context: typing.Any, count: int, target: str) -> None:
    async def send() -> list[tuple[int, dict[str, str], bytes]]:
        fleet = fleet_of(context)
        found = []
        for number in range(count):
            node = f"node-{1 + number % 2}"
            found.append(await fleet.send(node, f"{target}?n={number}", f"m{number}"))
            await asyncio.sleep(0.01)
        return found

    context.answers = run(context, send())
    context.target = target


@behave.then("all of them get status 200 with their own target")
def all_good(context: typing.Any) -> None:
    for number, (status, _, body) in enumerate(context.answers):
        assert status == 200, (number, status, body)
        assert body == f"{context.target}?n={number}".encode(), (number, body)


@behave.then("the client gets status {status:d}")
def gets(context: typing.Any, status: int) -> None:
    assert context.answer[0] == status, context.answer


@behave.then("the client gets status 503 with a time to come back")
def refused(context: typing.Any) -> None:
    status, fields, _ = context.answer
    assert status == 503, context.answer
    assert float(fields["Retry-After"]) > 0


@behave.then('"{request_id}" ran {count:d} times')
def ran_times(context: typing.Any, request_id: str, count: int) -> None:
    assert len(fleet_of(context).runs_of(request_id)) == count


@behave.then('"{request_id}" ran 1 time with that very target')
def ran_once(context: typing.Any, request_id: str) -> None:
    runs = [
        target
        for worker in fleet_of(context).worker_by_id.values()
        for ran, target, _ in worker.runs
        if ran == request_id
    ]
    assert runs == [context.target], runs


@behave.then("the worker was told its own id and no more time than the client has")
def told(context: typing.Any) -> None:
    for worker in fleet_of(context).worker_by_id.values():
        for head in worker.heads:
            assert head.fields["x-spindlenotch-expect-instance"] == worker.id
            assert 0 < int(head.fields["x-spindlenotch-deadline-ms"]) <= 5000


@behave.then("the answer bears a stamp only if a worker gave that status")
def stamped(context: typing.Any) -> None:
    status, fields, _ = context.answer
    own = status in (502, 503)
    assert ("X-Spindlenotch-Server-Stamp" in fields) is not own, context.answer


@behave.then("the worker's work was broken off")
def broken_off(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def cancelled() -> bool:
        return sum(w.cancelled for w in fleet.worker_by_id.values()) == 1

    run(context, fleet.until(cancelled))


@behave.when('the operator adds a route "{prefix}" in version {version:d}')
def adds_route(context: typing.Any, prefix: str, version: int) -> None:
    routes = [*ROUTES, platform_fleet.route("new", prefix)]
    config = platform_fleet.configuration(version, routes, SERVICES)
    fleet_of(context).store.put("op/config", config)


@behave.when("the operator removes it again in version {version:d}")
def removes_route(context: typing.Any, version: int) -> None:
    config = platform_fleet.configuration(version, ROUTES, SERVICES)
    fleet_of(context).store.put("op/config", config)


@behave.then('every gateway serves "{target}"')
@behave.then('every gateway that lives serves "{target}"')
def serves(context: typing.Any, target: str) -> None:
    fleet = fleet_of(context)
    for node in living(context):

        async def served(node: str = node) -> bool:
            return (await fleet.send(node, target, "probe"))[0] == 200

        run(context, fleet.until(served))


@behave.then('every gateway still serves "{target}"')
def still_serves(context: typing.Any, target: str) -> None:
    async def check() -> None:
        # Longer than one wait of a watch, so that a mistake would show.
        for _ in range(15):
            for node in living(context):
                status, _, _ = await fleet_of(context).send(node, target, "probe")
                assert status == 200, (node, status)
            await asyncio.sleep(0.1)

    run(context, check())


@behave.when(
    "the store holds a configuration that is cut short and a worker without slots"
)
def bad_items(context: typing.Any) -> None:
    store = fleet_of(context).store
    whole = json.dumps(platform_fleet.configuration(12, [], SERVICES))
    store.put("op/config", whole[: len(whole) // 2].encode())
    worker = {"service": "core", "address": "127.0.0.1:9", "zone": "z1"}
    store.put("servers/bad", {**worker, "slots": 0, "state": "ready"})


@behave.then('a gateway\'s log has event {number:d} for "{key}"')
def log_has(context: typing.Any, number: int, key: str) -> None:
    lines = [
        json.loads(line)
        for log in fleet_of(context).logs.values()
        for line in log.read_text().splitlines()
        if line.startswith("{")
    ]
    found = [
        line for line in lines if line["event"] == number and line.get("key") == key
    ]
    assert found and all(line["reason"] for line in found), lines[-5:]


@behave.when("all workers but one say that they drain")
def drain(context: typing.Any) -> None:
    fleet = fleet_of(context)
    for worker in list(fleet.worker_by_id.values())[1:]:
        fleet.list_worker(worker, state="draining")


@behave.then("only that one runs what is sent from then on")
def only_one(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def settled() -> bool:
        before = [len(w.runs) for w in fleet.worker_by_id.values()]
        for number in range(20):
            await fleet.send(f"node-{1 + number % 2}", "/read/x", "settle")
        after = [len(w.runs) for w in fleet.worker_by_id.values()]
        return after[0] - before[0] == 20 and after[1:] == before[1:]

    run(context, fleet.until(settled))
    assert run(context, settled())


@behave.when("a worker's address is taken by one with another id")
def taken_over(context: typing.Any) -> None:
    context.replaced = fleet_of(context).worker_by_id["i-0"]
    context.replaced.id = "i-of-another-service"


@behave.then("the new worker ran nothing")
def ran_nothing(context: typing.Any) -> None:
    assert context.replaced.runs == []


@behave.when("the store forgets its history while a worker is taken away")
def forgets(context: typing.Any) -> None:
    fleet = fleet_of(context)
    context.replaced = fleet.worker_by_id["i-0"]
    del fleet.store.item_by_key["servers/i-0"]
    fleet.store.revision += 1
    fleet.store.forget_history()


@behave.then("that worker gets nothing new")
def nothing_new(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def settled() -> bool:
        before = len(context.replaced.runs)
        for number in range(20):
            await fleet.send(f"node-{1 + number % 2}", "/read/x", "settle")
        return len(context.replaced.runs) == before

    run(context, fleet.until(settled))
    assert run(context, settled())


@behave.when('the store is "{trouble}" for a while')
def store_trouble(context: typing.Any, trouble: str) -> None:
    store = fleet_of(context).store
    store.trouble.refuse = {"refuse": 503, "busy": 429}.get(trouble, 0)
    store.trouble.silent = trouble == "silent"


@behave.when("the store is sound again")
def store_sound(context: typing.Any) -> None:
    store = fleet_of(context).store
    store.trouble.refuse = 0
    store.trouble.silent = False


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

    async def send() -> list[tuple[int, dict[str, str], bytes]]:
        sending = []
        process = fleet.process_by_node["node-1"]
        for number in range(count):
            work = fleet.send("node-1", f"/read/x?n={number}", f"s{number}")
            sending.append(asyncio.ensure_future(work))
            await asyncio.sleep(0.02)
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
