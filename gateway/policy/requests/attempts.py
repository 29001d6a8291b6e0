"""Attempts: sending, retrying and hedging requests, and updating estimates by the results."""

import math
from collections.abc import Iterable

from gateway.interface.actions import CancelAttempt, SendAttempt
from gateway.interface.events import AttemptEnded, AttemptResult
from gateway.interface.settings import Idempotency, KeyScope
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.dispatch.concurrency_limit import ConcurrencyLimiter
from gateway.policy.dispatch.latency import LatencyEstimates
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.endpoints.outlier_detection import (
    OVERDUE_LATENCY_RATIO,
    OVERDUE_OUTCOME_WEIGHT,
    OWN_OUTCOME_WEIGHT,
)
from gateway.policy.endpoints.selection import EligibleEndpoints, EndpointSelector
from gateway.policy.requests.attempt_table import AttemptKey, AttemptRecord, AttemptTable
from gateway.policy.requests.request_record import RequestRecord
from gateway.policy.timers import TimerKind

MIN_HEDGE_DELAY_MS = 150.0  # minimum time between an attempt and its hedge
MAX_HEDGE_UTILIZATION = 0.7  # fraction of the concurrency limit in use from which on no hedges are sent
RETRIES_PER_REQUEST = 0.2  # retries or hedges by which a request's first attempt raises the budget
MAX_RETRY_BUDGET = 20.0  # number of unused retries and hedges beyond which the retry budget does not grow
MIN_ATTEMPT_TIMEOUT_MS = 1.0  # minimum timeout, even if the deadline is nearer

_INCONCLUSIVE_RESULTS = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)  # no evidence about the endpoint


