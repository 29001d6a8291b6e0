"""The clock of the gateway, and timers that expire by it."""

from __future__ import annotations

import asyncio
import heapq
import math
import time
from collections.abc import Callable


class Clock:
    """Unix time in milliseconds that never goes backward, even if the system clock is changed."""

    def __init__(self) -> None:
        """Read the system clock; later changes of the system clock have no effect."""
        self._base_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """Return the current Unix time in milliseconds."""
        return self._base_ms + time.monotonic() * 1000


# Number of cancelled timers up to which they are not removed before their time.
MAX_CANCELLED_TIMERS = 256


class Timer:
    """A scheduled call that can be cancelled."""

    __slots__ = ("_on_cancelled", "callback")

    def __init__(self, callback: Callable[[], None], on_cancelled: Callable[[], None] | None = None) -> None:
        """Hold the callback until it has been called or is cancelled, which `on_cancelled` reports."""
        self.callback: Callable[[], None] | None = callback  # None once called or cancelled
        self._on_cancelled = on_cancelled

    def cancel(self) -> None:
        """Prevent the call; has no effect once it has been made."""
        if self.callback is None:
            return
        self.callback = None
        if self._on_cancelled is not None:
            self._on_cancelled()

    def cancel_with(self, other: Timer) -> None:
        """Let the cancellation of this timer cancel another one as well."""
        self._on_cancelled = other.cancel

    def run(self) -> None:
        """Make the call, unless the timer has been cancelled."""
        callback = self.callback
        self.callback = None
        if callback is not None:
            callback()


class Timers:
    """All timers of the gateway, driven by a single timer of the event loop.

    Scheduling and cancelling a timer is cheap, since most timers are cancelled before they expire: a
    cancelled timer stays in the heap until it reaches the top, or until most timers are cancelled.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        """Start without timers."""
        self._loop = loop
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._report_cancelled = self._on_timer_cancelled  # one object for all timers
        self._cancelled_count = 0  # cancelled timers in the heap, at most
        self._scheduled_count = 0  # orders timers of equal times by their scheduling
        self._handle: asyncio.TimerHandle | None = None
        self._armed_at_ms = math.inf  # time for which `_handle` is set; infinite if it is not set

    def call_at(self, when_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a call at `when_ms` by the clock or shortly after, but never before.

        A callback that raises does not prevent the calls of other timers.
        """
        self._scheduled_count += 1
        timer = Timer(callback, self._report_cancelled)
        heapq.heappush(self._heap, (when_ms, self._scheduled_count, timer))
        if when_ms < self._armed_at_ms:
            self._arm(when_ms)
        return timer

    def call_after_events_at(self, when_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a call after those that the timers before it cause in the same iteration.

        If the event loop was held up, many timers expire at once. An event that one of them has reported is
        handled before this call, and may cancel it.
        """
        deferred = Timer(callback)
        expiry = self.call_at(when_ms, lambda: self._defer(deferred))
        deferred.cancel_with(expiry)
        return deferred

    def _defer(self, timer: Timer) -> None:
        self._loop.call_soon(timer.run)

    def __len__(self) -> int:
        """Return the number of timers in the heap, including cancelled ones."""
        return len(self._heap)

    def _on_timer_cancelled(self) -> None:
        """Remove the cancelled timers once there are many and they are most of all timers."""
        self._cancelled_count += 1
        if self._cancelled_count > max(MAX_CANCELLED_TIMERS, len(self._heap) // 2):
            self._heap[:] = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def _arm(self, when_ms: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed_at_ms = when_ms
        # The event loop measures the delay in milliseconds from the start of its current iteration; it is
        # rounded up so that no timer expires early.
        delay_ms = math.ceil(max(0.0, when_ms - self._clock.now()))
        self._handle = self._loop.call_later(delay_ms / 1000, self._run_expired)

    def _run_expired(self) -> None:
        self._handle = None
        self._armed_at_ms = -math.inf  # keeps `call_at` from arming the event loop's timer in this loop
        now_ms = self._clock.now()
        heap = self._heap
        try:
            while heap and heap[0][0] <= now_ms:
                timer = heapq.heappop(heap)[2]
                callback = timer.callback
                timer.callback = None  # breaks the reference cycle with a caller that holds the timer
                if callback is not None:
                    callback()
        finally:
            while heap and heap[0][2].callback is None:
                heapq.heappop(heap)
            self._armed_at_ms = math.inf
            if heap:
                self._arm(heap[0][0])
