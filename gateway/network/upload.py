"""A large body on its way from a client to a worker: a part of it is here at any time, never all."""

from __future__ import annotations

from gateway.network.protocols import BodySink, BodySource

MAX_BUFFERED = (
    256 * 1024
)  # a body up to this size is held whole; of a larger one so much may wait for its worker


class Upload:
    """The body of a request that is passed on as it comes."""

    def __init__(self, client: BodySource, length: int | None, first: bytes) -> None:
        self._client, self._chunked = client, length is None
        self._parts, self._size = [first] if first else [], len(first)
        self._sink: BodySink | None = None  # the one that has had the first byte
        self.whole = False  # its last byte has come
        self.framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length

    def may_send(self) -> bool:
        """Whether a worker may still have it from its first byte: it goes to one alone, as nothing is kept,
        and to none when its client has left. Of one held back nothing is read, so the socket is asked."""
        return self._sink is None and not self._client.is_disconnected()

    def _framed(self, part: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(part), part) if self._chunked else part

    def feed(self, part: bytes) -> None:
        """A part has come. The client is not read on while its worker takes nothing, or there is none yet."""
        if self._sink is not None:
            self._sink.write_part(self._framed(part))
            return
        self._parts.append(part)
        self._size += len(part)
        if self._size >= MAX_BUFFERED:
            self._client.hold(True)

    def end(self) -> None:
        """The last byte has come."""
        self.whole = True
        if self._sink is not None:
            self._sink.write_last(b"0\r\n\r\n" if self._chunked else b"")

    def attach(self, sink: BodySink, head: bytes) -> None:
        """The worker's connection is up: what is here goes out on it, and the rest follows."""
        text = head + b"".join(map(self._framed, self._parts))
        self._parts.clear()
        self._sink = sink
        self._client.parted()
        if self.whole:
            sink.write_last(text + (b"0\r\n\r\n" if self._chunked else b""))
        else:
            sink.write_part(text)
            self._client.hold(sink.blocked)

    def flow(self, stopped: bool) -> None:
        """The worker's connection is full, or takes more."""
        if not self.whole:
            self._client.hold(stopped)
