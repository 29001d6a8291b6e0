"""The fuzzy controller of a class's share of the concurrency limit.

The controller changes the share so that the queueing delay of the class approaches its objective. It is a
Mamdani controller of PI type for absolute delays, according to Tables 6 and 7 of the paper of Loudini et al.
"""

import functools

from gateway.policy.dispatch.fuzzy_sets import CENTRES, centre_of_gravity, memberships

ERROR_GAIN = 0.4  # controller input per second of the error, which is the objective minus the mean wait
CHANGE_GAIN = 3.0  # controller input per second by which the error has changed since the previous period
OUTPUT_GAIN = 0.01  # decrease of the share for a controller output of 1
MIN_SHARE = 0.05  # lower bound of a share, so that no class starves
INPUT_DIGITS = 2  # decimal places to which inputs are rounded, which limits the size of the cache


class FuzzyShareController:
    """Controls the share of the concurrency limit that one class gets.

    `objective_ms` is the objective for the mean wait in the queue. `share` is the initial share, which is at
    most 1.
    """

    def __init__(self, objective_ms: float, share: float) -> None:
        self.objective_s = objective_ms / 1000
        self.share = share
        self._last_error_s: float | None = None

    def update(self, wait_ms: float) -> None:
        """Update the share by the mean wait of one control period.

        The share grows while the mean wait exceeds the objective. It does not shrink while the mean wait is
        below the objective.
        """
        error_s = self.objective_s - wait_ms / 1000
        change_s = 0.0 if self._last_error_s is None else error_s - self._last_error_s
        self._last_error_s = error_s
        if error_s >= 0 and change_s >= 0:
            return  # the output would not be negative, and the share would not change
        output = self.infer(
            round(ERROR_GAIN * error_s, INPUT_DIGITS), round(CHANGE_GAIN * change_s, INPUT_DIGITS)
        )
        decrease = OUTPUT_GAIN * output
        if decrease < 0 or error_s < 0:
            self.share = min(1.0, max(MIN_SHARE, self.share - decrease))

    @staticmethod
    @functools.cache
    def infer(error: float, change: float) -> float:
        """Return the controller output, from -1 to 1, by max-min inference over the diagonal rule table.

        `error` and `change` are the scaled error and its scaled change. Results are cached.
        """
        strengths = [0.0] * len(CENTRES)
        for error_set, error_degree in enumerate(memberships(error)):
            for change_set, change_degree in enumerate(memberships(change)):
                output_set = _output_set_index(error_set, change_set)
                strengths[output_set] = max(strengths[output_set], min(error_degree, change_degree))
        return centre_of_gravity(strengths)


def _output_set_index(error_set: int, change_set: int) -> int:
    """Return the index of the output set in the rule table, for the indexes of both input sets.

    The output set's signed distance from the middle set is the sum of the distances of both input sets,
    bounded by the outermost sets.
    """
    last_set = len(CENTRES) - 1
    middle_set = len(CENTRES) // 2
    return max(0, min(last_set, error_set + change_set - middle_set))
