"""Endpoints that change at random, and whose attempts end at random."""

from typing import NamedTuple

from gateway.interface.events import AttemptResult, Endpoint, EndpointState

ENDPOINTS = 8
MEAN_ATTEMPT_MS = 150
RESULT_WEIGHTS = {
    AttemptResult.OK: 70,
    AttemptResult.ERROR: 8,
    AttemptResult.OVERLOADED: 8,
    AttemptResult.TIMEOUT: 6,
    AttemptResult.CONNECT_FAILED: 4,
    AttemptResult.RESET: 4,
}
NEXT_STATE = {
    EndpointState.READY: EndpointState.DRAINING,
    EndpointState.DRAINING: EndpointState.REMOVED,
    EndpointState.REMOVED: EndpointState.READY,
}


class SimulatedResult(NamedTuple):
    """What an attempt comes to, and how long it takes."""

    result: AttemptResult
    duration_ms: float


class SimulatedEndpoints:
    """The endpoints of a fleet, and since when each gateway knows of those that are withdrawn."""

    def __init__(self, rng, gateways):
        self.rng = rng
        self.all = [Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.READY) for n in range(ENDPOINTS)]
        self.withdrawn_ms = {n: {} for n in range(gateways)}

    def find(self, endpoint_id):
        """Return the endpoint with this id."""
        return next(endpoint for endpoint in self.all if endpoint.id == endpoint_id)

    def change_one(self, now):
        """Move a random endpoint on to its next state, of which every gateway learns now."""
        n = self.rng.randrange(len(self.all))
        old = self.all[n]
        state = NEXT_STATE[old.state]
        is_ready = state is EndpointState.READY
        started_at_ms = now if is_ready else old.started_at_ms
        self.all[n] = Endpoint(old.id, old.zone, old.cell, state, 1.0, started_at_ms)
        for withdrawn_ms in self.withdrawn_ms.values():
            if is_ready:
                withdrawn_ms.pop(old.id, None)
            else:
                withdrawn_ms.setdefault(old.id, now)
        return self.all[n]

    def learn_all(self, gateway, now):
        """Note that a gateway has got a snapshot."""
        withdrawn = [endpoint for endpoint in self.all if endpoint.state is not EndpointState.READY]
        self.withdrawn_ms[gateway] = {endpoint.id: now for endpoint in withdrawn}

    def draw_result(self, timeout_ms):
        """Draw the end of an attempt with this timeout."""
        (result,) = self.rng.choices([*RESULT_WEIGHTS], [*RESULT_WEIGHTS.values()])
        duration_ms = min(self.rng.expovariate(1 / MEAN_ATTEMPT_MS), timeout_ms)
        if result is AttemptResult.TIMEOUT:
            duration_ms = timeout_ms
        return SimulatedResult(result, duration_ms)
