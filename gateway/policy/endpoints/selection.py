"""The choice of an endpoint for an attempt: the least expected time, by load, latency, failures and zone."""

import math
from collections.abc import Sequence

from gateway.gossip.codec import EndpointObservation, latency_ratio_of
from gateway.interface.events import EndpointState
from gateway.interface.settings import Idempotency, RequestClass
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS
from gateway.policy.endpoints.directory import EndpointDirectory
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.endpoints.outlier_detection import MAX_GOSSIP_WEIGHT, OutlierDetector
from gateway.policy.endpoints.slow_start import SlowStartLottery
from gateway.policy.requests.request_record import RequestRecord

FAILURE_COST = 200.0  # cost per squared fraction of failures, relative to an idle endpoint's cost
NON_IDEMPOTENT_COST_FACTOR = 2  # multiple of the failure cost for requests that can't be retried
OTHER_ZONE_COST_FACTOR = 1.15  # multiple of the cost of an endpoint in another zone
MAX_COST_JITTER = 1.1  # upper bound of the random cost factor that keeps gateways from choosing alike
MIN_WEIGHT = 0.01  # lower bound of an endpoint's weight
MIN_CANDIDATES = 2.0  # endpoints compared for an attempt at least
CANDIDATES_PER_SEND = 4.0  # further endpoints compared per recent send to each endpoint
FULL_UTILIZATION_ATTEMPTS = 2.0  # attempts in flight that a reported utilization of 1 counts as
REPORT_MEMORY_MS = 1000.0  # time constant of load reports and of the count of recent sends
MAX_REPORT_AGE = 50.0  # age of a load report, in memories, beyond which it counts as nothing

Eligible = list[EndpointRecord] | None  # the only endpoints that an idempotency key leaves; None: all


class EndpointSelector(PolicyComponent):
    """Chooses endpoints from its directory, by what its detector has learned."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self._lottery = SlowStartLottery(context)
        self.directory = EndpointDirectory(context)
        self.outliers = OutlierDetector(context)
        self.recent_sends = 0.0  # decaying count

    def step(self) -> None:
        """Go on by one period."""
        self.directory.step()
        self._lottery.step()
        self.recent_sends *= decay(PERIOD_MS, REPORT_MEMORY_MS)

    def _sends_each(self, endpoints: int) -> float:
        """Return how much our recent sends to each of so many endpoints count."""
        return CANDIDATES_PER_SEND * self.recent_sends / max(1, endpoints)

    def on_load_report(self, endpoint: EndpointRecord, load: tuple[float, ...]) -> None:
        """Take in the load that an endpoint reports with an answer."""
        values = dict(zip(self._settings.report_fields, load, strict=False))
        if "inflight" in values:
            endpoint.peer_load = max(0.0, values["inflight"] - endpoint.in_flight)
        else:
            endpoint.peer_load = FULL_UTILIZATION_ATTEMPTS * max(0.0, min(1.0, values.get("util", 0.0)))
        endpoint.reported_at_ms = self._turn.now_ms

    def on_observations(self, observations: Sequence[EndpointObservation]) -> None:
        """Take in what a peer observed.

        It weighs the less the more we send to each endpoint ourselves, or all would flee and crowd alike.
        """
        weight = MAX_GOSSIP_WEIGHT / (1 + self._sends_each(len(self.directory.warm)))
        names = self.outliers.class_names
        for seen in observations:
            endpoint = self.directory.table.by_tag.get(seen.endpoint_tag)
            if endpoint is not None and seen.class_index < len(names):
                self.outliers.learn(endpoint, names[seen.class_index], latency_ratio_of(seen), weight)

    def avoids(self, endpoint: EndpointRecord) -> bool:
        """Return whether an endpoint gets nothing, or next to nothing, now."""
        if endpoint.entry.state is not EndpointState.READY:
            return True
        return any(self.outliers.is_ejected(endpoint, name) for name in self.outliers.class_names)

    def choose(self, request: RequestRecord, eligible: Eligible) -> EndpointRecord | None:
        """Return an endpoint for one more attempt, or None where there is none."""
        warm = self._warm_for(request, eligible)
        directory = self.directory
        drawn = self._lottery.draw(request, directory.starting, directory.reference_capacity)
        if drawn is not None and self._may_have(drawn, request, eligible):
            return drawn
        # Who seldom sends compares few: its reports are old, or known to all, who would crowd the best.
        count = math.ceil(MIN_CANDIDATES + self._sends_each(len(warm)))
        pool = [endpoint for endpoint in warm if endpoint not in request.tried] or warm
        candidates = self._rng.sample(pool, count) if count < len(pool) else pool
        return self._cheapest(candidates, request.request_class)

    def _warm_for(self, request: RequestRecord, eligible: Eligible) -> list[EndpointRecord]:
        warm = self.directory.warm
        preferred = self.directory.preferred
        if eligible is not None:
            return [endpoint for endpoint in warm if endpoint in eligible]
        if preferred is warm:
            return warm
        name = request.request_class.name
        good = [endpoint for endpoint in preferred if not self.outliers.is_ejected(endpoint, name)]
        return good if 2 * len(good) > len(preferred) else warm  # a part that fails: all, then

    def _may_have(self, endpoint: EndpointRecord, request: RequestRecord, eligible: Eligible) -> bool:
        if endpoint in request.tried or (eligible is not None and endpoint not in eligible):
            return False
        return not self.outliers.is_ejected(endpoint, request.request_class.name)

    def _cheapest(
        self, candidates: list[EndpointRecord], request_class: RequestClass
    ) -> EndpointRecord | None:
        """Return the endpoint that is expected to answer first, with what a failure would cost added."""
        best = None
        best_cost = math.inf
        non_idempotent = request_class.idempotency is Idempotency.NON_IDEMPOTENT
        failure_cost = (NON_IDEMPOTENT_COST_FACTOR if non_idempotent else 1) * FAILURE_COST
        for endpoint in candidates:
            age = max(-MAX_REPORT_AGE, (endpoint.reported_at_ms - self._turn.now_ms) / REPORT_MEMORY_MS)
            load = 1 + endpoint.in_flight + endpoint.peer_load * math.exp(age)
            cost = load * self.outliers.latency_factor(endpoint) / max(MIN_WEIGHT, endpoint.entry.weight)
            cost *= 1 + failure_cost * self.outliers.failure_share(endpoint, request_class.name) ** 2
            cost *= 1.0 if endpoint.entry.zone == self._settings.zone else OTHER_ZONE_COST_FACTOR
            cost *= self._rng.uniform(1.0, MAX_COST_JITTER)
            if cost < best_cost:
                best = endpoint
                best_cost = cost
        return best
