"""The dispatch queue: emptied below the concurrency limit, and ordered by shares and priorities at it."""

from collections.abc import Iterator

from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.dispatch.fuzzy_share import FuzzyShareController
from gateway.policy.dispatch.latency import max_wait_ms
from gateway.policy.requests.attempts import AttemptManager
from gateway.policy.requests.request_record import RequestPhase, RequestRecord

MIN_WAIT_SAMPLES = 5  # dispatched requests per period below which the ages of queued ones count as waits
MAX_OVERAGE_UTILIZATION = 0.5  # fraction of the concurrency limit in use that still permits overage


class Dispatcher(PolicyComponent):
    """The queue of admitted requests, and the shares of the concurrency limit by which it is dispatched."""

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
        """Queue an admitted request for the dispatch at the end of the turn."""
        request.phase = RequestPhase.QUEUED
        request.account.in_flight += 1
        self.queue.append(request)

    def update_shares(self) -> None:
        """Update each class's share by the mean wait of this period."""
        for class_name, share in self.shares.items():
            waits_ms = self._waits_ms[class_name]
            if len(waits_ms) < MIN_WAIT_SAMPLES:
                waits_ms = [*waits_ms, *self._queued_ages_ms(class_name)]
            share.update(sum(waits_ms) / len(waits_ms) if waits_ms else 0.0)
            self._waits_ms[class_name] = []

    def dispatch(self) -> None:
        """Start attempts for queued requests while the concurrency limit permits it.

        Among equal priorities the newest request is first. The oldest first would bring all requests near
        their objectives, and many beyond them.
        """
        if not self.queue or self._limiter.available_attempts() < 1:
            return
        self.queue.sort(
            key=lambda request: (not request.within_quota, -request.priority, -request.arrived_at_ms)
        )
        if len(self.queue) > self._limiter.available_attempts():
            self._sort_by_shares()
        is_above_overage_limit = self._limiter.in_flight.mean >= MAX_OVERAGE_UTILIZATION * self._limiter.limit
        self.queue = [
            request for request in self.queue if not self._try_to_dispatch(request, is_above_overage_limit)
        ]

    def _queued_ages_ms(self, class_name: str) -> Iterator[float]:
        """Return the times since the arrival of a class's queued requests."""
        for request in self.queue:
            if request.request_class.name == class_name:
                yield self._turn.now_ms - request.arrived_at_ms

    def _sort_by_shares(self) -> None:
        """Move the requests to the front that are within their class's share and within their quota."""
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
        """Return how many more attempts each class's share of the concurrency limit permits."""
        total = max(1.0, sum(share.share for share in self.shares.values()))
        remaining = {name: share.share / total * self._limiter.limit for name, share in self.shares.items()}
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
