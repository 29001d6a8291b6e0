"""Writing of requests to a connection, and tracking of their transmission."""

from __future__ import annotations

import asyncio
from enum import Enum, auto

from gateway.network.admin.metrics import Metrics
from gateway.network.output_backlog import OutputBacklog


class WriterState(Enum):
    """The progress of sending a request; see RequestWriter for the transitions."""

    IDLE = auto()  # no request has been started on the connection
    WRITING = auto()  # the last part is outstanding, and the transport's buffer accepts data
    BLOCKED = auto()  # the last part is outstanding, and the transport's buffer is full
    FLUSHING = auto()  # the last part has been written, and the transport's buffer is not empty
    WRITTEN = auto()  # the operating system has accepted the last part


# Size in bytes up to which the body of a request is joined to its head; a larger body is not copied.
MAX_JOINED_BODY_BYTES = 8 * 1024

# Module constants because attribute access on an enum class is slow in Python 3.11.
_WRITING = WriterState.WRITING
_BLOCKED = WriterState.BLOCKED
_FLUSHING = WriterState.FLUSHING
_WRITTEN = WriterState.WRITTEN


class RequestWriter:
    """Writes requests to one connection, one at a time, and tracks their transmission.

    The state changes as follows:

    State     Input                      Next state
    --------  -------------------------  ----------
    any       start of a request         WRITING
    WRITING   last part                  WRITTEN
    WRITING   buffer full                BLOCKED
    BLOCKED   buffer empty               WRITING
    BLOCKED   last part                  FLUSHING
    FLUSHING  buffer empty               WRITTEN
    WRITTEN   buffer full                FLUSHING

    The transport reports a full buffer either during the write that fills it or at the end of the event loop
    iteration. In the second case a request can be in state WRITTEN before it is in state FLUSHING. The metric
    of forwarded attempts is incremented on entry to the state WRITTEN and decremented on the transition from
    WRITTEN to FLUSHING.
    """

    __slots__ = ("_metrics", "_transport", "backlog", "state")

    def __init__(self, transport: asyncio.WriteTransport, metrics: Metrics) -> None:
        """Write to this transport, and count the sent requests in `metrics.forwarded_attempts`."""
        self.state = WriterState.IDLE
        self.backlog: OutputBacklog | None = None  # of a request that is forwarded while it is received
        self._transport = transport
        self._metrics = metrics

    @property
    def is_blocked(self) -> bool:
        """Whether the transport's write buffer is full, or the backlog of a forwarded request."""
        if self.state is _BLOCKED or self.state is _FLUSHING:
            return True
        return self.backlog is not None and self.backlog.is_full

    @property
    def is_unsent(self) -> bool:
        """Whether the operating system has not yet accepted the last byte of the request."""
        return self.state is not _WRITTEN

    def start_request(self) -> None:
        """Begin the next request; its bytes follow by `write_part` and `write_last`."""
        self.state = _WRITING

    def write_request(self, head: bytes, body: bytes) -> None:
        """Write a complete request; the transport keeps the body itself, and no copy, until it is sent."""
        if len(body) > MAX_JOINED_BODY_BYTES:
            self.write_part(head)
            self.write_last(body)
        else:
            self.write_last(head + body)

    def write_part(self, data: bytes) -> None:
        """Write a part of the request; at least one more part follows."""
        self._transport.write(data)
        if self.backlog is not None:
            self.backlog.on_written()

    def write_last(self, data: bytes) -> None:
        """Write the last part of the request."""
        self._transport.write(data)
        if self.state is _WRITING:
            self._on_written()
        else:
            self.state = _FLUSHING

    def on_buffer_full(self) -> None:
        """Update the state after the transport has reported a full write buffer."""
        if self.state is _WRITTEN:
            self._metrics.forwarded_attempts -= 1
            self.state = _FLUSHING
        elif self.state is not _FLUSHING:
            self.state = _BLOCKED

    def on_buffer_empty(self) -> None:
        """Update the state after the transport has reported an empty write buffer."""
        if self.state is _FLUSHING:
            self._on_written()
        elif self.state is _BLOCKED:
            self.state = _WRITING

    def _on_written(self) -> None:
        self.state = _WRITTEN
        self._metrics.forwarded_attempts += 1
