"""Reading of one HTTP response: bytes in, typed events out, without a transport."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

import httptools

MAX_HEAD_BYTES = 16 * 1024  # bounds the packets that hold a response's head, interim responses included
MAX_BODY_BYTES = 64 * 1024 * 1024  # bounds a response's body
MAX_LENGTH_DIGITS = 9  # bounds the digits of Content-Length before it is converted
FIRST_FINAL_STATUS = 200  # status codes below it belong to interim responses
STATUSES_WITHOUT_BODY = frozenset((204, 304))  # status codes of responses that never have a body


class MalformedReason(Enum):
    """Why a response cannot be used."""

    INVALID_SYNTAX = auto()
    INVALID_LENGTH = auto()  # Content-Length is not a number or exceeds MAX_BODY_BYTES
    HEAD_TOO_LARGE = auto()
    BODY_TOO_LARGE = auto()


@dataclass(slots=True)
class ResponseHead:
    """The head of the final response is complete."""

    status: int
    length: int | None  # of the body, in bytes; None where the head does not state it
    content_type: bytes = b""
    load_report: bytes = b""  # the value of X-Load
    is_not_executed: bool = False  # X-Not-Run: 1, the endpoint did not execute the request


@dataclass(slots=True)
class BodyPart:
    """The next bytes of the final response's body."""

    data: bytes


@dataclass(slots=True)
class ResponseEnd:
    """The final response is complete."""

    keep_alive: bool  # the endpoint accepts another request on the connection


@dataclass(slots=True)
class UnexpectedData:
    """Bytes of another response follow the complete one; reported once."""


@dataclass(slots=True)
class MalformedResponse:
    """The response cannot be used; no event follows."""

    reason: MalformedReason


ResponseEvent = ResponseHead | BodyPart | ResponseEnd | UnexpectedData | MalformedResponse


class ReaderState(Enum):
    """What a reader is reading; see ResponseReader for the transitions."""

    HEAD = auto()  # the head of an interim response or of the final one
    INTERIM = auto()  # what follows the head of an interim response
    BODY = auto()  # a body whose end the framing states
    BODY_UNTIL_EOF = auto()  # a body that ends with the connection
    COMPLETE = auto()
    UNEXPECTED_DATA = auto()  # another response has begun after the complete one
    MALFORMED = auto()


# The states as constants of the module: access to the members of an enum is slow in Python 3.11.
_HEAD = ReaderState.HEAD
_INTERIM = ReaderState.INTERIM
_BODY = ReaderState.BODY
_COMPLETE = ReaderState.COMPLETE
_UNEXPECTED_DATA = ReaderState.UNEXPECTED_DATA
_MALFORMED = ReaderState.MALFORMED


class ResponseReader:
    """Reads one final response and any interim responses before it.

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

    A response without a body passes through BODY as well. The body of an interim response is ignored. An
    invalid Content-Length and an exceeded limit are reported after the other events of the same input.
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
        """Expect the first byte of a response."""
        self._events: list[ResponseEvent] = []  # of the input being read
        self._head_size = 0  # bytes of all inputs that began within a head
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

    def feed(self, data: bytes) -> list[ResponseEvent]:
        """Read the next bytes of the connection and return the events that they complete."""
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
        """Return the end of a response that ends with its connection; None for any other response."""
        if self.state is not ReaderState.BODY_UNTIL_EOF:
            return None
        self.state = _COMPLETE
        return ResponseEnd(keep_alive=False)

    def close(self) -> None:
        """Release the parser, which refers to the reader; nothing may be read afterwards."""
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
        """Detect another response behind a complete one."""
        if self.state is _COMPLETE:
            self._on_unexpected_data()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field of a head; trailer fields are ignored."""
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
        """Report the head of a final response."""
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
        """Report the next bytes of a final response's body; those of an interim response only count."""
        if self._violation is not None or self._has_ended():
            return
        self._body_size += len(data)
        if self._body_size > MAX_BODY_BYTES:
            self._violation = MalformedReason.BODY_TOO_LARGE
        if self.state is not _INTERIM:
            self._events.append(BodyPart(data))

    def on_message_complete(self) -> None:
        """Report the end of a final response, or continue behind an interim one."""
        if self.state is _INTERIM:
            self._start_message()
        elif self._violation is None and not self._has_ended():
            self.state = _COMPLETE
            # Only during this callback does the parser know whether the connection persists.
            self._events.append(ResponseEnd(self._parser.should_keep_alive()))

    def _has_ended(self) -> bool:
        return self.state is _COMPLETE or self.state is _UNEXPECTED_DATA
