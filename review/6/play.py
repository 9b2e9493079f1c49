"""
Clients send bodies that they have compressed, and say so in ``Content-Encoding``.

Three gateways, three workers, uploads. Judged: the body that a worker runs is the one
that the client sent.
"""

import asyncio
import gzip
import zlib

from review.lab2 import stage

REQUESTS = 20
PHOTO = bytes(range(256)) * 200


async def play(on: stage.Stage, has_trouble: bool) -> list[str]:
    """Play the case; return what was broken."""
    on.configure(1, [stage.route("push", "/push/", "upload", "core")], ["core"])
    for name, zone in zip(("w-0", "w-1", "w-2"), stage.ZONES, strict=True):
        await on.add_worker(name, "core", zone, work_s=0.02)
    nodes = [await on.start_gateway(number) for number in (1, 2, 3)]
    for node in nodes:
        await on.until_ready(node)
    await asyncio.sleep(1.0)
    broken = []
    for number in range(REQUESTS):
        fields, body = _body(number, has_trouble)
        request_id = on.new_id()
        answer = await on.send(
            nodes[number % len(nodes)],
            f"/push/{number}",
            request_id,
            method="POST",
            body=body,
            fields=fields,
        )
        broken += _changed(on, request_id, fields, body)
        if 400 <= answer.status < 500:
            broken.append(f"DENIED: {request_id} was answered {answer.status}")
    return broken


def _body(number: int, is_compressed: bool) -> tuple[str, bytes]:
    """Return the additional fields and the body of an upload."""
    if not is_compressed:
        return "", PHOTO
    if number % 2:
        return "Content-Encoding: deflate\r\n", zlib.compress(PHOTO)
    return "Content-Encoding: gzip\r\n", gzip.compress(PHOTO)


def _changed(on: stage.Stage, request_id: str, fields: str, body: bytes) -> list[str]:
    """Return the runs of a request with another body than the client's."""
    return [
        f"UNASKED: {worker.id} ran {request_id} with a body of {len(run.body)} bytes;"
        f" the client sent {len(body)} ({fields.strip()})"
        for worker in on.worker_by_id.values()
        for run in worker.runs
        if run.request_id == request_id and run.body != body
    ]


if __name__ == "__main__":
    stage.main(__file__, play)
