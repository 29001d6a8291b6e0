"""One connection of a client: its transport, and what its states allow.

The module `connection_state` has the states and their transitions.
"""

from __future__ import annotations

import asyncio
import select
from http import HTTPStatus
from typing import cast

from gateway.errors import BadRequestError
from gateway.network.clients.body_progress import BodyProgress
from gateway.network.clients.connection_state import ConnectionState
from gateway.network.clients.open_request import OpenRequest
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
from gateway.network.clients.request_handler import RequestHandler
from gateway.network.clients.request_reader import RequestReader
from gateway.network.clients.response_source import ResponseSource
from gateway.network.clients.response_writer import CONTINUE, ResponseWriter
from gateway.network.clients.upload import Upload

# Bytes of a response that wait for the client before its endpoint is no longer read.
MAX_RESPONSE_BACKLOG_BYTES = 64 * 1024

# Milliseconds for which nothing is read after the first rejected request; doubles with each further one.
MIN_REJECTION_PAUSE_MS = 50.0

# Milliseconds; the longest pause after a rejected request.
MAX_REJECTION_PAUSE_MS = 1000.0

# Rejections after which the pause no longer doubles.
MAX_PAUSE_DOUBLINGS = 10

# The states as module names: the lookup of a member in its enum is slow in Python 3.11.
_IDLE = ConnectionState.IDLE
_RECEIVING = ConnectionState.RECEIVING
_RECEIVED = ConnectionState.RECEIVED
_PIPELINED = ConnectionState.PIPELINED
_DISCARDING = ConnectionState.DISCARDING
_PAUSED = ConnectionState.PAUSED
_CLOSING = ConnectionState.CLOSING

READINESS_TARGET = b"/up"
TEXT = b"text/plain"


