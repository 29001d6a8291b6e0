"""The turns of the controller: events in, decisions, actions out.

All events of one turn of the event loop go to the controller in one call; its actions are dispatched to an
`ActionHandler`, which has one method for each kind of action.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from gateway.interface.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    SubscribeEndpoints,
)
from gateway.interface.events import Event
from gateway.network.clock import Clock
from gateway.policy.controller import Controller

ERROR_LOG_INTERVAL_MS = 10_000.0  # errors of the controller are logged at most once in this time, ms

log = logging.getLogger(__name__)


class EventSink(Protocol):
    """Where the network code reports events for the controller."""

    def enqueue(self, event: Event) -> None:
        """Keep an event for the controller's next turn."""


class ActionHandler(Protocol):
    """Carries out the controller's actions."""

    def send_attempt(self, action: SendAttempt) -> None:
        """Start an attempt."""

    def reject(self, action: Reject) -> None:
        """Answer a request that was not executed, with advice when to retry."""

    def fail(self, action: Fail) -> None:
        """Answer a request that failed."""

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt."""

    def set_timer(self, action: SetTimer) -> None:
        """Report a TimerFired event later."""

    def send_gossip(self, action: SendGossip) -> None:
        """Send a datagram."""

    def check_health(self, action: CheckHealth) -> None:
        """Check the health of an endpoint."""

    def subscribe_endpoints(self, action: SubscribeEndpoints) -> None:
        """Subscribe to the endpoint list."""


class ControllerLoop:
    """Collects events, calls the controller once a turn, and dispatches its actions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        controller: Controller,
        actions: ActionHandler,
    ) -> None:
        """Call this controller on this event loop, and let `actions` carry out what it returns."""
        self.controller = controller
        self._loop = loop
        self._clock = clock
        self._events: list[Event] = []
        self._actions = actions
        self._next_error_log_ms = 0.0

    def enqueue(self, event: Event) -> None:
        """Keep an event for the controller's next turn, at the end of this turn of the event loop."""
        if not self._events:
            self._loop.call_soon(self._run_turn)
        self._events.append(event)

    def _run_turn(self) -> None:
        events = self._events
        self._events = []
        for action in self._decide(events):
            self._dispatch(action)

    def _decide(self, events: list[Event]) -> list[Action]:
        """Return the controller's actions; none if it raises, in which case guard timers answer."""
        actions: list[Action] = []
        try:
            actions = self.controller.handle(self._clock.now(), events)
            errors = self.controller.errors
        except Exception as error:
            errors = [error]
        if errors:
            self._log_errors(errors, len(events))
        return actions

    def _dispatch(self, action: Action) -> None:
        """Pass an action to its method; the most frequent kinds are tested first."""
        handler = self._actions
        match action:
            case SendAttempt():
                handler.send_attempt(action)
            case SetTimer():
                handler.set_timer(action)
            case SendGossip():
                handler.send_gossip(action)
            case Reject():
                handler.reject(action)
            case Fail():
                handler.fail(action)
            case CancelAttempt():
                handler.cancel_attempt(action)
            case CheckHealth():
                handler.check_health(action)
            case SubscribeEndpoints():
                handler.subscribe_endpoints(action)

    def _log_errors(self, errors: list[Exception], event_count: int) -> None:
        now_ms = self._clock.now()
        if now_ms < self._next_error_log_ms:
            return
        self._next_error_log_ms = now_ms + ERROR_LOG_INTERVAL_MS
        log.error(
            "controller: %d of %d events failed (logged at most once in %.0f s)",
            len(errors),
            event_count,
            ERROR_LOG_INTERVAL_MS / 1000,
            exc_info=errors[0],
        )
