"""The handling of requests, from the arrival of each to its single final answer."""

import math
from dataclasses import replace

from gateway.gossip.codec import EntryKind
from gateway.interface.actions import Fail, ForwardResponse, Reject
from gateway.interface.events import (
    AttemptEnded,
    DeadlineUpdated,
    RequestArrived,
    RequestCompleted,
    ResponseStarted,
)
from gateway.interface.settings import KeyScope
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.dispatch.dispatcher import Dispatcher
from gateway.policy.dispatch.latency import MAX_RESPONSE_FRACTION
from gateway.policy.quota.entry_sender import EntrySender
from gateway.policy.quota.leader import QuotaLeader
from gateway.policy.quota.lease_client import LeaseClient
from gateway.policy.requests.attempt_table import AttemptKey
from gateway.policy.requests.attempts import AttemptManager
from gateway.policy.requests.request_record import RequestPhase, RequestRecord
from gateway.policy.timers import CLOCK_RESOLUTION_MS, TimerKind

MAX_QUEUED_FRACTION = 0.45  # maximum time in the queue, as a fraction of the time from arrival to deadline
MIN_RETRY_AFTER_MS = 250.0  # minimum Retry-After of a rejection, unless the settings limit it to less
DEADLINE_MARGIN_TICKS = 2  # timer ticks before its deadline at which an unserved request is answered


