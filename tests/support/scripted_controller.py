"""A controller whose actions the test determines."""

import asyncio
import math

from gateway.interface.actions import Fail, SendAttempt
from gateway.interface.events import AttemptEnded, RequestArrived
from gateway.policy.controller import OpenCounts


class ScriptedController:
    """A controller that sends each request to one endpoint, and fails it if the attempt fails.

    Without an endpoint, it sends no request. `handle` appends the received events to `events`. The actions
    that the test puts into `pending_actions` are returned by the next call of `handle`.
    """

    def __init__(self, endpoint="w1", timeout_ms=20_000.0):
        self.endpoint = endpoint
        self.timeout_ms = timeout_ms
        self.send_by_ms = math.inf
        self.events = []
        self.pending_actions = []
        self.errors = []
        self.event_received = asyncio.Event()

    def handle(self, _now, events):
        """Store the events, and return the pending actions and those that the events cause."""
        self.events += events
        self.event_received.set()
        actions = self.pending_actions
        self.pending_actions = []
        for event in events:
            if isinstance(event, RequestArrived) and self.endpoint:
                actions.append(SendAttempt(event.id, self.endpoint, self.timeout_ms, self.send_by_ms))
            if isinstance(event, AttemptEnded) and not event.final:
                actions.append(Fail(event.id))
        return actions

    def limit_customers(self, max_customers):
        """Do nothing: this controller keeps no accounts."""

    def customer_count(self):
        """Return 0: this controller keeps no accounts."""
        return 0

    def open_counts(self):
        """Return counts of 0: this controller keeps no records."""
        return OpenCounts(0, 0, 0)

    def endpoint_counts(self, _now):
        """Return 0 as the number of listed endpoints and as the number of avoided ones."""
        return 0, 0

    async def next_event(self, event_type):
        """Wait for the first stored event of this type; remove the event from `events` and return it."""
        while True:
            for event in self.events:
                if isinstance(event, event_type):
                    self.events.remove(event)
                    return event
            self.event_received.clear()
            await self.event_received.wait()
