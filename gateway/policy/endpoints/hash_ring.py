"""A hash ring of endpoints, of which each gateway prefers an arc."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from gateway.gossip.codec import endpoint_tag
from gateway.policy.endpoints.endpoint_record import EndpointRecord

GOLDEN_SECTION = 0.618  # fraction of the ring between the arcs of two consecutive gateways


class _RingEntry(NamedTuple):
    """The place of an endpoint on the ring: its relative position within its zone, and that zone."""

    position: float
    zone: str
    endpoint: EndpointRecord


def zone_interleaved_ring(endpoints: Sequence[EndpointRecord]) -> list[EndpointRecord]:
    """Return the endpoints in the order of the ring: by the hash of their ids, the zones evenly mixed."""
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
    """Return the arc of `length` endpoints that gateway `gateway` of `gateways` prefers.

    The arcs start at even distances, so that all endpoints are in equally many arcs, give or take one. When
    an endpoint is added or removed, each arc changes by few endpoints. Gateways with consecutive numbers,
    which often serve the same customers, have distant arcs.
    """
    size = len(ring)
    start = gateway * _arc_step(gateways) % gateways * size // gateways
    return [ring[(start + offset) % size] for offset in range(length)]


def _arc_step(gateways: int) -> int:
    """Return the distance between consecutive gateways' arcs, coprime to the number of gateways."""
    first_candidate = round(gateways * GOLDEN_SECTION)
    return next(step for step in range(first_candidate, gateways) if math.gcd(step, gateways) == 1)


def _hash_sort_key(endpoint: EndpointRecord) -> tuple[int, str]:
    return endpoint_tag(endpoint.entry.id), endpoint.entry.id
