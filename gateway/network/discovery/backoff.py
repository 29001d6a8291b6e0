"""When to call discovery, so that a large fleet does not call a service that all share all at once."""

from __future__ import annotations

import random

# A change counts as told 6 s after discovery has it and can be reached, whatever went before: a call that
# fails, the wait after it, and the next call take less in sum.
FRESHNESS_S = 5.7
CALL_TIMEOUT_S = 2.2  # for an answer without a watch: calls wait their turn, for 2 s at most
WATCH_MS = 5000  # a watch waits so long in a small fleet
FIRST_WAIT_S = 0.02  # between calls that fail; it doubles
MAX_WAIT_S = 0.5  # up to this
SMALL_FLEET = 5  # with more callers a watch is longer in proportion,
MAX_WATCH_FACTOR = 8.0  # up to so many times
# With more callers each calls again within so long for each further one; with no answer since its start,
# whose list may be old, at first within less.
CALM_SPREAD_S = 0.8
HURRIED_SPREAD_S = 0.25
MAX_DOUBLINGS = 10
LATE_PART = 0.8  # all but the first calls after a failure come in the last fifth of the spread


class CallPace:
    """How long to wait between calls, and how long a watch may take.

    A service that all share answers one call after the other and turns away who has waited 2 s, but has the
    work of it all the same. So once more calls come than it serves, all of them wait in vain, until they
    become fewer. Of an agent this gateway is the only caller: what it has counts as told, received or not,
    so waiting for the sake of others gains nothing and is paid for with an old list.

    Chance spreads the first calls after a failure over the time there is. Those after them come at about the
    end of it: that keeps the gateways apart, and makes the fewest calls.
    """

    def __init__(
        self, fleet: int, rng: random.Random, *, alone: bool = False, max_wait_s: float = MAX_WAIT_S
    ) -> None:
        """Share discovery with a fleet of so many gateways, or be its only caller (`alone`)."""
        self._fleet = fleet
        self._rng = rng
        self._max_wait_s = max_wait_s
        self._callers = 1 if alone else fleet
        self._failures = 0
        self._spread_s = HURRIED_SPREAD_S

    def on_answer(self) -> None:
        """A call has been answered: from now on a list is known that is not old."""
        self._failures = 0
        self._spread_s = CALM_SPREAD_S

    def on_overload(self) -> None:
        """There are too many callers, so this gateway was not the only one."""
        self._callers = self._fleet

    def watch_ms(self) -> int:
        """Return how long a watch may wait for a change."""
        factor = max(1.0, self._callers / SMALL_FLEET)
        return int(WATCH_MS * min(MAX_WATCH_FACTOR, factor))

    def after_failure_s(self, elapsed_s: float = 0.0) -> float:
        """Return how long to wait before the next call, after one that took so long to fail."""
        is_first = not self._failures
        doubled = 2.0 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        longest_s = max(FIRST_WAIT_S, FRESHNESS_S - CALL_TIMEOUT_S - elapsed_s)
        each_s = min(CALM_SPREAD_S, self._spread_s * doubled)
        spread_s = min(longest_s, each_s * max(0, self._callers - SMALL_FLEET))
        wait_s = min(self._max_wait_s, FIRST_WAIT_S * doubled) * self._rng.uniform(0.5, 1.5)
        return min(longest_s, wait_s + spread_s * self._rng.uniform(0.0 if is_first else LATE_PART, 1.0))
