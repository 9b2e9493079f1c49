"""Steps of the gateway on stand-ins for the users' platform."""

import asyncio
import json
import typing

import behave

from features.support import (
    platform_context,
    platform_fleet,
    worker_records,
)

Fleet = platform_fleet.PlatformFleet
fleet_of = platform_context.fleet_of
living = platform_context.living
run = platform_context.run
ROUTES = [
    platform_fleet.route("read", "/read/"),
    platform_fleet.route("book", "/book/", "unsafe"),
    platform_fleet.route("photos", "/photos/", "upload"),
    platform_fleet.route("brief", "/brief/", "unsafe", timeoutS=0.4),
    platform_fleet.route("empty", "/empty/", service="nobody"),
]
SERVICES = ("core", "nobody")


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
    worker.mode = worker_records.Mode(mode)


@behave.given('all workers are "{mode}"')
@behave.when('all workers are "{mode}"')
def all_workers(context: typing.Any, mode: str) -> None:
    for worker in fleet_of(context).worker_by_id.values():
        worker.mode = worker_records.Mode(mode)


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
    async def send() -> list[platform_fleet.Answer]:
        fleet = fleet_of(context)
        answers = []
        for number in range(count):
            node = f"node-{1 + number % 2}"
            answers.append(await fleet.send(node, f"{target}?n={number}", f"m{number}"))
            await asyncio.sleep(0.01)
        return answers

    context.answers = run(context, send())
    context.target = target


@behave.then("all of them get status 200 with their own target")
def all_good(context: typing.Any) -> None:
    for number, (status, _, body) in enumerate(context.answers):
        assert status == 200, (number, status, body)
        assert body == f"{context.target}?n={number}".encode(), (number, body)


@behave.then("the client gets status {status:d}")
def gets(context: typing.Any, status: int) -> None:
    assert context.answer.status == status, context.answer


@behave.then("the client gets status 503 with a time to come back")
def refused(context: typing.Any) -> None:
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["Retry-After"]) > 0


@behave.then('"{request_id}" ran {count:d} times')
def ran_times(context: typing.Any, request_id: str, count: int) -> None:
    assert len(fleet_of(context).runs_of(request_id)) == count


@behave.then('"{request_id}" ran 1 time with that very target')
def ran_once(context: typing.Any, request_id: str) -> None:
    runs = [
        ran.target
        for worker in fleet_of(context).worker_by_id.values()
        for ran in worker.runs
        if ran.request_id == request_id
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
    answer = context.answer
    own = answer.status in (502, 503)
    assert ("X-Spindlenotch-Server-Stamp" in answer.headers) is not own, answer


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
            return (await fleet.send(node, target, "probe")).status == 200

        run(context, fleet.until(served))


@behave.then('every gateway still serves "{target}"')
def still_serves(context: typing.Any, target: str) -> None:
    async def check() -> None:
        # Longer than one wait of a watch, so that a mistake would show.
        for _ in range(15):
            for node in living(context):
                answer = await fleet_of(context).send(node, target, "probe")
                assert answer.status == 200, (node, answer)
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
