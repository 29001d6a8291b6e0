"""The timer queue of the pure core: what is to happen when, in one heap."""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Mapping
from enum import IntEnum, auto
from typing import NamedTuple

CLOCK_RESOLUTION_MS = 0.001  # time by which a timer may expire early
MAX_STALE_TIMERS = 256  # timers of ended requests that may remain before the queue is compacted


class TimerKind(IntEnum):
    """What is to happen when a timer expires."""

    PERIOD = auto()  # one step of all controllers and averages
    SUBSCRIBE = auto()  # ask for endpoint updates
    GOSSIP_FLUSH = auto()  # send messages that were held back
    LEADER_SERVE = auto()  # a bucket of the quota leader has enough for the head of its queue
    LEASE_REPLY_OVERDUE = auto()  # the quota leader has not answered
    LEASE_EXPIRED = auto()  # the quota leader has dropped a queued lease request by now
    HEDGE = auto()  # an attempt takes long enough for a second copy
    QUEUE_TIMEOUT = auto()  # a request that still waits can't be answered in time any more
    DEADLINE = auto()  # the client's time is up


REQUEST_TIMERS = (
    TimerKind.LEASE_REPLY_OVERDUE,
    TimerKind.LEASE_EXPIRED,
    TimerKind.HEDGE,
    TimerKind.QUEUE_TIMEOUT,
    TimerKind.DEADLINE,
)
NO_SUBJECT = -1


class Timer(NamedTuple):
    """A timer's kind, and the request or the bucket that it is about."""

    kind: TimerKind
    subject: int = NO_SUBJECT


class TimerQueue:
    """Timers in the order of their times; of equal times the one scheduled first comes first."""

    def __init__(self) -> None:
        """Begin with no timer, and no wake-up asked for."""
        self._heap: list[tuple[float, int, TimerKind, int]] = []  # time, order, kind, subject
        self._scheduled = 0
        self._wake_up_at_ms = math.inf  # the wake-up that has been asked for

    def __len__(self) -> int:
        """Return how many timers are scheduled."""
        return len(self._heap)

    @property
    def first_at_ms(self) -> float:
        """When the first timer expires."""
        return self._heap[0][0]

    def schedule(self, at_ms: float, kind: TimerKind, subject: int = NO_SUBJECT) -> None:
        """Let a timer expire at `at_ms`. It can't be withdrawn: its handler looks whether it matters."""
        self._scheduled += 1
        heapq.heappush(self._heap, (at_ms, self._scheduled, kind, subject))

    def pop_expired(self, now_ms: float) -> Timer | None:
        """Take the first timer that has expired at `now_ms`, if there is one."""
        if not self._heap or self._heap[0][0] > now_ms + CLOCK_RESOLUTION_MS:
            return None
        _, _, kind, subject = heapq.heappop(self._heap)
        return Timer(kind, subject)

    def on_turn(self, now_ms: float) -> None:
        """Take note that a turn has begun, by the wake-up that was asked for or otherwise."""
        if now_ms >= self._wake_up_at_ms - CLOCK_RESOLUTION_MS:
            self._wake_up_at_ms = math.inf

    def wake_up_in_ms(self, now_ms: float, open_requests: Container[int]) -> float | None:
        """Return after what time the next wake-up has to come; None where an earlier one has been asked for.

        There is one, for what comes first: most timers are of requests that end before, and a wake-up costs a
        turn and can't be withdrawn.
        """
        heap = self._heap
        while heap[0][2] in REQUEST_TIMERS and heap[0][3] not in open_requests:
            heapq.heappop(heap)
        first_at_ms = heap[0][0]
        if first_at_ms >= self._wake_up_at_ms:
            return None
        self._wake_up_at_ms = first_at_ms
        return max(0.0, first_at_ms - now_ms)

    def compact(self, open_requests: Mapping[int, object]) -> None:
        """Drop the timers of requests that have ended, where there are many."""
        if len(self._heap) <= MAX_STALE_TIMERS + len(REQUEST_TIMERS) * len(open_requests):
            return
        self._heap = [
            entry for entry in self._heap if entry[2] not in REQUEST_TIMERS or entry[3] in open_requests
        ]
        heapq.heapify(self._heap)
