"""Passes events to the controller and its actions to the code that carries them out.

All events of one iteration of the event loop are passed to the controller in one call. The actions that it
returns are dispatched to an `ActionHandler`, which has one method for each type of action.
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
    ForwardResponse,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    SubscribeEndpoints,
)
from gateway.interface.events import Event
from gateway.network.clock import Clock
from gateway.policy.controller import Controller

# Minimum time in milliseconds between two log lines for errors of the controller. Errors in between are not
# logged.
ERROR_LOG_INTERVAL_MS = 10_000.0

log = logging.getLogger(__name__)


class EventSink(Protocol):
    """Accepts the events that the network code reports to the controller."""

    def enqueue(self, event: Event) -> None:
        """Queue an event for the next call of the controller."""


class ActionHandler(Protocol):
    """Carries out the actions that the controller returns."""

    def send_attempt(self, action: SendAttempt) -> None:
        """Send an attempt of a request to an endpoint."""

    def reject(self, action: Reject) -> None:
        """Answer a request that was not executed, and state when the client may retry."""

    def fail(self, action: Fail) -> None:
        """Answer a request that failed."""

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt that is in flight."""

    def forward_response(self, action: ForwardResponse) -> None:
        """Forward a response that is being buffered."""

    def set_timer(self, action: SetTimer) -> None:
        """Report a TimerFired event after the delay that the action states."""

    def send_gossip(self, action: SendGossip) -> None:
        """Send a datagram to another gateway or to a sibling process of this gateway."""

    def check_health(self, action: CheckHealth) -> None:
        """Check the health of an endpoint."""

    def subscribe_endpoints(self, action: SubscribeEndpoints) -> None:
        """Subscribe to the endpoint list."""


class ControllerLoop:
    """Queues events, calls the controller once per event loop iteration, and dispatches its actions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        controller: Controller,
        actions: ActionHandler,
    ) -> None:
        """Start with an empty queue; `actions` carries out the actions that the controller returns."""
        self.controller = controller
        self._loop = loop
        self._clock = clock
        self._events: list[Event] = []
        self._actions = actions
        self._next_error_log_ms = 0.0

    def enqueue(self, event: Event) -> None:
        """Queue an event; the controller is called once for all events of an event loop iteration."""
        if not self._events:
            self._loop.call_soon(self._process_events)
        self._events.append(event)

    def _process_events(self) -> None:
        events = self._events
        self._events = []
        errors: list[Exception] = []
        actions = self._call_controller(events)
        for action in actions:
            try:
                self._dispatch_action(action)
            except Exception as error:  # the other actions, among them timers, are still carried out
                errors.append(error)
        if errors:
            self._log_errors("actions", errors, len(actions))

    def _call_controller(self, events: list[Event]) -> list[Action]:
        """Return the controller's actions for these events, and log its errors.

        If the controller raises, no action is returned; the guard timers then answer the open requests.
        """
        actions: list[Action] = []
        try:
            actions = self.controller.handle(self._clock.now(), events)
            errors = self.controller.errors
        except Exception as error:
            errors = [error]
        if errors:
            self._log_errors("events", errors, len(events))
        return actions

    def _dispatch_action(self, action: Action) -> None:
        """Pass an action to the handler's method for its type; the most frequent types are tested first."""
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
            case ForwardResponse():
                handler.forward_response(action)
            case CheckHealth():
                handler.check_health(action)
            case SubscribeEndpoints():
                handler.subscribe_endpoints(action)

    def _log_errors(self, what: str, errors: list[Exception], count: int) -> None:
        now_ms = self._clock.now()
        if now_ms < self._next_error_log_ms:
            return
        self._next_error_log_ms = now_ms + ERROR_LOG_INTERVAL_MS
        log.error(
            "controller: %d of %d %s failed (logged at most once in %.0f s)",
            len(errors),
            count,
            what,
            ERROR_LOG_INTERVAL_MS / 1000,
            exc_info=errors[0],
        )
