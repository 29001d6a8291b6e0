"""The limit on attempts in flight, estimated from the rate of responses and their latency objectives."""

import math

from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import CountWithMean, decay

# The limits per endpoint are numbers of attempts per ready endpoint at full capacity, over all gateways.
INITIAL_ATTEMPTS_PER_ENDPOINT = 12.0  # limit per endpoint before the first responses
MIN_ATTEMPTS_PER_ENDPOINT = 4.0  # lower bound of the limit per endpoint
MEAN_EXECUTION_FRACTION = 0.25  # fraction of the latency objective that attempts may take on average
MAX_PEAK_MULTIPLE = 2.0  # upper bound of the limit, as a multiple of the recent peak of attempts in flight
OVERLOAD_THRESHOLD = 0.15  # fraction of attempts refused as overloaded above which the limit is reduced
OVERLOAD_DECREASE_FACTOR = 0.75  # factor by which the limit is reduced in each control period with overload
MIN_OVERLOAD_FACTOR = 0.3  # fraction of the limit that remains even if the overload lasts
OVERLOAD_RECOVERY_FACTOR = 1.05  # factor by which a reduced limit grows in each period without overload
COUNT_TIME_CONSTANT_MS = 1000.0  # time constant of the target, the peak and the mean in flight
# With this many recently ended attempts, a gateway raises its target half of the way to its peers' mean.
PRIOR_RESPONSES = 5
MIN_SLACK_ATTEMPTS = 1.5  # attempts by which the limit may be exceeded while the mean in flight is below it
SLACK_DEVIATIONS = 2.0  # slack of one gateway of a large fleet, in standard deviations of its count in flight
PEER_TARGET_GAIN = 0.1  # weight of a newly received target in the moving average of the peers' targets


class ConcurrencyLimiter(PolicyComponent):
    """The limit on the attempts in flight of this gateway, which is its share of the fleet's limit.

    By Little's law, the mean number of attempts in flight is the rate of responses times the time that each
    attempt takes. The time that it may take is a fraction of the latency objective.
    """

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.in_flight = CountWithMean(COUNT_TIME_CONSTANT_MS)
        self.limit = 0.0
        self.target = 0.0  # attempts in flight that the recent rate of responses permits by Little's law
        self.peer_target = 0.0  # moving average of the targets that other gateways have sent
        self.peak = 0.0  # decaying maximum of the attempts in flight
        self.overload_factor = 1.0  # fraction of the limit that remains after overload
        self._period_objectives_ms = 0.0  # sum of the latency objectives of this control period's responses
        # Both counts decay with half of COUNT_TIME_CONSTANT_MS.
        self._overloaded = 0.0  # count of attempts refused as overloaded
        self._ended = 0.0  # count of attempts that ended

    def add_in_flight(self, change: int) -> None:
        """Add `change` to the number of attempts in flight."""
        self.in_flight.add(self._turn.now_ms, change)

    def on_response(self, objective_ms: float) -> None:
        """Count a response to a request whose class has the latency objective `objective_ms`."""
        self._period_objectives_ms += objective_ms

    def on_attempt_ended(self, overloaded: bool) -> None:
        """Count the end of an attempt, and whether its endpoint refused it as overloaded."""
        self._overloaded += overloaded
        self._ended += 1

    def on_peer_target(self, target: float) -> None:
        """Update the mean of the peers' targets by the target in a message of one peer."""
        self.peer_target += (target - self.peer_target) * PEER_TARGET_GAIN

    def advance_period(self, capacity: float) -> None:
        """End a control period and update the limit; `capacity` is the same as for `update_limit`."""
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
        """Set the limit; `capacity` is that of the ready endpoints, in endpoints at full capacity."""
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
        """Return how many more attempts may be started; the number may be fractional or negative.

        While the mean in flight is within the limit, the count may exceed the limit by random variation. The
        standard deviation of a count is its square root, which is small in relation to the limit of the fleet
        and large in relation to a small share of it. The slack therefore grows with the number of gateways,
        and a single gateway has the minimum. The mean in flight covers few attempts, and varies as well: it
        may exceed the limit by half of the deviation.
        """
        deviation = SLACK_DEVIATIONS * math.sqrt(self.limit) * (1 - 1 / math.sqrt(self._settings.gateways))
        is_within = self.in_flight.mean < self.limit + deviation / 2
        slack = max(MIN_SLACK_ATTEMPTS, deviation) if is_within else 0.0
        return self.limit + slack - self.in_flight.value

    def _update_overload_factor(self) -> None:
        """Reduce the factor of the limit while the endpoints are overloaded, else let it recover up to 1."""
        if self._overloaded > OVERLOAD_THRESHOLD * self._ended:
            self.overload_factor = max(MIN_OVERLOAD_FACTOR, self.overload_factor * OVERLOAD_DECREASE_FACTOR)
        else:
            self.overload_factor = min(1.0, self.overload_factor * OVERLOAD_RECOVERY_FACTOR)

    def _blended_target(self) -> float:
        """Return this gateway's target, raised towards the peers' mean target if few attempts have ended."""
        missing = max(0.0, self.peer_target - self.target)
        return self.target + missing * PRIOR_RESPONSES / (PRIOR_RESPONSES + self._ended)
