"""The protocol of a client connection, which reads requests from the transport and writes responses.

The states of a connection and their transitions are described in `connection_state`.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import cast

from gateway.errors import BadRequestError, OverloadedError
from gateway.network.clients.body_flow import BodyFlow
from gateway.network.clients.body_progress import BodyProgress
from gateway.network.clients.client_output import (
    MAX_RESPONSE_BACKLOG_BYTES,
    MIN_RESPONSE_BACKLOG_BYTES,
    ClientOutput,
)
from gateway.network.clients.connection_memory import ConnectionMemory
from gateway.network.clients.connection_state import ConnectionState
from gateway.network.clients.open_request import OpenRequest
from gateway.network.clients.output_progress import OutputState, ReadingLimits
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.rejection_pause import RejectionPause
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
from gateway.network.clients.upload import MAX_BUFFERED_BYTES, Upload
from gateway.network.memory_budget import NARROW_READ_BYTES, WINDOW_BYTES
from gateway.network.output_backlog import OutputBacklog
from gateway.network.shared_read_buffer import SharedBufferProtocol
from gateway.network.socket_events import has_peer_shut_down, has_unread_input

# Bytes of an incomplete request that the memory of its connection covers.
CONNECTION_HEAD_BYTES = 512

# The states as module variables, because access to an enum member through its class is slow in Python 3.11.
_IDLE = ConnectionState.IDLE
_RECEIVING = ConnectionState.RECEIVING
_RECEIVED = ConnectionState.RECEIVED
_PIPELINED = ConnectionState.PIPELINED
_DISCARDING = ConnectionState.DISCARDING
_PAUSED = ConnectionState.PAUSED
_CLOSING = ConnectionState.CLOSING

# Target of the request by which a client asks whether this process is ready to serve.
READINESS_TARGET = b"/up"

TEXT_PLAIN = b"text/plain"


class ClientConnection(SharedBufferProtocol):
    """The protocol of a client connection, on which one request at a time is open."""

    transport: asyncio.Transport  # assigned in connection_made, before any other call, like the output
    _output: ClientOutput

    def __init__(self, handler: RequestHandler, is_transferred: bool = False) -> None:
        """Start idle and without a transport, which the event loop passes to `connection_made`.

        Args:
            handler: Handles the requests of the connection and the changes of its state.
            is_transferred: Whether the predecessor has handed the connection over.
        """
        self.is_transferred = is_transferred
        self.state = _IDLE
        self.memory = ConnectionMemory(handler.memory)
        self.reader = RequestReader(self.memory.body)
        self.request: OpenRequest | None = None  # None while no request is open
        self.response_source: ResponseSource | None = None  # None while no response is being forwarded
        self.has_wide_window = False  # whether the response being forwarded has a wide window
        # Whether input has arrived since the gateway began to close the connection, or since the limiter last
        # cleared this flag.
        self.received_while_closing = False
        self.closing_since_ms = 0.0
        # Whether the connection closes, and its only output is the rejection of an incomplete request.
        self.has_only_rejection = False
        self._handler = handler
        self._writer = ResponseWriter()
        self._rejection_pause = RejectionPause(handler)
        self.body_progress = BodyProgress()
        self._flow = BodyFlow(self, self.body_progress, handler)
        self._reset_request_state()

    def _reset_request_state(self) -> None:
        self._flow.reset()
        self._keep_alive = True  # whether the connection may stay open after the response
        self._upload: Upload | None = None  # the body of the current request if it is large
        self.reads_widely = False
        self.body_progress.reset()

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the handler."""
        self.transport = cast(asyncio.Transport, transport)
        backlog = OutputBacklog(
            self.transport,
            self._handler.clock,
            self._handler.timers,
            self._set_response_paused,
            MAX_RESPONSE_BACKLOG_BYTES,
        )
        self._output = ClientOutput(self.transport, backlog, is_transferred=self.is_transferred)
        self._handler.on_client_connected(self)

    def pause_writing(self) -> None:
        """Pause the response being forwarded, because the write buffer is full."""
        self._output.backlog.on_transport_full()

    def resume_writing(self) -> None:
        """Resume the response being forwarded, because the write buffer has emptied."""
        self._output.backlog.on_transport_writable()

    def _set_response_paused(self, paused: bool) -> None:
        if self.response_source is not None:
            self.response_source.set_response_paused(paused=paused)

    def data_received(self, data: bytes | memoryview) -> None:
        """Process bytes from the client according to the state of the connection.

        Bytes that arrive after a complete request and before its response are read and discarded. If they
        stayed in the socket, the gateway would not detect that the client closes the connection.
        """
        if self.state is _CLOSING:
            self.received_while_closing = True
        elif self.state is _RECEIVED:
            self.state = _PIPELINED
        elif self.state is not _PIPELINED:
            try:
                self._process_input(data)
            except Exception:  # an internal error ends this connection, but no other one
                self._on_internal_error()
        if self._is_discarding:
            self._handler.input_throttle.on_discarded(self)

    @property
    def _is_discarding(self) -> bool:
        """Whether input is read only to be dropped."""
        return self.state is _CLOSING or self.state is _PIPELINED or self.state is _DISCARDING

    def pause_discarding(self) -> None:
        """Stop reading for a short time, because all connections drop too much input.

        The client does not cause the delay, so it extends the time for a body or for closing.
        """
        if self.transport.is_closing():
            return
        self.transport.pause_reading()
        self.received_while_closing = True
        if self.state is _DISCARDING and not self.body_progress.paused_since_ms:
            self.body_progress.pause(self._handler.clock.now())

    def resume_discarding(self) -> None:
        """Read again, if the connection still drops its input."""
        if not self._is_discarding or self.transport.is_closing():
            return
        self.transport.resume_reading()
        self.received_while_closing = True
        if self.body_progress.paused_since_ms:
            self.body_progress.resume(self._handler.clock.now())

    def eof_received(self) -> bool:
        """Close the connection: a client that shuts down its sending side counts as disconnected.

        The handler is notified at once. Return whether the connection stays open until the client has read
        an earlier response, or until the connection limiter aborts it.
        """
        self._cancel_request()
        if self.state is not _CLOSING:
            self._enter_closing()
        return self._output.on_client_shut_down()

    def connection_lost(self, _error: Exception | None) -> None:
        """Release the reader, and deregister the connection and its open request from the handler."""
        self.state = _CLOSING
        self.reader.close()
        self._flow.close()
        self._output.backlog.close()
        self.memory.release()
        request = self.request
        self.request = None
        self.response_source = None
        self._upload = None  # refers to this object; the cycle would stay until a garbage collection
        self._handler.on_connection_closed(self, request)

    # -- the reader's events

    def _process_input(self, data: bytes | memoryview) -> None:
        """Pass received bytes to the reader, and handle the events that they cause.

        The remaining events are discarded once bytes have followed the open request, or once the connection
        is closing. After the events:

        - PAUSED: a complete request has been rejected. The reader counts the next request from zero, so that
          the rejected request's bytes do not count toward its size.
        - RECEIVED: the size is not checked, because the reader still counts the bytes of the complete request
          until its response is sent. After a buffered body, the reader already expects the next head, whose
          limit these bytes may exceed.
        - Otherwise, the request being received is rejected if it occupies too many bytes on the wire.
        """
        for event in self.reader.feed(data):
            self._handle_event(event)
            if self.state is _PIPELINED or self.state is _CLOSING:
                return
        if self.state is _PAUSED:
            self.reader.expect_next_message()
        elif self.state is not _RECEIVED:
            self._widen_reads_of_buffered_body()
            rejection = self.reader.check_raw_size()
            if rejection is not None:
                self._abort_request(rejection.status)
            elif self.state is _RECEIVING and self._upload is None:
                self._reserve_received_bytes()

    def _reserve_received_bytes(self) -> None:
        """Reserve the memory of an incomplete request; reject the request with 503 if there is too little."""
        held_bytes = self.reader.held_bytes
        if held_bytes > CONNECTION_HEAD_BYTES and not self.memory.window.try_cover_part_of_window(held_bytes):
            self._handler.connections.on_memory_exhausted(self)
            self._abort_request(HTTPStatus.SERVICE_UNAVAILABLE)

    def _widen_reads_of_buffered_body(self) -> None:
        """Read more at a time if the memory for more of a buffered body is reserved already."""
        if self.state is _RECEIVING and self._upload is None:
            unused_bytes = self.memory.body.size - self.reader.body_size
            self.reads_widely = unused_bytes > NARROW_READ_BYTES

    def _on_internal_error(self) -> None:
        """Answer 400 and close the connection.

        If the open request is complete, its response is sent first. If the response of an incomplete request
        has been sent already or is being forwarded, the connection is aborted without a 400.
        """
        if self.state is _RECEIVED:
            self.state = _PIPELINED
        else:
            self._abort_request(HTTPStatus.BAD_REQUEST)

    def _handle_event(self, event: RequestEvent) -> None:
        if self.state is _RECEIVED:
            # The open request is complete, so the event stems from bytes that the client has sent after it.
            self.state = _PIPELINED
            return
        if self.state is _PAUSED:
            # The client has sent further bytes without waiting for the response of the rejected request.
            # Pipelined requests are not served, so the connection closes instead of pausing.
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
                    self._upload.add_part(event.data)
            case LargeBodyStarted():
                self._on_large_body_started(event)
            case BodyCompleted():
                self._on_body_completed()
            case RequestRejected():
                self._abort_request(event.status)

    def _on_message_started(self) -> None:
        """Begin to receive a request; reject it if the client does not read its earlier responses."""
        self._reset_request_state()
        self.state = _RECEIVING
        waits_since_ms = self._rejection_pause.take_start_ms()
        if waits_since_ms is not None:
            self._flow.hold_up(waits_since_ms)
        if self._output.unread_bytes() > MAX_RESPONSE_BACKLOG_BYTES:
            self._abort_request(HTTPStatus.BAD_REQUEST)
            return
        self._handler.on_message_started(self)

    def _on_head_received(self, event: HeadReceived) -> None:
        self._keep_alive = event.keep_alive
        self.body_progress.on_head_received(self._handler.clock.now())
        if event.expects_continue:
            self.transport.write(CONTINUE)

    def _on_large_body_started(self, event: LargeBodyStarted) -> None:
        """Open the request before its body is complete, so that the body can be forwarded meanwhile."""
        self.reads_widely = self.memory.try_widen_body()
        pause_at_bytes = MAX_BUFFERED_BYTES if self.reads_widely else NARROW_READ_BYTES
        self._upload = Upload(self, event.length, event.first_part, pause_at_bytes)
        received = ReceivedRequest(event.method, event.target, event.headers, b"", self._upload)
        try:
            self.request = self._handler.open_request(self, received, self._flow.sent_at_ms())
            self._flow.report()
        except BadRequestError as error:
            self._abort_request(error.status)
        except OverloadedError as error:
            self._send_early_response(HTTPStatus.SERVICE_UNAVAILABLE, b"", b"", error.retry_after_ms)

    def _on_body_completed(self) -> None:
        if self.state is _DISCARDING:
            self._handler.connections.on_request_complete(self)
            self._become_idle()
        elif self.request is not None and self._upload is not None:
            self.state = _RECEIVED
            self._handler.connections.on_request_complete(self)
            self._upload.finish()
            self._handler.on_upload_completed(self.request, self._flow.sent_at_ms())

    def _on_request_received(self, event: RequestReceived) -> None:
        self._keep_alive = event.keep_alive
        request = event.request
        if request.method == b"GET" and request.target == READINESS_TARGET:
            self._handler.connections.on_request_complete(self)
            self._send_readiness()
            return
        try:
            self.request = self._handler.open_request(self, request, self._flow.sent_at_ms())
        except BadRequestError as error:
            self._reject_complete_request(error.status)
        except OverloadedError as error:
            self._send_complete(HTTPStatus.SERVICE_UNAVAILABLE, b"", b"", error.retry_after_ms)
        else:
            self.state = _RECEIVED

    # -- rejections

    def _reject_complete_request(self, status: int) -> None:
        """Answer a complete but unacceptable request with an error status, and pause reading.

        The pause bounds the load that a client causes by repeating bad requests without delay. The connection
        closes if the client does not keep it alive, or if the gateway drains.
        """
        if not self._keep_alive or self._handler.is_draining:
            self._abort_request(status)
            return
        self._reset_request_state()
        self.memory.release()
        self.state = _PAUSED
        self.transport.write(self._writer.error_response(status, close=False))
        self.transport.pause_reading()
        self._rejection_pause.start(self._resume_after_rejection)

    def _resume_after_rejection(self) -> None:
        if self.state is _PAUSED:
            self.state = _IDLE
            self._rejection_pause.end(has_unread_input=self.has_unread_input())
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def _abort_request(self, status: int) -> None:
        """Cancel the current request and close the connection.

        Used after unacceptable bytes, a timeout or an internal error, and for a rejected request, even a
        complete one, if the connection must close after it.

        The client receives an error response with this status, unless the response of the current request has
        been sent already or is being forwarded.
        """
        has_response = self.state is _DISCARDING or self.response_source is not None
        is_incomplete = self.state is _RECEIVING and not has_response
        self.has_only_rejection = is_incomplete and not self._output.unread_bytes()
        self._cancel_request()
        if has_response:
            self._finish_and_linger(b"")
        else:
            self._finish_and_linger(self._writer.error_response(status, close=True))

    def _cancel_request(self) -> None:
        """If a request is open, report to the handler that the client has disconnected."""
        request = self.request
        self.request = None
        if request is not None:
            self._handler.on_client_disconnected(request)
        self.memory.body.release()

    # -- responses

    def send_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the complete response of the open request, unless the connection is closing.

        The response may be sent while the body of the request is still being received. The remaining bytes of
        the body are then discarded, or the connection closes.
        """
        self.request = None
        if self.transport.is_closing():
            return
        self.memory.window.cover(len(body) + self._output.unread_bytes())
        if self.state is _RECEIVING:
            self._send_early_response(status, body, content_type, retry_after_ms)
        else:
            self.reader.expect_next_message()
            self._send_complete(status, body, content_type, retry_after_ms)

    def _send_complete(
        self, status: int, body: bytes, content_type: bytes, retry_after_ms: float = 0.0
    ) -> None:
        """Write the response of a complete request.

        If bytes have followed the request, status 400 is sent after the response, and the connection closes.
        """
        is_pipelined = self.state is _PIPELINED
        close = self._must_close()
        response = self._writer.complete_response(
            status, body, content_type, retry_after_ms, close=close and not is_pipelined
        )
        self._reset_request_state()
        self.memory.body.release()
        if is_pipelined:
            self._finish_and_linger(
                response + self._writer.error_response(HTTPStatus.BAD_REQUEST, close=True)
            )
            return
        self.transport.write(response)
        if close:
            self._close()
        else:
            self._become_idle()

    def _send_early_response(
        self, status: int, body: bytes, content_type: bytes, retry_after_ms: float
    ) -> None:
        """Write the response of a request whose body is still being received."""
        close = self._must_close()
        response = self._writer.complete_response(status, body, content_type, retry_after_ms, close=close)
        if close:
            self._finish_and_linger(response)
        else:
            self.transport.write(response)
            self._discard_body()

    def _send_readiness(self) -> None:
        if self._handler.is_ready:
            self._send_complete(HTTPStatus.OK, b"up\n", TEXT_PLAIN)
        else:
            self._send_complete(HTTPStatus.SERVICE_UNAVAILABLE, b"not up\n", TEXT_PLAIN)

    def start_response(self, source: ResponseSource, length: int | None, content_type: bytes) -> None:
        """Write the head of a response; `forward_part` then writes the parts of its body.

        Args:
            source: The endpoint connection that is paused while the client reads too slowly.
            length: The length of the body in bytes, None if it is unknown.
            content_type: The value of Content-Type, empty if the response has none.
        """
        self.response_source = source
        if self.transport.is_closing():
            return
        if self.state is _RECEIVING:
            # The window of the request is still in use by its body.
            self.memory.body.cover(WINDOW_BYTES)
        self.has_wide_window = self.memory.try_widen_response()
        limit_bytes = MAX_RESPONSE_BACKLOG_BYTES if self.has_wide_window else MIN_RESPONSE_BACKLOG_BYTES
        self._output.limit_backlog(limit_bytes)
        chunked = length is None and self.reader.supports_chunks
        self._keep_alive = self._keep_alive and (length is not None or chunked)
        head = self._writer.response_head(length, content_type, chunked=chunked, close=self._must_close())
        self.transport.write(head)
        if self._output.backlog.is_full:
            # A full backlog is reported only once: this was during an earlier response.
            source.set_response_paused(paused=True)

    def forward_part(self, part: bytes) -> None:
        """Write the next part of a forwarded response; requires an earlier call of `start_response`."""
        if not self.transport.is_closing():
            self.transport.write(self._writer.body_part(part))
            self._output.backlog.on_written()

    def finish_response(self) -> None:
        """Write the end of a forwarded response whose parts have all been written."""
        self.request = None
        self.response_source = None
        if self.transport.is_closing():
            return
        is_client_writing = self.state is _PIPELINED or self.state is _RECEIVING
        close = self._must_close()
        self.transport.write(self._writer.body_end())
        if self.state is _RECEIVING and not close:
            self._discard_body()
            return
        self._reset_request_state()
        self.memory.body.release()
        self.reader.expect_next_message()
        if is_client_writing:
            self._finish_and_linger(b"")
        elif close:
            self._close()
        else:
            self._become_idle()

    def abort_response(self) -> None:
        """Close the connection, so that the client detects that the forwarded response is incomplete.

        What has been written of the response still reaches the client.
        """
        self.request = None
        self.response_source = None
        self._close()

    def _must_close(self) -> bool:
        """Return whether the connection closes after the current response."""
        is_ending = self.state is _PIPELINED or self.state is _CLOSING
        return is_ending or self._handler.is_draining or not self._keep_alive

    def _become_idle(self) -> None:
        self.state = _IDLE
        self._output.restart_progress()
        self._handler.on_connection_idle(self)

    def _discard_body(self) -> None:
        """Start to discard the remaining bytes of a request whose response has been sent."""
        self.state = _DISCARDING
        self._upload = None
        self.memory.body.release()
        self.memory.window.shrink(self._output.unread_bytes())
        self.reads_widely = True
        self.set_body_paused(False)

    # -- the body's flow control

    def set_body_paused(self, paused: bool) -> None:
        """Pause or resume reading a large body."""
        self._flow.set_paused(paused)

    def on_body_released(self) -> None:
        """Report that the start of a large body has been forwarded and is no longer buffered."""
        if self.request is not None:
            self._handler.on_body_released(self.request)

    # -- the end of the connection

    def release_unused_memory(self, now_ms: float) -> None:
        """Record what the client has read, and return the memory of the last response once that is all."""
        if not self.memory.window.size or self.request is not None:
            return
        if not self._output.update_progress(now_ms):
            self.memory.window.release()

    @property
    def unread_output_bytes(self) -> int:
        """The output that the client has not acknowledged."""
        return self._output.unread_bytes()

    def output_state(self, now_ms: float, limits: ReadingLimits) -> OutputState:
        """Record what the client has read up to now, and return how far it has read its output."""
        return self._output.state(now_ms, limits)

    def abort(self) -> None:
        """Close the connection at once, and discard all output that the client has not read.

        While the gateway drains, the kernel delivers what it holds, after the end of the process as well.
        """
        self.state = _CLOSING
        self._output.abort(discards=not self._handler.is_draining)

    def close_descriptor(self) -> None:
        """Close this process's descriptor of a connection that another process has taken over."""
        self.state = _CLOSING
        self._output.close_descriptor()

    def close_disconnected(self) -> None:
        """Close the connection of a client that has shut down its sending side.

        Like `eof_received`, for an end of the input that the event loop has not reported. The client may
        still read its earlier responses.
        """
        self._cancel_request()
        self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request on it is open, being received or unread in the socket.

        If the connection closed during one of these requests, the client would have to send it again.
        """
        is_unused = self.state is _IDLE or self.state is _PAUSED
        if is_unused and not self.has_unread_input():
            self._close()

    def on_input_timeout(self) -> None:
        """End the connection because its input timeout has expired.

        A request being received is answered with 408, and the connection closes. If its response has been
        sent or is being forwarded already, the connection is aborted instead. Without a request being
        received, the connection closes unless a request on it is open or unread in the socket.
        """
        if self.is_receiving:
            self._abort_request(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()

    def reject_request(self) -> None:
        """Answer the request that is being received with 503, and close the connection.

        If its response has been sent or is being forwarded already, the connection is aborted instead.
        """
        self._abort_request(HTTPStatus.SERVICE_UNAVAILABLE)

    def _finish_and_linger(self, data: bytes) -> None:
        """Write the last bytes and shut down the sending side, but continue to read and discard input.

        If the socket were closed with unread input, the kernel would reset the connection, and the client
        could lose the last bytes. The connection limiter closes the connection after its linger timeout.
        """
        if self.transport.is_closing():
            return
        self._enter_closing()
        self.transport.write(data)
        self.transport.write_eof()
        self.transport.resume_reading()

    def _close(self) -> None:
        """Close the connection once the client has acknowledged all output.

        The connection limiter aborts it if the client does not read the output in time.
        """
        if self.transport.is_closing():
            return
        if self._output.unread_bytes():
            self._finish_and_linger(b"")
            return
        self._enter_closing()
        self._output.close()

    def _enter_closing(self) -> None:
        self.state = _CLOSING
        self.reads_widely = True
        self.reader.discard_request()
        self.received_while_closing = False
        self.closing_since_ms = self._handler.clock.now()
        self.memory.window.shrink(self._output.update_progress(self.closing_since_ms))
        self._handler.connections.on_closing(self, self.closing_since_ms)

    # -- the limiter's queries

    @property
    def is_receiving(self) -> bool:
        """Whether a request is being received, or the rest of one whose response has been sent already."""
        return self.state is _RECEIVING or self.state is _DISCARDING

    @property
    def request_bytes(self) -> int:
        """The bytes of the current request that have been read."""
        return self.reader.raw_size

    @property
    def received_bytes(self) -> int:
        """The size of the part that has been received of an unanswered request, 0 if there is none."""
        return self.reader.raw_size if self.state is _RECEIVING else 0

    @property
    def is_pipelined(self) -> bool:
        """Whether bytes have followed the open request before its response was sent."""
        return self.state is _PIPELINED

    @property
    def is_closing(self) -> bool:
        """Whether the gateway or the client is ending the connection."""
        return self.state is _CLOSING

    def is_transferable(self) -> bool:
        """Return whether the connection can be handed over: it is idle, and all responses are written."""
        if self.state is not _IDLE or self.transport.is_closing():
            return False
        return not self.transport.get_write_buffer_size()

    def is_input_overdue(self, now_ms: float, timeout_ms: float, min_bytes_per_ms: float) -> bool:
        """Return whether the head of the request is still incomplete, or its body arrives too slowly."""
        return self.body_progress.is_overdue(now_ms, self.reader.body_size, timeout_ms, min_bytes_per_ms)

    def has_unread_input(self) -> bool:
        """Return whether the socket holds unread input: bytes, or the end of the client's input.

        The result is always False during the pause after a rejected request, because the gateway leaves input
        unread on purpose then.
        """
        if self.state is _PAUSED:
            return False
        return has_unread_input(self.transport)

    def is_disconnected(self) -> bool:
        """Return whether the client has shut down its sending side.

        The socket is polled, because the transport does not report a disconnect while reading is paused.
        """
        return has_peer_shut_down(self.transport)
