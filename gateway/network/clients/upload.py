"""A large request body that is forwarded to an endpoint while it is received from the client."""

from __future__ import annotations

from typing import Protocol

# Maximum number of bytes of a request body that are buffered. A body of at most this size is buffered until
# it is complete, so that the request can be retried. A larger body is forwarded while it is received, and so
# is any body for which too little memory is left.
MAX_BUFFERED_BYTES = 256 * 1024

# Marks the end of a chunked body.
LAST_CHUNK = b"0\r\n\r\n"


class BodySource(Protocol):
    """The client connection from which a body is received."""

    def set_body_paused(self, paused: bool) -> None:
        """Pause or resume reading the body from the client."""

    def is_disconnected(self) -> bool:
        """Return whether the client has shut down its sending side."""

    def on_body_released(self) -> None:
        """Report that the start of the body has been forwarded and is no longer buffered."""


class BodySink(Protocol):
    """The endpoint connection to which a body is forwarded."""

    @property
    def is_blocked(self) -> bool:
        """Whether the write buffer of the connection is full."""

    def write_part(self, data: bytes) -> None:
        """Write a part of a request that is not the last."""

    def write_last(self, data: bytes) -> None:
        """Write the last part of a request, which may be empty."""


class Upload:
    """The body of a request that is forwarded while it is received.

    Forwarded bytes are discarded, so the body can be sent to one endpoint only.
    """

    def __init__(
        self,
        client: BodySource,
        length: int | None,
        first_part: bytes,
        pause_at_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        """Buffer the part of the body received so far.

        Args:
            client: The connection from which the remaining parts of the body are received.
            length: The length of the body in bytes, None for a chunked body.
            first_part: The bytes received so far, which may be empty.
            pause_at_bytes: The number of buffered bytes from which on reading from the client pauses until an
                endpoint is connected.
        """
        self._client = client
        self._chunked = length is None
        self._buffer = bytearray(first_part)  # bytes that wait for the start of forwarding
        self.pause_at_bytes = pause_at_bytes
        self._sink: BodySink | None = None  # None until forwarding starts
        self.is_complete = False  # whether the last byte of the body has been received
        # The header field that gives the length or the coding of the body.
        self.framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length

    def may_send(self) -> bool:
        """Return whether a new attempt may send the body: all bytes are buffered and the client is connected.

        The client's socket is polled, because no event reports a disconnect while reading is paused.
        """
        return self._sink is None and not self._client.is_disconnected()

    def add_part(self, part: bytes) -> None:
        """Forward the next part of the body, or buffer it if forwarding has not started.

        Reading from the client pauses once enough bytes are buffered.
        """
        if self._sink is not None:
            self._sink.write_part(self._framed(part))
            return
        self._buffer += part
        if len(self._buffer) >= self.pause_at_bytes:
            self._client.set_body_paused(True)

    def finish(self) -> None:
        """Mark the body as complete, write its end if forwarding has started, and resume reading.

        From now on the client sends its next request or closes the connection, and both have to be detected
        even if the bytes of this body are still waiting for the endpoint.
        """
        self.is_complete = True
        if self._sink is not None:
            self._sink.write_last(LAST_CHUNK if self._chunked else b"")
        self._client.set_body_paused(False)

    def start_forwarding(self, sink: BodySink, head: bytes) -> None:
        """Write the head and the buffered bytes to an endpoint connection, and forward later parts to it."""
        data = head + self._framed(bytes(self._buffer)) if self._buffer else head
        self._buffer = bytearray()
        self._sink = sink
        self._client.on_body_released()
        if self.is_complete:
            sink.write_last(data + (LAST_CHUNK if self._chunked else b""))
        else:
            sink.write_part(data)
            self._client.set_body_paused(sink.is_blocked)

    def on_endpoint_blocked(self, blocked: bool) -> None:
        """Pause reading from the client if the endpoint connection's write buffer is full, else resume."""
        if not self.is_complete:
            self._client.set_body_paused(blocked)

    def _framed(self, part: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(part), part) if self._chunked else part
