"""Divides the limit on file descriptors between client connections, endpoint connections and other uses."""

from __future__ import annotations

from gateway.network.clients.connection_limiter import ADMITTED_FRACTION
from gateway.network.memory_limits import ConnectionCounts

# Number of endpoint connections that may be open, as a fraction of the descriptors that connections to
# clients and to endpoints share.
UPSTREAM_FRACTION = 0.42

# Number of descriptors that connections to clients and to endpoints may not use: the event loop, discovery,
# peers, the admin endpoint and a successor need them.
RESERVED_DESCRIPTORS = 30


def shareable_descriptors(descriptors: int) -> int:
    """Return the number of descriptors to which the fractions for clients and endpoints apply.

    The number is at most `descriptors`. RESERVED_DESCRIPTORS remain free when the connections to clients and
    endpoints use their fractions completely.

    Args:
        descriptors: The number of descriptors that the process may use.
    """
    available = descriptors - RESERVED_DESCRIPTORS
    return min(descriptors, int(available / (ADMITTED_FRACTION + UPSTREAM_FRACTION)))


def connection_counts(descriptors: int) -> ConnectionCounts:
    """Return how many connections may be open if the process may use that number of descriptors."""
    shareable = shareable_descriptors(descriptors)
    return ConnectionCounts(int(shareable * ADMITTED_FRACTION), int(shareable * UPSTREAM_FRACTION))
