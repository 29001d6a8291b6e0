"""A check of the service rules over the actions of a fleet, independent of the policy's own code.

It checks these rules:

- Rule 1: each request gets exactly one answer, by its deadline, and no attempt is sent after the answer.
- Rule 2: a request that may have been executed is repeated only if a second execution does no harm.
- Rule 3: a gateway sends no attempt to an endpoint later than DRAIN_GRACE_MS after it learned that the
  endpoint is withdrawn.
- Rule 5: the requests that are sent for a customer exceed its plan's ceiling by the plan's slack at most.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from gateway.interface.events import Endpoint, RequestArrived
from gateway.interface.settings import Idempotency, KeyScope
from support.policy_settings import CLOCK_SLACK_MS, DRAIN_GRACE_MS

ROUNDING_UNITS = 1e-6  # tolerance for rounding errors in the level of a ceiling's bucket


class Attempt(NamedTuple):
    """An attempt that a gateway sent, with its time and its endpoint."""

    sent_ms: float
    endpoint: Endpoint


@dataclass
class CheckedRequest:
    """A request, its attempts, and the numbers of the attempts that were provably not executed."""

    arrival: RequestArrived
    attempts: list[Attempt] = field(default_factory=list)
    not_executed: set[int] = field(default_factory=set)

    def possibly_executed(self):
        """Return the attempts for which there is no proof that they were not executed, in order."""
        return [attempt for n, attempt in enumerate(self.attempts) if n not in self.not_executed]


class RuleChecker:
    """Records the attempts and answers of all requests, and raises AssertionError when a rule is broken."""

    def __init__(self, settings):
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.requests = {}
        self.open_requests = {}  # the gateway that serves each open request, by request id
        self.ended_requests = set()  # ids of the requests that have ended
        self.ceiling_buckets = {}  # level of each customer's ceiling bucket and its time, by customer

    def class_of(self, request_id):
        """Return the class of a request."""
        return self.classes[self.requests[request_id].arrival.class_name]

    def deadline_at_ms(self, request_id):
        """Return the point in time at which the deadline of a request ends."""
        return self.requests[request_id].arrival.deadline_at_ms

    def on_arrival(self, gateway, arrival):
        """Record a request that has arrived at a gateway, and open it."""
        self.open_requests[arrival.id] = gateway
        self.requests[arrival.id] = CheckedRequest(arrival)

    def on_gateway_killed(self, gateway):
        """End all requests of a killed gateway without a check, since their clients are disconnected."""
        for request_id in [
            request_id for request_id, owner in self.open_requests.items() if owner == gateway
        ]:
            self.close(request_id)

    def close(self, request_id):
        """End a request without a check, and return the gateway that served it."""
        self.ended_requests.add(request_id)
        return self.open_requests.pop(request_id)

    def on_not_executed(self, request_id, attempt):
        """Record that an attempt was provably not executed; `attempt` is its number."""
        self.requests[request_id].not_executed.add(attempt)

    def on_send(self, now_ms, action, endpoint, withdrawn_ms):
        """Check and record an attempt that a gateway sends to an endpoint.

        `withdrawn_ms` is the time at which the gateway learned that the endpoint is draining or removed; None
        if the gateway knows the endpoint as ready.
        """
        assert action.id in self.open_requests, f"rule 1: request {action.id} was sent after it had ended"
        assert withdrawn_ms is None or now_ms <= withdrawn_ms + DRAIN_GRACE_MS, (
            f"rule 3: request {action.id} was sent at {now_ms} ms to endpoint {endpoint.id}, "
            f"which the gateway has known to be withdrawn since {withdrawn_ms} ms"
        )
        request = self.requests[action.id]
        self._check_repetition(now_ms, action, endpoint, request)
        if not request.attempts and self.plans[request.arrival.plan_name].ceiling_per_s:
            self._take_from_ceiling(now_ms, request.arrival)
        request.attempts.append(Attempt(now_ms, endpoint))

    def _check_repetition(self, now_ms, action, endpoint, request):
        request_class = self.class_of(action.id)
        executed = request.possibly_executed()
        if not executed:
            return
        assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT, (
            f"rule 2: request {action.id}, which is not idempotent, was sent again after a possible execution"
        )
        if request_class.idempotency is Idempotency.WITH_KEY:
            first = executed[0]
            window_end_ms = first.sent_ms + request_class.deduplication_window_ms
            assert now_ms < action.send_by_ms <= window_end_ms, (
                f"rule 2: past the window: request {action.id}, sent at {now_ms} ms, to be sent by "
                f"{action.send_by_ms} ms, but the deduplication window ends at {window_end_ms} ms"
            )
            if request_class.key_scope is KeyScope.CELL:
                assert first.endpoint.cell == endpoint.cell, (
                    f"rule 2: another cell: request {action.id}, first {first.endpoint}, now {endpoint}"
                )
            if request_class.key_scope is KeyScope.ZONE:
                assert first.endpoint.zone == endpoint.zone, (
                    f"rule 2: another zone: request {action.id}, first {first.endpoint}, now {endpoint}"
                )

    def _take_from_ceiling(self, now_ms, arrival):
        plan = self.plans[arrival.plan_name]
        level, at_ms = self.ceiling_buckets.get(arrival.customer, (plan.ceiling_burst, now_ms))
        refilled = level + (now_ms - at_ms) / 1000 * plan.ceiling_per_s
        level = min(plan.ceiling_burst, refilled) - arrival.units
        assert level >= -plan.ceiling_slack - ROUNDING_UNITS, (
            f"rule 5: the ceiling bucket of customer {arrival.customer} is at {level} units, "
            f"expected at least {-plan.ceiling_slack}"
        )
        self.ceiling_buckets[arrival.customer] = (level, now_ms)

    def on_success(self, now_ms, request_id):
        """Check and record that a request ends with an endpoint's response.

        A streamed response may end after the deadline.
        """
        is_in_time = now_ms <= self.deadline_at_ms(request_id) + CLOCK_SLACK_MS
        assert is_in_time or self.class_of(request_id).streamed, (
            f"rule 1: request {request_id} ended with a response at {now_ms} ms, "
            f"after its deadline at {self.deadline_at_ms(request_id)} ms"
        )
        self.close(request_id)

    def on_failure(self, now_ms, request_id):
        """Check and record that a request ends with a failure, which may come before or after execution."""
        assert now_ms <= self.deadline_at_ms(request_id) + CLOCK_SLACK_MS, (
            f"rule 1: request {request_id} failed or was rejected at {now_ms} ms, "
            f"after its deadline at {self.deadline_at_ms(request_id)} ms"
        )
        self.close(request_id)

    def on_rejection(self, now_ms, request_id, retry_after_ms):
        """Check and record that a request ends with a rejection, which promises that a retry is harmless.

        A retry is harmless if the request was not executed, if it is idempotent, or if all endpoints still
        deduplicate it when the client retries after `retry_after_ms`.
        """
        self.on_failure(now_ms, request_id)
        executed = self.requests[request_id].possibly_executed()
        if not executed:
            return
        request_class = self.class_of(request_id)
        is_key_shared_by_all = (
            request_class.idempotency is Idempotency.WITH_KEY and request_class.key_scope is KeyScope.ALL
        )
        window_end_ms = executed[0].sent_ms + request_class.deduplication_window_ms
        is_deduplicated = is_key_shared_by_all and now_ms + retry_after_ms < window_end_ms
        assert request_class.idempotency is Idempotency.IDEMPOTENT or is_deduplicated, (
            f"rule 2: rejected request {request_id} may have been executed, and a retry is not harmless"
        )

    def overdue_requests(self, now_ms):
        """Return the ids of the open requests whose deadline has passed by more than CLOCK_SLACK_MS."""
        return [n for n in self.open_requests if self.deadline_at_ms(n) + CLOCK_SLACK_MS < now_ms]
