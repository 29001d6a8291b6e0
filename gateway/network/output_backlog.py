"""Watches the output of one connection, in the process and in the kernel, and tells when to pause its source.

The transport reports when its own buffer is full. The bytes in the kernel have no such report: the backlog is
measured after each write, and while it is too large also in intervals that grow up to MAX_CHECK_INTERVAL_MS.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gateway.network.clock import Clock, Timer, Timers
from gateway.network.socket_buffers import output_bytes

# Milliseconds until the first check of a backlog that is too large. A peer that reads has emptied it by then.
MIN_CHECK_INTERVAL_MS = 2.0

# Maximum number of milliseconds between two checks.
MAX_CHECK_INTERVAL_MS = 32.0


class OutputBacklog:
    """The output of one connection that its peer has not acknowledged, against a limit."""

    __slots__ = (
        "_clock",
        "_interval_ms",
        "_is_backlog_large",
        "_is_transport_full",
        "_on_change",
        "_timer",
        "_timers",
        "_transport",
        "limit_bytes",
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        clock: Clock,
        timers: Timers,
        on_change: Callable[[bool], None],
        limit_bytes: int,
    ) -> None:
        """Start without a backlog.

        Args:
            transport: The transport of the connection.
            clock: The clock of the timers.
            timers: Schedule the checks.
            on_change: Called with True when the source has to pause, and with False when it may go on.
            limit_bytes: The number of bytes above which the source pauses; it may be changed at any time.
        """
        self.limit_bytes = limit_bytes
        self._transport = transport
        self._clock = clock
        self._timers = timers
        self._on_change: Callable[[bool], None] | None = on_change  # None once the connection is closed
        self._is_transport_full = False
        self._is_backlog_large = False
        self._timer: Timer | None = None
        self._interval_ms = MIN_CHECK_INTERVAL_MS

    @property
    def is_full(self) -> bool:
        """Whether the source has to pause."""
        return self._is_transport_full or self._is_backlog_large

    def on_written(self) -> None:
        """Measure the backlog after a write, unless the source pauses already."""
        if not self.is_full and output_bytes(self._transport) > self.limit_bytes:
            self._is_backlog_large = True
            self._interval_ms = MIN_CHECK_INTERVAL_MS
            self._schedule_check()
            self._report(is_full=True)

    def on_transport_full(self) -> None:
        """Record that the transport has reported a full buffer."""
        was_full = self.is_full
        self._is_transport_full = True
        if not was_full:
            self._report(is_full=True)

    def on_transport_writable(self) -> None:
        """Record that the transport has reported that its buffer has emptied."""
        was_full = self.is_full
        self._is_transport_full = False
        if was_full and not self.is_full:
            self._report(is_full=False)

    def close(self) -> None:
        """Stop the checks, and release the listener, which may refer to this object."""
        self._on_change = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_check(self) -> None:
        at_ms = self._clock.now() + self._interval_ms
        self._timer = self._timers.call_at(at_ms, self._check)

    def _check(self) -> None:
        """Let the source go on if the peer has acknowledged at least half of the limit."""
        self._timer = None
        if self._on_change is None:
            return
        if output_bytes(self._transport) > self.limit_bytes // 2:
            self._interval_ms = min(2 * self._interval_ms, MAX_CHECK_INTERVAL_MS)
            self._schedule_check()
            return
        self._is_backlog_large = False
        if not self.is_full:
            self._report(is_full=False)

    def _report(self, *, is_full: bool) -> None:
        if self._on_change is not None:
            self._on_change(is_full)
