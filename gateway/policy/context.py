"""The objects that all components of one controller share: settings, turn, timers and process role."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from gateway.interface.actions import Action
from gateway.interface.settings import Settings
from gateway.policy.timers import TimerQueue

CONTROL_PERIOD_MS = 100.0  # interval between two steps of the controllers and averages
STALL_PERIODS = 4.0  # periods without a turn after which the process counts as stalled
INCARNATION_COUNT = 1 << 16  # number of distinct incarnations, which have 16 bits in a datagram


@dataclass(slots=True)
class Turn:
    """One call of the controller: its time, and the actions that it returns."""

    now_ms: float = 0.0
    started_at_ms: float | None = None  # None before the first turn
    follows_stall: bool = False  # the process was stalled before this turn
    actions: list[Action] = field(default_factory=list)

    def start(self, now_ms: float) -> None:
        """Start the next turn, with no actions yet."""
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

    incarnation: int  # identifies this process to other gateways
    started_at_ms: float = 0.0  # start of the gateway, including its previous processes
    has_sibling: bool = False  # another process of this gateway is running
    is_retired: bool = False  # the sibling grants and admits in place of this process


class PolicyContext:
    """The objects that the components of one controller have in common."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the state before the first turn; all random numbers follow from the seed."""
        self.settings = settings
        self.rng = random.Random(seed)
        self.turn = Turn()
        self.timers = TimerQueue()
        self.role = ProcessRole(self.rng.randrange(INCARNATION_COUNT))


class PolicyComponent:
    """Base class of the components of a controller, which gives them access to the shared objects."""

    def __init__(self, context: PolicyContext) -> None:
        """Keep references to the shared objects."""
        self._settings = context.settings
        self._rng = context.rng
        self._turn = context.turn
        self._timers = context.timers
        self._role = context.role
        self._schedule = context.timers.schedule

    def _add_action(self, action: Action) -> None:
        """Append an action to those that the current turn returns."""
        self._turn.actions.append(action)
