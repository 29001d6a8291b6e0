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

EJECTED_SHARE = 0.5  # of failures, at which an endpoint is avoided
FIRST_HAND_WEIGHT = 1.0  # of an attempt of our own that ended
SILENCE_WEIGHT = 0.6  # of an attempt that takes long enough for a hedge
GOSSIP_WEIGHT = 0.5  # of what a peer observed, at most
GOSSIP_AGE_MS = 2000.0  # older observations are not passed on
SLOW_RATIO = 3.0  # expected latencies after which an attempt counts as silent, and a second copy may go out
LATENCY_GAIN = 0.15  # how fast a relative slowness is learned
MAX_LATENCY_RATIO = 10.0  # its bound
LATENCY_MEMORY_MS = 15_000.0  # it fades, so that an old spell is no verdict
FAILURE_MEMORY_MS = 4000.0  # failures fade, so that an endpoint is tried again a little at a time
PRIOR_OUTCOMES = 2  # an endpoint's share of failures begins as if so many outcomes had been good


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
        return self.failure_share(endpoint, class_name) >= EJECTED_SHARE

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
        elif latency_ratio > SLOW_RATIO:  # it was taken for silence, and is not
            endpoint.failures[class_name] = max(0.0, endpoint.failures.get(class_name, 0.0) - weight)
        if latency_ratio < math.inf:  # against the fleet's mean: a slowdown of all blames none
            bounded = min(MAX_LATENCY_RATIO, latency_ratio)
            latency_factor += (bounded - latency_factor) * LATENCY_GAIN * weight
        endpoint.latency_factor = latency_factor
        endpoint.observed_at_ms = now_ms
        if weight > GOSSIP_WEIGHT:
            seen = observe(endpoint.entry.id, self.class_names.index(class_name), latency_ratio)
            self._observations = [*self._observations[1 - MAX_OBSERVATIONS :], (now_ms, seen)]

    def fresh_observations(self) -> list[EndpointObservation]:
        """Return the first-hand observations of late, to be passed on."""
        return [seen for at_ms, seen in self._observations if self._turn.now_ms - at_ms <= GOSSIP_AGE_MS]
