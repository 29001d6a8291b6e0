"""A connection to an endpoint: its transport, the request being written and the response being read."""

from __future__ import annotations

import asyncio
import os
from typing import Protocol, cast

from gateway.interface.events import AttemptResult
from gateway.network.admin.metrics import Metrics
from gateway.network.clock import Clock, Timers
from gateway.network.memory_budget import NARROW_READ_BYTES, WIDE_READ_BYTES, MemoryBudget
from gateway.network.output_backlog import OutputBacklog
from gateway.network.shared_read_buffer import SharedBufferProtocol
from gateway.network.socket_buffers import abort_and_discard, output_bytes
from gateway.network.socket_events import has_unread_input
from gateway.network.upstream.attempt import UpstreamAttempt
from gateway.network.upstream.endpoint import UpstreamEndpoint
from gateway.network.upstream.exchange import Exchange, ExchangeState
from gateway.network.upstream.load_report import LoadReportParser
from gateway.network.upstream.request_writer import RequestWriter

# Milliseconds after which a response that is being forwarded is aborted if no bytes are received or
# forwarded.
RESPONSE_STALL_TIMEOUT_MS = 10_000.0
# The same for a response whose client's time is over. An endpoint that has sent nothing for this time counts
# as hanging, and not as slow.
OVERDUE_RESPONSE_STALL_TIMEOUT_MS = 500.0
# Milliseconds after which a request is aborted if the write buffer is full and the endpoint reads nothing.
UPLOAD_STALL_TIMEOUT_MS = 5000.0
# Size in bytes above which the transport reports that its write buffer is full. A request of at most this
# size fits into the empty send buffer of any socket. It counts as sent as soon as it is written.
WRITE_BUFFER_HIGH_WATER_BYTES = NARROW_READ_BYTES


