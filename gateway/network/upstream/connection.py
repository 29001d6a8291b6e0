"""One connection to an endpoint: its transport, the request being written and the response being read."""

from __future__ import annotations

import asyncio
import os
import select
from typing import Protocol, cast

from gateway.interface.events import AttemptResult
from gateway.network.admin.metrics import Metrics
from gateway.network.clock import Clock
from gateway.network.upstream.attempt import UpstreamAttempt
from gateway.network.upstream.endpoint import UpstreamEndpoint
from gateway.network.upstream.exchange import Exchange, ExchangeState
from gateway.network.upstream.load_report import LoadReportParser
from gateway.network.upstream.request_writer import RequestWriter

STALL_TIMEOUT_MS = 10_000.0  # a response that is forwarded has to progress within this time
UPLOAD_STALL_TIMEOUT_MS = 5000.0  # a blocked endpoint has to take bytes of the request within this time
# Bytes above which the transport reports a full buffer. A smaller request fits the empty buffer of any
# socket, so it counts as sent once it is written.
WRITE_BUFFER_BYTES = 8 * 1024


class ConnectionOwner(Protocol):
    """The interface of the pool as its connections use it."""

    def on_streaming_started(self, connection: UpstreamConnection) -> None:
        """Begin to watch a connection that forwards a request or a response for stalls."""

    def on_streaming_ended(self, connection: UpstreamConnection) -> None:
        """Stop watching the connection for stalls."""

    def on_connection_reusable(self, connection: UpstreamConnection) -> None:
        """Keep or close a connection whose exchange is complete."""

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Forget a connection; called exactly once for each."""


class UnconnectedTransport(asyncio.Transport):
    """Stands for the transport until the connection is established."""

    def is_closing(self) -> bool:
        """Return True, as nothing can be read or written."""
        return True

    def abort(self) -> None:
        """Do nothing, as there is nothing to close."""

    def get_write_buffer_size(self) -> int:
        """Return 0, as nothing is buffered."""
        return 0


class UpstreamConnection(asyncio.Protocol):
    """One connection to an endpoint; it carries one attempt at a time."""

    def __init__(
        self,
        endpoint: UpstreamEndpoint,
        owner: ConnectionOwner,
        clock: Clock,
        metrics: Metrics,
        load_reports: LoadReportParser,
    ) -> None:
        """Prepare a connection to the endpoint; the event loop establishes it."""
        self.endpoint = endpoint
        self.transport: asyncio.Transport = UnconnectedTransport()
        self.writer = RequestWriter(self.transport, metrics)
        self.idle_since_ms = 0.0
        self.is_closed = False
        self._owner = owner
        self._clock = clock
        self._metrics = metrics
        self._load_reports = load_reports
        self._exchange: Exchange | None = None
        self._last_progress_ms = 0.0  # clock time of a forwarded body's last progress
        self._buffered_bytes = 0  # size of the receiver's write buffer at the last check for a stall

    # -- callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the established transport."""
        self.transport = cast("asyncio.Transport", transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES, low=0)
        self.writer = RequestWriter(self.transport, self._metrics)

    def pause_writing(self) -> None:
        """Record that the request does not fit the transport's buffer, and pause its client.

        Should the connection break now, the endpoint has not received the complete request.
        """
        self._last_progress_ms = self._clock.now()
        self.writer.on_buffer_full()
        self._notify_upload(blocked=True)

    def resume_writing(self) -> None:
        """Record that the transport's buffer is empty, and resume the client."""
        self._last_progress_ms = self._clock.now()
        self.writer.on_buffer_empty()
        self._notify_upload(blocked=False)

    def data_received(self, data: bytes) -> None:
        """Read the response; bytes that belong to no request close the connection."""
        exchange = self._exchange
        if exchange is None or self.is_closed:
            self.discard()
            return
        self._last_progress_ms = self._clock.now()
        state = exchange.receive(data)
        if state is ExchangeState.COMPLETE:
            self._complete(exchange)
        elif state is ExchangeState.FAILED:
            self._fail(AttemptResult.ERROR)
        elif exchange.sink is not None:
            self._owner.on_streaming_started(self)

    def eof_received(self) -> None:
        """Complete a response that ends with its connection."""
        exchange = self._exchange
        if exchange is None or self.is_closed or not exchange.ends_with_connection or self._is_reset():
            return
        exchange.receive_eof()
        self._complete(exchange)

    def connection_lost(self, _error: Exception | None) -> None:
        """Fail the attempt, if any, according to how much of the request was sent."""
        result = self._result_of_break()
        self._close()
        if self._exchange is not None:
            self._fail(result)

    # -- attempts

    @property
    def is_request_unsent(self) -> bool:
        """Return whether the request's last byte has not been handed to the operating system."""
        return self.writer.is_unsent

    def send_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write the attempt's request, as far as it has been received."""
        self._exchange = Exchange(attempt, self)
        attempt.connection = self
        self.writer.start()
        if attempt.upload is None:
            self.writer.write_last(attempt.message)
            return
        self._last_progress_ms = self._clock.now()
        self._owner.on_streaming_started(self)
        attempt.upload.start_forwarding(self.writer, attempt.message)

    def set_response_paused(self, paused: bool) -> None:
        """Stop or resume reading the response, because its client is slow."""
        self._last_progress_ms = self._clock.now()
        if self.transport.is_closing():
            return
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def abort_attempt(self) -> None:
        """Fail the attempt in progress and close the connection."""
        self._fail(self._result_of_break())

    def discard(self) -> None:
        """Close the connection at once; bytes that are still to come are lost."""
        self._end_exchange()
        self._close()
        self.transport.abort()

    def _complete(self, exchange: Exchange) -> None:
        """Report a complete response, and keep the connection if it is reusable.

        A response may arrive before the request is sent completely; its connection is not reusable.
        """
        exchange.attempt.connection = None
        self._end_exchange()
        outcome = exchange.outcome(self._load_reports)
        if exchange.is_reusable and not self.writer.is_unsent:
            self._owner.on_connection_reusable(self)
        else:
            self.discard()
        exchange.attempt.end(outcome)

    def _fail(self, result: AttemptResult) -> None:
        """Close the connection, then report the result of its attempt, if any."""
        exchange = self._exchange
        self.discard()
        if exchange is not None:
            exchange.attempt.connection = None
            exchange.attempt.fail(result)

    def _end_exchange(self) -> None:
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
            self._owner.on_streaming_ended(self)

    def _close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._owner.on_streaming_ended(self)
            self._owner.on_connection_closed(self)

    def _notify_upload(self, *, blocked: bool) -> None:
        if self._exchange is not None and self._exchange.attempt.upload is not None:
            self._exchange.attempt.upload.on_endpoint_blocked(blocked=blocked)

    def _result_of_break(self) -> AttemptResult:
        """Return the result of an attempt whose connection ends now."""
        return AttemptResult.CONNECT_FAILED if self.writer.is_unsent else AttemptResult.RESET

    # -- checks

    def has_unread_input(self) -> bool:
        """Return whether bytes or the connection's end wait in the socket.

        The event loop may not have read them yet. After the next request is written they would be taken for
        its response, or for a reset of it.
        """
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether an upload to the endpoint, or a response to its client, makes no progress.

        A slow receiver makes progress as long as the write buffer towards it changes its size.
        """
        sink = None if self._exchange is None else self._exchange.sink
        receiver = self.transport if sink is None else sink.transport
        buffered_bytes = 0 if receiver is None else receiver.get_write_buffer_size()
        if buffered_bytes != self._buffered_bytes:
            self._buffered_bytes = buffered_bytes
            self._last_progress_ms = now_ms
        without_progress_ms = now_ms - self._last_progress_ms
        if sink is None:
            return self.writer.blocked and without_progress_ms > UPLOAD_STALL_TIMEOUT_MS
        return without_progress_ms > STALL_TIMEOUT_MS

    def _is_reset(self) -> bool:
        """Return whether the end that was reported is a reset.

        Where a reset closely follows the last bytes, the event loop reads these, finds no more and reports an
        end. The error remains pending for the next read of the socket.
        """
        try:
            return os.read(self.transport.get_extra_info("socket").fileno(), 1) != b""
        except OSError:
            return True
