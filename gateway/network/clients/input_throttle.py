"""Limits the rate at which the gateway reads input that it only drops.

Input after a rejected request, or after a request whose response is still open, is read so that the end of
the connection is noticed. At full speed from many clients, it would take the processor time of the requests.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from gateway.network.clock import Clock, Timers

# Milliseconds after which connections that wait may read again.
INTERVAL_MS = 10.0

# Number of reads in an interval by which all connections together may drop input. Each takes about the same
# processor time, whatever its size.
READS_PER_INTERVAL = 64


class DiscardingConnection(Protocol):
    """A connection that reads input in order to drop it."""

    def pause_discarding(self) -> None:
        """Stop reading for a short time."""

    def resume_discarding(self) -> None:
        """Read again, if the connection still drops its input."""


class InputThrottle:
    """Pauses connections that together read more often than READS_PER_INTERVAL, and resumes them in order."""

    def __init__(self, clock: Clock, timers: Timers) -> None:
        """Start without waiting connections."""
        self._clock = clock
        self._timers = timers
        self._waiting: deque[DiscardingConnection] = deque()
        self._interval_began_ms = clock.now()
        self._reads_in_interval = 0

    def __len__(self) -> int:
        """Return the number of waiting connections."""
        return len(self._waiting)

    def on_discarded(self, connection: DiscardingConnection) -> None:
        """Count a read that a connection has dropped, and pause the connection if there were too many."""
        now_ms = self._clock.now()
        if now_ms - self._interval_began_ms >= INTERVAL_MS:
            self._interval_began_ms = now_ms
            self._reads_in_interval = 0
        self._reads_in_interval += 1
        if self._reads_in_interval <= READS_PER_INTERVAL:
            return
        connection.pause_discarding()
        if not self._waiting:
            self._schedule_resumption(now_ms)
        self._waiting.append(connection)

    def _schedule_resumption(self, now_ms: float) -> None:
        self._timers.call_at(now_ms + INTERVAL_MS, self._resume_next)

    def _resume_next(self) -> None:
        """Let the connections that have waited longest read again, and begin an interval."""
        now_ms = self._clock.now()
        self._interval_began_ms = now_ms
        self._reads_in_interval = 0
        count = min(READS_PER_INTERVAL, len(self._waiting))
        resumed = [self._waiting.popleft() for _ in range(count)]
        if self._waiting:
            self._schedule_resumption(now_ms)
        for connection in resumed:
            connection.resume_discarding()
