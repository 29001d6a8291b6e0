"""The selection of an endpoint for an attempt, by the expected cost of load, latency, failures and zone."""

import math
from collections.abc import Sequence

from gateway.gossip.codec import EndpointObservation, latency_ratio_of
from gateway.interface.events import EndpointState
from gateway.interface.settings import (
    REPORTED_IN_FLIGHT,
    REPORTED_UTILIZATION,
    Idempotency,
    RequestClass,
)
from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.endpoints.directory import EndpointDirectory
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.endpoints.outlier_detection import MAX_PEER_OUTCOME_WEIGHT, OutlierDetector
from gateway.policy.endpoints.slow_start import SlowStartLottery
from gateway.policy.requests.request_record import RequestRecord

FAILURE_COST_FACTOR = 200.0  # cost per squared fraction of failures, relative to an idle endpoint's cost
NON_IDEMPOTENT_COST_FACTOR = 2  # multiple of the failure cost for requests that can't be retried
OTHER_ZONE_COST_FACTOR = 1.15  # multiple of the cost of an endpoint in another zone
MAX_COST_JITTER = 1.1  # upper bound of the random cost factor that keeps gateways from choosing alike
MIN_ENDPOINT_WEIGHT = 0.01  # lower bound of an endpoint's weight
MIN_CANDIDATES = 2.0  # endpoints compared for an attempt at least
CANDIDATES_PER_SEND = 4.0  # further endpoints compared per recent send to each endpoint
FULL_UTILIZATION_ATTEMPTS = 2.0  # attempts in flight that a reported utilization of 1 counts as
LOAD_REPORT_TIME_CONSTANT_MS = 1000.0  # time constant of load reports and of the count of recent sends
MAX_REPORT_AGE_TIME_CONSTANTS = 50.0  # upper bound of a load report's age, in time constants of load reports

EligibleEndpoints = list[EndpointRecord] | None  # endpoints that an idempotency key permits; None permits all


