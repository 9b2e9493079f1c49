"""
What is recorded of events and of log lines.

Event numbers with their levels, the fields of each event's lines as the code
names them, and some lines as a gateway writes them. ``recorded_names`` lists
the samples.
"""

import ast
import json
import os
import pathlib
import types
import typing
import zlib

import loguru
import msgspec

from features.support import recorded_gateway
from spindlenotch import events, ids, ports
from spindlenotch.decisions import verdicts
from spindlenotch.forwarding import crash_watch, exchanges, granting, jobs
from spindlenotch.gateway import log_sink
from spindlenotch.gateway.serving import request_log
from spindlenotch.kernel import outcomes, wait_queue

Plain = typing.Any
CODE = (pathlib.Path("spindlenotch"), pathlib.Path("platform"))
ROOT = pathlib.Path(__file__).parents[2]


def event_rows() -> Plain:
    """Return the levels of the events by number."""
    entries = sorted((event.value for event in events.Event), key=lambda e: e.number)
    return {str(e.number): e.level for e in entries}


def line_fields() -> Plain:
    """
    Return the field names of each event's lines, in their order.

    Read from the code, since most lines take a fault to come by: each call of
    ``emit`` is found wherever it stands.
    """
    found: dict[int, set[tuple[str, ...]]] = {}
    for folder in CODE:
        for path in sorted((ROOT / folder).rglob("*.py")):
            tree = ast.parse(path.read_text())
            for call in ast.walk(tree):
                if not isinstance(call, ast.Call) or _name(call.func) != "emit":
                    continue
                fields = tuple(str(keyword.arg) for keyword in call.keywords)
                for number in _numbers(call.args[0], tree):
                    found.setdefault(number, set()).add(fields)
    return {
        str(number): sorted(" ".join(fields) for fields in found[number])
        for number in sorted(found)
    }


def _numbers(asked: ast.expr, tree: ast.Module) -> list[int]:
    """Return the numbers of the events that an expression may name."""
    names = {_name(node) for node in ast.walk(asked)} - {""}
    parts = list(ast.walk(asked))
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and _name(node.targets[0]) in names:
            parts += ast.walk(node.value)
    found = {
        part.attr
        for part in parts
        if isinstance(part, ast.Attribute) and _name(part.value) == "Event"
    }
    assert found, f"no event in {ast.dump(asked)}"
    return [events.Event[name].value.number for name in found]


def _name(node: ast.AST) -> str:
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def log_lines() -> bytes:
    """Return the lines that a gateway writes of some events; times are zero."""
    reading, writing = os.pipe()
    handler = loguru.logger.add(
        log_sink.LogSink(writing), level="INFO", format="{message}"
    )
    try:
        recorded_gateway.run(_provoke())
    finally:
        loguru.logger.remove(handler)
        os.close(writing)
    with open(reading, "rb") as pipe:
        lines = [json.loads(line) for line in pipe.read().splitlines()]
    return b"\n".join(msgspec.json.encode({**line, "at": 0}) for line in lines)


async def _provoke() -> None:
    """Let a gateway take everything in, and tell of requests' ends."""
    state, _ = recorded_gateway.serving()
    core = ids.ServiceName("core")
    service = state.balancer_by_service[core]
    (upstream,) = service.pool.upstream_by_id.values()
    now = state.clock.now()
    call = wait_queue.Call(
        id=ids.CallId("call-1"),
        priority=1,
        repeatable=True,
        deadline=ids.later(now, 5),
        latency_key="route-0",
        arrived_at=now,
    )
    job = jobs.Job(
        balancer=service,
        call=call,
        method="GET",
        target="/path-0",
        headers=[],
        body=None,
        needs_new_connection=False,
    )
    grant = verdicts.Grant(call, upstream, verdicts.Kind.RETRY, now, 2.5)
    answer = typing.cast(ports.UpstreamAnswer, types.SimpleNamespace(status=503))
    grants = typing.cast(granting.Grants, None)
    crash_detector = typing.cast(crash_watch.CrashDetector, None)
    exchange = exchanges.Exchange(grants, crash_detector, job, grant, answer)
    log = request_log.RequestLog(state)
    log.served(_sampled(), job, exchange)
    log.upstream_failed("request-1", job, exchange)
    log.refused(
        "request-2", job, outcomes.not_run(outcomes.Reason.QUEUE_FULL), wait_s=0.5
    )
    log.failed("request-3", job, 504, outcomes.Reason.DEADLINE_PASSED)
    state.leave_upstream(core, upstream.spec, "a reason")


def _sampled() -> str:
    """Return the first request id that is in the sample of 64."""
    names = (f"request-{number}" for number in range(10_000))
    return next(name for name in names if zlib.crc32(name.encode()) % 64 == 0)


def lines_of(data: bytes) -> object:
    """Return the recorded log lines, each as a map."""
    return [json.loads(line) for line in data.splitlines()]