class AttemptManager(PolicyComponent):
    """Starts attempts, and updates the estimates of latencies and endpoints when the attempts end."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.limiter = ConcurrencyLimiter(context)
        self.selector = EndpointSelector(context)
        self.latencies = LatencyEstimates(context.settings.classes)
        self.table = AttemptTable()
        self.retry_budget = MAX_RETRY_BUDGET / 2

    def start_attempt(self, request: RequestRecord) -> bool:
        """Send a request to one more endpoint.

        Returns False if no endpoint is eligible, or if the request has had its maximum number of attempts.
        """
        endpoint = self.selector.choose_endpoint(request, self._eligible_endpoints(request))
        if endpoint is None or request.attempts_sent >= self._settings.max_attempts:
            return False
        if request.attempts_sent == 0:
            self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)
        timeout_ms = max(MIN_ATTEMPT_TIMEOUT_MS, request.arrival.deadline_at_ms - self._turn.now_ms)
        send_by_ms = self.resend_deadline_at_ms(request)
        key = self.table.add(request, endpoint, self._turn.now_ms)
        self._add_action(
            SendAttempt(request.id, endpoint.entry.id, timeout_ms, send_by_ms, key.attempt_number)
        )
        self.selector.recent_sends += 1
        self.limiter.add_in_flight(1)
        self.set_executing(key, request.is_complete)
        self.schedule_hedge_timer(request)
        return True

    def start_additional_attempt(self, request: RequestRecord) -> bool:
        """Start a retry or a hedge, which takes 1 from the retry budget.

        Returns False if the response would be late, the start of the body has been discarded, the budget is
        below 1, or no attempt can be started.
        """
        response_at_ms = self._turn.now_ms + self.latencies.response_reserve_ms(request.request_class)
        is_late = response_at_ms > min(request.objective_at_ms, request.arrival.deadline_at_ms)
        if is_late or request.body_released or self.retry_budget < 1 or not self.start_attempt(request):
            return False
        self.retry_budget -= 1
        return True

    def on_attempt_overdue(self, request: RequestRecord) -> None:
        """Handle the hedge timer of a request, which expires when its latest attempt is overdue.

        For each endpoint with an attempt of the request in flight, a failure is recorded, unless this process
        was stalled. A hedge is sent if the settings permit hedges, the concurrency limit leaves capacity, and
        exactly one attempt is in flight.
        """
        self.record_overdue(request)
        has_capacity = self.limiter.in_flight.mean < MAX_HEDGE_UTILIZATION * self.limiter.limit
        if self._settings.may_hedge and has_capacity and len(request.in_flight_endpoints) == 1:
            self.start_additional_attempt(request)

    def hedge_at_withdrawn_endpoints(
        self, requests: Iterable[RequestRecord], withdrawn: list[EndpointRecord]
    ) -> None:
        """Hedge idempotent requests whose only attempt in flight is at one of the `withdrawn` endpoints.

        An endpoint is withdrawn when it stops being ready.
        """
        for request in requests:
            is_idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
            endpoints = list(request.in_flight_endpoints.values())
            is_at_risk = len(endpoints) == 1 and endpoints[0] in withdrawn
            if is_at_risk and is_idempotent and not request.is_streaming:
                self.start_additional_attempt(request)

    def schedule_hedge_timer(self, request: RequestRecord) -> None:
        """Schedule the hedge timer of a request for the time at which its latest attempt becomes overdue."""
        expected_ms = self.latencies.expected_ms[request.request_class.name]
        hedge_ms = max(MIN_HEDGE_DELAY_MS, OVERDUE_LATENCY_RATIO * expected_ms)
        self._schedule(self._turn.now_ms + hedge_ms, TimerKind.HEDGE, request.id)

    def resend_deadline_at_ms(self, request: RequestRecord) -> float:
        """Return the time by which the last byte of a further attempt has to be sent.

        The time is inf if a further attempt is harmless at any time, and -inf if it is never harmless. For a
        request with an idempotency key, it is the end of the deduplication window, less one timer tick. The
        window starts when the first attempt that may have been executed is sent, and endpoints drop
        duplicates until it ends.
        """
        request_class = request.request_class
        if not request.possible_executions or request_class.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return -math.inf
        return request.key_sent_at_ms + request_class.deduplication_window_ms - self._settings.tick_ms

    def set_executing(self, key: AttemptKey, is_executing: bool) -> None:
        """Set whether an attempt is executing; only executing attempts count for the concurrency limit."""
        if change := self.table.set_executing(key, is_executing):
            self.limiter.add_in_flight(change)

    def on_attempt_ended(self, event: AttemptEnded, request: RequestRecord | None) -> None:
        """Remove an ended attempt, and update the estimates and its request by its result.

        `request` is None if the request has ended before its attempt. Raises KeyError for an attempt that
        is not in flight.
        """
        key = AttemptKey(event.id, event.attempt)
        self.set_executing(key, False)
        attempt = self.table.pop(key)
        self.limiter.on_attempt_ended(overloaded=event.result is AttemptResult.OVERLOADED)
        if event.load:
            self.selector.on_load_report(attempt.endpoint, event.load)
        self._update_estimates(event, attempt, is_streaming=request is not None and request.is_streaming)
        if request is not None:
            request.in_flight_endpoints.pop(event.attempt, None)
            request.possible_executions -= event.result.proves_not_executed

    def cancel_in_flight(self, request: RequestRecord, excluded_attempt: int | None = None) -> None:
        """Cancel a request's attempts in flight, except for the attempt with the number `excluded_attempt`.

        This has no effect if the settings permit no cancellation.
        """
        if self._settings.may_cancel:
            for attempt_number in request.in_flight_endpoints:
                if attempt_number != excluded_attempt:
                    self._add_action(CancelAttempt(request.id, attempt_number))

    def record_overdue(self, request: RequestRecord) -> None:
        """Record a failure of each endpoint with an attempt of the request in flight.

        Nothing is recorded if this process was stalled.
        """
        if self._turn.follows_stall:
            return
        for endpoint in request.in_flight_endpoints.values():
            self.selector.outliers.record_outcome(
                endpoint, request.request_class.name, math.inf, OVERDUE_OUTCOME_WEIGHT
            )

    def _eligible_endpoints(self, request: RequestRecord) -> EligibleEndpoints:
        """Return the endpoints to which a further attempt may be sent, or None if all are permitted.

        If a request with an idempotency key may have been executed, these are the ready endpoints that drop a
        duplicate of its key. The list is empty if no duplicate is permitted, or if the deduplication window
        has ended.
        """
        key_endpoint = request.key_endpoint
        resend_deadline_at_ms = self.resend_deadline_at_ms(request)
        if key_endpoint is None or resend_deadline_at_ms == math.inf:
            return None
        if resend_deadline_at_ms <= self._turn.now_ms:
            return []
        scope = request.request_class.key_scope
        if scope is KeyScope.ALL:
            return None
        ready = self.selector.directory.warm + self.selector.directory.starting
        return [endpoint for endpoint in ready if endpoint.entry.shares_keys_with(key_endpoint, scope)]

    def _update_estimates(self, event: AttemptEnded, attempt: AttemptRecord, *, is_streaming: bool) -> None:
        """Update the estimates of latencies and endpoints by the result of an attempt.

        After a stall of this process, the elapsed time would include the stall. Only the concurrency limit is
        updated then.
        """
        class_name = attempt.request_class.name
        latency_ratio = math.inf
        if event.result is AttemptResult.OK:
            if not is_streaming:  # a streaming response was counted when it started
                self.limiter.on_response(attempt.request_class.latency_objective_ms)
            latency_ratio = event.elapsed_ms / self.latencies.expected_ms[class_name]
            if not self._turn.follows_stall:
                self.latencies.add_sample(class_name, event.elapsed_ms)
        is_conclusive = event.result not in _INCONCLUSIVE_RESULTS
        if is_conclusive and not self._turn.follows_stall:
            self.selector.outliers.record_outcome(
                attempt.endpoint, class_name, latency_ratio, OWN_OUTCOME_WEIGHT
            )
