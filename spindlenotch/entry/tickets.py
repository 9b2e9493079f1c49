"""
Tickets: request ids that an entry mints, and that name their one home.

A ticket names the life of the process that minted it, so that any entry finds
the home of a request without asking anyone. Pure: the instant is passed in.
"""

import base64
import hashlib
import hmac

import msgspec

from spindlenotch import ids

#: A ticket is good for this long after it was minted, in seconds. Docs/CAPACITY.md
#: counts the ids that it keeps in memory.
LIFETIME_S = 120.0
#: Longest request id that is read, in characters, whoever made it.
MAX_ID_CHARS = 200
#: Length that the MAC is cut to: 96 bits, more than the 80 that RFC 2104, section 5,
#: gives as the least, less than half a digest.
MAC_BYTES = 12
#: Between the fields of a ticket, and their number: host, incarnation,
#: sequence, milliseconds on the home's clock, MAC.
SEPARATOR = "~"
FIELD_COUNT = 5


class Ticket(msgspec.Struct, frozen=True):
    """A minted id, taken apart. ``minted_at`` is on the home's clock."""

    host: ids.HostId
    incarnation: ids.Incarnation
    sequence: int
    minted_at: ids.Instant


class Mint:
    """
    Mints and reads the tickets of one life of one process.

    Invariant: sequences never repeat. The key of the MAC never leaves the
    process, so nobody else can make a ticket that ``minted`` accepts.
    """

    def __init__(
        self, host: ids.HostId, incarnation: ids.Incarnation, secret: bytes
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.secret = secret
        self.sequence = 0

    def mint(self, now: ids.Instant) -> str:
        """Return a new ticket."""
        self.sequence += 1
        minted_ms = int(now * 1000)
        fields = (self.host, self.incarnation, str(self.sequence), str(minted_ms))
        body = SEPARATOR.join(fields)
        return f"{body}{SEPARATOR}{self._mac(body)}"

    def minted(self, ticket: Ticket, text: str) -> bool:
        """Tell whether this process minted ``text``, of which ``ticket`` is read."""
        if ticket.incarnation != self.incarnation:
            return False
        body, _, mac = text.rpartition(SEPARATOR)
        return hmac.compare_digest(mac, self._mac(body))

    def _mac(self, body: str) -> str:
        digest = hmac.new(self.secret, body.encode(), hashlib.sha256).digest()
        return base64.urlsafe_b64encode(digest[:MAC_BYTES]).decode()


def read_ticket(text: str) -> Ticket | None:
    """
    Take a ticket apart; None where it is malformed.

    Does not check the MAC: only the process that minted a ticket can.
    """
    parts = text.split(SEPARATOR)
    if len(parts) != FIELD_COUNT or len(text) > MAX_ID_CHARS:
        return None
    # A MAC can be compared only where it is ASCII, as all that are minted are.
    if not text.isascii():
        return None
    host, incarnation, sequence, minted_ms, _ = parts
    if not _is_decimal(sequence) or not _is_decimal(minted_ms):
        return None
    return Ticket(
        ids.HostId(host),
        ids.Incarnation(incarnation),
        int(sequence),
        ids.Instant(int(minted_ms) / 1000),
    )


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit()
