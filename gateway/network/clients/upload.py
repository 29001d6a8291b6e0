"""A large request body that is forwarded to an endpoint while it is received from the client."""

from __future__ import annotations

from typing import Protocol

# Bytes of a body that are buffered: a smaller body until it is complete, a larger one until an endpoint is
# connected.
MAX_BUFFERED_BYTES = 256 * 1024

LAST_CHUNK = b"0\r\n\r\n"


class BodySource(Protocol):
    """The client's connection, from which a body is received."""

    def set_body_paused(self, paused: bool) -> None:
        """Stop or resume reading the body."""

    def is_disconnected(self) -> bool:
        """Return whether the client has ended its sending."""

    def on_body_released(self) -> None:
        """Note that a part of the body is no longer buffered."""


class BodySink(Protocol):
    """The endpoint's connection, to which a body is forwarded."""

    @property
    def blocked(self) -> bool:
        """Return whether the connection's write buffer is full."""

    def write_part(self, data: bytes) -> None:
        """Write a part of a request, not the last."""

    def write_last(self, data: bytes) -> None:
        """Write the end of a request."""


class Upload:
    """The body of a request that is forwarded while it is received.

    One endpoint alone receives it, as no byte is kept after it has been forwarded.
    """

    def __init__(self, client: BodySource, length: int | None, first_part: bytes) -> None:
        """Start with the part received so far; the length is None for a chunked body."""
        self._client = client
        self._chunked = length is None
        self._parts = [first_part] if first_part else []
        self._buffered_bytes = len(first_part)
        self._sink: BodySink | None = None  # the connection to which the first byte was written
        self.is_complete = False  # whether the last byte has been received
        self.framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length

    def may_send(self) -> bool:
        """Return whether an attempt may still send the body from its first byte.

        The client's socket is checked too: while reading is paused, its end is not reported.
        """
        return self._sink is None and not self._client.is_disconnected()

    def feed(self, part: bytes) -> None:
        """Forward a part, or buffer it until an endpoint is connected.

        Reading from the client pauses once MAX_BUFFERED_BYTES are buffered.
        """
        if self._sink is not None:
            self._sink.write_part(self._framed(part))
            return
        self._parts.append(part)
        self._buffered_bytes += len(part)
        if self._buffered_bytes >= MAX_BUFFERED_BYTES:
            self._client.set_body_paused(True)

    def end(self) -> None:
        """Note that the last byte has been received."""
        self.is_complete = True
        if self._sink is not None:
            self._sink.write_last(LAST_CHUNK if self._chunked else b"")

    def start_forwarding(self, sink: BodySink, head: bytes) -> None:
        """Write the head and the buffered parts to an endpoint's new connection, then forward there."""
        data = head + b"".join(map(self._framed, self._parts))
        self._parts.clear()
        self._sink = sink
        self._client.on_body_released()
        if self.is_complete:
            sink.write_last(data + (LAST_CHUNK if self._chunked else b""))
        else:
            sink.write_part(data)
            self._client.set_body_paused(sink.blocked)

    def on_endpoint_blocked(self, blocked: bool) -> None:
        """Pause or resume the client as the write buffer of the endpoint's connection fills or empties."""
        if not self.is_complete:
            self._client.set_body_paused(blocked)

    def _framed(self, part: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(part), part) if self._chunked else part
