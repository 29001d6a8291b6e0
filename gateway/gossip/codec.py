"""The datagrams of gateways to each other: quota entries and observations of endpoints, at most 256 bytes."""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

MAX_BYTES = 256
MAX_OBSERVATIONS = 4
MAX_INDEXES = 16  # classes and plans that can be told of
_VERSION = 2
_HEAD = struct.Struct("<BHHB")  # version, incarnation, target concurrency, number of entries
_ENTRY = struct.Struct("<BIHHHB")  # kind, customer tag, lease id, units, demand, class and plan index
_OBSERVATION = struct.Struct("<HB")  # endpoint tag, class index and grade
MAX_ENTRIES = (MAX_BYTES - _HEAD.size - MAX_OBSERVATIONS * _OBSERVATION.size) // _ENTRY.size

_MAX_UINT16 = 0xFFFF
_CONCURRENCY_SCALE = 64  # fixed-point numbers count in such parts
_UNITS_SCALE = 16
_FAILED_GRADE = 15
_EXPECTED_GRADE = 4  # as fast as expected; two grades for each doubling
_GRADES_PER_DOUBLING = 2
_MIN_RATIO = 0.25  # latency ratios that a grade can hold
_MAX_RATIO = 32.0


class EntryKind(IntEnum):
    """What a quota entry says."""

    REQUEST = 1  # to the leader: may so many units be admitted?
    GRANT = 2  # from the leader: they may
    QUEUED = 3  # from the leader: received, but not now
    USED = 4  # to the leader: they were admitted without a grant
    RETURN = 5  # to the leader: not needed, or no longer in flight
    RETRY_REQUEST = 6  # a REQUEST for a client's retry
    DENY = 7  # from the leader: not in any time that is of use


REPLIES = (EntryKind.GRANT, EntryKind.QUEUED, EntryKind.DENY)  # what a leader says
_KINDS = frozenset(int(kind) for kind in EntryKind)


class QuotaEntry(NamedTuple):
    """One statement about one request of a customer."""

    kind: EntryKind
    customer_tag: int
    lease_id: int
    units: float
    demand_per_s: float  # as the sender sees it; from a leader, of all gateways
    class_index: int
    plan_index: int

    @property
    def bucket_name(self) -> int:
        """The name of the leader's bucket that it is about: of a customer, and of the plan that it names."""
        return self.customer_tag << 4 | self.plan_index


class EndpointObservation(NamedTuple):
    """How one attempt at an endpoint went at the sender."""

    endpoint_tag: int
    class_index: int
    grade: int


class GossipMessage(NamedTuple):
    """One datagram."""

    incarnation: int
    target_concurrency: float
    entries: tuple[QuotaEntry, ...]
    observations: tuple[EndpointObservation, ...]


def observe(endpoint_id: str, class_index: int, latency_ratio: float) -> EndpointObservation:
    """Return what an attempt showed: its latency against the expected one, or inf for a failure."""
    grade = _FAILED_GRADE
    if latency_ratio != math.inf:
        bounded = max(_MIN_RATIO, min(_MAX_RATIO, latency_ratio))
        grade = _EXPECTED_GRADE + round(_GRADES_PER_DOUBLING * math.log2(bounded))
    return EndpointObservation(endpoint_tag(endpoint_id), class_index, grade)


def latency_ratio_of(observation: EndpointObservation) -> float:
    """Return the latency against the expected one that an observation tells, inf for a failure."""
    if observation.grade == _FAILED_GRADE:
        return math.inf
    return 2 ** ((observation.grade - _EXPECTED_GRADE) / _GRADES_PER_DOUBLING)


def customer_tag(customer: str) -> int:
    """Return a 32-bit stand-in for a customer's name; the same at every gateway."""
    return zlib.crc32(customer.encode())


def endpoint_tag(endpoint_id: str) -> int:
    """Return a 16-bit stand-in for an endpoint's id; the same at every gateway."""
    return zlib.crc32(endpoint_id.encode()) & _MAX_UINT16


def encode(
    incarnation: int,
    target_concurrency: float,
    entries: Sequence[QuotaEntry],
    observations: Sequence[EndpointObservation],
) -> bytes:
    """Return the datagram. What it can't hold is left out.

    That goes for entries and observations beyond the most, and for indexes beyond what its fields hold: an
    error here would cost the sender a whole turn.
    """
    sent_entries = [entry for entry in entries[:MAX_ENTRIES] if _fits(entry)]
    sent_observations = [seen for seen in observations[:MAX_OBSERVATIONS] if seen.class_index < MAX_INDEXES]
    concurrency = _fixed_point(target_concurrency, _CONCURRENCY_SCALE)
    head = _HEAD.pack(_VERSION, incarnation & _MAX_UINT16, concurrency, len(sent_entries))
    return b"".join([head, *map(_pack_entry, sent_entries), *map(_pack_observation, sent_observations)])


def decode(data: bytes) -> GossipMessage | None:
    """Return the message in a datagram, or None where it can't be read."""
    if len(data) < _HEAD.size or len(data) > MAX_BYTES or data[0] != _VERSION:
        return None
    _, incarnation, concurrency, count = _HEAD.unpack_from(data)
    end_of_entries = _HEAD.size + count * _ENTRY.size
    if len(data) < end_of_entries or (len(data) - end_of_entries) % _OBSERVATION.size:
        return None
    rows = list(_ENTRY.iter_unpack(data[_HEAD.size : end_of_entries]))
    if any(row[0] not in _KINDS for row in rows):
        return None
    return GossipMessage(
        incarnation,
        concurrency / _CONCURRENCY_SCALE,
        tuple(_entry_from(*row) for row in rows),
        tuple(
            EndpointObservation(tag, packed >> 4, packed & 15)
            for tag, packed in _OBSERVATION.iter_unpack(data[end_of_entries:])
        ),
    )


def _fits(entry: QuotaEntry) -> bool:
    return max(entry.class_index, entry.plan_index) < MAX_INDEXES


def _fixed_point(value: float, scale: int) -> int:
    return max(0, min(_MAX_UINT16, round(value * scale)))


def _pack_entry(entry: QuotaEntry) -> bytes:
    return _ENTRY.pack(
        entry.kind,
        entry.customer_tag,
        entry.lease_id & _MAX_UINT16,
        _fixed_point(entry.units, _UNITS_SCALE),
        _fixed_point(entry.demand_per_s, _UNITS_SCALE),
        entry.class_index << 4 | entry.plan_index,
    )


def _pack_observation(seen: EndpointObservation) -> bytes:
    return _OBSERVATION.pack(seen.endpoint_tag, seen.class_index << 4 | seen.grade)


def _entry_from(kind: int, tag: int, lease_id: int, units: int, demand: int, indexes: int) -> QuotaEntry:
    return QuotaEntry(
        EntryKind(kind),
        tag,
        lease_id,
        units / _UNITS_SCALE,
        demand / _UNITS_SCALE,
        indexes >> 4,
        indexes & 15,
    )
