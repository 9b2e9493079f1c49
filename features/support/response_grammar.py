"""Valid responses by RFC 9112, told without the product and its HTTP library."""

import re

TEXT = rb"[\t -~\x80-\xff]*"
FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + TEXT + rb"\r\n"
INTERIM = rb"HTTP/1\.[01] 1(?:0[02-9]|[1-9][0-9])(?: " + TEXT + rb")?\r\n"
FINAL = rb"HTTP/1\.[01] [2-5][0-9][0-9](?: " + TEXT + rb")?\r\n"
HEAD = re.compile(
    rb"(?:%b(?:%b)*\r\n)*(%b)((?:%b)*)\r\n" % (INTERIM, FIELD, FINAL, FIELD)
)
CHUNK = re.compile(rb"([0-9A-Fa-f]+)(?:;" + TEXT + rb")?\r\n")
TRAILER = re.compile(rb"(?:%b)*\r\n" % FIELD)


def valid_body(data: bytes) -> bytes | None:
    """Return the body of the response with which ``data`` begins; None: invalid."""
    head = HEAD.match(data)
    if head is None:
        return None
    rest = data[head.end() :]
    lines = [line.split(b":", 1) for line in head[2].split(b"\r\n")[:-1]]
    value_by_name = {name.lower(): value.strip(b" \t") for name, value in lines}
    codings = [v for n, v in lines if n.lower() == b"transfer-encoding"]
    lengths = [v.strip(b" \t") for n, v in lines if n.lower() == b"content-length"]
    if head[1][9:12] in (b"204", b"304"):
        return b""
    if codings:
        is_known = value_by_name[b"transfer-encoding"].lower() == b"chunked"
        if not is_known or lengths or len(codings) > 1 or head[1][:8] == b"HTTP/1.0":
            return None
        return _chunked_body(rest)
    if not lengths:
        return rest
    if len(lengths) > 1 or not re.fullmatch(rb"[0-9]+", lengths[0]):
        return None
    return rest[: int(lengths[0])] if len(rest) >= int(lengths[0]) else None


def _chunked_body(data: bytes) -> bytes | None:
    body = b""
    while size := CHUNK.match(data):
        length = int(size[1], 16)
        data = data[size.end() :]
        if length == 0:
            return body if TRAILER.match(data) else None
        if data[length : length + 2] != b"\r\n":
            return None
        body += data[:length]
        data = data[length + 2 :]
    return None
