"""The ready endpoints, sorted by what may be sent to them."""

import math

from gateway.interface.events import EndpointState, EndpointUpdate
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.endpoints.endpoint_table import EndpointTable
from gateway.policy.endpoints.hash_ring import arc, mixed_ring
from gateway.policy.endpoints.slow_start import capacity_part
from gateway.policy.timers import TimerKind

GATEWAYS_PER_ENDPOINT = 6  # gateways that prefer the same endpoint
SLOW_START_SAFETY_FACTOR = 2.0  # divisor of the load that the settings permit during slow start
POLLS_PER_INTERVAL = 4  # attempts to subscribe within the interval that the settings permit
REFERENCE_MEMORY_MS = 30_000.0  # time constant with which the reference capacity decays


class EndpointDirectory(PolicyComponent):
    """The endpoints known to this gateway, and which of them are ready."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.table = EndpointTable()
        self.warm: list[EndpointRecord] = []  # ready, at full capacity
        self.starting: list[EndpointRecord] = []  # ready, in slow start
        self.preferred: list[
            EndpointRecord
        ] = []  # of the warm ones, those that this gateway uses before others
        self.capacity = 0.0  # of those ready now, in endpoints at full capacity,
        self.reference_capacity = 0.0  # and of late
        self._least_reference = 0.0

    def update(self, update: EndpointUpdate) -> list[EndpointRecord]:
        """Take in discovery's view and return the endpoints that just stopped being ready."""
        before = self.warm + self.starting
        self.table.apply(update)
        self._sort()
        return [endpoint for endpoint in before if endpoint.entry.state is not EndpointState.READY]

    def on_update_failed(self) -> None:
        """Discovery could not be asked: ask again, in good time."""
        again_at_ms = self._turn.now_ms + self._settings.poll_within_ms / POLLS_PER_INTERVAL
        self._schedule(again_at_ms, TimerKind.SUBSCRIBE)

    def step(self) -> None:
        """Go on by one period: slow start proceeds, and the fleet of late fades."""
        faded = self.reference_capacity * decay(PERIOD_MS, REFERENCE_MEMORY_MS)
        self.reference_capacity = max(self._least_reference, faded)
        if self.starting:
            self._sort()
        self.table.tidy()

    def preferred_part(self, endpoints: list[EndpointRecord]) -> list[EndpointRecord]:
        """Return those that this gateway uses before others; of a small fleet all.

        Each endpoint of a large fleet would else hold connections of every gateway, most used once or twice.
        """
        gateways = self._settings.gateways
        length = math.ceil(len(endpoints) * GATEWAYS_PER_ENDPOINT / gateways)
        if length >= len(endpoints):
            return endpoints
        return arc(mixed_ring(endpoints), length, self._settings.number, gateways)

    def _sort(self) -> None:
        self.warm = []
        self.starting = []
        self.capacity = 0.0
        ready = self.table.ready()
        for endpoint in ready:
            part = capacity_part(self._settings, self._turn.now_ms, endpoint.entry)
            (self.warm if part >= 1 else self.starting).append(endpoint)
            self.capacity += part
        # Who has just started doesn't know the fleet of late. Each ready endpoint, once warm, would carry its
        # part of all requests at least: so much of it the settings let one in slow start have.
        allowed = SLOW_START_SAFETY_FACTOR * len(ready) / max(1.0, self._settings.overload_multiple)
        self._least_reference = max(self.capacity, allowed)
        self.reference_capacity = max(self._least_reference, self.reference_capacity)
        self.preferred = self.preferred_part(self.warm)