class ClientConnection(asyncio.Protocol):
    """A client's connection, with one open request at a time."""

    transport: asyncio.Transport  # assigned in connection_made, before any other call

    def __init__(self, handler: RequestHandler, is_transferred: bool = False) -> None:
        """Start without a request.

        Args:
            handler: Receives the connection's requests.
            is_transferred: Whether the predecessor has served the connection before.
        """
        self.is_transferred = is_transferred
        self.state = _IDLE
        self.reader = RequestReader()
        self.request: OpenRequest | None = None
        self.response_source: ResponseSource | None = None  # the origin of a response being forwarded
        self.received_while_closing = False
        self.closing_since_ms = 0.0
        self._handler = handler
        self._writer = ResponseWriter()
        self._rejections = 0
        self.body_progress = BodyProgress()
        self._reset_request()

    def _reset_request(self) -> None:
        self._keep_alive = True
        self._upload: Upload | None = None
        self.body_progress.reset()

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the handler."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MAX_RESPONSE_BACKLOG_BYTES)
        self._handler.on_client_connected(self)

    def pause_writing(self) -> None:
        """Pause the response being forwarded."""
        if self.response_source is not None:
            self.response_source.set_response_paused(paused=True)

    def resume_writing(self) -> None:
        """Resume the response being forwarded."""
        if self.response_source is not None:
            self.response_source.set_response_paused(paused=False)

    def data_received(self, data: bytes) -> None:
        """Read the client's bytes.

        Pipelined bytes are discarded, as unread ones would hide the client's end of the connection.
        """
        if self.state is _CLOSING:
            self.received_while_closing = True
        elif self.state is _RECEIVED:
            self.state = _PIPELINED
        elif self.state is not _PIPELINED:
            try:
                self._read(data)
            except Exception:  # an error of the program ends this request only
                self._on_internal_error()

    def eof_received(self) -> None:
        """Close the connection: a client that ends its sending has disconnected.

        The handler is notified at once, even if the client has not read an earlier response.
        """
        self._cancel_request()
        if self.state is not _CLOSING:
            self._enter_closing()

    def connection_lost(self, _error: Exception | None) -> None:
        """Deregister the connection."""
        self.state = _CLOSING
        self.reader.close()
        request = self.request
        self.request = None
        self.response_source = None
        self._handler.on_client_closed(self, request)

    # -- the reader's events

    def _read(self, data: bytes) -> None:
        for event in self.reader.feed(data):
            self._handle(event)
            if self.state is _PIPELINED or self.state is _CLOSING:
                return
        if self.state is _PAUSED:
            self.reader.expect_next_message()
        elif self.state is not _RECEIVED:
            rejection = self.reader.check_raw_size()
            if rejection is not None:
                self._abort_request(rejection.status)

    def _on_internal_error(self) -> None:
        """Answer 400, after the response of the open request if that is complete."""
        if self.state is _RECEIVED:
            self.state = _PIPELINED
        else:
            self._abort_request(HTTPStatus.BAD_REQUEST)

    def _handle(self, event: RequestEvent) -> None:
        if self.state is _RECEIVED:
            self.state = _PIPELINED
            return
        if self.state is _PAUSED:
            self._abort_request(HTTPStatus.BAD_REQUEST)
            return
        match event:
            case MessageStarted():
                self._on_message_started()
            case HeadReceived():
                self._on_head_received(event)
            case RequestReceived():
                self._on_request_received(event)
            case BodyReceived():
                if self._upload is not None:
                    self._upload.feed(event.data)
            case LargeBodyStarted():
                self._on_large_body_started(event)
            case BodyCompleted():
                self._on_body_completed()
            case RequestRejected():
                self._abort_request(event.status)

    def _on_message_started(self) -> None:
        self._reset_request()
        self.state = _RECEIVING
        self._handler.on_message_started(self)

    def _on_head_received(self, event: HeadReceived) -> None:
        self._keep_alive = event.keep_alive
        self.body_progress.on_head_received(self._handler.clock.now())
        if event.expects_continue:
            self.transport.write(CONTINUE)

    def _on_large_body_started(self, event: LargeBodyStarted) -> None:
        """Open the request before it is complete, so that its body is forwarded while it is received."""
        self._upload = Upload(self, event.length, event.first_part)
        received = ReceivedRequest(event.method, event.target, event.headers, b"", self._upload)
        try:
            self.request = self._handler.open_request(self, received)
        except BadRequestError as error:
            self._abort_request(error.status)

    def _on_body_completed(self) -> None:
        if self.state is _DISCARDING:
            self.state = _IDLE
            self._handler.connections.on_request_complete(self)
            self._handler.on_client_idle(self)
        elif self.request is not None and self._upload is not None:
            self.state = _RECEIVED
            self._handler.connections.on_request_complete(self)
            self._upload.end()
            self._handler.on_request_completed(self.request)

    def _on_request_received(self, event: RequestReceived) -> None:
        self._keep_alive = event.keep_alive
        request = event.request
        if request.method == b"GET" and request.target == READINESS_TARGET:
            self._handler.connections.on_request_complete(self)
            self._send_readiness()
            return
        try:
            self.request = self._handler.open_request(self, request)
        except BadRequestError as error:
            self._reject(error.status)
        else:
            self.state = _RECEIVED

    # -- rejections

    def _reject(self, status: int) -> None:
        """Reject a complete request. The connection may stay, but reading pauses.

        The pause bounds the load of a client that repeats a bad request without delay.
        """
        if not self._keep_alive or self._handler.draining:
            self._abort_request(status)
            return
        self._reset_request()
        self.state = _PAUSED
        self.transport.write(self._writer.error(status, close=False))
        self.transport.pause_reading()
        pause_ms = MIN_REJECTION_PAUSE_MS * 2 ** min(self._rejections, MAX_PAUSE_DOUBLINGS)
        self._rejections += 1
        resume_at_ms = self._handler.clock.now() + min(MAX_REJECTION_PAUSE_MS, pause_ms)
        self._handler.timers.call_at(resume_at_ms, self._resume_after_rejection)

    def _resume_after_rejection(self) -> None:
        if self.state is _PAUSED:
            self.state = _IDLE
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def _abort_request(self, status: int) -> None:
        """End the connection because of bytes that are not an acceptable request, or a timeout.

        The status is sent unless a response has been sent, or is being forwarded.
        """
        has_response = self.state is _DISCARDING or self.response_source is not None
        self._cancel_request()
        if has_response:
            self.abort()
        else:
            self._finish(self._writer.error(status, close=True))

    def _cancel_request(self) -> None:
        """Notify the handler that the client of the open request, if there is one, has disconnected."""
        request = self.request
        self.request = None
        if request is not None:
            self._handler.on_client_gone(request)

    # -- responses

    def send_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the complete response of the open request."""
        self.request = None
        if self.transport.is_closing():
            return
        if self.state is _RECEIVING:
            self._send_early_response(status, body, content_type, retry_after_ms)
        else:
            self.reader.expect_next_message()
            self._send_complete(status, body, content_type, retry_after_ms)

    def _send_complete(
        self, status: int, body: bytes, content_type: bytes, retry_after_ms: float = 0.0
    ) -> None:
        """Write the response of a complete request. Pipelined bytes get an error response of their own."""
        is_pipelined = self.state is _PIPELINED
        close = self._must_close()
        response = self._writer.complete(
            status, body, content_type, retry_after_ms, close=close and not is_pipelined
        )
        self._reset_request()
        if is_pipelined:
            self._finish(response + self._writer.error(HTTPStatus.BAD_REQUEST, close=True))
            return
        self.transport.write(response)
        if close:
            self._close()
        else:
            self._become_idle()

    def _send_early_response(
        self, status: int, body: bytes, content_type: bytes, retry_after_ms: float
    ) -> None:
        """Write the response of a request that is still being received."""
        close = self._must_close()
        response = self._writer.complete(status, body, content_type, retry_after_ms, close=close)
        if close:
            self._finish(response)
        else:
            self.transport.write(response)
            self._discard_body()

    def _send_readiness(self) -> None:
        if self._handler.ready:
            self._send_complete(HTTPStatus.OK, b"up\n", TEXT)
        else:
            self._send_complete(HTTPStatus.SERVICE_UNAVAILABLE, b"not up\n", TEXT)

    def start_response(self, source: ResponseSource, length: int | None, content_type: bytes) -> None:
        """Write the head of a response whose parts follow by `forward_part`."""
        self.response_source = source
        if self.transport.is_closing():
            return
        chunked = length is None and self.reader.supports_chunks
        self._keep_alive = self._keep_alive and (length is not None or chunked)
        head = self._writer.start(length, content_type, chunked=chunked, close=self._must_close())
        self.transport.write(head)

    def forward_part(self, part: bytes) -> None:
        """Write the next part of a response."""
        if not self.transport.is_closing():
            self.transport.write(self._writer.part(part))

    def finish_response(self) -> None:
        """End a forwarded response that is complete."""
        self.request = None
        self.response_source = None
        if self.transport.is_closing():
            return
        is_pipelined = self.state is _PIPELINED
        close = self._must_close()
        self.transport.write(self._writer.end())
        if self.state is _RECEIVING and not close:
            self._discard_body()
            return
        self._reset_request()
        self.reader.expect_next_message()
        if is_pipelined:
            self._finish(b"")
        elif close:
            self._close()
        else:
            self._become_idle()

    def abort_response(self) -> None:
        """End the connection before a forwarded response is complete, so that the client detects it."""
        self.request = None
        self.response_source = None
        self.abort()

    def _must_close(self) -> bool:
        is_ending = self.state is _PIPELINED or self.state is _CLOSING
        return is_ending or self._handler.draining or not self._keep_alive

    def _become_idle(self) -> None:
        self.state = _IDLE
        self._handler.on_client_idle(self)

    def _discard_body(self) -> None:
        """Discard the rest of a request that has received its response."""
        self.state = _DISCARDING
        self._upload = None
        self.set_body_paused(False)

    # -- the body's flow control

    def set_body_paused(self, paused: bool) -> None:
        """Stop or resume reading a large body; the time in between does not count as the client's delay."""
        now = self._handler.clock.now()
        if self.transport.is_closing() or paused == bool(self.body_progress.paused_since_ms):
            return
        if paused:
            self.body_progress.pause(now)
            self.transport.pause_reading()
        else:
            self.body_progress.resume(now)
            self.transport.resume_reading()

    def on_body_released(self) -> None:
        """Note that a part of a large body is no longer buffered."""
        if self.request is not None:
            self._handler.on_body_released(self.request)

    # -- the end of the connection

    def abort(self) -> None:
        """Abort the connection."""
        self.state = _CLOSING
        self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is open, being received or unread.

        Closing would reset such a request, and its client would have to send it again.
        """
        is_unused = self.state is _IDLE or self.state is _PAUSED
        if is_unused and not self.has_unread_input():
            self._close()

    def on_input_timeout(self) -> None:
        """Reject the request being received, or close the connection if there is none."""
        if self.is_receiving:
            self._abort_request(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()

    def _finish(self, data: bytes) -> None:
        """Write the last bytes and end the sending, but continue to read for a while.

        Otherwise a reset could discard the bytes before the client has read them.
        """
        if self.transport.is_closing():
            return
        self._enter_closing()
        self.transport.write(data)
        self.transport.write_eof()
        self.transport.resume_reading()

    def _close(self) -> None:
        """Close the connection once all is written, or by the limiter if the client does not read."""
        self._enter_closing()
        self.transport.close()

    def _enter_closing(self) -> None:
        self.state = _CLOSING
        self.received_while_closing = False
        self.closing_since_ms = self._handler.clock.now()
        self._handler.connections.on_closing(self, self.closing_since_ms)

    # -- the limiter's queries

    @property
    def is_receiving(self) -> bool:
        """Whether a request is being received."""
        return self.state is _RECEIVING or self.state is _DISCARDING

    @property
    def is_pipelined(self) -> bool:
        """Whether bytes have followed the open request before its response."""
        return self.state is _PIPELINED

    @property
    def is_closing(self) -> bool:
        """Whether the gateway or the client is ending the connection."""
        return self.state is _CLOSING

    def is_transferable(self) -> bool:
        """Return whether another process could continue to serve the connection."""
        if self.state is not _IDLE or self.transport.is_closing():
            return False
        return not self.transport.get_write_buffer_size()

    def is_input_overdue(self, now: float, timeout_ms: float, min_bytes_per_ms: float) -> bool:
        """Return whether the head is incomplete, or the body slower than a minimum rate."""
        return self.body_progress.is_overdue(now, self.reader.body_size, timeout_ms, min_bytes_per_ms)

    def has_unread_input(self) -> bool:
        """Return whether the socket has bytes, or the connection's end, that have not been read."""
        if self.state is _PAUSED:
            return False
        return self._poll(select.POLLIN)

    def is_disconnected(self) -> bool:
        """Return whether the client has ended its sending; no event reports it while reading is paused."""
        return self._poll(select.POLLRDHUP)

    def _poll(self, event_mask: int) -> bool:
        socket = self.transport.get_extra_info("socket")
        if socket is None or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(socket.fileno(), event_mask)
        return bool(poll.poll(0))