class EndpointSelector(PolicyComponent):
    """Selects endpoints from the directory, by the estimates of the outlier detector."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self._lottery = SlowStartLottery(context)
        self.directory = EndpointDirectory(context)
        self.outliers = OutlierDetector(context)
        self.recent_sends = 0.0  # decaying count of own attempts

    def advance_period(self) -> None:
        """Advance the directory, the lottery and the count of sends by one period."""
        self.directory.advance_period()
        self._lottery.decay_counts()
        self.recent_sends *= decay(CONTROL_PERIOD_MS, LOAD_REPORT_TIME_CONSTANT_MS)

    def on_load_report(self, endpoint: EndpointRecord, load: tuple[float, ...]) -> None:
        """Update the load of an endpoint by the report in one of its responses."""
        values = dict(zip(self._settings.report_fields, load, strict=False))
        if REPORTED_IN_FLIGHT in values:
            endpoint.peer_load = max(0.0, values[REPORTED_IN_FLIGHT] - endpoint.in_flight)
        else:
            utilization = max(0.0, min(1.0, values.get(REPORTED_UTILIZATION, 0.0)))
            endpoint.peer_load = FULL_UTILIZATION_ATTEMPTS * utilization
        endpoint.reported_at_ms = self._turn.now_ms

    def on_observations(self, observations: Sequence[EndpointObservation]) -> None:
        """Update the records of endpoints by the observations of a peer.

        Their weight decreases with the number of own attempts. Otherwise all gateways would leave the same
        endpoint at once and overload the others.
        """
        weight = MAX_PEER_OUTCOME_WEIGHT / (1 + self._weighted_sends_per_endpoint(len(self.directory.warm)))
        class_names = self.outliers.class_names
        for observation in observations:
            endpoint = self.directory.table.by_tag.get(observation.endpoint_tag)
            if endpoint is not None and observation.class_index < len(class_names):
                class_name = class_names[observation.class_index]
                self.outliers.record_outcome(endpoint, class_name, latency_ratio_of(observation), weight)

    def avoids(self, endpoint: EndpointRecord) -> bool:
        """Return whether an endpoint is not ready or ejected for a class, and gets few attempts or none."""
        if endpoint.entry.state is not EndpointState.READY:
            return True
        return any(self.outliers.is_ejected(endpoint, name) for name in self.outliers.class_names)

    def choose_endpoint(self, request: RequestRecord, eligible: EligibleEndpoints) -> EndpointRecord | None:
        """Return an endpoint for one more attempt, or None where there is none."""
        warm = self._warm_candidates(request, eligible)
        directory = self.directory
        drawn = self._lottery.draw_endpoint(request, directory.starting, directory.reference_capacity)
        if drawn is not None and self._is_permitted(drawn, request, eligible):
            return drawn
        return self._lowest_cost_endpoint(self._sample_candidates(warm, request), request.request_class)

    def _weighted_sends_per_endpoint(self, endpoints: int) -> float:
        """Return the mean number of recent own sends to an endpoint, times CANDIDATES_PER_SEND."""
        return CANDIDATES_PER_SEND * self.recent_sends / max(1, endpoints)

    def _warm_candidates(self, request: RequestRecord, eligible: EligibleEndpoints) -> list[EndpointRecord]:
        """Return the preferred warm endpoints, or all warm ones where half of the preferred are ejected."""
        warm = self.directory.warm
        preferred = self.directory.preferred
        if eligible is not None:
            return [endpoint for endpoint in warm if endpoint in eligible]
        if preferred is warm:
            return warm
        class_name = request.request_class.name
        usable = [endpoint for endpoint in preferred if not self.outliers.is_ejected(endpoint, class_name)]
        return usable if 2 * len(usable) > len(preferred) else warm

    def _is_permitted(
        self, endpoint: EndpointRecord, request: RequestRecord, eligible: EligibleEndpoints
    ) -> bool:
        if endpoint in request.tried_endpoints or (eligible is not None and endpoint not in eligible):
            return False
        return not self.outliers.is_ejected(endpoint, request.request_class.name)

    def _sample_candidates(self, warm: list[EndpointRecord], request: RequestRecord) -> list[EndpointRecord]:
        """Return the endpoints to compare: those not yet tried, or a random sample of these.

        The sample is small where this gateway seldom sends. Its load reports are old then, and all gateways
        with the same reports would overload the endpoint that appears to be best.
        """
        count = math.ceil(MIN_CANDIDATES + self._weighted_sends_per_endpoint(len(warm)))
        untried = [endpoint for endpoint in warm if endpoint not in request.tried_endpoints] or warm
        return self._rng.sample(untried, count) if count < len(untried) else untried

    def _lowest_cost_endpoint(
        self, candidates: list[EndpointRecord], request_class: RequestClass
    ) -> EndpointRecord | None:
        """Return the endpoint with the least cost: its expected latency and risk of failure, with jitter."""
        best = None
        best_cost = math.inf
        is_non_idempotent = request_class.idempotency is Idempotency.NON_IDEMPOTENT
        failure_cost = (NON_IDEMPOTENT_COST_FACTOR if is_non_idempotent else 1) * FAILURE_COST_FACTOR
        for endpoint in candidates:
            age_time_constants = min(
                MAX_REPORT_AGE_TIME_CONSTANTS,
                (self._turn.now_ms - endpoint.reported_at_ms) / LOAD_REPORT_TIME_CONSTANT_MS,
            )
            load = 1 + endpoint.in_flight + endpoint.peer_load * math.exp(-age_time_constants)
            cost = (
                load
                * self.outliers.latency_factor(endpoint)
                / max(MIN_ENDPOINT_WEIGHT, endpoint.entry.weight)
            )
            cost *= 1 + failure_cost * self.outliers.failure_rate(endpoint, request_class.name) ** 2
            cost *= 1.0 if endpoint.entry.zone == self._settings.zone else OTHER_ZONE_COST_FACTOR
            cost *= self._rng.uniform(1.0, MAX_COST_JITTER)
            if cost < best_cost:
                best = endpoint
                best_cost = cost
        return best
