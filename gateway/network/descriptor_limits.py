"""How the limit on file descriptors is divided among clients, endpoints and everything else."""

from __future__ import annotations

from gateway.network.clients.connection_limiter import ADMITTED_FRACTION

# Upstream fraction: share of the shareable descriptors that connections to endpoints may use.
UPSTREAM_FRACTION = 0.42

# Reserved descriptors, number: kept for the event loop, discovery, peers, the admin endpoint and a successor.
RESERVED_DESCRIPTORS = 30


def shareable_descriptors(descriptors: int) -> int:
    """Return the number of which clients and endpoints get fractions, so that the reserve remains."""
    available = descriptors - RESERVED_DESCRIPTORS
    return min(descriptors, int(available / (ADMITTED_FRACTION + UPSTREAM_FRACTION)))


def max_upstream_connections(descriptors: int) -> int:
    """Return how many connections to endpoints may be open."""
    return int(shareable_descriptors(descriptors) * UPSTREAM_FRACTION)
