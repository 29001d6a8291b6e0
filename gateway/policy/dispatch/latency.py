"""The expected latency of each class, and the time that a request has to leave for its response."""

from gateway.interface.settings import RequestClass

MAX_RESPONSE_FRACTION = 0.45  # fraction of a class's latency objective reserved for the response at most
MAX_INITIAL_LATENCY_MS = 200.0  # upper bound of a class's expected latency before its first response
INITIAL_LATENCY_DIVISOR = 4  # the initial latency is at most the objective divided by this
LATENCY_GAIN = 0.05  # weight of a new sample in the moving average of a latency
RESERVE_LATENCY_MULTIPLE = (
    2.5  # expected latencies reserved before the objective; half the responses exceed one
)


def max_wait_ms(request_class: RequestClass) -> float:
    """Return how long a request may wait and still leave the response its fraction of the objective."""
    return request_class.latency_objective_ms * (1 - MAX_RESPONSE_FRACTION)


class LatencyEstimates:
    """The expected latency of each class, as moving averages."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.expected_ms = {
            request_class.name: _initial_latency_ms(request_class) for request_class in classes
        }

    def add_sample(self, class_name: str, elapsed_ms: float) -> None:
        """Update a class's expected latency by the latency of one response."""
        self.expected_ms[class_name] += (elapsed_ms - self.expected_ms[class_name]) * LATENCY_GAIN

    def response_reserve_ms(self, request_class: RequestClass) -> float:
        """Return the time to reserve for a response, bounded so that slow classes are still dispatched."""
        expected_ms = RESERVE_LATENCY_MULTIPLE * self.expected_ms[request_class.name]
        return min(expected_ms, MAX_RESPONSE_FRACTION * request_class.latency_objective_ms)


def _initial_latency_ms(request_class: RequestClass) -> float:
    return min(MAX_INITIAL_LATENCY_MS, request_class.latency_objective_ms / INITIAL_LATENCY_DIVISOR)
