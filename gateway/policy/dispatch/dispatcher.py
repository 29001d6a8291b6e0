"""The dispatch queue: below the concurrency limit all leave it, at the limit by shares, then by weight."""

from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.dispatch.fuzzy_share import FuzzyShare
from gateway.policy.dispatch.latency import longest_wait_ms
from gateway.policy.requests.attempts import AttemptManager
from gateway.policy.requests.request_record import RequestPhase, RequestRecord

MIN_WAIT_SAMPLES = 5  # dispatched requests per period below which the ages of queued ones count as waits
MAX_OVERAGE_UTILIZATION = 0.5  # fraction of the concurrency limit in use that still permits overage


class Dispatcher(PolicyComponent):
    """The requests that are admitted and wait for room, and the shares by which they are dispatched."""

    def __init__(self, context: PolicyContext, attempts: AttemptManager) -> None:
        super().__init__(context)
        classes = context.settings.classes
        self._limiter = attempts.limiter
        self._attempts = attempts
        self.queue: list[RequestRecord] = []
        self.shares = {known.name: FuzzyShare(longest_wait_ms(known), 1 / len(classes)) for known in classes}
        self._waits_ms: dict[str, list[float]] = {known.name: [] for known in classes}

    def enqueue(self, request: RequestRecord) -> None:
        """Let an admitted request wait for its dispatch at the end of the turn."""
        request.phase = RequestPhase.QUEUED
        request.account.in_flight += 1
        self.queue.append(request)

    def step(self) -> None:
        """Move each class's share by the waits of this period."""
        for name, share in self.shares.items():
            waits_ms = self._waits_ms[name]
            if len(waits_ms) < MIN_WAIT_SAMPLES and self.queue:
                waits_ms = waits_ms + [
                    self._turn.now_ms - request.arrived_at_ms
                    for request in self.queue
                    if request.request_class.name == name
                ]
            share.step(sum(waits_ms) / len(waits_ms) if waits_ms else 0.0)
            self._waits_ms[name] = []

    def dispatch(self) -> None:
        """Start attempts for what is queued, as far as the limit allows."""
        if not self.queue or self._limiter.available() < 1:
            return
        # Of equal weight the newest goes: the oldest first would have all near their objectives, many late.
        self.queue.sort(key=lambda one: (not one.within_quota, -one.priority, -one.arrived_at_ms))
        if len(self.queue) > self._limiter.available():
            self._sort_by_shares()
        is_busy = self._limiter.in_flight.mean >= MAX_OVERAGE_UTILIZATION * self._limiter.limit
        self.queue = [request for request in self.queue if not self._try_to_dispatch(request, is_busy)]

    def _sort_by_shares(self) -> None:
        """Put those first that are within their class's share of the limit and within their quota."""
        total = max(1.0, sum(share.share for share in self.shares.values()))
        left = {name: share.share / total * self._limiter.limit for name, share in self.shares.items()}
        for attempt in self._attempts.table:
            left[attempt.request_class.name] -= attempt.is_executing
        within: list[RequestRecord] = []
        beyond: list[RequestRecord] = []
        for request in self.queue:
            name = request.request_class.name
            left[name] -= 1
            (within if left[name] >= 0 and request.within_quota else beyond).append(request)
        self.queue = within + beyond

    def _try_to_dispatch(self, request: RequestRecord, is_busy: bool) -> bool:
        if self._limiter.available() < 1 or (is_busy and not request.within_quota):
            return False
        if not self._attempts.start(request):
            return False
        request.phase = RequestPhase.DISPATCHED
        request.slow_start_retry_at_ms = 0.0
        self._waits_ms[request.request_class.name].append(self._turn.now_ms - request.arrived_at_ms)
        return True
