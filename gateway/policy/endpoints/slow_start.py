"""Slow start: an endpoint whose process has just started gets a part of the load that grows with its age.

Danger: one that all gateways together overload then fails for good. So chance decides, once for each attempt:
over all gateways it gets the part that its capacity is of the fleet's of late.
"""

from gateway.interface.events import Endpoint
from gateway.interface.settings import Settings
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.requests.request_record import RequestRecord

REDRAW_MS = 1000.0  # interval after which a request that was not drawn may be drawn again
DRAW_MEMORY_MS = 1000.0  # time constant of the counts of requests and draws


def capacity_part(settings: Settings, now_ms: float, endpoint: Endpoint) -> float:
    """Return the part of its full capacity that an endpoint surely has by now."""
    age_ms = now_ms - endpoint.started_ms
    if not endpoint.started_ms or age_ms >= settings.slow_start_ms:
        return 1.0
    floor = settings.slow_start_floor
    return floor + (1 - floor) * max(0.0, age_ms) / settings.slow_start_ms


class SlowStartLottery(PolicyComponent):
    """Draws which attempts go to endpoints in slow start."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self._requests = 0.0  # decaying count of the requests that tried,
        self._tries = 0.0  # and of all their tries

    def step(self) -> None:
        """Let one period's counts fade."""
        kept = decay(PERIOD_MS, DRAW_MEMORY_MS)
        self._requests = self._requests * kept
        self._tries = self._tries * kept

    def draw(
        self, request: RequestRecord, starting: list[EndpointRecord], fleet_capacity: float
    ) -> EndpointRecord | None:
        """Return the endpoint in slow start that the request is to go to, for most requests none.

        `fleet_capacity` carried the load of late. Further tries of a request lower the chance of all: the
        parts are of requests, not of tries.
        """
        if not starting or self._turn.now_ms < request.slow_start_retry_at_ms:
            return None
        self._requests += not request.slow_start_tries
        self._tries += 1
        request.slow_start_tries += 1
        request.slow_start_retry_at_ms = self._turn.now_ms + REDRAW_MS
        ticket = self._rng.random() * fleet_capacity * max(1.0, self._tries / max(1.0, self._requests))
        for endpoint in starting:
            ticket -= capacity_part(self._settings, self._turn.now_ms, endpoint.entry)
            if ticket < 0:
                return endpoint
        return None
