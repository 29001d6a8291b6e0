"""The limit on attempts in flight, learned from the responses within their latency objectives."""

import math

from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import CountWithMean, decay

INITIAL_ATTEMPTS_PER_ENDPOINT = (
    12.0  # attempts per ready endpoint, over all gateways, before the first responses
)
MIN_ATTEMPTS_PER_ENDPOINT = 4.0  # lower bound in attempts per ready endpoint over all gateways
MEAN_EXECUTION_FRACTION = (
    0.25  # fraction of a class's objective that attempts may spend at endpoints on average
)
MAX_PEAK_MULTIPLE = 2.0  # upper bound as a multiple of the recent peak
OVERLOAD_THRESHOLD = 0.15  # fraction of attempts refused as overloaded above which the limit is cut
OVERLOAD_DECREASE = 0.75  # factor applied to the limit in each period with overload
MIN_OVERLOAD_FACTOR = 0.3  # lower bound of the accumulated cut
OVERLOAD_RECOVERY = 1.05  # factor by which a cut recovers in each period without overload
COUNT_TIME_CONSTANT_MS = 1000.0  # time constant of the counts of responses and of attempts in flight
PRIOR_RESPONSES = 5  # own responses at which the fleet's mean and the own target weigh the same
MIN_SLACK_ATTEMPTS = 1.5  # attempts by which the limit may be exceeded while the mean in flight is below it
SLACK_DEVIATIONS = 2.0  # standard deviations of its count by which one gateway of many may exceed the limit
PEER_TARGET_GAIN = 0.1  # weight of a peer's target in the moving average of all that are received


class ConcurrencyLimiter(PolicyComponent):
    """The limit on this gateway's attempts in flight, which is its share of the fleet's limit.

    By Little's law, the attempts in flight are the rate of responses times the time that each may take. That
    time is a fraction of the latency objective.
    """

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.in_flight = CountWithMean(COUNT_TIME_CONSTANT_MS)
        self.limit = 0.0
        self.target = 0.0  # attempts in flight that correspond to the recent rate of responses
        self.peer_target = 0.0  # moving average of the peers' targets
        self.peak = 0.0  # decaying maximum of the attempts in flight
        self.overload_factor = 1.0  # fraction of the target that remains after overload
        self._period_objectives_ms = 0.0  # sum of the objectives of the responses in this period
        self._overloaded = 0.0  # decaying count of attempts refused as overloaded
        self._ended = 0.0  # decaying count of attempts that ended

    def add_in_flight(self, change: int) -> None:
        """Change the number of attempts in flight."""
        self.in_flight.add(self._turn.now_ms, change)

    def on_response(self, objective_ms: float) -> None:
        """Count a response to a request with this latency objective."""
        self._period_objectives_ms += objective_ms

    def on_attempt_ended(self, overloaded: bool) -> None:
        """Count the end of an attempt, and whether its endpoint refused it as overloaded."""
        self._overloaded += overloaded
        self._ended += 1

    def on_peer_target(self, target: float) -> None:
        """Update the mean of the peers' targets by one peer's target."""
        self.peer_target += (target - self.peer_target) * PEER_TARGET_GAIN

    def advance_period(self, capacity: float) -> None:
        """Update the limit for the next period; `capacity` is as in `update_limit`."""
        remaining = decay(CONTROL_PERIOD_MS, COUNT_TIME_CONSTANT_MS)
        period_target = self._period_objectives_ms * MEAN_EXECUTION_FRACTION / CONTROL_PERIOD_MS
        self.target = self.target * remaining + period_target * (1 - remaining)
        self._period_objectives_ms = 0.0
        self.add_in_flight(0)
        self.peak = max(float(self.in_flight.value), self.peak * remaining)
        self._update_overload_factor()
        self._overloaded = self._overloaded * remaining * remaining
        self._ended = self._ended * remaining * remaining
        self.update_limit(capacity)

    def update_limit(self, capacity: float) -> None:
        """Set the limit for a fleet whose capacity is that of `capacity` endpoints at full capacity."""
        share = capacity / self._settings.gateways
        target = self._blended_target()
        if not target:
            self.limit = INITIAL_ATTEMPTS_PER_ENDPOINT * share * self.overload_factor
            return
        upper_bound = MAX_PEAK_MULTIPLE * max(self.peak, INITIAL_ATTEMPTS_PER_ENDPOINT * share)
        self.limit = max(
            MIN_ATTEMPTS_PER_ENDPOINT * share * self.overload_factor,
            min(target * self.overload_factor, upper_bound),
        )

    def available_attempts(self) -> float:
        """Return how many more attempts may be in flight.

        While the mean is within the limit, the count may exceed it by random variation. The deviation of a
        count is its square root, which is small for the fleet's limit and large for a small share of it. The
        slack therefore grows with the number of gateways, and a single gateway has the minimum. The mean may
        exceed the limit by half of the deviation, since it covers few attempts.
        """
        deviation = SLACK_DEVIATIONS * math.sqrt(self.limit) * (1 - 1 / math.sqrt(self._settings.gateways))
        is_within = self.in_flight.mean < self.limit + deviation / 2
        slack = max(MIN_SLACK_ATTEMPTS, deviation) if is_within else 0.0
        return self.limit + slack - self.in_flight.value

    def _update_overload_factor(self) -> None:
        """Cut the limit while the endpoints are overloaded, else let the cut recover."""
        if self._overloaded > OVERLOAD_THRESHOLD * self._ended:
            self.overload_factor = max(MIN_OVERLOAD_FACTOR, self.overload_factor * OVERLOAD_DECREASE)
        else:
            self.overload_factor = min(1.0, self.overload_factor * OVERLOAD_RECOVERY)

    def _blended_target(self) -> float:
        """Return the own target, raised towards the peers' mean by the lack of own responses."""
        missing = max(0.0, self.peer_target - self.target)
        return self.target + missing * PRIOR_RESPONSES / (PRIOR_RESPONSES + self._ended)
