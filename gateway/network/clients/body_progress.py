"""The rate at which the body of a request is received, without the time for which it is paused."""

from __future__ import annotations


class BodyProgress:
    """The time since the head of a request; times are in milliseconds."""

    def __init__(self) -> None:
        """Start before the head is complete."""
        self.reset()

    def reset(self) -> None:
        """Start again with the next request."""
        self.paused_since_ms = 0.0  # 0 while the body is not paused
        self._head_received_ms = 0.0  # advances by the duration of each pause; 0 before the head is complete

    def on_head_received(self, now_ms: float) -> None:
        """Start the time of the body."""
        self._head_received_ms = now_ms

    def pause(self, now_ms: float) -> None:
        """Stop the time."""
        self.paused_since_ms = now_ms

    def resume(self, now_ms: float) -> None:
        """Let the time continue."""
        self._head_received_ms += now_ms - self.paused_since_ms
        self.paused_since_ms = 0.0

    def is_overdue(self, now_ms: float, body_bytes: int, timeout_ms: float, min_bytes_per_ms: float) -> bool:
        """Return whether the head is incomplete, or the body slower than a minimum rate.

        A paused body is not overdue, since the delay is not the client's.
        """
        if not self._head_received_ms:
            return True
        allowed_ms = timeout_ms + body_bytes / min_bytes_per_ms
        return not self.paused_since_ms and now_ms - self._head_received_ms > allowed_ms
