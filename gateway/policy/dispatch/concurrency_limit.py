"""The limit on attempts in flight, estimated from the rate of responses and their latency objectives."""

import math

from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import CountWithMean, decay

# Limit on the attempts of all gateways in flight per endpoint at full capacity, before the first responses.
INITIAL_ATTEMPTS_PER_ENDPOINT = 12.0
# Lower bound of the limit on the attempts of all gateways in flight per endpoint at full capacity.
MIN_ATTEMPTS_PER_ENDPOINT = 4.0
MEAN_EXECUTION_FRACTION = 0.25  # mean time that attempts may take, as a fraction of the latency objective
MAX_PEAK_MULTIPLE = 2.0  # upper bound of the limit, as a multiple of the recent peak of attempts in flight
OVERLOAD_THRESHOLD = 0.15  # fraction of attempts refused as overloaded above which the limit is reduced
OVERLOAD_DECREASE_FACTOR = 0.75  # factor for the limit in each control period with overload
MIN_OVERLOAD_FACTOR = 0.3  # minimum fraction to which lasting overload can reduce the limit
OVERLOAD_RECOVERY_FACTOR = 1.05  # factor for a reduced limit in each control period without overload
COUNT_TIME_CONSTANT_MS = 1000.0  # time constant of the decay of the target, the peak and the mean in flight
# A gateway with few recently ended attempts raises its target towards the mean target of its peers. With this
# number of ended attempts, the target is raised by half of the difference.
PRIOR_RESPONSES = 5
# Minimum number of attempts by which the count in flight may exceed the limit while its mean does not.
MIN_SLACK_ATTEMPTS = 1.5
# Number of attempts by which the count in flight may exceed the limit at one gateway of a large fleet, in
# standard deviations of the count.
SLACK_DEVIATIONS = 2.0
PEER_TARGET_GAIN = 0.1  # weight of a newly received target in the moving average of the peers' targets


class ConcurrencyLimiter(PolicyComponent):
    """The limit on the attempts in flight of this gateway, which is its share of the fleet's limit.

    By Little's law, the mean number of attempts in flight is the rate of responses times the mean time that
    an attempt takes. The limit follows from the recent rate of responses and the time that attempts may take,
    which is a fraction of the latency objective.
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
        """Update all estimates and the limit at the end of a control period.

        `capacity` is that of the ready endpoints, in endpoints at full capacity.
        """
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

        While the mean number in flight is within the limit, the current number may exceed the limit by a
        slack for random variation. The standard deviation of a count is its square root. In relation to the
        limit of all gateways together it is small; in relation to one gateway's small share of the limit it
        is large. The slack therefore grows with the number of gateways, and a single gateway has the minimum.
        The mean is taken over few attempts and varies too, so it may exceed the limit by half of the
        deviation.
        """
        deviation = SLACK_DEVIATIONS * math.sqrt(self.limit) * (1 - 1 / math.sqrt(self._settings.gateways))
        is_within = self.in_flight.mean < self.limit + deviation / 2
        slack = max(MIN_SLACK_ATTEMPTS, deviation) if is_within else 0.0
        return self.limit + slack - self.in_flight.value

    def _update_overload_factor(self) -> None:
        """Reduce the overload factor if the endpoints are overloaded, otherwise raise it to at most 1."""
        if self._overloaded > OVERLOAD_THRESHOLD * self._ended:
            self.overload_factor = max(MIN_OVERLOAD_FACTOR, self.overload_factor * OVERLOAD_DECREASE_FACTOR)
        else:
            self.overload_factor = min(1.0, self.overload_factor * OVERLOAD_RECOVERY_FACTOR)

    def _blended_target(self) -> float:
        """Return this gateway's target, raised towards the peers' mean target if few attempts have ended."""
        missing = max(0.0, self.peer_target - self.target)
        return self.target + missing * PRIOR_RESPONSES / (PRIOR_RESPONSES + self._ended)
