"""What is known of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field

from gateway.interface.events import Endpoint
from gateway.policy.decay import NEVER_MS


class ClassCounts(dict[str, float]):
    """Decaying counts by class."""

    def faded(self, part: float) -> ClassCounts:
        """Return the counts with that part of them left."""
        return ClassCounts({name: count * part for name, count in self.items()})

    def add(self, name: str, weight: float) -> None:
        """Count something for a class."""
        self[name] = self.get(name, 0.0) + weight


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """What is known of one endpoint."""

    entry: Endpoint
    in_flight: int = 0  # attempts of ours that it works on
    latency_factor: float = 1.0  # its latency against that of the fleet
    outcomes: ClassCounts = field(default_factory=ClassCounts)
    failures: ClassCounts = field(default_factory=ClassCounts)
    observed_at_ms: float = 0.0
    peer_load: float = 0.0  # what others have in flight there, by its last load report
    reported_at_ms: float = NEVER_MS
