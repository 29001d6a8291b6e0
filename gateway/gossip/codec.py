"""The datagrams between gateways: quota entries and observations of endpoints, in at most 256 bytes.

A datagram is a header, the entries that the header counts, and observations up to its end. All fields are
little-endian. The layout is an interface between versions of this program, and has to stay as it is.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

_VERSION = 2  # version of the layout
_HEADER_LAYOUT = struct.Struct(
    "<"
    "B"  # version
    "H"  # incarnation
    "H"  # target concurrency, a fixed-point number
    "B"  # number of entries
)
_ENTRY_LAYOUT = struct.Struct(
    "<"
    "B"  # kind
    "I"  # customer tag
    "H"  # lease id
    "H"  # units, a fixed-point number
    "H"  # demand per second, a fixed-point number
    "B"  # class index and plan index
)
_OBSERVATION_LAYOUT = struct.Struct(
    "<"
    "H"  # endpoint tag
    "B"  # class index and grade
)

MAX_DATAGRAM_BYTES = 256  # maximum size of a datagram, in bytes
MAX_OBSERVATIONS = 4  # observations in a datagram
MAX_ENTRIES = (  # quota entries in a datagram
    MAX_DATAGRAM_BYTES - _HEADER_LAYOUT.size - MAX_OBSERVATIONS * _OBSERVATION_LAYOUT.size
) // _ENTRY_LAYOUT.size

_MAX_UINT16 = 0xFFFF
_NIBBLE_BITS = 4  # size of class indexes, plan indexes and grades, in bits
_NIBBLE_MASK = (1 << _NIBBLE_BITS) - 1
MAX_INDEXES = 1 << _NIBBLE_BITS  # number of classes and of plans that entries can name

_CONCURRENCY_SCALE = 64  # steps per attempt of the fixed-point target concurrency
_UNITS_SCALE = 16  # steps per unit of the fixed-point units and rates
_FAILED_GRADE = 15  # grade of a failed attempt
_EXPECTED_GRADE = 4  # grade of a latency equal to the expected one
_GRADES_PER_DOUBLING = 2  # grades between a latency and twice that latency
_MIN_LATENCY_RATIO = 0.25  # least latency that a grade expresses, in expected latencies
_MAX_LATENCY_RATIO = 32.0  # greatest latency that a grade expresses, in expected latencies


class EntryKind(IntEnum):
    """The kind of a quota entry."""

    REQUEST = 1  # to the leader: a lease request
    GRANT = 2  # from the leader: the lease is granted
    QUEUED = 3  # from the leader: the lease request is queued
    USED = 4  # to the leader: the units were used without a grant
    RETURN = 5  # to the leader: the units are not needed, or the request is no longer in flight
    RETRY_REQUEST = 6  # to the leader: a lease request for a client's retry
    DENY = 7  # from the leader: the lease cannot be granted in time


REPLY_KINDS = (EntryKind.GRANT, EntryKind.QUEUED, EntryKind.DENY)  # kinds that a leader sends
_KINDS = frozenset(int(kind) for kind in EntryKind)


class QuotaEntry(NamedTuple):
    """A message about the quota of one request."""

    kind: EntryKind
    customer_tag: int
    lease_id: int
    units: float
    demand_per_s: float  # the customer's demand at the sender; from a leader, at all gateways
    class_index: int
    plan_index: int

    @property
    def bucket_id(self) -> int:
        """The name of the leader's bucket for the customer and the plan."""
        return self.customer_tag << _NIBBLE_BITS | self.plan_index


class EndpointObservation(NamedTuple):
    """The result of one attempt at an endpoint, as its sender observed it."""

    endpoint_tag: int
    class_index: int
    grade: int


class GossipMessage(NamedTuple):
    """The contents of one datagram."""

    incarnation: int
    target_concurrency: float
    entries: tuple[QuotaEntry, ...]
    observations: tuple[EndpointObservation, ...]


def observation_of(endpoint_id: str, class_index: int, latency_ratio: float) -> EndpointObservation:
    """Return the observation of an attempt: its latency in expected latencies, or inf for a failure."""
    grade = _FAILED_GRADE
    if latency_ratio != math.inf:
        bounded_ratio = max(_MIN_LATENCY_RATIO, min(_MAX_LATENCY_RATIO, latency_ratio))
        grade = _EXPECTED_GRADE + round(_GRADES_PER_DOUBLING * math.log2(bounded_ratio))
    return EndpointObservation(endpoint_tag(endpoint_id), class_index, grade)


