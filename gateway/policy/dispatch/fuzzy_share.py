"""The fuzzy controller of a class's dispatch share, which steers the class's queueing delay to its objective.

It is a Mamdani controller of PI type for absolute delays, by Tables 6 and 7 of the paper of Loudini et al.
"""

import functools

from gateway.policy.dispatch.fuzzy_sets import CENTRES, centre_of_gravity, memberships

ERROR_GAIN = 0.4  # controller input per second of error
CHANGE_GAIN = 3.0  # controller input per second of change of the error
OUTPUT_GAIN = 0.01  # change of the share for an output of 1
MIN_SHARE = 0.05  # lower bound of a share, so that no class starves
INPUT_DIGITS = 2  # decimal digits of a controller input, which bound the number of cached results


class FuzzyShareController:
    """The dispatch share of one class, whose objective for the mean wait is `objective_ms`."""

    def __init__(self, objective_ms: float, share: float) -> None:
        self.objective_s = objective_ms / 1000
        self.share = share
        self._last_error_s: float | None = None

    def update(self, wait_ms: float) -> None:
        """Update the share by the mean wait of one period: it grows while the class is late.

        The share does not shrink while the class waits less than its objective.
        """
        error_s = self.objective_s - wait_ms / 1000
        change_s = 0.0 if self._last_error_s is None else error_s - self._last_error_s
        self._last_error_s = error_s
        if error_s >= 0 and change_s >= 0:
            return  # the output is not negative, and the share stays as it is
        output = self.infer(
            round(ERROR_GAIN * error_s, INPUT_DIGITS), round(CHANGE_GAIN * change_s, INPUT_DIGITS)
        )
        decrease = OUTPUT_GAIN * output
        if decrease < 0 or error_s < 0:
            self.share = min(1.0, max(MIN_SHARE, self.share - decrease))

    @staticmethod
    @functools.cache
    def infer(error: float, change: float) -> float:
        """Return the output, on [-1, 1], by the diagonal rule table."""
        strengths = [0.0] * len(CENTRES)
        for error_set, error_degree in enumerate(memberships(error)):
            for change_set, change_degree in enumerate(memberships(change)):
                output_set = _output_set_index(error_set, change_set)
                strengths[output_set] = max(strengths[output_set], min(error_degree, change_degree))
        return centre_of_gravity(strengths)


def _output_set_index(error_set: int, change_set: int) -> int:
    """Return the rule table's output set: the sum of both inputs' distances from the middle set, bounded."""
    last_set = len(CENTRES) - 1
    middle_set = len(CENTRES) // 2
    return max(0, min(last_set, error_set + change_set - middle_set))
