"""An independent check of the service rules over the actions of a fleet."""

from dataclasses import dataclass, field
from typing import NamedTuple

from gateway.interface.events import Endpoint, RequestArrived
from gateway.interface.settings import Idempotency, KeyScope
from support.policy_settings import CLOCK_SLACK_MS, DRAIN_GRACE_MS

ROUNDING_UNITS = 1e-6


class Attempt(NamedTuple):
    """An attempt that was sent."""

    sent_ms: float
    endpoint: Endpoint


@dataclass
class CheckedRequest:
    """A request with its attempts, of which some are proved not to have been executed."""

    arrival: RequestArrived
    attempts: list[Attempt] = field(default_factory=list)
    not_executed: set[int] = field(default_factory=set)

    def possibly_executed(self):
        """Return the attempts that are not proved not to have been executed."""
        return [attempt for n, attempt in enumerate(self.attempts) if n not in self.not_executed]


class RuleChecker:
    """Keeps its own records of attempts and answers, and raises at the first broken rule."""

    def __init__(self, settings):
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.requests = {}
        self.open_requests = {}  # ids of open requests, and the gateways that serve them
        self.ended_requests = set()
        self.ceilings = {}  # level and time of each customer's bucket

    def class_of(self, request_id):
        """Return the class of a request."""
        return self.classes[self.requests[request_id].arrival.class_name]

    def deadline_at_ms(self, request_id):
        """Return the deadline of a request."""
        return self.requests[request_id].arrival.deadline_at_ms

    def on_arrival(self, gateway, arrival):
        """Begin to check a request, which arrived at this gateway."""
        self.open_requests[arrival.id] = gateway
        self.requests[arrival.id] = CheckedRequest(arrival)

    def on_gateway_killed(self, gateway):
        """End the requests of a gateway, whose clients lose their connections."""
        for request_id in [
            request_id for request_id, owner in self.open_requests.items() if owner == gateway
        ]:
            self.close(request_id)

    def close(self, request_id):
        """End a request without a check, and return the gateway that served it."""
        self.ended_requests.add(request_id)
        return self.open_requests.pop(request_id)

    def on_not_executed(self, request_id, attempt):
        """Note the proof that an attempt was not executed."""
        self.requests[request_id].not_executed.add(attempt)

    def on_send(self, now, action, endpoint, withdrawn_ms):
        """Check an attempt at an endpoint, which the gateway may know to be withdrawn since some time."""
        assert action.id in self.open_requests, f"rule 1: {action.id} sent after its end"
        assert withdrawn_ms is None or now <= withdrawn_ms + DRAIN_GRACE_MS, (
            "rule 3: sent to a draining endpoint"
        )
        request = self.requests[action.id]
        self._check_repetition(now, action, endpoint, request)
        if not request.attempts and self.plans[request.arrival.plan_name].ceiling_per_s:
            self._take_from_ceiling(now, request.arrival)
        request.attempts.append(Attempt(now, endpoint))

    def _check_repetition(self, now, action, endpoint, request):
        request_class = self.class_of(action.id)
        executed = request.possibly_executed()
        if not executed:
            return
        assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT, (
            "rule 2: a non-idempotent request was sent twice"
        )
        if request_class.idempotency is Idempotency.WITH_KEY:
            first = executed[0]
            window_end_ms = first.sent_ms + request_class.deduplication_window_ms
            assert now < action.send_by_ms <= window_end_ms, "rule 2: past the window"
            if request_class.key_scope is KeyScope.CELL:
                assert first.endpoint.cell == endpoint.cell, "rule 2: another cell"
            if request_class.key_scope is KeyScope.ZONE:
                assert first.endpoint.zone == endpoint.zone, "rule 2: another zone"

    def _take_from_ceiling(self, now, arrival):
        plan = self.plans[arrival.plan_name]
        level, at_ms = self.ceilings.get(arrival.customer, (plan.ceiling_burst, now))
        refilled = level + (now - at_ms) / 1000 * plan.ceiling_per_s
        level = min(plan.ceiling_burst, refilled) - arrival.units
        assert level >= -plan.ceiling_slack - ROUNDING_UNITS, f"rule 5: {arrival.customer} at {level}"
        self.ceilings[arrival.customer] = (level, now)

    def on_success(self, now, request_id):
        """Check the end of a request by an endpoint's response, whose stream may outlast the deadline."""
        is_in_time = now <= self.deadline_at_ms(request_id) + CLOCK_SLACK_MS
        assert is_in_time or self.class_of(request_id).streamed, "rule 1: late"
        self.close(request_id)

    def on_failure(self, now, request_id):
        """Check the end of a request by a failure, which says nothing about its execution."""
        assert now <= self.deadline_at_ms(request_id) + CLOCK_SLACK_MS, "rule 1: late"
        self.close(request_id)

    def on_rejection(self, now, request_id, retry_after_ms):
        """Check the end of a request by a rejection, which promises that a retry is harmless."""
        self.on_failure(now, request_id)
        executed = self.requests[request_id].possibly_executed()
        if not executed:
            return
        request_class = self.class_of(request_id)
        is_known_everywhere = (
            request_class.idempotency is Idempotency.WITH_KEY and request_class.key_scope is KeyScope.ALL
        )
        window_end_ms = executed[0].sent_ms + request_class.deduplication_window_ms
        is_deduplicated = is_known_everywhere and now + retry_after_ms < window_end_ms
        assert request_class.idempotency is Idempotency.IDEMPOTENT or is_deduplicated, (
            "rule 2: rejected though it may have been executed"
        )

    def overdue_requests(self, now):
        """Return the open requests whose deadline has passed."""
        return [n for n in self.open_requests if self.deadline_at_ms(n) + CLOCK_SLACK_MS < now]
