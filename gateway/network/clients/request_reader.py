"""Parses the requests on one connection: takes bytes and returns typed events, without a transport.

The reader is a state machine. Input that has no row in the table leaves the state unchanged and emits no
event.

| state               | input                                       | next state          | events           |
| ------------------- | ------------------------------------------- | ------------------- | ---------------- |
| IDLE                | first byte of a request                     | HEAD                | MessageStarted   |
| HEAD                | end of the head                             | BODY                | HeadReceived     |
| HEAD                | end of the head, with a length that exceeds | LARGE_BODY          | HeadReceived,    |
|                     | MAX_BUFFERED_BYTES or the available memory  |                     | LargeBodyStarted |
| HEAD                | end of a head that fails a check            | REJECTED            | RequestRejected  |
| BODY                | part that brings the body beyond            | LARGE_BODY          | LargeBodyStarted |
|                     | MAX_BUFFERED_BYTES or the available memory  |                     |                  |
| BODY                | end of the request                          | IDLE                | RequestReceived  |
| LARGE_BODY          | part of the body                            | LARGE_BODY          | BodyReceived     |
| LARGE_BODY          | end of the request                          | LARGE_BODY_RECEIVED | BodyCompleted    |
| LARGE_BODY_RECEIVED | first byte of a request                     | HEAD                | MessageStarted   |
| LARGE_BODY_RECEIVED | call of `expect_next_message`               | IDLE                |                  |
| BODY, LARGE_BODY    | body or trailers beyond their limit         | REJECTED            | RequestRejected  |
| any                 | bytes that are not HTTP, or an upgrade      | REJECTED            | RequestRejected  |
| REJECTED            | any                                         | REJECTED            |                  |

All parts of a large body in one input are emitted as one event. RequestRejected is the last event that a call
of `feed` returns. If a head repeats a recognized header field, the call first processes its remaining bytes
and then rejects the request, even if the head is still incomplete. If the completed head also fails another
check, that check determines the status.
"""

from __future__ import annotations

import enum
from http import HTTPStatus
from typing import Protocol

import httptools

from gateway.network.clients import header_names
from gateway.network.clients.header_names import RECOGNIZED_HEADERS
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_events import (
    BodyCompleted,
    BodyReceived,
    HeadReceived,
    LargeBodyStarted,
    MessageStarted,
    RequestEvent,
    RequestReceived,
    RequestRejected,
)
from gateway.network.clients.upload import MAX_BUFFERED_BYTES
from gateway.network.memory_budget import NARROW_READ_BYTES, MemoryBudget, Reservation

# Maximum size of the head of a request, in bytes. The names and values of all header fields and trailers of a
# request together must not exceed this size either.
MAX_HEAD_BYTES = 16 * 1024

# Maximum size of the body of a request, in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024

# Bytes that a request may occupy on the wire, in addition to MAX_RAW_BYTES_PER_BODY_BYTE for each byte of its
# body.
MAX_RAW_OVERHEAD_BYTES = MAX_HEAD_BYTES + 512 * 1024

# Bytes that a request may occupy on the wire for each byte of its body. The allowance is for chunk sizes and
# chunk extensions, which do not count as body.
MAX_RAW_BYTES_PER_BODY_BYTE = 8

# Maximum number of digits of Content-Length. It is checked before the conversion to an integer.
MAX_CONTENT_LENGTH_DIGITS = 12

# Characters that are removed from both ends of a header value (optional whitespace in HTTP).
OPTIONAL_WHITESPACE = b" \t"

# Least number of bytes of a header field on the wire in addition to its name and its value: the colon and the
# end of the line.
HEADER_FIELD_OVERHEAD_BYTES = 3

# The events without fields; one instance of each is used for all requests.
_MESSAGE_STARTED = MessageStarted()
_BODY_COMPLETED = BodyCompleted()


