"""A ring of endpoints with the zones mixed evenly, and the arcs that gateways take of it."""

from __future__ import annotations

import math
from collections.abc import Sequence

from gateway.gossip.codec import endpoint_tag
from gateway.policy.endpoints.endpoint_record import EndpointRecord

GOLDEN_SECTION = 0.618  # fraction of the ring between the arcs of two consecutive holders


def mixed_ring(endpoints: Sequence[EndpointRecord]) -> list[EndpointRecord]:
    """Return the endpoints in the ring's order: by the hash of their ids, the zones mixed evenly."""
    zones: dict[str, list[EndpointRecord]] = {}
    for endpoint in sorted(endpoints, key=_hash_order):
        zones.setdefault(endpoint.entry.zone, []).append(endpoint)
    places = [
        ((position + 0.5) / len(members), zone, endpoint)
        for zone, members in zones.items()
        for position, endpoint in enumerate(members)
    ]
    return [endpoint for _, _, endpoint in sorted(places, key=lambda place: place[:2])]


def arc(ring: Sequence[EndpointRecord], length: int, number: int, count: int) -> list[EndpointRecord]:
    """Return the arc of `length` that belongs to holder `number` of `count`.

    The arcs begin at even distances, so that each endpoint is in as many of them as any other, but for one.
    Where an endpoint comes or goes, they move on by little. Holders in a row get arcs that are far apart.
    """
    size = len(ring)
    step = next(step for step in range(round(count * GOLDEN_SECTION), count) if math.gcd(step, count) == 1)
    start = number * step % count * size // count
    return [ring[(start + offset) % size] for offset in range(length)]


def _hash_order(endpoint: EndpointRecord) -> tuple[int, str]:
    return endpoint_tag(endpoint.entry.id), endpoint.entry.id
