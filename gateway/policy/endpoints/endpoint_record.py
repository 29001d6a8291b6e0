"""The record of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field

from gateway.interface.events import Endpoint
from gateway.policy.decay import NEVER_MS


class ClassCounts(dict[str, float]):
    """Decaying counts by request class."""

    def decayed(self, fraction: float) -> ClassCounts:
        """Return the counts, of each of which `fraction` remains."""
        return ClassCounts({class_name: count * fraction for class_name, count in self.items()})

    def add(self, class_name: str, weight: float) -> None:
        """Increase the count of a class."""
        self[class_name] = self.get(class_name, 0.0) + weight


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """One endpoint: its entry in the endpoint list, and the observations of its attempts."""

    entry: Endpoint
    in_flight: int = 0  # own attempts that it is executing
    latency_factor: float = 1.0  # its latency relative to the mean of the fleet
    outcomes: ClassCounts = field(default_factory=ClassCounts)
    failures: ClassCounts = field(default_factory=ClassCounts)
    observed_at_ms: float = 0.0  # time of the last update of the latency factor and the counts
    peer_load: float = 0.0  # attempts of other gateways in flight, by its last load report
    reported_at_ms: float = NEVER_MS  # time of its last load report
