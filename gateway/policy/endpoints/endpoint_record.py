"""The record of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field

from gateway.interface.events import Endpoint
from gateway.policy.decay import NEVER_MS


class ClassCounts(dict[str, float]):
    """Exponentially decaying counts of attempts, by the name of their request class."""

    def decayed(self, fraction: float) -> ClassCounts:
        """Return a copy in which `fraction` of each count remains."""
        return ClassCounts({class_name: count * fraction for class_name, count in self.items()})

    def add(self, class_name: str, weight: float) -> None:
        """Increase the count of a class by `weight`."""
        self[class_name] = self.get(class_name, 0.0) + weight


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """One endpoint: its entry in the endpoint list, and the estimates of its load, latency and failures."""

    entry: Endpoint
    in_flight: int = 0  # attempts of this gateway that the endpoint is executing
    latency_factor: float = 1.0  # latency relative to the mean of the fleet, at `observed_at_ms`
    outcomes: ClassCounts = field(default_factory=ClassCounts)  # successes and failures, at `observed_at_ms`
    failures: ClassCounts = field(default_factory=ClassCounts)  # failures alone, at `observed_at_ms`
    observed_at_ms: float = 0.0  # time of the last update of the latency factor and the counts
    peer_load: float = 0.0  # attempts of other gateways that the endpoint executes, by its last load report
    reported_at_ms: float = NEVER_MS  # time of the endpoint's last load report
