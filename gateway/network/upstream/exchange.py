"""An attempt on a connection: a small response is buffered, a large one is forwarded to the client."""

from __future__ import annotations

from enum import Enum, auto

from gateway.interface.events import AttemptResult
from gateway.network.clients.response_source import ResponseSource
from gateway.network.memory_budget import NARROW_READ_BYTES, MemoryBudget, Reservation
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

# A response body of known length is buffered until it is complete if it has at most this many bytes.
# Buffering keeps retries possible: a request cannot be retried once its response is being forwarded. A
# response for which too little memory is left is forwarded, whatever its length.
MAX_BUFFERED_BYTES = 64 * 1024
# Number of bytes of a response body of unknown length that are buffered before the body is forwarded.
MAX_BUFFERED_UNSIZED_BYTES = 16 * 1024
# Number of parts of a buffered body above which they are joined, since each part occupies some memory itself.
MAX_BUFFERED_PARTS = 64
STATUS_OK = 200  # the only status code of a successful response
# Status codes of responses whose X-Not-Run field is evaluated: the endpoint may have rejected the request
# without executing it.
REJECTION_STATUSES = frozenset((503, 504))

_NO_HEAD = ResponseHead(status=0, length=None)


class ExchangeState(Enum):
    """The progress of receiving a response."""

    RECEIVING = auto()
    COMPLETE = auto()
    FAILED = auto()  # the response is malformed, or its client no longer needs it


# Module constants because attribute access on an enum class is slow in Python 3.11.
_RECEIVING = ExchangeState.RECEIVING
_COMPLETE = ExchangeState.COMPLETE
_FAILED = ExchangeState.FAILED


class Exchange:
    """An attempt and the part of its response that has been received.

    The body of a successful response is forwarded if its stated length exceeds MAX_BUFFERED_BYTES. A body of
    unknown length is forwarded as soon as its received size exceeds MAX_BUFFERED_UNSIZED_BYTES. Any other
    body is buffered if memory for it can be reserved. The body of an unsuccessful response is discarded.
    """

    __slots__ = (
        "_body_parts",
        "_body_size",
        "_has_begun",
        "_head",
        "_memory",
        "_reader",
        "_source",
        "attempt",
        "is_reusable",
        "sink",
        "state",
    )

    def __init__(
        self, attempt: UpstreamAttempt, source: ResponseSource, memory: MemoryBudget | None = None
    ) -> None:
        """Expect the response to an attempt.

        Args:
            attempt: The attempt, which names the client if the response is forwarded.
            source: The connection to the endpoint. Reading from it is paused while the write buffer to the
                client is full.
            memory: The budget for buffered responses; by default it is not limited.
        """
        self.attempt = attempt
        self.sink: ResponseSink | None = None  # the client, once forwarding has started
        self.state = _RECEIVING
        self.is_reusable = False  # whether the connection accepts another request
        self._source = source
        self._reader = ResponseReader()
        self._head = _NO_HEAD
        self._has_begun = False  # whether the attempt knows of a response without a stated length
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._memory = Reservation(memory or MemoryBudget())  # for the buffered body

    def receive(self, data: bytes | memoryview) -> ExchangeState:
        """Process received bytes and return the resulting state."""
        for event in self._reader.feed(data):
            self._process(event)
            if self.state is _FAILED:
                break
        if self.sink is not None and self._body_parts:
            self._forward_parts(self.sink)
        elif self.state is _RECEIVING and not self._has_begun and self._is_unsized_success():
            self._has_begun = True
            self.attempt.on_response_begun()
        return self.state

    def forward(self) -> ExchangeState:
        """Forward the response that has been buffered so far, and return the resulting state."""
        if self.state is _RECEIVING and self.sink is None:
            self._start_forwarding()
            if self.sink is not None and self._body_parts:
                self._forward_parts(self.sink)
        return self.state

    @property
    def may_read_widely(self) -> bool:
        """Whether the memory for a large piece of the response is reserved."""
        if self.sink is not None:
            return self.sink.has_wide_window
        return self._memory.size > NARROW_READ_BYTES

    @property
    def is_close_delimited(self) -> bool:
        """Whether the close of the connection marks the end of the response."""
        return self._reader.state is ReaderState.BODY_UNTIL_EOF

    def receive_eof(self) -> None:
        """Complete a close-delimited response; has no effect on any other response."""
        end = self._reader.feed_eof()
        if end is not None:
            self._process(end)

    def outcome(self, load_reports: LoadReportParser) -> AttemptOutcome:
        """Return the outcome of the attempt; the response has to be complete."""
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
        """Release the response reader and the memory; `receive` must not be called afterwards.

        The reader and its parser refer to each other and would stay in memory until a garbage collection.
        """
        self._reader.close()
        self._memory.release()

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
        if self._head.status != STATUS_OK:
            return
        self._body_parts.append(data)
        self._body_size += len(data)
        if self.sink is not None:
            return
        if not self._may_buffer():
            self._start_forwarding()
        elif len(self._body_parts) > MAX_BUFFERED_PARTS:
            self._body_parts = [b"".join(self._body_parts)]

    def _is_unsized_success(self) -> bool:
        """Return whether the head of a successful response has arrived that states no length."""
        return self._head.status == STATUS_OK and self._head.length is None

    def _may_buffer(self) -> bool:
        """Return whether the response may be buffered; if it may, its memory is reserved.

        A response of at most one read needs no reservation: the window of its request covers it.
        """
        length = self._head.length
        size = self._body_size
        max_size = MAX_BUFFERED_UNSIZED_BYTES
        if length is not None:
            size = length
            max_size = MAX_BUFFERED_BYTES
        if size > max_size:
            return False
        return size <= NARROW_READ_BYTES or self._memory.try_cover(size)

    def _start_forwarding(self) -> None:
        self.sink = self.attempt.start_forwarding(self._source, self._head.length, self._head.content_type)
        if self.sink is None:
            self.state = _FAILED

    def _forward_parts(self, sink: ResponseSink) -> None:
        """Forward the parts of the body that the last input contained, together as one part."""
        sink.forward_part(b"".join(self._body_parts))
        self._body_parts = []
