"""Endpoints that change their state at random, and random results of attempts."""

from typing import NamedTuple

from gateway.interface.events import AttemptResult, Endpoint, EndpointState

ENDPOINTS = 8
MEAN_ATTEMPT_MS = 150  # mean of the exponentially distributed duration of an attempt
RESULT_WEIGHTS = {  # relative frequencies of the results of attempts
    AttemptResult.OK: 70,
    AttemptResult.ERROR: 8,
    AttemptResult.OVERLOADED: 8,
    AttemptResult.TIMEOUT: 6,
    AttemptResult.CONNECT_FAILED: 4,
    AttemptResult.RESET: 4,
}
NEXT_STATE = {  # the cycle of states through which each endpoint passes
    EndpointState.READY: EndpointState.DRAINING,
    EndpointState.DRAINING: EndpointState.REMOVED,
    EndpointState.REMOVED: EndpointState.READY,
}


class SimulatedResult(NamedTuple):
    """The result and the duration of an attempt."""

    result: AttemptResult
    duration_ms: float


class SimulatedEndpoints:
    """The endpoints of a fleet.

    `withdrawn_ms` holds, for each gateway and by endpoint id, the time at which the gateway learned that the
    endpoint is draining or removed; ready endpoints are absent.
    """

    def __init__(self, rng, gateways):
        self.rng = rng
        self.all = [Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.READY) for n in range(ENDPOINTS)]
        self.withdrawn_ms = {n: {} for n in range(gateways)}

    def endpoint_by_id(self, endpoint_id):
        """Return the endpoint with this id."""
        return next(endpoint for endpoint in self.all if endpoint.id == endpoint_id)

    def advance_random_endpoint(self, now_ms):
        """Advance a random endpoint to its next state, and return the changed endpoint.

        The caller sends the change to all gateways at `now_ms`.
        """
        n = self.rng.randrange(len(self.all))
        old = self.all[n]
        state = NEXT_STATE[old.state]
        is_ready = state is EndpointState.READY
        started_at_ms = now_ms if is_ready else old.started_at_ms
        self.all[n] = Endpoint(old.id, old.zone, old.cell, state, 1.0, started_at_ms)
        for withdrawn_ms in self.withdrawn_ms.values():
            if is_ready:
                withdrawn_ms.pop(old.id, None)
            else:
                withdrawn_ms.setdefault(old.id, now_ms)
        return self.all[n]

    def record_snapshot(self, gateway, now_ms):
        """Record that a gateway has received a snapshot of all endpoints at `now_ms`."""
        withdrawn = [endpoint for endpoint in self.all if endpoint.state is not EndpointState.READY]
        self.withdrawn_ms[gateway] = {endpoint.id: now_ms for endpoint in withdrawn}

    def draw_result(self, timeout_ms):
        """Draw the result of an attempt, and its duration, which the timeout bounds."""
        (result,) = self.rng.choices([*RESULT_WEIGHTS], [*RESULT_WEIGHTS.values()])
        duration_ms = min(self.rng.expovariate(1 / MEAN_ATTEMPT_MS), timeout_ms)
        if result is AttemptResult.TIMEOUT:
            duration_ms = timeout_ms
        return SimulatedResult(result, duration_ms)
