"""The pauses of a client connection after rejected requests, which bound the load that bad requests cause."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gateway.network.clock import Clock, Timers

# Milliseconds for which the gateway does not read from a connection after its first rejected request. The
# pause doubles with each further rejected request on the connection, up to MAX_REJECTION_PAUSE_MS.
MIN_REJECTION_PAUSE_MS = 50.0

# Maximum time in milliseconds for which the gateway does not read from a connection after a rejected request.
MAX_REJECTION_PAUSE_MS = 1000.0

# Upper bound of the exponent in the pause MIN_REJECTION_PAUSE_MS * 2**exponent. It only keeps the power of
# two from growing with each rejected request: five doublings already exceed MAX_REJECTION_PAUSE_MS.
MAX_PAUSE_DOUBLINGS = 10


class TimeSource(Protocol):
    """The clock and the timers that a pause uses when it begins."""

    clock: Clock
    timers: Timers


class RejectionPause:
    """Times the pauses of one connection, and remembers since when its next request may wait."""

    def __init__(self, time_source: TimeSource) -> None:
        """Start without a rejected request."""
        self._time_source = time_source
        # Number of rejected requests after which the connection stayed open, which is never reset. It is the
        # exponent of the next pause.
        self._rejection_count = 0
        self._started_at_ms = 0.0  # start of the last pause; 0 if no request waited during it

    def start(self, on_end: Callable[[], None]) -> None:
        """Start a pause, and call `on_end` at its end."""
        pause_ms = MIN_REJECTION_PAUSE_MS * 2 ** min(self._rejection_count, MAX_PAUSE_DOUBLINGS)
        self._rejection_count += 1
        self._started_at_ms = self._time_source.clock.now()
        ends_at_ms = self._started_at_ms + min(MAX_REJECTION_PAUSE_MS, pause_ms)
        self._time_source.timers.call_at(ends_at_ms, on_end)

    def end(self, *, has_unread_input: bool) -> None:
        """Record the end of a pause, and whether the next request may have been written during it."""
        if not has_unread_input:
            self._started_at_ms = 0.0

    def take_start_ms(self) -> float | None:
        """Return the start of the pause during which the next request may have been written, only once.

        Returns None if there was none.
        """
        started_at_ms = self._started_at_ms
        self._started_at_ms = 0.0
        return started_at_ms or None
