"""What answers are expected to take, by class, and how much of a request's time is left to them."""

from gateway.interface.settings import RequestClass
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS

ANSWER_PART = 0.45  # of a class's latency objective that is kept free for the answer at most
START_MS = 200.0  # a class's latency before the first answer,
START_DIVISOR = 4  # or its objective by so much
GAIN = 0.05  # how an expected time is learned
STALL_PERIODS = 4.0  # without a turn that count as a stall
RESERVE_TIMES = 2.5  # expected latencies to leave before the objective: the mean alone lets half come late


def longest_wait_ms(request_class: RequestClass) -> float:
    """Return how long a request may wait and still leave its answer a part of the objective."""
    return request_class.latency_objective_ms * (1 - ANSWER_PART)


def is_stall(previous_turn_at_ms: float | None, now_ms: float) -> bool:
    """Return whether so long passed since the turn before that it was this process that stood still."""
    return previous_turn_at_ms is not None and previous_turn_at_ms < now_ms - STALL_PERIODS * PERIOD_MS


class LatencyEstimates:
    """The expected latency of each class."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.expected_ms = {
            known.name: min(START_MS, known.latency_objective_ms / START_DIVISOR) for known in classes
        }

    def learn(self, class_name: str, elapsed_ms: float) -> None:
        """Take in what an answer took."""
        self.expected_ms[class_name] += (elapsed_ms - self.expected_ms[class_name]) * GAIN

    def reserve_ms(self, request_class: RequestClass) -> float:
        """Return what an attempt is taken to need; past the objective nothing would be sent any more."""
        expected_ms = RESERVE_TIMES * self.expected_ms[request_class.name]
        return min(expected_ms, ANSWER_PART * request_class.latency_objective_ms)
