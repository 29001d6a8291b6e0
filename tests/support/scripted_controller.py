"""A controller whose actions the test chooses."""

import asyncio
import math

from gateway.interface.actions import Fail, SendAttempt
from gateway.interface.events import AttemptEnded, RequestArrived


class ScriptedController:
    """Sends each request to one endpoint, fails it after a failed attempt, and keeps the events.

    Without an endpoint it keeps the events only. `pending_actions` go out with the next turn.
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
        """Keep the events, and return the actions of this turn."""
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

    def endpoint_counts(self, _now):
        """Return zero listed and zero avoided endpoints."""
        return 0, 0

    async def next_event(self, kind):
        """Wait for an event of this kind that has not been returned yet."""
        while True:
            for event in self.events:
                if isinstance(event, kind):
                    self.events.remove(event)
                    return event
            self.event_received.clear()
            await self.event_received.wait()
