"""The objects that all components of one controller share.

These are the settings, the random number generator, the current turn, the timers and the process role.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from gateway.interface.actions import Action
from gateway.interface.settings import Settings
from gateway.policy.timers import TimerQueue

CONTROL_PERIOD_MS = 100.0  # interval at which the feedback controllers and the decaying averages are updated
STALL_PERIODS = 4.0  # time between two turns, in control periods, beyond which the process was stalled
INCARNATION_COUNT = 1 << 16  # number of distinct incarnations; datagrams encode an incarnation in 16 bits


@dataclass(slots=True)
class Turn:
    """The state of one call of `Controller.handle`: its time, and the actions that the call will return."""

    now_ms: float = 0.0
    started_at_ms: float | None = None  # time of the last `start`; None before the first turn
    follows_stall: bool = False  # the process was stalled between the previous turn and this one
    actions: list[Action] = field(default_factory=list)

    def start(self, now_ms: float) -> None:
        """Start the next turn at `now_ms`, with an empty list of actions.

        The list of the previous turn is not changed, since the caller may still use it.
        """
        previous_ms = self.started_at_ms
        self.follows_stall = (
            previous_ms is not None and previous_ms < now_ms - STALL_PERIODS * CONTROL_PERIOD_MS
        )
        self.now_ms = now_ms
        self.started_at_ms = now_ms
        self.actions = []


@dataclass(slots=True)
class ProcessRole:
    """The role of this process in its gateway, which has two processes during a hot restart."""

    incarnation: int  # identifies this process of the gateway to other gateways
    started_at_ms: float = 0.0  # start of the gateway; a successor takes over its predecessor's value
    has_sibling: bool = False  # another process of this gateway is running
    is_retired: bool = False  # the sibling grants leases and admits requests instead of this process


class PolicyContext:
    """The settings, random numbers, turn, timers and process role that one controller's components share."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the state before the first turn; `seed` determines all random numbers."""
        self.settings = settings
        self.max_customers = math.inf  # customers whose accounts, and those whose buckets, may be kept
        self.rng = random.Random(seed)
        self.turn = Turn()
        self.timers = TimerQueue()
        self.role = ProcessRole(self.rng.randrange(INCARNATION_COUNT))


class PolicyComponent:
    """Base class of a controller's components, with references to the objects that they share."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self._settings = context.settings
        self._rng = context.rng
        self._turn = context.turn
        self._timers = context.timers
        self._role = context.role
        self._schedule = context.timers.schedule

    def _add_action(self, action: Action) -> None:
        """Append an action to the list that the current turn returns."""
        self._turn.actions.append(action)
