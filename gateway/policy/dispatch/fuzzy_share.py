"""The fuzzy controller of a class's dispatch share: its requests' wait against their objective moves it.

A Mamdani controller of PI type with absolute delays: the paper's Tables 6 and 7.
"""

import functools

from gateway.policy.dispatch.fuzzy_sets import CENTRES, centre_of_gravity, memberships

PERIOD_MS = 100.0  # interval between two steps of the controllers and averages
ERROR_GAIN = 0.4  # controller input per second of error
CHANGE_GAIN = 3.0  # controller input per second of change of the error
OUTPUT_GAIN = 0.01  # change of the share for an output of 1
MIN_SHARE = 0.05  # lower bound of a share, so that no class starves


class FuzzyShare:
    """The dispatch share of one class, whose wait is held against `objective_ms`."""

    def __init__(self, objective_ms: float, share: float) -> None:
        self.objective_s = objective_ms / 1000
        self.share = share
        self._last_error: float | None = None

    def step(self, wait_ms: float) -> None:
        """Take one period's mean wait: a late class gains, one within its objective keeps what it has."""
        error = self.objective_s - wait_ms / 1000
        change = 0.0 if self._last_error is None else error - self._last_error
        self._last_error = error
        if error >= 0 and change >= 0:
            return  # the output is not below 0: an idle class need not be inferred
        move = OUTPUT_GAIN * self.infer(round(ERROR_GAIN * error, 2), round(CHANGE_GAIN * change, 2))
        if move < 0 or error < 0:
            self.share = min(1.0, max(MIN_SHARE, self.share - move))

    @staticmethod
    @functools.cache  # a pure function of few values, and the costliest step of a busy gateway
    def infer(error: float, change: float) -> float:
        """Return the output by the diagonal rule table, on [-1, 1]."""
        strengths = [0.0] * len(CENTRES)
        for error_index, error_degree in enumerate(memberships(error)):
            for change_index, change_degree in enumerate(memberships(change)):
                rule = max(0, min(len(CENTRES) - 1, error_index + change_index - len(CENTRES) // 2))
                strengths[rule] = max(strengths[rule], min(error_degree, change_degree))
        return centre_of_gravity(strengths)
