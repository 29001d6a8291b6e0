"""The directory of ready endpoints, sorted by their capacity and by this gateway's preference."""

import math

from gateway.interface.events import EndpointState, EndpointUpdate
from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.endpoints.endpoint_table import EndpointTable
from gateway.policy.endpoints.hash_ring import preferred_arc, zone_interleaved_ring
from gateway.policy.endpoints.slow_start import capacity_fraction
from gateway.policy.timers import TimerKind

GATEWAYS_PER_ENDPOINT = 6  # gateways that prefer the same endpoint
SLOW_START_SAFETY_FACTOR = 2.0  # divisor of the load that the settings permit during slow start
SUBSCRIPTIONS_PER_POLL_INTERVAL = 4  # attempts to subscribe within the interval that the settings permit
REFERENCE_CAPACITY_TIME_CONSTANT_MS = 30_000.0  # time constant with which the reference capacity decays


class EndpointDirectory(PolicyComponent):
    """The endpoints of the fleet, and the lists of those that are ready."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.table = EndpointTable()
        self.warm: list[EndpointRecord] = []  # ready endpoints at full capacity
        self.starting: list[EndpointRecord] = []  # ready endpoints in slow start
        self.preferred: list[EndpointRecord] = []  # the warm endpoints that this gateway prefers
        self.capacity = 0.0  # capacity of the ready endpoints, in endpoints at full capacity
        self.reference_capacity = 0.0  # decaying maximum of the capacity, in the same unit
        self._min_reference_capacity = 0.0

    def apply_update(self, update: EndpointUpdate) -> list[EndpointRecord]:
        """Apply an update of the endpoint list; return the endpoints that are no longer ready."""
        ready_before = self.warm + self.starting
        self.table.apply_update(update)
        self._classify_ready_endpoints()
        return [endpoint for endpoint in ready_before if endpoint.entry.state is not EndpointState.READY]

    def on_update_failed(self) -> None:
        """Schedule the next subscription after a failed one."""
        retry_at_ms = self._turn.now_ms + self._settings.poll_within_ms / SUBSCRIPTIONS_PER_POLL_INTERVAL
        self._schedule(retry_at_ms, TimerKind.SUBSCRIBE)

    def advance_period(self) -> None:
        """Advance slow start and the reference capacity by one period, and drop removed endpoints."""
        decayed = self.reference_capacity * decay(CONTROL_PERIOD_MS, REFERENCE_CAPACITY_TIME_CONSTANT_MS)
        self.reference_capacity = max(self._min_reference_capacity, decayed)
        if self.starting:
            self._classify_ready_endpoints()
        self.table.drop_removed_endpoints()

    def preferred_subset(self, endpoints: list[EndpointRecord]) -> list[EndpointRecord]:
        """Return the endpoints that this gateway prefers; in a small fleet all of them.

        In a large fleet, each endpoint would otherwise hold rarely used connections of every gateway.
        """
        gateways = self._settings.gateways
        length = math.ceil(len(endpoints) * GATEWAYS_PER_ENDPOINT / gateways)
        if length >= len(endpoints):
            return endpoints
        return preferred_arc(zone_interleaved_ring(endpoints), length, self._settings.number, gateways)

    def _classify_ready_endpoints(self) -> None:
        """Sort the ready endpoints into the lists, and update both capacities."""
        self.warm = []
        self.starting = []
        self.capacity = 0.0
        ready = self.table.ready()
        for endpoint in ready:
            fraction = capacity_fraction(self._settings, self._turn.now_ms, endpoint.entry)
            if fraction >= 1:
                self.warm.append(endpoint)
            else:
                self.starting.append(endpoint)
            self.capacity += fraction
        self._update_reference_capacity(len(ready))
        self.preferred = self.preferred_subset(self.warm)

    def _update_reference_capacity(self, ready: int) -> None:
        """Raise the reference capacity to the current one, or to the least that `ready` endpoints imply.

        A gateway that has just started has not observed the fleet at full capacity. The settings permit a
        multiple of an endpoint's capacity during slow start, which bounds its fraction of the load.
        """
        permitted = SLOW_START_SAFETY_FACTOR * ready / max(1.0, self._settings.overload_multiple)
        self._min_reference_capacity = max(self.capacity, permitted)
        self.reference_capacity = max(self._min_reference_capacity, self.reference_capacity)
