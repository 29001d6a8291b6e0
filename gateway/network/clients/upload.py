"""A large body on its way from a client to an endpoint: a part of it is here at any time, never all."""

from __future__ import annotations

from typing import Protocol

# A body up to this size is held until it is complete; of a larger one so much may wait for its endpoint.
MAX_BUFFERED = 256 * 1024
LAST_CHUNK = b"0\r\n\r\n"


class BodySource(Protocol):
    """The client's side of a body that is forwarded while it comes."""

    def set_body_paused(self, paused: bool) -> None:
        """Stop or resume reading the body."""

    def is_disconnected(self) -> bool:
        """Return whether the client has ended its sending."""

    def on_body_released(self) -> None:
        """Note that a part of the body is no longer buffered."""


class BodySink(Protocol):
    """The upstream's side of a body that is forwarded while it comes."""

    @property
    def blocked(self) -> bool:
        """Return whether the connection's write buffer is full."""

    def write_part(self, data: bytes) -> None:
        """Write a part of a request, not the last."""

    def write_last(self, data: bytes) -> None:
        """Write the end of a request."""


class Upload:
    """The body of a request that is forwarded while it comes.

    It goes to one endpoint alone, as nothing of it is kept.
    """

    def __init__(self, client: BodySource, length: int | None, first: bytes) -> None:
        """Begin with the first part; the length is None for a body in chunks."""
        self._client = client
        self._chunked = length is None
        self._parts = [first] if first else []
        self._size = len(first)
        self._sink: BodySink | None = None  # the one that has had the first byte
        self.is_complete = False  # its last byte has come
        self.framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length

    def may_send(self) -> bool:
        """Return whether an endpoint may still have it from its first byte.

        Not one whose client has left: of a body that is held back nothing is read, so the socket is asked.
        """
        return self._sink is None and not self._client.is_disconnected()

    def feed(self, part: bytes) -> None:
        """Take in a part. The client is not read on while its endpoint takes nothing, or has not come up."""
        if self._sink is not None:
            self._sink.write_part(self._framed(part))
            return
        self._parts.append(part)
        self._size += len(part)
        if self._size >= MAX_BUFFERED:
            self._client.set_body_paused(True)

    def end(self) -> None:
        """Take note that the last byte has come."""
        self.is_complete = True
        if self._sink is not None:
            self._sink.write_last(LAST_CHUNK if self._chunked else b"")

    def attach(self, sink: BodySink, head: bytes) -> None:
        """Send what is here on an endpoint's connection, which has just come up; the rest follows."""
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
        """Take note that the endpoint's connection is full, or takes more."""
        if not self.is_complete:
            self._client.set_body_paused(blocked)

    def _framed(self, part: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(part), part) if self._chunked else part