class RequestFlow(PolicyComponent):
    """The open requests, and the components that decide on their quotas, dispatch and attempts."""

    def __init__(self, context: PolicyContext, send: EntrySender) -> None:
        super().__init__(context)
        self._classes = {request_class.name: request_class for request_class in context.settings.classes}
        self._plans = {plan.name: plan for plan in context.settings.plans}
        self.open_requests: dict[int, RequestRecord] = {}
        self.attempts = AttemptManager(context)
        self.dispatcher = Dispatcher(context, self.attempts)
        self.leader = QuotaLeader(context, send)
        self.lease_client = LeaseClient(context, listener=self, send=send)

    def on_arrival(self, arrival: RequestArrived) -> None:
        """Open a new request, which is admitted, waits for its quota, or is rejected at once.

        It is rejected if its class or plan is not in the settings, its deadline has passed, a request with
        its id is open, or the accounts have no room for its customer.
        """
        request_class = self._classes.get(arrival.class_name)
        plan = self._plans.get(arrival.plan_name)
        is_duplicate = arrival.id in self.open_requests
        is_expired = arrival.deadline_at_ms <= self._turn.now_ms
        if request_class is None or plan is None or is_expired or is_duplicate:
            self._add_action(Reject(arrival.id))
            return
        if not self.lease_client.accounts.has_room_for(arrival, self.open_requests.values()):
            self._add_action(Reject(arrival.id, min(MIN_RETRY_AFTER_MS, self._settings.max_retry_after_ms)))
            return
        account = self.lease_client.accounts.refilled_account(arrival, plan)
        account.demand += arrival.units
        request = RequestRecord.from_arrival(arrival, request_class, plan, account, self._turn.now_ms)
        self.open_requests[request.id] = request
        self._schedule_deadline(request)
        queue_timeout_at_ms = self._queue_timeout_at_ms(request)
        self._schedule(queue_timeout_at_ms, TimerKind.QUEUE_TIMEOUT, request.id)
        if self.lease_client.admit(request, queue_timeout_at_ms - self._turn.now_ms):
            self.dispatcher.enqueue(request)

    def on_request_completed(self, request: RequestRecord, event: RequestCompleted) -> None:
        """Handle the last byte of a large request, from which its latency objective and deadline count."""
        request.is_complete = True
        request.arrival = replace(request.arrival, deadline_at_ms=event.deadline_at_ms)
        request.objective_at_ms = self._turn.now_ms + request.request_class.latency_objective_ms
        self._schedule_deadline(request)
        if request.attempts_sent and not request.is_streaming:
            for attempt_number in request.in_flight_endpoints:
                self.attempts.set_executing(AttemptKey(request.id, attempt_number), True)
            self.attempts.schedule_hedge_timer(request)

    def on_deadline_updated(self, request: RequestRecord, event: DeadlineUpdated) -> None:
        """Start or stop the deadline of an incomplete request, see `DeadlineUpdated`."""
        request.is_held_up = event.deadline_at_ms < math.inf
        if request.is_held_up:
            request.arrival = replace(request.arrival, deadline_at_ms=event.deadline_at_ms)
            self._schedule_deadline(request)

    def on_response_started(self, request: RequestRecord, event: ResponseStarted) -> None:
        """Handle the start of a streaming response, and cancel the request's other attempts."""
        request.phase = RequestPhase.STREAMING
        self.attempts.limiter.on_response(request.request_class.latency_objective_ms)
        self.attempts.set_executing(AttemptKey(event.id, event.attempt), False)
        self.attempts.cancel_in_flight(request, excluded_attempt=event.attempt)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Handle the end of an attempt.

        A final attempt closes its request. Otherwise a request without further attempts in flight is retried,
        or gets its final answer if no retry is possible.
        """
        if AttemptKey(event.id, event.attempt) not in self.attempts.table:
            return
        request = self.open_requests.get(event.id)
        self.attempts.on_attempt_ended(event, request)
        if request is None:
            return
        if event.final:
            self.close_request(request)
        elif not request.in_flight_endpoints and not self.attempts.start_additional_attempt(request):
            self.reject_or_fail(request)

    def on_lease_reply(self, request: RequestRecord, reply_kind: EntryKind) -> None:
        """Handle the quota leader's reply about a request: GRANT, QUEUED or DENY.

        A request without a grant is admitted as overage if its plan has no ceiling and the overage weight
        exceeds the overage cost.
        """
        if not request.awaits_quota:
            return
        plan = request.plan
        permits_overage = plan.overage_weight > plan.overage_cost and not plan.ceiling_per_s
        if reply_kind is not EntryKind.GRANT and permits_overage:
            self.lease_client.leases.remove_request(request)
            request.within_quota = False
            request.priority = request.priority * plan.overage_weight
            reply_kind = EntryKind.GRANT
        if reply_kind is EntryKind.GRANT:
            self.dispatcher.enqueue(request)
        elif reply_kind is EntryKind.DENY:
            self.reject_or_fail(request)

    def on_timer(self, kind: TimerKind, request: RequestRecord) -> None:
        """Handle a timer of an open request whose response has not started."""
        match kind:
            case TimerKind.LEASE_REPLY_OVERDUE:
                if request.awaits_quota and self.lease_client.on_reply_overdue(request):
                    self.dispatcher.enqueue(request)
            case TimerKind.LEASE_EXPIRED:
                self.on_lease_reply(request, EntryKind.DENY)
            case TimerKind.DEADLINE:
                self._on_deadline_timer(request)
            case _ if request.attempts_sent and not request.is_complete:
                pass  # the latency objective counts from the last byte of the request
            case TimerKind.HEDGE:
                self.attempts.on_attempt_overdue(request)
            case TimerKind.QUEUE_TIMEOUT:
                self._on_queue_timeout(request)

    def reject_or_fail(self, request: RequestRecord) -> None:
        """Give the final answer to a request that is not served, and close it.

        The answer is Reject if a retry by the client is certain to be harmless, and otherwise Fail. For a
        request that is not idempotent and may have been executed, a retry is harmless only if all endpoints
        still know the idempotency key when the client retries.
        """
        retry_after_ms = self._retry_after_ms(request)
        is_harmless = self._is_retry_harmless(request)
        self._add_action(Reject(request.id, retry_after_ms) if is_harmless else Fail(request.id))
        self.close_request(request)

    def _retry_after_ms(self, request: RequestRecord) -> float:
        """Return the time after which the client of a rejected request is advised to retry."""
        refill_ms = request.arrival.units * 1000 / (request.plan.rate_per_s or math.inf)
        return min(max(MIN_RETRY_AFTER_MS, refill_ms), self._settings.max_retry_after_ms)

    def _is_retry_harmless(self, request: RequestRecord) -> bool:
        """Return whether a retry by the client has no effect beyond that of a single execution."""
        resend_deadline_at_ms = self.attempts.resend_deadline_at_ms(request)
        if resend_deadline_at_ms == math.inf:
            return True
        retry_at_ms = self._turn.now_ms + self._retry_after_ms(request)
        return request.request_class.key_scope is KeyScope.ALL and retry_at_ms < resend_deadline_at_ms

    def close_request(self, request: RequestRecord) -> None:
        """Remove a request that needs no further answer, and cancel its attempts in flight."""
        self.open_requests.pop(request.id, None)
        request.account.in_flight -= not request.awaits_quota
        if request.phase is RequestPhase.QUEUED:
            self.dispatcher.queue.remove(request)
        self.lease_client.release_lease(request)
        self.attempts.cancel_in_flight(request)

    def _on_queue_timeout(self, request: RequestRecord) -> None:
        """Handle the end of the time for which a request may be queued.

        A request that waits for its quota may be admitted without a grant if the quota leader has not
        replied. Any other request for which no attempt was sent gets its final answer.
        """
        if request.awaits_quota and self.lease_client.on_reply_overdue(request, is_last=True):
            self.dispatcher.enqueue(request)
            # If the request cannot be dispatched in this turn, it is rejected at the next queue timeout.
            self._schedule(self._turn.now_ms + self._settings.tick_ms, TimerKind.QUEUE_TIMEOUT, request.id)
        elif request.attempts_sent == 0:
            self.reject_or_fail(request)

    def _on_deadline_timer(self, request: RequestRecord) -> None:
        """Give the final answer if the deadline of a request is close, unless it has been moved.

        A response that is being buffered is forwarded instead: its endpoint is still sending it.
        """
        is_sending = request.attempts_sent and not request.is_complete and not request.is_held_up
        if is_sending or self._turn.now_ms < self._answer_by_ms(request) - CLOCK_RESOLUTION_MS:
            return
        begun = [number for number in request.in_flight_endpoints if number in request.begun_attempts]
        if begun:
            self._add_action(ForwardResponse(request.id, begun[0]))
            return
        if not request.is_complete:
            self.attempts.record_overdue(request)
        needs_results = request.body_released and not self._is_retry_harmless(request)
        if needs_results and request.in_flight_endpoints and self._settings.may_cancel:
            # The results tell whether an endpoint may have executed the request; the answer follows them.
            self.attempts.cancel_in_flight(request)
        else:
            self.reject_or_fail(request)

    def _answer_by_ms(self, request: RequestRecord) -> float:
        """Return the time at which a request gets its final answer if it has not been served."""
        return request.arrival.deadline_at_ms - DEADLINE_MARGIN_TICKS * self._settings.tick_ms

    def _schedule_deadline(self, request: RequestRecord) -> None:
        self._schedule(self._answer_by_ms(request), TimerKind.DEADLINE, request.id)

    def _queue_timeout_at_ms(self, request: RequestRecord) -> float:
        """Return the time until which a request may be queued.

        After that time, too little would remain for the response. In any case queueing ends early enough for
        the client to retry at another gateway before the deadline.
        """
        now_ms = self._turn.now_ms
        deadline_at_ms = request.arrival.deadline_at_ms
        respond_by_ms = deadline_at_ms
        if request.request_class.late_weight <= 0:
            respond_by_ms = min(deadline_at_ms, request.objective_at_ms)
        dispatch_by_ms = respond_by_ms - self.attempts.latencies.response_reserve_ms(request.request_class)
        earliest_ms = now_ms + MAX_RESPONSE_FRACTION * (respond_by_ms - now_ms)
        latest_ms = now_ms + MAX_QUEUED_FRACTION * (deadline_at_ms - now_ms)
        return min(latest_ms, max(dispatch_by_ms, earliest_ms))