class ConnectionOwner(Protocol):
    """The interface of the pool that its connections call."""

    def on_streaming_started(self, connection: UpstreamConnection) -> None:
        """Start stall detection for a connection that forwards a request body or a response."""

    def on_response_overdue(self, connection: UpstreamConnection) -> None:
        """Check in short intervals whether a response stalls whose client's time is over."""

    def on_streaming_ended(self, connection: UpstreamConnection) -> None:
        """Stop stall detection for a connection; has no effect if it was not started."""

    def on_connection_reusable(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange is complete for reuse, or close it."""

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection; called exactly once for each connection."""


class UnconnectedTransport(asyncio.Transport):
    """A placeholder for the transport until the connection is established."""

    def is_closing(self) -> bool:
        """Return True: there is no connection to read from or write to."""
        return True

    def abort(self) -> None:
        """Do nothing: there is no connection to close."""

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing can have been written."""
        return 0


class UpstreamConnection(SharedBufferProtocol):
    """A connection to an endpoint that sends one attempt at a time."""

    def __init__(
        self,
        endpoint: UpstreamEndpoint,
        owner: ConnectionOwner,
        clock: Clock,
        timers: Timers,
        metrics: Metrics,
        load_reports: LoadReportParser,
        memory: MemoryBudget,
    ) -> None:
        """Create the protocol object; the event loop connects it and calls `connection_made`."""
        self.endpoint = endpoint
        self.transport: asyncio.Transport = UnconnectedTransport()
        self.writer = RequestWriter(self.transport, metrics)
        self.idle_since_ms = 0.0
        self.is_closed = False
        self._owner = owner
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._load_reports = load_reports
        self._memory = memory
        self._exchange: Exchange | None = None
        self._last_progress_ms = 0.0  # clock time of the last progress of a transfer; see `is_stalled`
        self._is_response_paused = False  # whether the client has paused the response being forwarded
        self._stall_timeout_ms = RESPONSE_STALL_TIMEOUT_MS  # of the response being forwarded
        self._unread_output_bytes = 0  # output that the receiver had not acknowledged at the last stall check

    # -- callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the transport of the established connection."""
        self.transport = cast("asyncio.Transport", transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_WATER_BYTES, low=0)
        self.writer = RequestWriter(self.transport, self._metrics)

    def pause_writing(self) -> None:
        """Record that the write buffer is full, and stop reading the request body from the client.

        If the connection fails in this state, the endpoint has not received the complete request.
        """
        self._last_progress_ms = self._clock.now()
        self.writer.on_buffer_full()
        if self.writer.backlog is not None:
            self.writer.backlog.on_transport_full()

    def resume_writing(self) -> None:
        """Record that the write buffer is empty, and resume reading the request body from the client."""
        self._last_progress_ms = self._clock.now()
        self.writer.on_buffer_empty()
        if self.writer.backlog is not None:
            self.writer.backlog.on_transport_writable()

    def data_received(self, data: bytes | memoryview) -> None:
        """Process bytes of the response; close the connection if no response is expected."""
        exchange = self._exchange
        if exchange is None or self.is_closed:
            self.discard()
            return
        self._last_progress_ms = self._clock.now()
        state = exchange.receive(data)
        self.reads_widely = exchange.may_read_widely
        if state is ExchangeState.COMPLETE:
            self._complete_exchange(exchange)
        elif state is ExchangeState.FAILED:
            self._fail_exchange(AttemptResult.ERROR)
        elif exchange.sink is not None:
            self._owner.on_streaming_started(self)

    def eof_received(self) -> None:
        """Complete a response whose end is marked by the close of the connection."""
        exchange = self._exchange
        if exchange is None or self.is_closed or not exchange.is_close_delimited or self._is_reset_pending():
            return
        exchange.receive_eof()
        self._complete_exchange(exchange)

    def connection_lost(self, _error: Exception | None) -> None:
        """Fail the attempt in progress, if any: RESET if its request was sent, otherwise CONNECT_FAILED."""
        result = self._disconnect_result()
        self._mark_closed()
        if self._exchange is not None:
            self._fail_exchange(result)

    # -- attempts

    @property
    def is_request_unsent(self) -> bool:
        """Whether the operating system has not yet accepted the last byte of the request."""
        return self.writer.is_unsent

    def send_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt; the upload of a large body writes the remaining parts later."""
        self._exchange = Exchange(attempt, self, self._memory)
        self._stall_timeout_ms = RESPONSE_STALL_TIMEOUT_MS
        self.reads_widely = False
        attempt.connection = self
        self.writer.start_request()
        if attempt.upload is None:
            self.writer.write_request(attempt.head, attempt.body)
            attempt.release_body()
            return
        self._last_progress_ms = self._clock.now()
        self._owner.on_streaming_started(self)
        self.writer.backlog = OutputBacklog(
            self.transport,
            self._clock,
            self._timers,
            self._on_backlog_changed,
            min(attempt.upload.pause_at_bytes, WIDE_READ_BYTES),
        )
        attempt.upload.start_forwarding(self.writer, attempt.head)

    def forward_response(self) -> None:
        """Forward the response that is being buffered from its first byte on.

        The attempt fails instead if the endpoint has sent nothing for OVERDUE_RESPONSE_STALL_TIMEOUT_MS.
        """
        exchange = self._exchange
        if exchange is None or self.is_closed:
            return
        if self._clock.now() - self._last_progress_ms > OVERDUE_RESPONSE_STALL_TIMEOUT_MS:
            self.abort_attempt()
        elif exchange.forward() is ExchangeState.FAILED:
            self._fail_exchange(AttemptResult.ERROR)
        else:
            self._stall_timeout_ms = OVERDUE_RESPONSE_STALL_TIMEOUT_MS
            self._owner.on_streaming_started(self)
            self._owner.on_response_overdue(self)

    def set_response_paused(self, paused: bool) -> None:
        """Stop reading the response while the write buffer to its client is full, or resume it."""
        self._last_progress_ms = self._clock.now()
        self._is_response_paused = paused
        if self.transport.is_closing():
            return
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def abort_attempt(self) -> None:
        """Close the connection and fail the attempt in progress as if the connection had been lost."""
        self._fail_exchange(self._disconnect_result())

    def discard(self) -> None:
        """Close the connection without waiting for buffered data; do not end the attempt in progress."""
        self._detach_exchange()
        self._mark_closed()
        abort_and_discard(self.transport)

    def _complete_exchange(self, exchange: Exchange) -> None:
        """Release or close the connection, then end the attempt with its complete response.

        An endpoint may respond before it has received the complete request. In this case the connection is
        closed: the endpoint would read the next request as a part of the incomplete one.

        The last part of a response may have filled the write buffer of its client. The pause that this caused
        ends here, since the client does not hold up the next response on this connection.
        """
        exchange.attempt.connection = None
        self._detach_exchange()
        outcome = exchange.outcome(self._load_reports)
        if self._is_response_paused:
            self.set_response_paused(paused=False)
        if exchange.is_reusable and not self.writer.is_unsent:
            self._owner.on_connection_reusable(self)
        else:
            self.discard()
        exchange.attempt.end(outcome)

    def _fail_exchange(self, result: AttemptResult) -> None:
        """Close the connection, then fail the attempt in progress, if any, with this result."""
        exchange = self._exchange
        self.discard()
        if exchange is not None:
            exchange.attempt.connection = None
            exchange.attempt.fail(result)

    def _detach_exchange(self) -> None:
        if self.writer.backlog is not None:
            self.writer.backlog.close()
            self.writer.backlog = None
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
            self._owner.on_streaming_ended(self)

    def _mark_closed(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._owner.on_streaming_ended(self)
            self._owner.on_connection_closed(self)

    def _on_backlog_changed(self, is_full: bool) -> None:
        """Stop reading the request body from the client while the endpoint reads too slowly."""
        self._last_progress_ms = self._clock.now()
        if self._exchange is not None and self._exchange.attempt.upload is not None:
            self._exchange.attempt.upload.on_endpoint_blocked(blocked=is_full)

    def _disconnect_result(self) -> AttemptResult:
        """Return the result of the attempt in progress if the connection ends now."""
        return AttemptResult.CONNECT_FAILED if self.writer.is_unsent else AttemptResult.RESET

    # -- checks

    def has_unread_input(self) -> bool:
        """Return whether the socket has unread bytes or has been closed by the endpoint.

        The event loop may not have reported the input yet. If a request were written now, the unread bytes
        would be mistaken for its response, or the close of the connection for a failure of the request.
        """
        return has_unread_input(self.transport)

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether the request being sent or the response being forwarded has stalled.

        A transfer has stalled if it has made no progress for RESPONSE_STALL_TIMEOUT_MS, in the case of a
        request whose write buffer is full for UPLOAD_STALL_TIMEOUT_MS, and in the case of an endpoint that
        sends its response after the client's time for OVERDUE_RESPONSE_STALL_TIMEOUT_MS. There is progress
        when bytes arrive, when reading or writing is paused or resumed, and when the receiver has a different
        amount of output to acknowledge than at the last call. The receiver is the client if a response is
        being forwarded, otherwise the endpoint.
        """
        sink = None if self._exchange is None else self._exchange.sink
        receiver = self.transport if sink is None else sink.transport
        unread_output_bytes = 0 if receiver is None else output_bytes(receiver)
        if unread_output_bytes != self._unread_output_bytes:
            self._unread_output_bytes = unread_output_bytes
            self._last_progress_ms = now_ms
        stalled_ms = now_ms - self._last_progress_ms
        if sink is None:
            return self.writer.is_blocked and stalled_ms > UPLOAD_STALL_TIMEOUT_MS
        return stalled_ms > (
            RESPONSE_STALL_TIMEOUT_MS if self._is_response_paused else self._stall_timeout_ms
        )

    def _is_reset_pending(self) -> bool:
        """Return whether the endpoint has reset the connection, after the event loop has reported its end.

        If a reset follows the last bytes immediately, the event loop reads the bytes and then reports a
        regular end of input. The error of the reset stays pending until the next read from the socket.
        """
        try:
            return os.read(self.transport.get_extra_info("socket").fileno(), 1) != b""
        except OSError:
            return True
