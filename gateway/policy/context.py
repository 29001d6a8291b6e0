"""What all parts of the decision package share: the settings, the turn, the timers and the random numbers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from gateway.interface.actions import Action
from gateway.interface.settings import Settings
from gateway.policy.timers import TimerQueue

INCARNATIONS = 1 << 16


@dataclass(slots=True)
class Turn:
    """One call of the controller: its time, and the actions that it will return."""

    now_ms: float = 0.0
    began_at_ms: float | None = None  # None: there was no turn yet
    stalled: bool = False  # no turn came for so long that it was this process that stood still
    actions: list[Action] = field(default_factory=list)

    def begin(self, now_ms: float, *, is_stall: bool) -> None:
        """Begin the next turn."""
        self.now_ms = now_ms
        self.began_at_ms = now_ms
        self.stalled = is_stall
        self.actions = []


@dataclass(slots=True)
class ProcessRole:
    """What this process is to its gateway, which has two processes while one follows the other."""

    incarnation: int  # names this process to other gateways
    started_at_ms: float = 0.0  # when the gateway started, whatever process it was
    has_sibling: bool = False  # another process of this gateway runs, and
    is_retired: bool = False  # it is the one that grants and admits


class PolicyContext:
    """The objects that the parts of one controller have in common."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Begin before the first turn; all random numbers follow from the seed."""
        self.settings = settings
        self.rng = random.Random(seed)
        self.turn = Turn()
        self.timers = TimerQueue()
        self.role = ProcessRole(self.rng.randrange(INCARNATIONS))


class PolicyComponent:
    """Base of the parts of the decision package."""

    def __init__(self, context: PolicyContext) -> None:
        """Take what all parts share."""
        self._settings = context.settings
        self._rng = context.rng
        self._turn = context.turn
        self._timers = context.timers
        self._role = context.role
        self._schedule = context.timers.schedule

    def _act(self, action: Action) -> None:
        """Let the turn return an action."""
        self._turn.actions.append(action)
