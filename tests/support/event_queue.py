"""A queue of events for gateways on a simulated clock."""

import heapq
import itertools
from typing import NamedTuple


class QueuedEvent(NamedTuple):
    """An event with the time at which a gateway receives it.

    Queued events compare by time and then by serial number, so that simultaneous events keep their order.
    """

    at_ms: float
    serial: int
    gateway: int
    event: object


class EventQueue:
    """The scheduled events of all gateways, ordered by time."""

    def __init__(self):
        self._heap = []
        self._serials = itertools.count()

    def schedule(self, at_ms, gateway, event):
        """Schedule an event that the gateway receives at `at_ms`."""
        heapq.heappush(self._heap, QueuedEvent(at_ms, next(self._serials), gateway, event))

    def pop_due(self, now_ms):
        """Remove the events that are due at or before `now_ms`, and yield pairs of gateway and event."""
        while self._heap and self._heap[0].at_ms <= now_ms:
            due = heapq.heappop(self._heap)
            yield due.gateway, due.event
