"""Writing of one request to an endpoint's connection, and how far it has been sent."""

from __future__ import annotations

import asyncio
from enum import Enum, auto

from gateway.network.admin.metrics import Metrics


class WriterState(Enum):
    """How far a request has been sent; see RequestWriter for the transitions."""

    IDLE = auto()  # nothing has been written yet
    WRITING = auto()  # parts of the request are still to come
    BLOCKED = auto()  # parts are still to come, and the transport's buffer is full
    FLUSHING = auto()  # the last part waits in the transport's buffer
    WRITTEN = auto()  # the last part has been handed to the operating system


# The states as constants of the module: access to the members of an enum is slow in Python 3.11.
_WRITING = WriterState.WRITING
_BLOCKED = WriterState.BLOCKED
_FLUSHING = WriterState.FLUSHING
_WRITTEN = WriterState.WRITTEN


class RequestWriter:
    """Writes requests to one connection, one after another.

    State     Input                      Next state
    --------  -------------------------  ----------
    any       start of a request         WRITING
    WRITING   last part                  WRITTEN
    WRITING   buffer full                BLOCKED
    BLOCKED   buffer empty               WRITING
    BLOCKED   last part                  FLUSHING
    FLUSHING  buffer empty               WRITTEN
    WRITTEN   buffer full                FLUSHING

    The transport reports a full buffer at the end of the event loop's iteration in which it was filled, so a
    large request can be WRITTEN first and FLUSHING afterwards. The metric of forwarded attempts counts the
    requests in state WRITTEN.
    """

    __slots__ = ("_metrics", "_transport", "state")

    def __init__(self, transport: asyncio.WriteTransport, metrics: Metrics) -> None:
        """Write to the transport and count the written requests."""
        self.state = WriterState.IDLE
        self._transport = transport
        self._metrics = metrics

    @property
    def blocked(self) -> bool:
        """Return whether the transport's buffer is full."""
        return self.state is _BLOCKED or self.state is _FLUSHING

    @property
    def is_unsent(self) -> bool:
        """Return whether the request's last byte has not been handed to the operating system."""
        return self.state is not _WRITTEN

    def start(self) -> None:
        """Begin with another request."""
        self.state = _WRITING

    def write_part(self, data: bytes) -> None:
        """Write a part of the request that is not its last."""
        self._transport.write(data)

    def write_last(self, data: bytes) -> None:
        """Write the last part of the request."""
        self._transport.write(data)
        if self.state is _WRITING:
            self._on_written()
        else:
            self.state = _FLUSHING

    def on_buffer_full(self) -> None:
        """Record that the transport's buffer is full."""
        if self.state is _WRITTEN:
            self._metrics.forwarded_attempts -= 1
            self.state = _FLUSHING
        elif self.state is not _FLUSHING:
            self.state = _BLOCKED

    def on_buffer_empty(self) -> None:
        """Record that the transport's buffer is empty again."""
        if self.state is _FLUSHING:
            self._on_written()
        elif self.state is _BLOCKED:
            self.state = _WRITING

    def _on_written(self) -> None:
        self.state = _WRITTEN
        self._metrics.forwarded_attempts += 1
