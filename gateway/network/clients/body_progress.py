"""Detects request bodies that a client sends too slowly."""

from __future__ import annotations


class BodyProgress:
    """Measures how long the client of a connection has been sending the current request body.

    The time for which the gateway has paused reading does not count. All times are in milliseconds.
    """

    def __init__(self) -> None:
        """Create a measurement that starts with the end of the first request's head."""
        self.reset()

    def reset(self) -> None:
        """Discard the measurement; a new measurement starts at the end of the next request's head."""
        self.paused_since_ms = 0.0  # 0 unless reading of the body is paused
        # The time at which the head was complete plus the duration of all pauses; 0 until the head is
        # complete.
        self._body_started_ms = 0.0

    def on_head_received(self, now_ms: float) -> None:
        """Start measuring, because the head is complete and the body follows."""
        self._body_started_ms = now_ms

    def pause(self, now_ms: float) -> None:
        """Stop measuring, because the gateway stops reading the body."""
        self.paused_since_ms = now_ms

    def resume(self, now_ms: float) -> None:
        """Continue measuring after a pause; requires an earlier call of `pause`."""
        self._body_started_ms += now_ms - self.paused_since_ms
        self.paused_since_ms = 0.0

    def is_overdue(self, now_ms: float, body_bytes: int, timeout_ms: float, min_bytes_per_ms: float) -> bool:
        """Return whether the head is still incomplete, or the body arrives too slowly.

        The client may take `timeout_ms` plus the time that the received bytes need at the minimum rate.
        While reading is paused the body is never overdue, because the gateway causes the delay.

        Args:
            now_ms: The current time.
            body_bytes: The bytes of the body received so far.
            timeout_ms: The time that the client has in addition to the time at the minimum rate.
            min_bytes_per_ms: The minimum rate of the body, in bytes per millisecond.
        """
        if not self._body_started_ms:
            return True
        allowed_ms = timeout_ms + body_bytes / min_bytes_per_ms
        return not self.paused_since_ms and now_ms - self._body_started_ms > allowed_ms
