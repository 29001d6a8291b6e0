"""The output of one client connection: its backlog, what its client has read of it, and its end."""

from __future__ import annotations

import asyncio

from gateway.network.clients.output_progress import OutputProgress, OutputState, ReadingLimits
from gateway.network.memory_budget import NARROW_READ_BYTES, WIDE_READ_BYTES
from gateway.network.output_backlog import OutputBacklog
from gateway.network.socket_buffers import abort_and_discard, deliver_after_close, output_bytes

# Maximum number of bytes that the process and the kernel hold of a response, until the client acknowledges
# them, before the gateway stops reading it from the endpoint. Reading continues once enough are acknowledged.
MAX_RESPONSE_BACKLOG_BYTES = WIDE_READ_BYTES

# The same maximum for a response that has only the smallest window.
MIN_RESPONSE_BACKLOG_BYTES = NARROW_READ_BYTES


class ClientOutput:
    """The bytes that have been written to a client and that it has not acknowledged yet."""

    __slots__ = ("_is_transferred", "_progress", "_transport", "backlog")

    def __init__(self, transport: asyncio.Transport, backlog: OutputBacklog, *, is_transferred: bool) -> None:
        """Start without output.

        Args:
            transport: The transport of the connection.
            backlog: Pauses the source of a response while the client reads too slowly.
            is_transferred: Whether the predecessor has handed the connection over.
        """
        self.backlog = backlog
        self._transport = transport
        self._is_transferred = is_transferred
        self._progress = OutputProgress()
        self.limit_backlog(MAX_RESPONSE_BACKLOG_BYTES)
        self._deliver_after_close()

    def limit_backlog(self, limit_bytes: int) -> None:
        """Set the number of bytes above which the source of a response has to pause."""
        self._transport.set_write_buffer_limits(high=limit_bytes)
        self.backlog.limit_bytes = limit_bytes

    def unread_bytes(self) -> int:
        """Return the output that the client has not acknowledged, in the process and in the kernel."""
        return output_bytes(self._transport)

    def update_progress(self, now_ms: float) -> int:
        """Record what the client has read up to now, and return the bytes that it has not acknowledged."""
        unread_bytes = self.unread_bytes()
        self._progress.update(unread_bytes, now_ms)
        return unread_bytes

    def restart_progress(self) -> None:
        """Let the limits for reading count anew, because a response has been written."""
        self._progress.restart()

    def state(self, now_ms: float, limits: ReadingLimits) -> OutputState:
        """Record what the client has read up to now, and return how far it has read the output.

        The stall timeout counts from the last call at which the output had changed, so this method has to be
        called more often.
        """
        self.update_progress(now_ms)
        return self._progress.state(now_ms, limits)

    def close(self) -> None:
        """Close the connection once the kernel has accepted all output, and have the kernel deliver it."""
        self._deliver_after_close()
        self._transport.close()

    def abort(self, *, discards: bool) -> None:
        """Close the connection at once, and discard the output in the process.

        The output in the kernel is discarded as well if `discards`; otherwise the kernel delivers it.
        """
        if discards:
            abort_and_discard(self._transport)
        else:
            self._deliver_after_close()
            self._transport.abort()

    def close_descriptor(self) -> None:
        """Close this process's descriptor of a connection that another process has taken over.

        The options and the state of the socket stay as they are, because the other process uses them.
        """
        self._transport.abort()

    def on_client_shut_down(self) -> bool:
        """Return whether the connection of a client that sends nothing more has to stay open for the output.

        Otherwise the event loop closes it.
        """
        self._deliver_after_close()
        return bool(self.unread_bytes())

    def _deliver_after_close(self) -> None:
        """Undo what an earlier version of the predecessor may do to a socket after it has handed it over."""
        if self._is_transferred:
            deliver_after_close(self._transport)
