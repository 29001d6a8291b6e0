"""Outliers: what each endpoint's attempts showed, and what peers observed of it."""

import math

from gateway.gossip.codec import (
    MAX_OBSERVATIONS,
    EndpointObservation,
    observe,
)
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.endpoints.endpoint_record import EndpointRecord

EJECTION_THRESHOLD = 0.5  # failure rate of a class at which an endpoint is ejected
OWN_OUTCOME_WEIGHT = 1.0  # weight of the result of an own attempt
SILENCE_WEIGHT = 0.6  # weight of an attempt that is silent long enough for a hedge
MAX_GOSSIP_WEIGHT = 0.5  # upper bound of the weight of a peer's observation
MAX_GOSSIP_AGE_MS = 2000.0  # age beyond which an own observation is not sent to peers
SILENCE_LATENCY_RATIO = 3.0  # multiple of the expected latency after which an attempt counts as silent
LATENCY_FACTOR_GAIN = 0.15  # weight of a new sample in an endpoint's latency factor
MAX_LATENCY_RATIO = 10.0  # upper bound of a latency sample, in expected latencies
LATENCY_MEMORY_MS = 15_000.0  # time constant with which a latency factor decays to 1
FAILURE_MEMORY_MS = 4000.0  # time constant with which counts of outcomes decay
PRIOR_OUTCOMES = 2  # assumed successful outcomes at which a failure rate starts


class OutlierDetector(PolicyComponent):
    """Learns the latency and the failures of endpoints, as decaying counts in their records."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.class_names = [known.name for known in context.settings.classes]
        self._observations: list[tuple[float, EndpointObservation]] = []  # first-hand ones, and when

    def latency_factor(self, endpoint: EndpointRecord) -> float:
        """Return an endpoint's latency against that of the fleet."""
        age_ms = self._turn.now_ms - endpoint.observed_at_ms
        return 1 + (endpoint.latency_factor - 1) * math.exp(-age_ms / LATENCY_MEMORY_MS)

    def failure_share(self, endpoint: EndpointRecord, class_name: str) -> float:
        """Return the share of a class that an endpoint fails; where little is known, of all classes."""
        if not endpoint.failures:
            return 0.0
        fading = math.exp((endpoint.observed_at_ms - self._turn.now_ms) / FAILURE_MEMORY_MS)
        failures = fading * sum(endpoint.failures.values())
        overall = failures / (fading * sum(endpoint.outcomes.values()) + PRIOR_OUTCOMES)
        own_failures = fading * endpoint.failures.get(class_name, 0.0)
        return (own_failures + overall) / (fading * endpoint.outcomes.get(class_name, 0.0) + 1)

    def is_ejected(self, endpoint: EndpointRecord, class_name: str) -> bool:
        """Return whether an endpoint fails too much of a class to be used where there is a choice."""
        return self.failure_share(endpoint, class_name) >= EJECTION_THRESHOLD

    def learn(self, endpoint: EndpointRecord, class_name: str, latency_ratio: float, weight: float) -> None:
        """Take in one outcome: its latency against the expected one, or inf where it failed.

        A refusal by an overloaded endpoint is a failure too: else it would look fast and idle, and draw all.
        """
        now_ms = self._turn.now_ms
        latency_factor = self.latency_factor(endpoint)
        fading = decay(now_ms - endpoint.observed_at_ms, FAILURE_MEMORY_MS)
        endpoint.outcomes = endpoint.outcomes.faded(fading)
        endpoint.failures = endpoint.failures.faded(fading)
        endpoint.outcomes.add(class_name, weight)
        if latency_ratio == math.inf:
            endpoint.failures.add(class_name, weight)
        elif latency_ratio > SILENCE_LATENCY_RATIO:  # it was taken for silence, and is not
            endpoint.failures[class_name] = max(0.0, endpoint.failures.get(class_name, 0.0) - weight)
        if latency_ratio < math.inf:  # against the fleet's mean: a slowdown of all blames none
            bounded = min(MAX_LATENCY_RATIO, latency_ratio)
            latency_factor += (bounded - latency_factor) * LATENCY_FACTOR_GAIN * weight
        endpoint.latency_factor = latency_factor
        endpoint.observed_at_ms = now_ms
        if weight > MAX_GOSSIP_WEIGHT:
            seen = observe(endpoint.entry.id, self.class_names.index(class_name), latency_ratio)
            self._observations = [*self._observations[1 - MAX_OBSERVATIONS :], (now_ms, seen)]

    def fresh_observations(self) -> list[EndpointObservation]:
        """Return the first-hand observations of late, to be passed on."""
        return [seen for at_ms, seen in self._observations if self._turn.now_ms - at_ms <= MAX_GOSSIP_AGE_MS]
