"""Tracks how a client reads the output of its connection, so that a response that it reads is not cut off."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class OutputState(Enum):
    """How far a client has read the output of its connection."""

    READ = auto()  # completely
    BEING_READ = auto()
    OVERDUE = auto()  # not completely, and the client has exceeded a limit


@dataclass(frozen=True, slots=True)
class ReadingLimits:
    """The limits on the time that a client may take to read its output."""

    stall_timeout_ms: float  # time for which the client may read nothing
    total_timeout_ms: float  # time for all output, plus what it needs at `min_bytes_per_ms`
    min_bytes_per_ms: float  # infinite if the size of the output extends no limit


class OutputProgress:
    """The output of one connection that its client has not acknowledged, and when the client last read.

    Bytes count as read once the client's system has acknowledged them.
    """

    __slots__ = ("_changed_at_ms", "_pending_bytes", "_pending_since_ms", "unread_bytes")

    def __init__(self) -> None:
        """Start without output."""
        self.unread_bytes = 0  # at the last measurement
        self._changed_at_ms = 0.0  # clock time at which `unread_bytes` last changed
        self._pending_since_ms = 0.0  # clock time from which on there has been unread output
        self._pending_bytes = 0  # unread output at that time

    def restart(self) -> None:
        """Let all limits count anew from the next measurement, because output has been written."""
        self.unread_bytes = 0

    def update(self, unread_bytes: int, now_ms: float) -> None:
        """Record a measurement of the output that the client has not acknowledged."""
        if not self.unread_bytes:
            self._pending_since_ms = now_ms
            self._pending_bytes = unread_bytes
        if unread_bytes != self.unread_bytes:
            self._changed_at_ms = now_ms
        self.unread_bytes = unread_bytes

    def state(self, now_ms: float, limits: ReadingLimits) -> OutputState:
        """Return how far the client had read its output at the last measurement."""
        if not self.unread_bytes:
            return OutputState.READ
        total_timeout_ms = limits.total_timeout_ms + self._pending_bytes / limits.min_bytes_per_ms
        is_stalled = now_ms - self._changed_at_ms > limits.stall_timeout_ms
        if is_stalled or now_ms - self._pending_since_ms > total_timeout_ms:
            return OutputState.OVERDUE
        return OutputState.BEING_READ
