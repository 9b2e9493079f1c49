"""
Checks the responses of peers on the connections of all sessions.

Relies on the strict mode of aiohttp's parser, and checks what it accepts more widely
than RFC 9110 and RFC 9112 do. ``http_client`` creates the sessions.
"""

import asyncio
import enum
import re
import sys
import typing

import aiohttp
import aiohttp.client_proto
import aiohttp.helpers
import aiohttp.http
import aiohttp.http_exceptions
import aiohttp.http_parser

#: Maximum number of interim responses (RFC 9110, section 15.2) before a final one. A
#: peer that sends them without end would take the process up.
MAX_INTERIM_RESPONSES = 16
MIN_FINAL_STATUS = 200
#: The module of aiohttp's parser of responses.
_PARSER_MODULE: typing.Any = sys.modules[
    aiohttp.http_parser.HttpResponseParser.__module__
]

#: A status line (RFC 9112, section 4) that can begin a response to this process. The
#: blank before an empty reason may be missing, as that section allows. Statuses below
#: 100 and above 599 are invalid (RFC 9110, section 15), and no request asks for another
#: protocol (101).
STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] (?!101)([1-5])[0-9]{2}(?: [\t -~\x80-\xff]*)?\r\n"
)
#: The first digit of an interim response's status.
INTERIM_CLASS = b"1"
#: The only transfer coding that is decoded; compared in lower case.
CHUNKED = "chunked"

_Response = tuple[aiohttp.http.RawResponseMessage, aiohttp.StreamReader]


class Expected(enum.Enum):
    """What the next bytes from a peer belong to."""

    STATUS_LINE = "status-line"
    INTERIM_FIELDS = "interim-fields"
    #: What follows the status line of a final response.
    REMAINDER = "remainder"


class StrictResponseHandler(aiohttp.client_proto.ResponseHandler):
    """
    Ends a connection on which something other than a valid response arrives.

    Checks what aiohttp's parser does not: the status line, the transfer coding, and the
    number of interim responses in a row. Whoever waits for the response, or for the
    rest of its body, gets an ``aiohttp.ClientError``.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._expected = Expected.REMAINDER
        #: The part of the status line that has arrived.
        self._status_line = b""
        self._interim_responses = 0

    def set_response_params(self, **options: typing.Any) -> None:
        """Expect the response to a request, and create a strict parser for it."""
        self._expect_status_line()
        # aiohttp has no public option for this: its parser accepts more of a response
        # than RFC 9112 does unless this is set when it is created. Other sessions in
        # the process of an embedding application are not affected.
        _PARSER_MODULE.DEBUG = True
        try:
            super().set_response_params(**options)
        finally:
            _PARSER_MODULE.DEBUG = aiohttp.helpers.DEBUG

    def data_received(self, data: bytes) -> None:
        """Check the status lines in the data, and parse it."""
        while data and self._expected is not Expected.REMAINDER:
            data = self._receive_head(data)
        if self._expected is Expected.REMAINDER:
            super().data_received(data)
            if self._exception is not None:
                self._fail_body(self._exception)

    def feed_data(self, data: _Response, size: int = 0) -> None:
        """Queue a response for whoever waits for it."""
        if self._exception is not None:
            # What is queued would be read before the exception.
            return
        message = data[0]
        if message.code >= MIN_FINAL_STATUS:
            self._interim_responses = 0
            if not _is_body_readable(message):
                self._fail("unknown transfer coding")
                return
        else:
            self._expect_status_line()
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._fail("too many interim responses")
                return
        super().feed_data(data, size)

    def _expect_status_line(self) -> None:
        self._expected = Expected.STATUS_LINE
        self._status_line = b""

    def _receive_head(self, data: bytes) -> bytes:
        """
        Receive data before the fields of a final response; return the data not parsed.

        The parser gets interim responses line by line: with more data it could parse
        another response whose status line has not been checked.
        """
        if self._exception is not None:
            return b""
        if self._expected is Expected.INTERIM_FIELDS:
            end = data.find(b"\n") + 1 or len(data)
        else:
            line = self._status_line + data
            status_line = STATUS_LINE.match(line)
            if status_line is None:
                if b"\n" in line:
                    self._fail("invalid status line")
                    return b""
                # The parser refuses at once what cannot become a status line.
                self._status_line = line
                end = len(data)
            elif status_line[1] != INTERIM_CLASS:
                self._expected = Expected.REMAINDER
                return data
            else:
                self._expected = Expected.INTERIM_FIELDS
                end = status_line.end() - len(self._status_line)
        super().data_received(data[:end])
        return data[end:]

    def _fail(self, message: str) -> None:
        self.set_exception(aiohttp.http_exceptions.BadHttpMessage(message))
        if self.transport is not None:
            self.transport.abort()

    def _fail_body(self, error: BaseException) -> None:
        """Fail whoever reads a body whose rest is invalid; aiohttp does not."""
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(str(error)), error)


def _is_body_readable(message: aiohttp.http.RawResponseMessage) -> bool:
    """
    Return whether the body has no transfer coding but the chunked one.

    Others would have to be decoded (RFC 9112, section 6.1); in HTTP/1.0 there is none.
    """
    coding = message.headers.get(aiohttp.hdrs.TRANSFER_ENCODING)
    if coding is None:
        return True
    is_chunked = message.chunked and coding.lower() == CHUNKED
    return is_chunked and message.version >= aiohttp.HttpVersion11