def latency_ratio_of(observation: EndpointObservation) -> float:
    """Return the latency of an observation in expected latencies, or inf for a failure."""
    if observation.grade == _FAILED_GRADE:
        return math.inf
    return 2 ** ((observation.grade - _EXPECTED_GRADE) / _GRADES_PER_DOUBLING)


def customer_tag(customer: str) -> int:
    """Return a hash of a customer's name with 32 bits, which is the same at every gateway."""
    return zlib.crc32(customer.encode())


def endpoint_tag(endpoint_id: str) -> int:
    """Return a hash of an endpoint's id with 16 bits, which is the same at every gateway."""
    return zlib.crc32(endpoint_id.encode()) & _MAX_UINT16


def encode(
    incarnation: int,
    target_concurrency: float,
    entries: Sequence[QuotaEntry],
    observations: Sequence[EndpointObservation],
) -> bytes:
    """Return a datagram.

    Entries and observations beyond its capacity are omitted, as are those whose indexes exceed their fields:
    an error would fail the sender's turn.
    """
    sent_entries = [entry for entry in entries[:MAX_ENTRIES] if _fits(entry)]
    sent_observations = [
        observation
        for observation in observations[:MAX_OBSERVATIONS]
        if observation.class_index < MAX_INDEXES
    ]
    concurrency = _fixed_point(target_concurrency, _CONCURRENCY_SCALE)
    header = _HEADER_LAYOUT.pack(_VERSION, incarnation & _MAX_UINT16, concurrency, len(sent_entries))
    packed_entries = map(_pack_entry, sent_entries)
    packed_observations = map(_pack_observation, sent_observations)
    return b"".join([header, *packed_entries, *packed_observations])


def decode(data: bytes) -> GossipMessage | None:
    """Return the message in a datagram, or None where it is invalid."""
    if len(data) < _HEADER_LAYOUT.size or len(data) > MAX_DATAGRAM_BYTES or data[0] != _VERSION:
        return None
    _, incarnation, concurrency, entry_count = _HEADER_LAYOUT.unpack_from(data)
    end_of_entries = _HEADER_LAYOUT.size + entry_count * _ENTRY_LAYOUT.size
    if len(data) < end_of_entries or (len(data) - end_of_entries) % _OBSERVATION_LAYOUT.size:
        return None
    entry_rows = list(_ENTRY_LAYOUT.iter_unpack(data[_HEADER_LAYOUT.size : end_of_entries]))
    kinds = [row[0] for row in entry_rows]
    if not _KINDS.issuperset(kinds):
        return None
    observation_rows = _OBSERVATION_LAYOUT.iter_unpack(data[end_of_entries:])
    return GossipMessage(
        incarnation,
        concurrency / _CONCURRENCY_SCALE,
        tuple(_entry_from(*row) for row in entry_rows),
        tuple(_observation_from(*row) for row in observation_rows),
    )


def _fits(entry: QuotaEntry) -> bool:
    return max(entry.class_index, entry.plan_index) < MAX_INDEXES


def _fixed_point(value: float, scale: int) -> int:
    return max(0, min(_MAX_UINT16, round(value * scale)))


def _pack_entry(entry: QuotaEntry) -> bytes:
    return _ENTRY_LAYOUT.pack(
        entry.kind,
        entry.customer_tag,
        entry.lease_id & _MAX_UINT16,
        _fixed_point(entry.units, _UNITS_SCALE),
        _fixed_point(entry.demand_per_s, _UNITS_SCALE),
        entry.class_index << _NIBBLE_BITS | entry.plan_index,
    )


def _pack_observation(observation: EndpointObservation) -> bytes:
    index_and_grade = observation.class_index << _NIBBLE_BITS | observation.grade
    return _OBSERVATION_LAYOUT.pack(observation.endpoint_tag, index_and_grade)


def _entry_from(
    kind: int, tag: int, lease_id: int, units: int, demand_per_s: int, indexes: int
) -> QuotaEntry:
    return QuotaEntry(
        EntryKind(kind),
        tag,
        lease_id,
        units / _UNITS_SCALE,
        demand_per_s / _UNITS_SCALE,
        indexes >> _NIBBLE_BITS,
        indexes & _NIBBLE_MASK,
    )


def _observation_from(tag: int, index_and_grade: int) -> EndpointObservation:
    return EndpointObservation(tag, index_and_grade >> _NIBBLE_BITS, index_and_grade & _NIBBLE_MASK)
