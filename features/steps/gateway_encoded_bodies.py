"""Properties of requests whose bodies have a content coding."""

import gzip
import zlib

from features.steps import kernel
from features.support import recorded_gateway, served_gateway
from spindlenotch.gateway.serving import request_body

PLAIN = b"a photo of a room " * 3000
#: Longer than what is buffered, compressed and plain.
LONG = bytes(range(256)) * 5000
#: Bodies by content coding; not all of them are valid.
BODIES = (
    ("gzip", gzip.compress(PLAIN)),
    ("gzip", b"not compressed at all"),
    ("gzip", gzip.compress(b"\0" * 20_000_000)),
    ("deflate", zlib.compress(PLAIN)),
    ("br", b"any bytes"),
    ("zstd", b"any bytes"),
    ("odd", PLAIN),
    ("gzip", LONG),
)


# Guards against uploads that upstreams got decompressed, under the same header.
@kernel.PROPERTIES.register("bodies with a content coding are passed on unchanged")
def unchanged() -> None:
    assert len(LONG) > request_body.MAX_BUFFERED_BODY_BYTES

    async def play() -> None:
        def answer() -> served_gateway.ScriptedAnswer:
            return served_gateway.ScriptedAnswer(200, [b"good"], length=4)

        async with served_gateway.ServedGateway(answer) as gateway:
            for coding, body in BODIES:
                headers = {"Content-Encoding": coding}
                status, _ = await gateway.request(headers, body)
                assert status == 200, (coding, len(body), status)
                sent = gateway.port.sent[-1]
                assert sent.body_bytes == len(body), (coding, len(body), sent)
                assert dict(sent.headers)["Content-Encoding"] == coding

    recorded_gateway.run(play())
