"""The dispatch queue, which holds admitted requests while the concurrency limit permits no more attempts."""

from collections.abc import Iterator

from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.dispatch.fuzzy_share import FuzzyShareController
from gateway.policy.dispatch.latency import max_wait_ms
from gateway.policy.requests.attempts import AttemptManager
from gateway.policy.requests.request_record import RequestPhase, RequestRecord

MIN_WAIT_SAMPLES = 5  # dispatches in a control period below which the waits of queued requests count too
MAX_OVERAGE_UTILIZATION = 0.5  # fraction of the concurrency limit in use at which overage has to wait


class Dispatcher(PolicyComponent):
    """The queue of admitted requests, and the shares of the concurrency limit that each class gets.

    Requests within their quota are dispatched before overage, higher priorities before lower ones, and newer
    requests before older ones. If the concurrency limit permits fewer attempts than there are queued
    requests, the requests within the share of their class are dispatched before all others.
    """

    def __init__(self, context: PolicyContext, attempts: AttemptManager) -> None:
        super().__init__(context)
        classes = context.settings.classes
        self._limiter = attempts.limiter
        self._attempts = attempts
        self.queue: list[RequestRecord] = []
        self.shares = {
            request_class.name: FuzzyShareController(max_wait_ms(request_class), 1 / len(classes))
            for request_class in classes
        }
        self._waits_ms: dict[str, list[float]] = {request_class.name: [] for request_class in classes}

    def enqueue(self, request: RequestRecord) -> None:
        """Add an admitted request to the queue, for `dispatch` at the end of the turn."""
        request.phase = RequestPhase.QUEUED
        request.account.in_flight += 1
        self.queue.append(request)

    def update_shares(self) -> None:
        """Update the share of each class by the mean wait of its requests in the last control period."""
        for class_name, controller in self.shares.items():
            waits_ms = self._waits_ms[class_name]
            if len(waits_ms) < MIN_WAIT_SAMPLES:
                waits_ms = [*waits_ms, *self._queued_ages_ms(class_name)]
            controller.update(sum(waits_ms) / len(waits_ms) if waits_ms else 0.0)
            self._waits_ms[class_name] = []

    def dispatch(self) -> None:
        """Start attempts for queued requests while the concurrency limit permits it.

        Among requests of equal priority, the newest is dispatched first. If the oldest were dispatched first,
        an overload would delay every request until shortly before or after its latency objective.
        """
        if not self.queue or self._limiter.available_attempts() < 1:
            return
        self.queue.sort(
            key=lambda request: (not request.within_quota, -request.priority, -request.arrived_at_ms)
        )
        if len(self.queue) > self._limiter.available_attempts():
            self._sort_by_shares()
        is_above_overage_limit = self._limiter.in_flight.mean >= MAX_OVERAGE_UTILIZATION * self._limiter.limit
        considered_count = 0
        remaining = []
        try:
            for request in self.queue:
                if not self._try_to_dispatch(request, is_above_overage_limit):
                    remaining.append(request)
                considered_count += 1
        finally:
            # After an exception, the requests that have not been considered stay in the queue.
            self.queue = remaining + self.queue[considered_count:]

    def _queued_ages_ms(self, class_name: str) -> Iterator[float]:
        """Yield the time since its arrival for each queued request of a class."""
        for request in self.queue:
            if request.request_class.name == class_name:
                yield self._turn.now_ms - request.arrived_at_ms

    def _sort_by_shares(self) -> None:
        """Move the requests that are within the share of their class and their quota to the front."""
        remaining = self._remaining_shares()
        within_share: list[RequestRecord] = []
        beyond_share: list[RequestRecord] = []
        for request in self.queue:
            class_name = request.request_class.name
            remaining[class_name] -= 1
            if remaining[class_name] >= 0 and request.within_quota:
                within_share.append(request)
            else:
                beyond_share.append(request)
        self.queue = within_share + beyond_share

    def _remaining_shares(self) -> dict[str, float]:
        """Return how many more executing attempts the share of each class permits, by class name."""
        total = max(1.0, sum(controller.share for controller in self.shares.values()))
        remaining = {
            class_name: controller.share / total * self._limiter.limit
            for class_name, controller in self.shares.items()
        }
        for attempt in self._attempts.table:
            if attempt.is_executing:
                remaining[attempt.request_class.name] -= 1
        return remaining

    def _try_to_dispatch(self, request: RequestRecord, is_above_overage_limit: bool) -> bool:
        if self._limiter.available_attempts() < 1 or (is_above_overage_limit and not request.within_quota):
            return False
        if not self._attempts.start_attempt(request):
            return False
        request.phase = RequestPhase.DISPATCHED
        request.slow_start_retry_at_ms = 0.0
        self._waits_ms[request.request_class.name].append(self._turn.now_ms - request.arrived_at_ms)
        return True
