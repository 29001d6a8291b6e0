"""Tracks how a client reads the output of its connection, so that an answer that it reads is not cut off."""

from __future__ import annotations


class OutputProgress:
    """The output of one connection that its client has not acknowledged, and when the client last read.

    Bytes count as read once the client's system has acknowledged them.
    """

    __slots__ = ("_changed_at_ms", "_pending_since_ms", "unread_bytes")

    def __init__(self) -> None:
        """Start without output."""
        self.unread_bytes = 0  # at the last measurement
        self._changed_at_ms = 0.0  # clock time at which `unread_bytes` last changed
        self._pending_since_ms = 0.0  # clock time from which on there has been unread output

    def restart(self) -> None:
        """Let all limits count anew from the next measurement, because output has been written."""
        self.unread_bytes = 0

    def update(self, unread_bytes: int, now_ms: float) -> None:
        """Record a measurement of the output that the client has not acknowledged."""
        if not self.unread_bytes:
            self._pending_since_ms = now_ms
        if unread_bytes != self.unread_bytes:
            self._changed_at_ms = now_ms
        self.unread_bytes = unread_bytes

    def is_being_read(self, now_ms: float, stall_timeout_ms: float, total_timeout_ms: float) -> bool:
        """Return whether there is unread output, and the client has not exceeded a time limit for reading it.

        Args:
            now_ms: The clock time.
            stall_timeout_ms: The time in milliseconds for which the client may read nothing.
            total_timeout_ms: The time in milliseconds for which there may be unread output at all.
        """
        if not self.unread_bytes:
            return False
        is_stalled = now_ms - self._changed_at_ms > stall_timeout_ms
        return not is_stalled and now_ms - self._pending_since_ms <= total_timeout_ms
