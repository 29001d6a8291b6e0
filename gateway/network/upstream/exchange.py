"""One attempt on a connection: its response is buffered, or forwarded where it is large."""

from __future__ import annotations

from enum import Enum, auto

from gateway.interface.events import AttemptResult
from gateway.network.clients.response_source import ResponseSource
from gateway.network.upstream.attempt import AttemptOutcome, UpstreamAttempt
from gateway.network.upstream.load_report import LoadReportParser
from gateway.network.upstream.response_reader import (
    BodyPart,
    ReaderState,
    ResponseEnd,
    ResponseEvent,
    ResponseHead,
    ResponseReader,
    UnexpectedData,
)
from gateway.network.upstream.response_sink import ResponseSink

# Largest body that is buffered until it is complete, where its length is known. Until forwarding starts the
# request can be retried.
MAX_BUFFERED_BYTES = 64 * 1024
MAX_BUFFERED_UNSIZED_BYTES = 16 * 1024  # buffered bytes of a body of unknown length before it is forwarded
STATUS_OK = 200
REJECTION_STATUSES = frozenset((503, 504))  # status codes that can state that the request was not executed

_NO_HEAD = ResponseHead(status=0, length=None)


class ExchangeState(Enum):
    """How far a response has been received."""

    RECEIVING = auto()
    COMPLETE = auto()
    FAILED = auto()  # the response is malformed, or no longer wanted


# The states as constants of the module: access to the members of an enum is slow in Python 3.11.
_RECEIVING = ExchangeState.RECEIVING
_COMPLETE = ExchangeState.COMPLETE
_FAILED = ExchangeState.FAILED


class Exchange:
    """An attempt, and its response as far as it has been received.

    A body is buffered, and forwarded from the point on where it exceeds the buffer's limit.
    """

    __slots__ = (
        "_body_parts",
        "_body_size",
        "_head",
        "_reader",
        "_source",
        "attempt",
        "is_reusable",
        "sink",
        "state",
    )

    def __init__(self, attempt: UpstreamAttempt, source: ResponseSource) -> None:
        """Expect the response to the attempt; the source's reading is paused while the client is slow."""
        self.attempt = attempt
        self.sink: ResponseSink | None = None  # receives the body once it is forwarded
        self.state = _RECEIVING
        self.is_reusable = False  # the endpoint accepts another request on the connection
        self._source = source
        self._reader = ResponseReader()
        self._head = _NO_HEAD
        self._body_parts: list[bytes] = []
        self._body_size = 0

    def receive(self, data: bytes) -> ExchangeState:
        """Process received bytes and return the new state."""
        for event in self._reader.feed(data):
            self._process(event)
            if self.state is _FAILED:
                break
        return self.state

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the end of the connection completes the response."""
        return self._reader.state is ReaderState.BODY_UNTIL_EOF

    def receive_eof(self) -> None:
        """Process the end of the connection where it completes the response."""
        end = self._reader.feed_eof()
        if end is not None:
            self._process(end)

    def outcome(self, load_reports: LoadReportParser) -> AttemptOutcome:
        """Return the attempt's outcome once the response is complete."""
        head = self._head
        load = load_reports.parse(head.load_report)
        if head.status == STATUS_OK:
            parts = self._body_parts
            body = parts[0] if len(parts) == 1 else b"".join(parts)
            return AttemptOutcome(AttemptResult.OK, body, head.content_type, load)
        if head.status in REJECTION_STATUSES and head.is_not_executed:
            return AttemptOutcome(AttemptResult.OVERLOADED, load=load)
        return AttemptOutcome(AttemptResult.ERROR, load=load)

    def close(self) -> None:
        """Release the reader, which otherwise keeps itself alive until the garbage collector runs."""
        self._reader.close()

    def _process(self, event: ResponseEvent) -> None:
        if isinstance(event, BodyPart):
            self._on_body_part(event.data)
        elif isinstance(event, ResponseHead):
            self._head = event
        elif isinstance(event, ResponseEnd):
            self.state = _COMPLETE
            self.is_reusable = event.keep_alive
        elif isinstance(event, UnexpectedData):
            self.is_reusable = False
        else:
            self.state = _FAILED

    def _on_body_part(self, data: bytes) -> None:
        if self.sink is not None:
            self.sink.forward_part(data)
            return
        self._body_parts.append(data)
        self._body_size += len(data)
        if self._head.status == STATUS_OK and self._exceeds_buffer():
            self._start_forwarding()

    def _exceeds_buffer(self) -> bool:
        length = self._head.length
        if length is None:
            return self._body_size > MAX_BUFFERED_UNSIZED_BYTES
        return length > MAX_BUFFERED_BYTES

    def _start_forwarding(self) -> None:
        self.sink = self.attempt.start_forwarding(self._source, self._head.length, self._head.content_type)
        if self.sink is None:
            self.state = _FAILED
            return
        self.sink.forward_part(b"".join(self._body_parts))
        self._body_parts = []
