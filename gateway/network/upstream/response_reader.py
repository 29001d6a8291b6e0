"""An incremental reader of HTTP responses that turns bytes into typed events and performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

import httptools

# Maximum size in bytes of the head of a response together with the preceding interim responses. Each input
# that begins within a head counts with its full size, even if the head ends within the input.
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024  # maximum size of a response body in bytes
# Maximum number of digits of Content-Length, which is checked before the conversion to an integer.
MAX_LENGTH_DIGITS = 9
FIRST_FINAL_STATUS = 200  # smallest status code of a final response; interim responses have smaller ones
STATUSES_WITHOUT_BODY = frozenset((204, 304))  # status codes of responses that never have a body


class MalformedReason(Enum):
    """The reason for which a response is rejected as malformed."""

    INVALID_SYNTAX = auto()  # not valid HTTP, or an upgrade to another protocol
    INVALID_LENGTH = auto()  # Content-Length is not a decimal number or exceeds MAX_BODY_BYTES
    HEAD_TOO_LARGE = auto()  # the head exceeds MAX_HEAD_BYTES
    BODY_TOO_LARGE = auto()  # the body exceeds MAX_BODY_BYTES


@dataclass(slots=True)
class ResponseHead:
    """The head of the final response."""

    status: int
    length: int | None  # Content-Length: the size of the body in bytes; None if it is missing
    content_type: bytes = b""
    load_report: bytes = b""  # the value of X-Load; empty if it is missing
    is_not_executed: bool = False  # whether X-Not-Run is 1: the endpoint did not execute the request


@dataclass(slots=True)
class BodyPart:
    """The next bytes of the body of the final response."""

    data: bytes


@dataclass(slots=True)
class ResponseEnd:
    """The end of the final response."""

    keep_alive: bool  # whether the endpoint accepts another request on the connection


@dataclass(slots=True)
class UnexpectedData:
    """Bytes that follow the complete response; reported once for each response."""


@dataclass(slots=True)
class MalformedResponse:
    """The rejection of a malformed response; no event follows."""

    reason: MalformedReason


ResponseEvent = ResponseHead | BodyPart | ResponseEnd | UnexpectedData | MalformedResponse


class ReaderState(Enum):
    """The part of the response that a reader expects; see ResponseReader for the transitions."""

    HEAD = auto()  # the head of an interim response or of the final one
    INTERIM = auto()  # the remainder of an interim response after its head
    BODY = auto()  # a body whose end is determined by the header fields or the status code
    BODY_UNTIL_EOF = auto()  # a body delimited by the close of the connection
    COMPLETE = auto()  # the final response has ended
    UNEXPECTED_DATA = auto()  # bytes have been received after the final response
    MALFORMED = auto()  # the response has been rejected; further bytes are ignored


# Module constants because attribute access on an enum class is slow in Python 3.11.
_HEAD = ReaderState.HEAD
_INTERIM = ReaderState.INTERIM
_BODY = ReaderState.BODY
_COMPLETE = ReaderState.COMPLETE
_UNEXPECTED_DATA = ReaderState.UNEXPECTED_DATA
_MALFORMED = ReaderState.MALFORMED


class ResponseReader:
    """A reader of one final response and the interim responses that precede it.

    State           Input                                     Next state       Event
    --------------  ----------------------------------------  ---------------  -----------------
    HEAD            end of a head with a status below 200     INTERIM
    HEAD            end of a head with framing                BODY             ResponseHead
    HEAD            end of a head without framing             BODY_UNTIL_EOF   ResponseHead
    INTERIM         end of the interim response               HEAD
    BODY            body bytes                                BODY             BodyPart
    BODY            end of the body                           COMPLETE         ResponseEnd
    BODY_UNTIL_EOF  body bytes                                BODY_UNTIL_EOF   BodyPart
    BODY_UNTIL_EOF  end of the connection                     COMPLETE         ResponseEnd
    COMPLETE        bytes other than empty lines              UNEXPECTED_DATA  UnexpectedData
    before the end  a violation of HTTP's syntax or a limit   MALFORMED        MalformedResponse

    A response without a body also passes through the state BODY. The body of an interim response produces no
    events, but its size is limited. An invalid Content-Length or an exceeded limit is reported as the last
    event of the call of `feed` that finds it.
    """

    __slots__ = (
        "_body_size",
        "_content_type",
        "_events",
        "_has_transfer_encoding",
        "_head_size",
        "_is_not_executed",
        "_length",
        "_load_report",
        "_parser",
        "_violation",
        "state",
    )

    def __init__(self) -> None:
        """Create a reader that expects the first byte of a response."""
        self._events: list[ResponseEvent] = []  # events of the current call of `feed`
        self._head_size = 0  # total size of the inputs that began within a head
        self._parser = httptools.HttpResponseParser(self)
        self._start_message()

    def _start_message(self) -> None:
        self.state = _HEAD
        self._body_size = 0
        self._content_type = b""
        self._has_transfer_encoding = False
        self._is_not_executed = False
        self._length: int | None = None
        self._load_report = b""
        self._violation: MalformedReason | None = None

    def feed(self, data: bytes | memoryview) -> list[ResponseEvent]:
        """Read the next bytes received on the connection and return the resulting events."""
        if self.state is _MALFORMED:
            return []
        if self.state is _HEAD:
            self._head_size += len(data)
        events: list[ResponseEvent] = []
        self._events = events
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._on_syntax_error()
        violation = self._violation
        if violation is None and self.state is _HEAD and self._head_size > MAX_HEAD_BYTES:
            violation = MalformedReason.HEAD_TOO_LARGE
        if violation is not None:
            self.state = _MALFORMED
            events.append(MalformedResponse(violation))
        return events

    def feed_eof(self) -> ResponseEnd | None:
        """Process the close of the connection.

        Returns the end of a close-delimited response, or None in any other state.
        """
        if self.state is not ReaderState.BODY_UNTIL_EOF:
            return None
        self.state = _COMPLETE
        return ResponseEnd(keep_alive=False)

    def close(self) -> None:
        """Release the parser, which refers to this reader; `feed` must not be called afterwards."""
        self._parser = None

    def _on_syntax_error(self) -> None:
        if self.state is _COMPLETE:
            self._on_unexpected_data()
        elif self.state is not _UNEXPECTED_DATA and self._violation is None:
            self._violation = MalformedReason.INVALID_SYNTAX

    def _on_unexpected_data(self) -> None:
        self.state = _UNEXPECTED_DATA
        self._events.append(UnexpectedData())

    # -- callbacks of httptools' parser

    def on_message_begin(self) -> None:
        """Report unexpected data if another response begins after the final one."""
        if self.state is _COMPLETE:
            self._on_unexpected_data()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record the value of a header field; trailer fields are ignored."""
        if self.state is not _HEAD:
            return
        name = name.lower()
        if name == b"content-length":
            self._on_content_length(value.strip(b" \t"))
        elif name == b"transfer-encoding":
            self._has_transfer_encoding = True
        elif name == b"content-type":
            self._content_type = value.strip(b" \t")
        elif name == b"x-load":
            self._load_report = value.strip(b" \t")
        elif name == b"x-not-run":
            self._is_not_executed = value.strip(b" \t") == b"1"

    def _on_content_length(self, value: bytes) -> None:
        if not value.isdigit() or len(value) > MAX_LENGTH_DIGITS or int(value) > MAX_BODY_BYTES:
            self._violation = MalformedReason.INVALID_LENGTH
            self._length = None
        else:
            self._violation = None
            self._length = int(value)

    def on_headers_complete(self) -> None:
        """Report the head of a final response; the head of an interim response produces no event."""
        if self.state is not _HEAD:
            return
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.state = _INTERIM
            return
        has_framing = (
            self._length is not None or self._has_transfer_encoding or status in STATUSES_WITHOUT_BODY
        )
        self.state = _BODY if has_framing else ReaderState.BODY_UNTIL_EOF
        if self._violation is None:
            self._events.append(
                ResponseHead(
                    status, self._length, self._content_type, self._load_report, self._is_not_executed
                )
            )

    def on_body(self, data: bytes) -> None:
        """Check the size of the body, and report body bytes of a final response."""
        if self._violation is not None or self._has_ended():
            return
        self._body_size += len(data)
        if self._body_size > MAX_BODY_BYTES:
            self._violation = MalformedReason.BODY_TOO_LARGE
        if self.state is not _INTERIM:
            self._events.append(BodyPart(data))

    def on_message_complete(self) -> None:
        """Report the end of a final response; after an interim response expect the next head."""
        if self.state is _INTERIM:
            self._start_message()
        elif self._violation is None and not self._has_ended():
            self.state = _COMPLETE
            # The parser knows only during this callback whether the connection is kept alive.
            self._events.append(ResponseEnd(self._parser.should_keep_alive()))

    def _has_ended(self) -> bool:
        return self.state is _COMPLETE or self.state is _UNEXPECTED_DATA
