"""The gateway's clock and its timers."""

from __future__ import annotations

import asyncio
import heapq
import math
import time
from collections.abc import Callable


class Clock:
    """Unix time in milliseconds; it never goes back, even if the machine's clock is set."""

    def __init__(self) -> None:
        """Read the machine's clock, once."""
        self._base_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """Return the time, in milliseconds."""
        return self._base_ms + time.monotonic() * 1000


class Timer:
    """One scheduled call, which can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        """Schedule this call."""
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancel the call, if it has not been made."""
        self.call = None


class Timers:
    """All timers of the gateway, on one timer of the event loop.

    Setting and cancelling a timer is cheap, as most timers are cancelled before they expire.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        """Begin with no timer."""
        self._loop = loop
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._scheduled = 0
        self._handle: asyncio.TimerHandle | None = None
        self._armed_ms = math.inf

    def call_at(self, when_ms: float, call: Callable[[], None]) -> Timer:
        """Schedule a call at that time of the clock or soon after, never before."""
        self._scheduled += 1
        timer = Timer(call)
        heapq.heappush(self._heap, (when_ms, self._scheduled, timer))
        if when_ms < self._armed_ms:
            self._arm(when_ms)
        return timer

    def _arm(self, when_ms: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed_ms = when_ms
        # The event loop counts in milliseconds from the start of its turn; rounded up, no timer is early.
        delay_ms = math.ceil(max(0.0, when_ms - self._clock.now()))
        self._handle = self._loop.call_later(delay_ms / 1000, self._expire)

    def _expire(self) -> None:
        self._handle = None
        self._armed_ms = -math.inf  # `call_at` does not arm while expired timers are called
        now_ms = self._clock.now()
        heap = self._heap
        try:
            while heap and heap[0][0] <= now_ms:
                timer = heapq.heappop(heap)[2]
                call = timer.call
                timer.call = None  # breaks the reference cycle with a caller that holds the timer
                if call is not None:
                    call()
        finally:
            while heap and heap[0][2].call is None:
                heapq.heappop(heap)
            self._armed_ms = math.inf
            if heap:
                self._arm(heap[0][0])