class ReaderState(enum.Enum):
    """The part of a request that the reader expects next."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    LARGE_BODY = enum.auto()
    LARGE_BODY_RECEIVED = enum.auto()
    REJECTED = enum.auto()


# The states as module variables, because access to an enum member through its class is slow in Python 3.11.
_IDLE = ReaderState.IDLE
_HEAD = ReaderState.HEAD
_BODY = ReaderState.BODY
_LARGE_BODY = ReaderState.LARGE_BODY
_LARGE_BODY_RECEIVED = ReaderState.LARGE_BODY_RECEIVED
_REJECTED = ReaderState.REJECTED


class _Parser(Protocol):
    """The methods of the HTTP parser that the reader calls; httptools has no type information."""

    def feed_data(self, data: bytes | memoryview) -> None: ...

    def get_method(self) -> bytes: ...

    def get_http_version(self) -> str: ...

    def should_keep_alive(self) -> bool: ...


class RequestReader:
    """Parses the requests on one connection.

    The parser calls the methods whose names begin with `on_`.
    """

    def __init__(self, body_memory: Reservation | None = None) -> None:
        """Create a reader that expects the first request of a connection.

        Args:
            body_memory: Grows with each body that is buffered, and is released by the caller. By default the
                memory is not limited.
        """
        self._body_memory = body_memory or Reservation(MemoryBudget())
        self._parser: _Parser = httptools.HttpRequestParser(self)
        self._events: list[RequestEvent] = []
        self._rejection: HTTPStatus | None = None
        self.body_size = 0  # bytes received so far of the current or most recent body
        self._start_message(_IDLE)

    def _start_message(self, state: ReaderState) -> None:
        self.state = state
        self.raw_size = 0  # bytes of the request on the wire; updated at the end of each call of `feed`
        self._header_bytes = 0  # names and values of all header fields and trailers
        self._parsed_bytes = 0  # bytes on the wire of the target and the header fields that are complete
        self._kept_header_bytes = 0  # names and values of the recognized header fields
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()  # the buffered body; empty once the body counts as large
        self._large_parts: list[bytes] = []  # the parts of a large body in the current input

    # -- interface

    def feed(self, data: bytes | memoryview) -> list[RequestEvent]:
        """Parse bytes and return the resulting events; after a rejection, ignore all bytes."""
        if self.state is _REJECTED:
            return []
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._rejection = self._rejection or HTTPStatus.BAD_REQUEST
        self._emit_large_parts()
        self.raw_size += len(data)
        events = self._events
        self._events = []
        if self._rejection is not None:
            self.state = _REJECTED
            events.append(RequestRejected(self._rejection))
        return events

    def check_raw_size(self) -> RequestRejected | None:
        """Return a rejection if the current request occupies too many bytes on the wire, otherwise None.

        The limit is MAX_HEAD_BYTES up to the end of the head, and grows with the body after that.
        """
        if self.state is _IDLE or self.state is _HEAD:
            if self.raw_size > MAX_HEAD_BYTES:
                return RequestRejected(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self.raw_size > MAX_RAW_OVERHEAD_BYTES + MAX_RAW_BYTES_PER_BODY_BYTE * self.body_size:
            return RequestRejected(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        return None

    def expect_next_message(self) -> None:
        """Expect the next request, and count its bytes on the wire from zero."""
        self.state = _IDLE
        self.raw_size = 0
        self._forget_head()

    @property
    def held_bytes(self) -> int:
        """The memory in bytes of what has been received of a request, without a body that is reserved."""
        if self.state is _HEAD:
            unparsed_bytes = max(0, self.raw_size - self._parsed_bytes)
            return len(self._target) + self._kept_header_bytes + unparsed_bytes
        buffered_bytes = len(self._body)
        if buffered_bytes > NARROW_READ_BYTES:
            buffered_bytes = 0
        return len(self._target) + self._kept_header_bytes + buffered_bytes

    def discard_request(self) -> None:
        """Drop what has been received of a request that has been rejected or whose client has gone."""
        self._body = bytearray()
        self._forget_head()

    @property
    def supports_chunks(self) -> bool:
        """Whether the client can receive a chunked response: the HTTP version of its request is 1.1."""
        return self._parser.get_http_version() == "1.1"

    def close(self) -> None:
        """Release the parser; `feed` must not be called afterwards.

        The parser refers to this reader. The reference cycle would keep both in memory until a garbage
        collection.
        """
        del self._parser

    # -- the parser's callbacks

    def on_message_begin(self) -> None:
        """Start a request at its first byte."""
        if self.state is not _REJECTED:
            self._start_message(_HEAD)
            self._events.append(_MESSAGE_STARTED)

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        if self.state is not _REJECTED:
            self._target += part
            self._parsed_bytes += len(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a recognized header field of the head; ignore a trailer, but limit the size of all fields."""
        field_bytes = len(name) + len(value)
        self._header_bytes += field_bytes
        self._parsed_bytes += field_bytes + HEADER_FIELD_OVERHEAD_BYTES
        if self.state is _HEAD:
            name = name.lower()
            if name in RECOGNIZED_HEADERS:
                if name in self._headers:
                    self._rejection = HTTPStatus.BAD_REQUEST
                self._headers[name] = value.strip(OPTIONAL_WHITESPACE)
                self._kept_header_bytes += field_bytes
        elif self._header_bytes > MAX_HEAD_BYTES and self.state is not _REJECTED:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Check the complete head, and emit HeadReceived if it is acceptable."""
        if self.state is not _HEAD:
            return
        status = self._check_head()
        if status is not None:
            self._reject(status)
            return
        self.body_size = 0
        expects_continue = self._headers.get(header_names.EXPECT, b"").lower() == b"100-continue"
        self._events.append(HeadReceived(self._parser.should_keep_alive(), expects_continue))
        self.state = _BODY
        if not self._may_buffer(int(self._headers.get(header_names.CONTENT_LENGTH, b"0"))):
            self._start_large_body()
        if self._rejection is not None:
            self.state = _REJECTED

    def on_body(self, part: bytes) -> None:
        """Buffer a part of the body; if the body is large, emit the part instead."""
        if self.state is _REJECTED:
            return
        self.body_size += len(part)
        if self.body_size > MAX_BODY_BYTES:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.state is _LARGE_BODY:
            self._large_parts.append(part)
        else:
            self._body += part
            if not self._may_buffer(len(self._body)):
                self._start_large_body()

    def on_message_complete(self) -> None:
        """Emit the end of a large body, or a complete request with its buffered body."""
        if self.state is _LARGE_BODY:
            self._emit_large_parts()
            self.state = _LARGE_BODY_RECEIVED
            self._events.append(_BODY_COMPLETED)
        elif self.state is _BODY:
            request = ReceivedRequest(
                self._parser.get_method(), self._target, self._headers, bytes(self._body), None
            )
            self._body = bytearray()
            # After this callback, the parser no longer has the value of `should_keep_alive` for this request.
            self._events.append(RequestReceived(request, self._parser.should_keep_alive()))
            self.expect_next_message()

    # -- helpers

    def _forget_head(self) -> None:
        self._target = b""
        self._headers = {}
        self._kept_header_bytes = 0

    def _check_head(self) -> HTTPStatus | None:
        """Return the status with which to reject the complete head, None if the head is acceptable."""
        length = self._headers.get(header_names.CONTENT_LENGTH)
        if length is not None:
            # If Content-Length and Transfer-Encoding are both present, the end of the request is ambiguous.
            if header_names.TRANSFER_ENCODING in self._headers or not length.isdigit():
                return HTTPStatus.BAD_REQUEST
            if len(length) > MAX_CONTENT_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
                return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        if len(self._target) + self._header_bytes > MAX_HEAD_BYTES:
            return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        return None

    def _may_buffer(self, size: int) -> bool:
        """Return whether a body of this size may be buffered; if it may, its memory is reserved.

        A body of at most one read needs no reservation: the window of its request covers it.
        """
        if size > MAX_BUFFERED_BYTES:
            return False
        return size <= NARROW_READ_BYTES or self._body_memory.try_cover(size)

    def _emit_large_parts(self) -> None:
        if self._large_parts:
            self._events.append(BodyReceived(b"".join(self._large_parts)))
            self._large_parts = []

    def _start_large_body(self) -> None:
        length = self._headers.get(header_names.CONTENT_LENGTH)
        self.state = _LARGE_BODY
        self._events.append(
            LargeBodyStarted(
                self._parser.get_method(),
                self._target,
                self._headers,
                None if length is None else int(length),
                bytes(self._body),
            )
        )
        self._body = bytearray()

    def _reject(self, status: HTTPStatus) -> None:
        self._rejection = status
        self.state = _REJECTED
