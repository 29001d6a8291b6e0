"""The timer queue of the decision package: one heap, from which the controller pops expired timers."""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Mapping
from enum import IntEnum, auto
from typing import NamedTuple

CLOCK_RESOLUTION_MS = 0.001  # time by which a timer may expire early
MAX_STALE_TIMERS = 256  # timers of ended requests that may remain before the queue is compacted


class TimerKind(IntEnum):
    """What a timer is for."""

    CONTROL_PERIOD = auto()  # the next step of all controllers and averages
    SUBSCRIBE = auto()  # the next subscription to endpoint updates
    GOSSIP_FLUSH = auto()  # the entries of a delayed gossip message may be sent
    LEADER_SERVE = auto()  # a bucket of the quota leader has enough units for the head of its queue
    LEASE_REPLY_OVERDUE = auto()  # the quota leader has not replied to a lease request
    LEASE_EXPIRED = auto()  # the quota leader has dropped a queued lease request
    HEDGE = auto()  # an attempt has taken long enough for a hedge
    QUEUE_TIMEOUT = auto()  # a queued request can no longer be answered in time
    DEADLINE = auto()  # the client's deadline is reached


REQUEST_TIMER_KINDS = (
    TimerKind.LEASE_REPLY_OVERDUE,
    TimerKind.LEASE_EXPIRED,
    TimerKind.HEDGE,
    TimerKind.QUEUE_TIMEOUT,
    TimerKind.DEADLINE,
)
NO_SUBJECT = -1  # subject of a timer that concerns neither a request nor a bucket


class Timer(NamedTuple):
    """A timer's kind, and the id of the request or the name of the bucket that it concerns."""

    kind: TimerKind
    subject: int = NO_SUBJECT


# A scheduled timer: its time, its sequence number, its kind and its subject. The heap sorts in this order.
_HeapEntry = tuple[float, int, TimerKind, int]


class TimerQueue:
    """Timers in the order of their times; those of equal times expire in the order of their scheduling."""

    def __init__(self) -> None:
        """Start with no timer and no requested wake-up."""
        self._heap: list[_HeapEntry] = []
        self._scheduled_count = 0  # timers scheduled so far
        self._wake_up_at_ms = math.inf  # time of the wake-up that is requested

    def __len__(self) -> int:
        """Return how many timers are scheduled."""
        return len(self._heap)

    @property
    def first_at_ms(self) -> float:
        """When the first timer expires."""
        return self._heap[0][0]

    def schedule(self, at_ms: float, kind: TimerKind, subject: int = NO_SUBJECT) -> None:
        """Schedule a timer. Timers cannot be cancelled: the handler checks whether one still matters."""
        self._scheduled_count += 1
        heapq.heappush(self._heap, (at_ms, self._scheduled_count, kind, subject))

    def pop_expired(self, now_ms: float) -> Timer | None:
        """Remove and return the first timer that has expired at `now_ms`, if there is one."""
        if not self._heap or self._heap[0][0] > now_ms + CLOCK_RESOLUTION_MS:
            return None
        _, _, kind, subject = heapq.heappop(self._heap)
        return Timer(kind, subject)

    def clear_due_wake_up(self, now_ms: float) -> None:
        """Record that a turn has started; a requested wake-up whose time is reached is over."""
        if now_ms >= self._wake_up_at_ms - CLOCK_RESOLUTION_MS:
            self._wake_up_at_ms = math.inf

    def request_wake_up(self, now_ms: float, open_requests: Container[int]) -> float | None:
        """Return the time until the next wake-up, or None where an earlier one is already requested.

        Only one wake-up is requested, for the first timer that matters: a wake-up costs a turn and cannot be
        withdrawn, and most timers concern requests that end before the timer expires.
        """
        self._drop_stale_head(open_requests)
        first_at_ms = self._heap[0][0]
        if first_at_ms >= self._wake_up_at_ms:
            return None
        self._wake_up_at_ms = first_at_ms
        return max(0.0, first_at_ms - now_ms)

    def compact(self, open_requests: Mapping[int, object]) -> None:
        """Drop the timers of ended requests if the queue has grown large."""
        if len(self._heap) <= MAX_STALE_TIMERS + len(REQUEST_TIMER_KINDS) * len(open_requests):
            return
        self._heap = [entry for entry in self._heap if not _is_stale(entry, open_requests)]
        heapq.heapify(self._heap)

    def _drop_stale_head(self, open_requests: Container[int]) -> None:
        while _is_stale(self._heap[0], open_requests):
            heapq.heappop(self._heap)


def _is_stale(entry: _HeapEntry, open_requests: Container[int]) -> bool:
    """Return whether a timer concerns a request that has ended."""
    _, _, kind, subject = entry
    return kind in REQUEST_TIMER_KINDS and subject not in open_requests
