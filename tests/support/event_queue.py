"""Events on a simulated clock."""

import heapq
import itertools
from typing import NamedTuple


class QueuedEvent(NamedTuple):
    """An event that reaches a gateway at a time; events of one time keep their order."""

    at_ms: float
    serial: int
    gateway: int
    event: object


class EventQueue:
    """The events that are still to reach the gateways."""

    def __init__(self):
        self._heap = []
        self._serials = itertools.count()

    def schedule(self, at_ms, gateway, event):
        """Add an event that reaches the gateway at this time."""
        heapq.heappush(self._heap, QueuedEvent(at_ms, next(self._serials), gateway, event))

    def pop_due(self, now):
        """Remove and yield the events up to this time, with their gateways."""
        while self._heap and self._heap[0].at_ms <= now:
            due = heapq.heappop(self._heap)
            yield due.gateway, due.event
