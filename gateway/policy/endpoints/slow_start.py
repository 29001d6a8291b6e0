"""Slow start: an endpoint that has just started gets a fraction of its full load, which grows with its age.

An endpoint in slow start fails permanently if the gateways together overload it. Each gateway therefore
decides at random which attempts go to an endpoint in slow start. The probability is the endpoint's fraction
of the fleet's capacity, so the endpoint gets the same fraction of all requests without coordination of the
gateways.
"""

from gateway.interface.events import Endpoint
from gateway.interface.settings import Settings
from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.requests.request_record import RequestRecord

REDRAW_INTERVAL_MS = 1000.0  # minimum time between two draws in which the same request takes part
DRAW_COUNT_TIME_CONSTANT_MS = 1000.0  # time constant of the decay of the counts of requests and draws


def capacity_fraction(settings: Settings, now_ms: float, endpoint: Endpoint) -> float:
    """Return the fraction of its full capacity that an endpoint has reached, which is 1 after slow start."""
    age_ms = now_ms - endpoint.started_at_ms
    if not endpoint.started_at_ms or age_ms >= settings.slow_start_ms:
        return 1.0
    floor = settings.slow_start_floor
    return floor + (1 - floor) * max(0.0, age_ms) / settings.slow_start_ms


class SlowStartLottery(PolicyComponent):
    """Draws at random which attempts go to endpoints in slow start."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self._requests = 0.0  # decaying count of the requests that took part in draws
        self._draws = 0.0  # decaying count of all draws

    def decay_counts(self) -> None:
        """Let the counts of requests and draws decay by one control period."""
        remaining = decay(CONTROL_PERIOD_MS, DRAW_COUNT_TIME_CONSTANT_MS)
        self._requests = self._requests * remaining
        self._draws = self._draws * remaining

    def draw_endpoint(
        self, request: RequestRecord, starting: list[EndpointRecord], fleet_capacity: float
    ) -> EndpointRecord | None:
        """Return the endpoint in slow start to which an attempt goes, or None if no endpoint is drawn.

        `starting` are the endpoints in slow start, and `fleet_capacity` is the capacity of the fleet, in
        endpoints at full capacity. An endpoint gets the fraction of all requests that its capacity is of the
        capacity of the fleet. A request may take part in several draws. The probability in one draw is
        therefore divided by the mean number of draws per request.
        """
        if not starting or self._turn.now_ms < request.slow_start_retry_at_ms:
            return None
        if not request.slow_start_draws:
            self._requests += 1
        self._draws += 1
        request.slow_start_draws += 1
        request.slow_start_retry_at_ms = self._turn.now_ms + REDRAW_INTERVAL_MS
        draws_per_request = max(1.0, self._draws / max(1.0, self._requests))
        ticket = self._rng.random() * fleet_capacity * draws_per_request
        for endpoint in starting:
            ticket -= capacity_fraction(self._settings, self._turn.now_ms, endpoint.entry)
            if ticket < 0:
                return endpoint
        return None
