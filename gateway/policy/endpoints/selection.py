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

FAILURE_COST_FACTOR = 200.0  # relative cost increase at failure rate 1; it grows with the rate's square
NON_IDEMPOTENT_COST_FACTOR = 2  # multiple of FAILURE_COST_FACTOR for classes that permit no retries
OTHER_ZONE_COST_FACTOR = 1.15  # multiple of the cost of an endpoint in another zone than this gateway's
MAX_COST_JITTER = 1.1  # upper bound of the random cost factor that prevents equal choices of all gateways
MIN_ENDPOINT_WEIGHT = 0.01  # lower bound of the weight by which an endpoint's cost is divided
MIN_CANDIDATES = 2.0  # minimum number of endpoints whose costs are compared for an attempt
CANDIDATES_PER_SEND = 4.0  # candidates added for each recent attempt per warm endpoint
FULL_UTILIZATION_ATTEMPTS = 2.0  # attempts in flight for which a reported utilization of 1 stands
LOAD_REPORT_TIME_CONSTANT_MS = 1000.0  # time constant of the decay of load reports and `recent_sends`
# Upper bound of the age of a load report in the cost, in multiples of LOAD_REPORT_TIME_CONSTANT_MS. An older
# report, and a missing one, counts with this age.
MAX_REPORT_AGE_TIME_CONSTANTS = 50.0

EligibleEndpoints = list[EndpointRecord] | None  # endpoints that an idempotency key permits; None permits all


class EndpointSelector(PolicyComponent):
    """Selects endpoints for attempts from the directory, by load reports and the outlier detector."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self._lottery = SlowStartLottery(context)
        self.directory = EndpointDirectory(context)
        self.outliers = OutlierDetector(context)
        self.recent_sends = 0.0  # decaying count of the attempts that this gateway has sent

    def advance_period(self) -> None:
        """Update the directory, the lottery and the count of recent sends for one control period."""
        self.directory.advance_period()
        self._lottery.decay_counts()
        self.recent_sends *= decay(CONTROL_PERIOD_MS, LOAD_REPORT_TIME_CONSTANT_MS)

    def on_load_report(self, endpoint: EndpointRecord, load: tuple[float, ...]) -> None:
        """Update the load of an endpoint by the load report in one of its responses.

        `load` has the order of `Settings.report_fields`. A reported number of requests in flight includes the
        attempts of this gateway, which are subtracted.
        """
        values = dict(zip(self._settings.report_fields, load, strict=False))
        if REPORTED_IN_FLIGHT in values:
            endpoint.peer_load = max(0.0, values[REPORTED_IN_FLIGHT] - endpoint.in_flight)
        else:
            utilization = max(0.0, min(1.0, values.get(REPORTED_UTILIZATION, 0.0)))
            endpoint.peer_load = FULL_UTILIZATION_ATTEMPTS * utilization
        endpoint.reported_at_ms = self._turn.now_ms

    def on_observations(self, observations: Sequence[EndpointObservation]) -> None:
        """Update the estimates of endpoints by the observations of another gateway.

        The more attempts this gateway sends, the smaller is the weight of these observations. Otherwise all
        gateways would stop using the same endpoint at once and overload the other endpoints.
        """
        weight = MAX_PEER_OUTCOME_WEIGHT / (1 + self._weighted_sends_per_endpoint(len(self.directory.warm)))
        class_names = self.outliers.class_names
        for observation in observations:
            endpoint = self.directory.table.by_tag.get(observation.endpoint_tag)
            if endpoint is not None and observation.class_index < len(class_names):
                class_name = class_names[observation.class_index]
                self.outliers.record_outcome(endpoint, class_name, latency_ratio_of(observation), weight)

    def avoids(self, endpoint: EndpointRecord) -> bool:
        """Return whether an endpoint gets few attempts or none: it is not ready, or ejected for a class."""
        if endpoint.entry.state is not EndpointState.READY:
            return True
        return any(self.outliers.is_ejected(endpoint, class_name) for class_name in self.outliers.class_names)

    def choose_endpoint(self, request: RequestRecord, eligible: EligibleEndpoints) -> EndpointRecord | None:
        """Return an endpoint for one more attempt, or None if no endpoint is eligible.

        If the lottery draws an endpoint in slow start that may be used, the result is that endpoint.
        Otherwise it is the candidate with the lowest cost among the warm endpoints.
        """
        warm = self._warm_candidates(request, eligible)
        directory = self.directory
        drawn = self._lottery.draw_endpoint(request, directory.starting, directory.reference_capacity)
        if drawn is not None and self._is_permitted(drawn, request, eligible):
            return drawn
        return self._lowest_cost_endpoint(self._sample_candidates(warm, request), request.request_class)

    def _weighted_sends_per_endpoint(self, endpoints: int) -> float:
        """Return CANDIDATES_PER_SEND times the mean number of recent attempts per endpoint."""
        return CANDIDATES_PER_SEND * self.recent_sends / max(1, endpoints)

    def _warm_candidates(self, request: RequestRecord, eligible: EligibleEndpoints) -> list[EndpointRecord]:
        """Return the warm endpoints that may be compared for an attempt.

        These are the preferred endpoints that are not ejected, or all warm endpoints if at least half of the
        preferred ones are ejected. If an idempotency key restricts the eligible endpoints, these are all warm
        endpoints among them.
        """
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
        """Return the endpoints to compare: a random sample of those at which the request has had no attempt.

        If the request has had an attempt at every warm endpoint, the sample is taken from all of them. The
        fewer attempts the gateway sends, the smaller is the sample. With few attempts, load reports are old.
        If all gateways with old reports compared all endpoints, they would overload the same apparently best
        endpoint.
        """
        count = math.ceil(MIN_CANDIDATES + self._weighted_sends_per_endpoint(len(warm)))
        untried = [endpoint for endpoint in warm if endpoint not in request.tried_endpoints] or warm
        return self._rng.sample(untried, count) if count < len(untried) else untried

    def _lowest_cost_endpoint(
        self, candidates: list[EndpointRecord], request_class: RequestClass
    ) -> EndpointRecord | None:
        """Return the candidate with the lowest cost, or None if there is no candidate.

        The cost is the load of an endpoint times its latency factor, divided by its weight. It increases with
        the failure rate, for an endpoint in another zone, and by random jitter.
        """
        best = None
        best_cost = math.inf
        is_non_idempotent = request_class.idempotency is Idempotency.NON_IDEMPOTENT
        failure_cost = (NON_IDEMPOTENT_COST_FACTOR if is_non_idempotent else 1) * FAILURE_COST_FACTOR
        for endpoint in candidates:
            report_age = min(
                MAX_REPORT_AGE_TIME_CONSTANTS,
                (self._turn.now_ms - endpoint.reported_at_ms) / LOAD_REPORT_TIME_CONSTANT_MS,
            )
            load = 1 + endpoint.in_flight + endpoint.peer_load * math.exp(-report_age)
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
