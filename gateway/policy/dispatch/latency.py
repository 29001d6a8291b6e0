"""What answers are expected to take, by class, and how much of a request's time is left to them."""

from gateway.interface.settings import RequestClass
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS

MAX_RESPONSE_FRACTION = 0.45  # fraction of a class's latency objective reserved for the response at most
INITIAL_LATENCY_MS = 200.0  # upper bound of a class's expected latency before its first response
INITIAL_LATENCY_DIVISOR = 4  # the initial latency is at most the objective divided by this
LATENCY_GAIN = 0.05  # weight of a new sample in the moving average of a latency
STALL_PERIODS = 4.0  # periods without a turn after which the process counts as stalled
RESERVED_LATENCIES = 2.5  # expected latencies reserved before the objective; half the responses exceed one


def longest_wait_ms(request_class: RequestClass) -> float:
    """Return how long a request may wait and still leave its answer a part of the objective."""
    return request_class.latency_objective_ms * (1 - MAX_RESPONSE_FRACTION)


def is_stall(previous_turn_at_ms: float | None, now_ms: float) -> bool:
    """Return whether so long passed since the turn before that it was this process that stood still."""
    return previous_turn_at_ms is not None and previous_turn_at_ms < now_ms - STALL_PERIODS * PERIOD_MS


class LatencyEstimates:
    """The expected latency of each class."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.expected_ms = {
            known.name: min(INITIAL_LATENCY_MS, known.latency_objective_ms / INITIAL_LATENCY_DIVISOR)
            for known in classes
        }

    def learn(self, class_name: str, elapsed_ms: float) -> None:
        """Take in what an answer took."""
        self.expected_ms[class_name] += (elapsed_ms - self.expected_ms[class_name]) * LATENCY_GAIN

    def reserve_ms(self, request_class: RequestClass) -> float:
        """Return what an attempt is taken to need; past the objective nothing would be sent any more."""
        expected_ms = RESERVED_LATENCIES * self.expected_ms[request_class.name]
        return min(expected_ms, MAX_RESPONSE_FRACTION * request_class.latency_objective_ms)
