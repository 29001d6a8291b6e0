"""The limit on attempts in flight, learned from the answers that come within their latency objectives."""

import math

from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import CountWithMean, decay
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS

START_PER_ENDPOINT = 12.0  # attempts for each ready endpoint, over all gateways, until answers tell more
MIN_PER_ENDPOINT = 4.0  # over all gateways: never fewer, or slow answers would close it for good
SERVICE_PART = (
    0.25  # of a class's objective that attempts may spend at endpoints on average; more thrashes them
)
PEAK_GROWTH = 2.0  # times the recent peak, as the design has it
OVERLOAD_SHARE = 0.15  # of attempts refused by overloaded endpoints that cuts the limit,
OVERLOAD_CUT = 0.75  # to so much of it, as the design has it
MIN_CUT = 0.3  # how far cuts may go
CUT_RECOVERY = 1.05  # how a cut wears off in each period
MEMORY_MS = 1000.0  # over which answers are counted
FEW_ANSWERS = 5  # with so many of our own, the fleet's mean weighs as much
MIN_SLACK = 1.5  # attempts by which the limit may be passed while those in flight average less
DEVIATIONS = 2.0  # roots of its part by which a gateway of many may pass it: chance evens out over the fleet
PEER_GAIN = 0.1  # of each peer's target, in the mean of what is received


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
        self.target = self.target * kept + self._answered_ms * SERVICE_PART / PERIOD_MS * (1 - kept)
        self.count(0)
        self.peak = max(float(self.in_flight.value), self.peak * kept)
        if (
            self._overloaded > OVERLOAD_SHARE * self._ended
        ):  # one endpoint that refuses all is no overloaded fleet
            self.cut = max(MIN_CUT, self.cut * OVERLOAD_CUT)
        else:
            self.cut = min(1.0, self.cut * CUT_RECOVERY)
        self._answered_ms = 0.0
        self._overloaded = self._overloaded * kept * kept
        self._ended = self._ended * kept * kept
        self.update_limit(ready_endpoints)

    def update_limit(self, ready_endpoints: float) -> None:
        """Set the limit anew for so many ready endpoints."""
        ready = (
            ready_endpoints / self._settings.gateways
        )  # our part: with all of them for us, the fleet would overload them
        # A gateway's own few answers say little: the fleet's mean stands in for what they lack.
        lack = max(0.0, self.peer_target - self.target) * FEW_ANSWERS / (FEW_ANSWERS + self._ended)
        target = self.target + lack
        if not target:
            self.limit = START_PER_ENDPOINT * ready * self.cut
            return
        most = PEAK_GROWTH * max(self.peak, START_PER_ENDPOINT * ready)
        self.limit = max(MIN_PER_ENDPOINT * ready * self.cut, min(target * self.cut, most))

    def available(self) -> float:
        """Return how many more attempts may be in flight.

        While the mean is under the limit, chance may pass it: at one request a second it is below one. Counts
        scatter by their root: of the fleet's limit that is little, of a small part of it much, and what one
        gateway holds back for it nobody uses. So the smaller the part, the more may be beyond it, and by half
        as much the mean, which is taken over few; of a lone gateway none.
        """
        deviation = DEVIATIONS * math.sqrt(self.limit) * (1 - 1 / math.sqrt(self._settings.gateways))
        is_within = self.in_flight.mean < self.limit + deviation / 2
        slack = max(MIN_SLACK, deviation) if is_within else 0.0
        return self.limit + slack - self.in_flight.value
