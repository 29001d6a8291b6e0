"""Outlier detection: the latency and the failure rate of each endpoint, by own and by peers' observations."""

import math
from typing import NamedTuple

from gateway.gossip.codec import (
    MAX_OBSERVATIONS,
    EndpointObservation,
    observe,
)
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.endpoints.endpoint_record import EndpointRecord

EJECTION_FAILURE_RATE = 0.5  # failure rate of a class at which an endpoint is ejected
OWN_OUTCOME_WEIGHT = 1.0  # weight of the result of an own attempt
OVERDUE_OUTCOME_WEIGHT = 0.6  # weight of an attempt that is silent long enough for a hedge
MAX_PEER_OUTCOME_WEIGHT = 0.5  # upper bound of the weight of a peer's observation
MAX_SENT_OBSERVATION_AGE_MS = 2000.0  # age beyond which an own observation is not sent to peers
OVERDUE_LATENCY_RATIO = 3.0  # multiple of the expected latency after which an attempt counts as silent
LATENCY_FACTOR_GAIN = 0.15  # weight of a new sample in an endpoint's latency factor
MAX_LATENCY_RATIO = 10.0  # upper bound of a latency sample, in expected latencies
LATENCY_TIME_CONSTANT_MS = 15_000.0  # time constant with which a latency factor decays to 1
OUTCOME_TIME_CONSTANT_MS = 4000.0  # time constant with which counts of outcomes decay
PRIOR_OUTCOMES = 2  # assumed successful outcomes at which a failure rate starts


class _OwnObservation(NamedTuple):
    """An observation of an own attempt, and its time."""

    at_ms: float
    observation: EndpointObservation


class OutlierDetector(PolicyComponent):
    """Learns latencies and failure rates of endpoints; the decaying counts are in the endpoints' records."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.class_names = [request_class.name for request_class in context.settings.classes]
        self._own_observations: list[_OwnObservation] = []  # the latest ones, in the order of their times

    def latency_factor(self, endpoint: EndpointRecord) -> float:
        """Return an endpoint's latency relative to the mean of the fleet."""
        age_ms = self._turn.now_ms - endpoint.observed_at_ms
        return 1 + (endpoint.latency_factor - 1) * math.exp(-age_ms / LATENCY_TIME_CONSTANT_MS)

    def failure_rate(self, endpoint: EndpointRecord, class_name: str) -> float:
        """Return the failure rate of a class at an endpoint, drawn towards the rate of all classes."""
        if not endpoint.failures:
            return 0.0
        remaining = math.exp((endpoint.observed_at_ms - self._turn.now_ms) / OUTCOME_TIME_CONSTANT_MS)
        all_failures = remaining * sum(endpoint.failures.values())
        overall_rate = all_failures / (remaining * sum(endpoint.outcomes.values()) + PRIOR_OUTCOMES)
        class_failures = remaining * endpoint.failures.get(class_name, 0.0)
        return (class_failures + overall_rate) / (remaining * endpoint.outcomes.get(class_name, 0.0) + 1)

    def is_ejected(self, endpoint: EndpointRecord, class_name: str) -> bool:
        """Return whether an endpoint's failure rate excludes it for a class while there are others."""
        return self.failure_rate(endpoint, class_name) >= EJECTION_FAILURE_RATE

    def record_outcome(
        self, endpoint: EndpointRecord, class_name: str, latency_ratio: float, weight: float
    ) -> None:
        """Update an endpoint by one outcome: its latency in expected latencies, or inf for a failure.

        A rejection by an overloaded endpoint is a failure as well. Otherwise the endpoint would appear to be
        fast and idle, and would attract all requests.
        """
        now_ms = self._turn.now_ms
        endpoint.latency_factor = self._updated_latency_factor(endpoint, latency_ratio, weight)
        self._count_outcome(endpoint, class_name, latency_ratio, weight)
        endpoint.observed_at_ms = now_ms
        if weight > MAX_PEER_OUTCOME_WEIGHT:
            observation = observe(endpoint.entry.id, self.class_names.index(class_name), latency_ratio)
            latest = self._own_observations[1 - MAX_OBSERVATIONS :]
            self._own_observations = [*latest, _OwnObservation(now_ms, observation)]

    def recent_own_observations(self) -> list[EndpointObservation]:
        """Return the own observations that are recent enough to be sent to peers."""
        now_ms = self._turn.now_ms
        return [
            own.observation
            for own in self._own_observations
            if now_ms - own.at_ms <= MAX_SENT_OBSERVATION_AGE_MS
        ]

    def _updated_latency_factor(self, endpoint: EndpointRecord, latency_ratio: float, weight: float) -> float:
        """Return the latency factor with one sample added; a failure is no sample."""
        latency_factor = self.latency_factor(endpoint)
        if latency_ratio < math.inf:
            bounded_ratio = min(MAX_LATENCY_RATIO, latency_ratio)
            latency_factor += (bounded_ratio - latency_factor) * LATENCY_FACTOR_GAIN * weight
        return latency_factor

    def _count_outcome(
        self, endpoint: EndpointRecord, class_name: str, latency_ratio: float, weight: float
    ) -> None:
        remaining = decay(self._turn.now_ms - endpoint.observed_at_ms, OUTCOME_TIME_CONSTANT_MS)
        endpoint.outcomes = endpoint.outcomes.decayed(remaining)
        endpoint.failures = endpoint.failures.decayed(remaining)
        endpoint.outcomes.add(class_name, weight)
        if latency_ratio == math.inf:
            endpoint.failures.add(class_name, weight)
        elif latency_ratio > OVERDUE_LATENCY_RATIO:
            # The silence of this attempt was counted as a failure, which the response disproves.
            failures = endpoint.failures.get(class_name, 0.0)
            endpoint.failures[class_name] = max(0.0, failures - weight)
