"""The directory of endpoints: lists of those that are warm, in slow start, or preferred by this gateway."""

import math

from gateway.interface.events import EndpointState, EndpointUpdate
from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import decay
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.endpoints.endpoint_table import EndpointTable
from gateway.policy.endpoints.hash_ring import preferred_arc, zone_interleaved_ring
from gateway.policy.endpoints.slow_start import capacity_fraction
from gateway.policy.timers import TimerKind

GATEWAYS_PER_ENDPOINT = 6  # gateways that prefer the same endpoint, if the fleet has more gateways
SLOW_START_SAFETY_FACTOR = 2.0  # factor by which slow start stays below the permitted load
SUBSCRIPTIONS_PER_POLL_INTERVAL = 4  # subscriptions per `poll_within_ms` while updates fail
REFERENCE_CAPACITY_TIME_CONSTANT_MS = 30_000.0  # time constant of the decay of the reference capacity


class EndpointDirectory(PolicyComponent):
    """The endpoints of the fleet, the lists of the ready ones, and their capacity."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.table = EndpointTable()
        self.warm: list[EndpointRecord] = []  # ready endpoints at full capacity
        self.starting: list[EndpointRecord] = []  # ready endpoints in slow start
        self.preferred: list[EndpointRecord] = []  # the warm endpoints that this gateway prefers
        self.capacity = 0.0  # capacity of the ready endpoints, in endpoints at full capacity
        self.reference_capacity = 0.0  # decaying maximum of `capacity`, in endpoints at full capacity
        self._min_reference_capacity = 0.0  # value below which the reference capacity does not decay

    def apply_update(self, update: EndpointUpdate) -> list[EndpointRecord]:
        """Apply an update of the endpoint list, and return the endpoints that are no longer ready.

        For an update that failed, the caller has to call `on_update_failed` instead.
        """
        ready_before = self.warm + self.starting
        self.table.apply_update(update)
        self._classify_ready_endpoints()
        return [endpoint for endpoint in ready_before if endpoint.entry.state is not EndpointState.READY]

    def on_update_failed(self) -> None:
        """Schedule another subscription after a failed update of the endpoint list."""
        retry_at_ms = self._turn.now_ms + self._settings.poll_within_ms / SUBSCRIPTIONS_PER_POLL_INTERVAL
        self._schedule(retry_at_ms, TimerKind.SUBSCRIBE)

    def advance_period(self) -> None:
        """Update slow start and the reference capacity for one control period, and drop removed endpoints."""
        decayed = self.reference_capacity * decay(CONTROL_PERIOD_MS, REFERENCE_CAPACITY_TIME_CONSTANT_MS)
        self.reference_capacity = max(self._min_reference_capacity, decayed)
        if self.starting:
            self._classify_ready_endpoints()
        self.table.drop_removed_endpoints()

    def preferred_subset(self, endpoints: list[EndpointRecord]) -> list[EndpointRecord]:
        """Return the endpoints that this gateway prefers, which are all of them in a small fleet.

        If every gateway of a large fleet used all endpoints, each endpoint would have connections to every
        gateway, and each connection would rarely be used.
        """
        gateways = self._settings.gateways
        length = math.ceil(len(endpoints) * GATEWAYS_PER_ENDPOINT / gateways)
        if length >= len(endpoints):
            return endpoints
        return preferred_arc(
            zone_interleaved_ring(endpoints), length, self._settings.gateway_number, gateways
        )

    def _classify_ready_endpoints(self) -> None:
        """Rebuild the lists of ready endpoints, and update the capacity and the reference capacity."""
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

    def _update_reference_capacity(self, ready_count: int) -> None:
        """Raise the reference capacity to the current capacity, or to a minimum if that is greater.

        An endpoint in slow start gets its capacity divided by the reference capacity as its fraction of the
        fleet's load. A gateway that has just started has not observed the fleet at full capacity. With the
        current capacity as the divisor, the fraction might be too great. The settings permit an endpoint in
        slow start a load of `overload_multiple` times its capacity. The minimum, which grows with the number
        of ready endpoints, keeps its load below that by SLOW_START_SAFETY_FACTOR.
        """
        min_capacity = SLOW_START_SAFETY_FACTOR * ready_count / max(1.0, self._settings.overload_multiple)
        self._min_reference_capacity = max(self.capacity, min_capacity)
        self.reference_capacity = max(self._min_reference_capacity, self.reference_capacity)
