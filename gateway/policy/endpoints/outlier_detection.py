"""Outlier detection: the latency and the failure rates of each endpoint.

They are estimated from the outcomes of this gateway's attempts, and from observations of other gateways.
"""

import math
from typing import NamedTuple

from gateway.gossip.codec import (
    MAX_OBSERVATIONS,
    EndpointObservation,
    observation_of,
)
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.endpoints.endpoint_record import EndpointRecord

EJECTION_FAILURE_RATE = 0.5  # failure rate of a class at which an endpoint is ejected for that class
OWN_OUTCOME_WEIGHT = 1.0  # weight of the result of an attempt of this gateway
OVERDUE_OUTCOME_WEIGHT = 0.6  # weight of the failure that is recorded when an attempt becomes overdue
MAX_PEER_OUTCOME_WEIGHT = 0.5  # upper bound of the weight of an outcome that another gateway observed
MAX_SENT_OBSERVATION_AGE_MS = 2000.0  # age beyond which an observation is not sent to other gateways
OVERDUE_LATENCY_RATIO = 3.0  # multiple of the expected latency after which an attempt is overdue
LATENCY_FACTOR_GAIN = 0.15  # weight of a new sample in the moving average of an endpoint's latency factor
MAX_LATENCY_RATIO = 10.0  # multiple of the expected latency to which a single latency sample is limited
LATENCY_TIME_CONSTANT_MS = 15_000.0  # time constant of the decay of a latency factor towards 1
OUTCOME_TIME_CONSTANT_MS = 4000.0  # time constant of the decay of the counts of outcomes and failures
PRIOR_OUTCOMES = 2  # successful outcomes added to the counted ones in the failure rate over all classes


class _OwnObservation(NamedTuple):
    """An observation of an attempt of this gateway, and the time of the observation."""

    at_ms: float
    observation: EndpointObservation


class OutlierDetector(PolicyComponent):
    """Estimates the latency and failure rates of endpoints; the endpoint records hold the estimates."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.class_names = [request_class.name for request_class in context.settings.classes]
        self._own_observations: list[_OwnObservation] = []  # the latest MAX_OBSERVATIONS, the oldest first

    def latency_factor(self, endpoint: EndpointRecord) -> float:
        """Return an endpoint's latency as a multiple of the fleet's mean; without samples it decays to 1."""
        age_ms = self._turn.now_ms - endpoint.observed_at_ms
        return 1 + (endpoint.latency_factor - 1) * math.exp(-age_ms / LATENCY_TIME_CONSTANT_MS)

    def failure_rate(self, endpoint: EndpointRecord, class_name: str) -> float:
        """Return the estimated failure rate of a class at an endpoint.

        The failure rate over all classes counts as one additional outcome of the class, and dominates the
        estimate for a class with few outcomes.
        """
        if not endpoint.failures:
            return 0.0
        remaining = math.exp((endpoint.observed_at_ms - self._turn.now_ms) / OUTCOME_TIME_CONSTANT_MS)
        all_failures = remaining * sum(endpoint.failures.values())
        overall_rate = all_failures / (remaining * sum(endpoint.outcomes.values()) + PRIOR_OUTCOMES)
        class_failures = remaining * endpoint.failures.get(class_name, 0.0)
        return (class_failures + overall_rate) / (remaining * endpoint.outcomes.get(class_name, 0.0) + 1)

    def is_ejected(self, endpoint: EndpointRecord, class_name: str) -> bool:
        """Return whether an endpoint's failure rate for a class reaches EJECTION_FAILURE_RATE.

        Other endpoints are then preferred for the class. The ejected endpoint is still used if too few other
        endpoints remain.
        """
        return self.failure_rate(endpoint, class_name) >= EJECTION_FAILURE_RATE

    def record_outcome(
        self, endpoint: EndpointRecord, class_name: str, latency_ratio: float, weight: float
    ) -> None:
        """Update the estimates of an endpoint by the outcome of one attempt.

        `latency_ratio` is the latency as a multiple of the expected latency, or inf for a failure. A
        rejection by an overloaded endpoint has to be recorded as a failure too. Otherwise the endpoint would
        appear to be fast and idle, and would attract all requests.
        """
        now_ms = self._turn.now_ms
        endpoint.latency_factor = self._updated_latency_factor(endpoint, latency_ratio, weight)
        self._count_outcome(endpoint, class_name, latency_ratio, weight)
        endpoint.observed_at_ms = now_ms
        if weight > MAX_PEER_OUTCOME_WEIGHT:  # the outcome is not an observation of another gateway
            observation = observation_of(endpoint.entry.id, self.class_names.index(class_name), latency_ratio)
            latest = self._own_observations[1 - MAX_OBSERVATIONS :]
            self._own_observations = [*latest, _OwnObservation(now_ms, observation)]

    def recent_own_observations(self) -> list[EndpointObservation]:
        """Return the observations of this gateway that are recent enough to be sent to other gateways."""
        now_ms = self._turn.now_ms
        return [
            recorded.observation
            for recorded in self._own_observations
            if now_ms - recorded.at_ms <= MAX_SENT_OBSERVATION_AGE_MS
        ]

    def _updated_latency_factor(self, endpoint: EndpointRecord, latency_ratio: float, weight: float) -> float:
        """Return an endpoint's latency factor after one more outcome; a failure adds no latency sample."""
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
            # The attempt was counted as a failure when it became overdue. Its late response shows that it did
            # not fail, so the count is reduced again.
            failures = endpoint.failures.get(class_name, 0.0)
            endpoint.failures[class_name] = max(0.0, failures - weight)
