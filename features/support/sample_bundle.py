"""
The bundle of the tests: one service, ``resv``, and one client account, ``hotel``.
"""

import hashlib

#: Client account of the bundle and its key.
ACCOUNT = "hotel"
KEY = "hotel-key"

TEXT = """
format = 1
version = {version}
deployment = "test"
timezone = "UTC"
[measuring]
budget_share = 0.002
[classes]
urgent = 0
browse = 1
upload = 2
[unknown_callers]
class = "browse"
[callers.hotel]
key_sha256 = "{key_hash}"
classes = ["urgent", "browse", "upload"]
[services.resv]
zones = ["z1", "z2", "z3"]
slots = 6
typical_ms = 10.0
{extra}
[[services.resv.operations]]
name = "read"
methods = ["GET"]
prefix = "/"
class = "browse"
[[services.resv.operations]]
name = "book"
methods = ["POST"]
prefix = "/bookings"
class = "urgent"
repeatable = false
[[services.resv.operations]]
name = "upload"
methods = ["PUT"]
prefix = "/uploads"
class = "upload"
repeatable = true
"""


def text_of(version: int, extra: str = "") -> str:
    """Return the text of ``version``; ``extra`` are further fields of ``resv``."""
    key_hash = hashlib.sha256(KEY.encode()).hexdigest()
    return TEXT.format(version=version, extra=extra, key_hash=key_hash)
