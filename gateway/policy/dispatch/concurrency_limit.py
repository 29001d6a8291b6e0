"""The limit on attempts in flight, learned from the answers that come within their latency objectives."""

import math

from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import CountWithMean, decay
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS

INITIAL_PER_ENDPOINT = 12.0  # attempts per ready endpoint, over all gateways, before the first responses
MIN_PER_ENDPOINT = 4.0  # lower bound in attempts per ready endpoint over all gateways
SERVICE_FRACTION = 0.25  # fraction of a class's objective that attempts may spend at endpoints on average
MAX_PEAK_GROWTH = 2.0  # upper bound as a multiple of the recent peak
OVERLOAD_THRESHOLD = 0.15  # fraction of attempts refused as overloaded above which the limit is cut
OVERLOAD_CUT = 0.75  # factor applied to the limit in each period with overload
MIN_CUT = 0.3  # lower bound of the accumulated cut
CUT_RECOVERY = 1.05  # factor by which a cut recovers in each period without overload
MEMORY_MS = 1000.0  # time constant of the counts of responses and of attempts in flight
PRIOR_RESPONSES = 5  # own responses at which the fleet's mean and the own target weigh the same
MIN_SLACK = 1.5  # attempts by which the limit may be exceeded while the mean in flight is below it
SLACK_DEVIATIONS = 2.0  # standard deviations of its count by which one gateway of many may exceed the limit
PEER_GAIN = 0.1  # weight of a peer's target in the moving average of all that are received


class ConcurrencyLimiter(PolicyComponent):
    """The limit on this gateway's attempts in flight, its part of one that all gateways share.

    Answers may take a part of their objectives: by Little's law, their rate times that time are in flight.
    """

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.in_flight = CountWithMean(MEMORY_MS)
        self.limit = 0.0
        self.target = 0.0  # attempts in flight that the answers of late account for
        self.peer_target = 0.0  # the mean of the peers' targets
        self.peak = 0.0  # the most in flight of late
        self.cut = 1.0  # the part of the limit that overload has left
        self._answered_ms = 0.0  # objectives of the requests answered in this period
        self._overloaded = 0.0  # decaying counts of attempts refused as overloaded, and of all that ended
        self._ended = 0.0

    def count(self, change: int) -> None:
        """Take note that so many more attempts, or fewer, are in flight from now on."""
        self.in_flight.add(self._turn.now_ms, change)

    def on_answered(self, objective_ms: float) -> None:
        """Take note of an answer to a request with this latency objective."""
        self._answered_ms += objective_ms

    def on_attempt_ended(self, overloaded: bool) -> None:
        """Take note of an attempt's end, and whether its endpoint refused it as overloaded."""
        self._overloaded += overloaded
        self._ended += 1

    def on_peer_target(self, target: float) -> None:
        """Take in what another gateway tells of its target."""
        self.peer_target += (target - self.peer_target) * PEER_GAIN

    def step(self, ready_endpoints: float) -> None:
        """Set the limit for the next period; endpoints in slow start count by their part."""
        kept = decay(PERIOD_MS, MEMORY_MS)
        self.target = self.target * kept + self._answered_ms * SERVICE_FRACTION / PERIOD_MS * (1 - kept)
        self.count(0)
        self.peak = max(float(self.in_flight.value), self.peak * kept)
        # A single endpoint that refuses every attempt stays below the threshold.
        if self._overloaded > OVERLOAD_THRESHOLD * self._ended:
            self.cut = max(MIN_CUT, self.cut * OVERLOAD_CUT)
        else:
            self.cut = min(1.0, self.cut * CUT_RECOVERY)
        self._answered_ms = 0.0
        self._overloaded = self._overloaded * kept * kept
        self._ended = self._ended * kept * kept
        self.update_limit(ready_endpoints)

    def update_limit(self, ready_endpoints: float) -> None:
        """Set the limit anew for so many ready endpoints."""
        ready = ready_endpoints / self._settings.gateways  # this gateway's share of the fleet
        # A gateway's own few answers say little: the fleet's mean stands in for what they lack.
        lack = max(0.0, self.peer_target - self.target) * PRIOR_RESPONSES / (PRIOR_RESPONSES + self._ended)
        target = self.target + lack
        if not target:
            self.limit = INITIAL_PER_ENDPOINT * ready * self.cut
            return
        most = MAX_PEAK_GROWTH * max(self.peak, INITIAL_PER_ENDPOINT * ready)
        self.limit = max(MIN_PER_ENDPOINT * ready * self.cut, min(target * self.cut, most))

    def available(self) -> float:
        """Return how many more attempts may be in flight.

        While the mean is under the limit, chance may pass it: at one request a second it is below one. Counts
        scatter by their root: of the fleet's limit that is little, of a small part of it much, and what one
        gateway holds back for it nobody uses. So the smaller the part, the more may be beyond it, and by half
        as much the mean, which is taken over few; of a lone gateway none.
        """
        deviation = SLACK_DEVIATIONS * math.sqrt(self.limit) * (1 - 1 / math.sqrt(self._settings.gateways))
        is_within = self.in_flight.mean < self.limit + deviation / 2
        slack = max(MIN_SLACK, deviation) if is_within else 0.0
        return self.limit + slack - self.in_flight.value
