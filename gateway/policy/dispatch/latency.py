"""The expected latency of each class, and the time to reserve for a response before its objective."""

from gateway.interface.settings import RequestClass

MAX_RESPONSE_FRACTION = 0.45  # maximum fraction of a class's latency objective to reserve for the response
MAX_INITIAL_LATENCY_MS = 200.0  # maximum of the latency expected of a class before its first response
# Before its first response, the expected latency of a class is also at most its latency objective divided by
# this.
INITIAL_LATENCY_DIVISOR = 4
LATENCY_GAIN = 0.05  # weight of a new sample in the moving average of a latency
# Time to reserve for a response, as a multiple of its expected latency. About half of the responses take
# longer than the expected latency.
RESERVE_LATENCY_MULTIPLE = 2.5


def max_wait_ms(request_class: RequestClass) -> float:
    """Return how long a request may wait if MAX_RESPONSE_FRACTION is reserved for its response."""
    return request_class.latency_objective_ms * (1 - MAX_RESPONSE_FRACTION)


class LatencyEstimates:
    """The expected latency of each class, which is a moving average over its responses."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.expected_ms = {
            request_class.name: _initial_latency_ms(request_class) for request_class in classes
        }

    def add_sample(self, class_name: str, elapsed_ms: float) -> None:
        """Update a class's expected latency by the latency of one response."""
        self.expected_ms[class_name] += (elapsed_ms - self.expected_ms[class_name]) * LATENCY_GAIN

    def response_reserve_ms(self, request_class: RequestClass) -> float:
        """Return the time to reserve for a response before the latency objective.

        The time is at most MAX_RESPONSE_FRACTION of the objective. Without this bound, no request of a class
        with a high expected latency would be dispatched, and no response could lower the expected latency
        again.
        """
        expected_ms = RESERVE_LATENCY_MULTIPLE * self.expected_ms[request_class.name]
        return min(expected_ms, MAX_RESPONSE_FRACTION * request_class.latency_objective_ms)


def _initial_latency_ms(request_class: RequestClass) -> float:
    return min(MAX_INITIAL_LATENCY_MS, request_class.latency_objective_ms / INITIAL_LATENCY_DIVISOR)
