"""A hash ring of endpoints, on which each gateway prefers the endpoints of one arc."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from gateway.gossip.codec import endpoint_tag
from gateway.policy.endpoints.endpoint_record import EndpointRecord

# Distance between the starts of the arcs of two gateways with consecutive numbers, as a fraction of the ring.
# Multiples of the golden section are spread evenly over the ring.
GOLDEN_SECTION = 0.618


class _RingEntry(NamedTuple):
    """An endpoint, and the position and zone that determine its place on the ring."""

    position: float  # position among the endpoints of its zone, from 0 to 1
    zone: str
    endpoint: EndpointRecord


def zone_interleaved_ring(endpoints: Sequence[EndpointRecord]) -> list[EndpointRecord]:
    """Return the endpoints in the order of the ring.

    The endpoints of one zone are in the order of the hashes of their ids. The zones are interleaved evenly,
    so that an arc contains the zones approximately in proportion to their sizes.
    """
    zones: dict[str, list[EndpointRecord]] = {}
    for endpoint in sorted(endpoints, key=_hash_sort_key):
        zones.setdefault(endpoint.entry.zone, []).append(endpoint)
    entries = [
        _RingEntry((index + 0.5) / len(members), zone, endpoint)
        for zone, members in zones.items()
        for index, endpoint in enumerate(members)
    ]
    entries.sort(key=lambda entry: (entry.position, entry.zone))
    return [entry.endpoint for entry in entries]


def preferred_arc(
    ring: Sequence[EndpointRecord], length: int, gateway: int, gateways: int
) -> list[EndpointRecord]:
    """Return the arc of `length` endpoints of the ring that the gateway with number `gateway` prefers.

    `gateways` is the number of gateways in the fleet. The starts of the arcs are evenly spaced, so that each
    endpoint is in the same number of arcs, give or take one. If an endpoint is added or removed, each arc
    changes by few endpoints. Gateways with consecutive numbers often serve the same customers, so their arcs
    are far apart.
    """
    size = len(ring)
    start = gateway * _arc_step(gateways) % gateways * size // gateways
    return [ring[(start + offset) % size] for offset in range(length)]


def _arc_step(gateways: int) -> int:
    """Return the distance between the arcs of consecutive gateways, in steps from one arc to the next.

    The result is coprime to the number of gateways, so that no two gateways have the same arc.
    """
    first_candidate = round(gateways * GOLDEN_SECTION)
    return next(step for step in range(first_candidate, gateways) if math.gcd(step, gateways) == 1)


def _hash_sort_key(endpoint: EndpointRecord) -> tuple[int, str]:
    return endpoint_tag(endpoint.entry.id), endpoint.entry.id
