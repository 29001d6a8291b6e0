"""The timer queue of a controller: a heap of all timers, and the single wake-up that the caller provides."""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Mapping
from enum import IntEnum, auto
from typing import NamedTuple

CLOCK_RESOLUTION_MS = 0.001  # time by which a turn may start before a timer's expiry and still handle it
# Number of timers that the queue may hold in addition to one of each request timer kind per open request. If
# it holds more, the timers of ended requests are dropped.
MAX_STALE_TIMERS = 256


class TimerKind(IntEnum):
    """The purpose of a timer, by which its handler is chosen when it expires."""

    CONTROL_PERIOD = auto()  # the feedback controllers and averages are due for their next update
    SUBSCRIBE = auto()  # the next subscription to endpoint updates is due
    GOSSIP_FLUSH = auto()  # quota entries that were held back to limit the rate of datagrams may be sent
    SERVE_LEASE_QUEUE = auto()  # a bucket of the quota leader can grant the first lease request in its queue
    LEASE_REPLY_OVERDUE = auto()  # the quota leader has not replied to a lease request in time
    LEASE_EXPIRED = auto()  # the quota leader has dropped a queued lease request
    HEDGE = auto()  # an attempt is overdue, and its request may be hedged
    QUEUE_TIMEOUT = auto()  # the time for which a request may be queued has ended
    DEADLINE = auto()  # the final answer has to be given before the client's deadline


REQUEST_TIMER_KINDS = (  # kinds whose subject is the id of a request
    TimerKind.LEASE_REPLY_OVERDUE,
    TimerKind.LEASE_EXPIRED,
    TimerKind.HEDGE,
    TimerKind.QUEUE_TIMEOUT,
    TimerKind.DEADLINE,
)
NO_SUBJECT = -1  # subject of a timer that concerns neither a request nor a bucket


class Timer(NamedTuple):
    """A timer: its kind, and its subject, which is a request id, a leader bucket's id, or NO_SUBJECT."""

    kind: TimerKind
    subject: int = NO_SUBJECT


# A scheduled timer: its time, its sequence number, its kind and its subject. The heap sorts in this order.
_HeapEntry = tuple[float, int, TimerKind, int]


class TimerQueue:
    """The timers in the order of their expiry; those with equal times expire in the order of scheduling."""

    def __init__(self) -> None:
        self._heap: list[_HeapEntry] = []
        self._left_after_compaction = 0  # timers in the queue after the last call of `compact`
        self._scheduled_count = 0  # timers scheduled so far, which is the last sequence number
        self._wake_up_at_ms = math.inf  # time of the requested wake-up; inf if none is outstanding

    def __len__(self) -> int:
        """Return the number of timers in the queue, including those of ended requests."""
        return len(self._heap)

    @property
    def first_at_ms(self) -> float:
        """Expiry time of the first timer, whose request may have ended already.

        Raises IndexError if the queue is empty.
        """
        return self._heap[0][0]

    def schedule(self, at_ms: float, kind: TimerKind, subject: int = NO_SUBJECT) -> None:
        """Schedule a timer.

        Timers cannot be cancelled, so the handler of an expired timer has to check whether it still applies.
        """
        self._scheduled_count += 1
        heapq.heappush(self._heap, (at_ms, self._scheduled_count, kind, subject))

    def pop_expired(self, now_ms: float) -> Timer | None:
        """Remove and return the first timer if it has expired at `now_ms`, else return None."""
        if not self._heap or self._heap[0][0] > now_ms + CLOCK_RESOLUTION_MS:
            return None
        _, _, kind, subject = heapq.heappop(self._heap)
        return Timer(kind, subject)

    def clear_reached_wake_up(self, now_ms: float) -> None:
        """Forget the requested wake-up if its time has come, so that a later one can be requested."""
        if now_ms >= self._wake_up_at_ms - CLOCK_RESOLUTION_MS:
            self._wake_up_at_ms = math.inf

    def request_wake_up(self, now_ms: float, open_requests: Container[int]) -> float | None:
        """Return the time in milliseconds until the wake-up that the caller has to set, or None.

        None means that the wake-up requested last comes no later than the first timer. The wake-up is only
        for the first timer of an open request; later timers get theirs in a later turn. Each wake-up costs a
        turn and cannot be withdrawn, and most timers belong to requests that end before the timer expires.
        Timers of ended requests at the head of the queue are therefore dropped first.
        """
        self._drop_stale_head(open_requests)
        first_at_ms = self._heap[0][0]
        if first_at_ms >= self._wake_up_at_ms:
            return None
        self._wake_up_at_ms = first_at_ms
        return max(0.0, first_at_ms - now_ms)

    def compact(self, open_requests: Mapping[int, object]) -> None:
        """Drop the timers of ended requests if the queue is larger than MAX_STALE_TIMERS permits.

        The queue has to be larger than twice the timers that were left, so that the effort for each timer
        that is scheduled is bounded.
        """
        limit = MAX_STALE_TIMERS + len(REQUEST_TIMER_KINDS) * len(open_requests)
        if len(self._heap) <= max(limit, 2 * self._left_after_compaction):
            return
        self._heap = [entry for entry in self._heap if not _is_stale(entry, open_requests)]
        heapq.heapify(self._heap)
        self._left_after_compaction = len(self._heap)

    def _drop_stale_head(self, open_requests: Container[int]) -> None:
        while _is_stale(self._heap[0], open_requests):
            heapq.heappop(self._heap)


def _is_stale(entry: _HeapEntry, open_requests: Container[int]) -> bool:
    """Return whether a timer belongs to a request that has ended."""
    _, _, kind, subject = entry
    return kind in REQUEST_TIMER_KINDS and subject not in open_requests
