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
_HEADER_LAYOUT = struct.Struct("<BHHB")  # layout of _Header
_ENTRY_LAYOUT = struct.Struct("<BIHHHB")  # layout of _EntryFields
_OBSERVATION_LAYOUT = struct.Struct("<HB")  # layout of _ObservationFields

MAX_BYTES = 256  # size limit of a datagram, in bytes
MAX_OBSERVATIONS = 4  # observations in a datagram
MAX_ENTRIES = (  # quota entries in a datagram
    MAX_BYTES - _HEADER_LAYOUT.size - MAX_OBSERVATIONS * _OBSERVATION_LAYOUT.size
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


REPLIES = (EntryKind.GRANT, EntryKind.QUEUED, EntryKind.DENY)  # kinds that a leader sends
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
    def bucket_name(self) -> int:
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


class _Header(NamedTuple):
    version: int
    incarnation: int
    target_concurrency: int  # fixed-point number
    entry_count: int


class _EntryFields(NamedTuple):
    kind: int
    customer_tag: int
    lease_id: int
    units: int  # fixed-point number
    demand_per_s: int  # fixed-point number
    indexes: int  # class index and plan index


class _ObservationFields(NamedTuple):
    endpoint_tag: int
    index_and_grade: int  # class index and grade


def observe(endpoint_id: str, class_index: int, latency_ratio: float) -> EndpointObservation:
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
    header = _Header(
        version=_VERSION,
        incarnation=incarnation & _MAX_UINT16,
        target_concurrency=_fixed_point(target_concurrency, _CONCURRENCY_SCALE),
        entry_count=len(sent_entries),
    )
    packed_entries = map(_pack_entry, sent_entries)
    packed_observations = map(_pack_observation, sent_observations)
    return b"".join([_HEADER_LAYOUT.pack(*header), *packed_entries, *packed_observations])


def decode(data: bytes) -> GossipMessage | None:
    """Return the message in a datagram, or None where it is invalid."""
    if len(data) < _HEADER_LAYOUT.size or len(data) > MAX_BYTES or data[0] != _VERSION:
        return None
    header = _Header._make(_HEADER_LAYOUT.unpack_from(data))
    end_of_entries = _HEADER_LAYOUT.size + header.entry_count * _ENTRY_LAYOUT.size
    if len(data) < end_of_entries or (len(data) - end_of_entries) % _OBSERVATION_LAYOUT.size:
        return None
    entry_bytes = data[_HEADER_LAYOUT.size : end_of_entries]
    entry_fields = [_EntryFields._make(row) for row in _ENTRY_LAYOUT.iter_unpack(entry_bytes)]
    if any(fields.kind not in _KINDS for fields in entry_fields):
        return None
    observation_rows = _OBSERVATION_LAYOUT.iter_unpack(data[end_of_entries:])
    return GossipMessage(
        header.incarnation,
        header.target_concurrency / _CONCURRENCY_SCALE,
        tuple(_entry_from(fields) for fields in entry_fields),
        tuple(_observation_from(_ObservationFields._make(row)) for row in observation_rows),
    )


def _fits(entry: QuotaEntry) -> bool:
    return max(entry.class_index, entry.plan_index) < MAX_INDEXES


def _fixed_point(value: float, scale: int) -> int:
    return max(0, min(_MAX_UINT16, round(value * scale)))


def _pack_entry(entry: QuotaEntry) -> bytes:
    fields = _EntryFields(
        kind=entry.kind,
        customer_tag=entry.customer_tag,
        lease_id=entry.lease_id & _MAX_UINT16,
        units=_fixed_point(entry.units, _UNITS_SCALE),
        demand_per_s=_fixed_point(entry.demand_per_s, _UNITS_SCALE),
        indexes=entry.class_index << _NIBBLE_BITS | entry.plan_index,
    )
    return _ENTRY_LAYOUT.pack(*fields)


def _pack_observation(observation: EndpointObservation) -> bytes:
    fields = _ObservationFields(
        endpoint_tag=observation.endpoint_tag,
        index_and_grade=observation.class_index << _NIBBLE_BITS | observation.grade,
    )
    return _OBSERVATION_LAYOUT.pack(*fields)


def _entry_from(fields: _EntryFields) -> QuotaEntry:
    return QuotaEntry(
        kind=EntryKind(fields.kind),
        customer_tag=fields.customer_tag,
        lease_id=fields.lease_id,
        units=fields.units / _UNITS_SCALE,
        demand_per_s=fields.demand_per_s / _UNITS_SCALE,
        class_index=fields.indexes >> _NIBBLE_BITS,
        plan_index=fields.indexes & _NIBBLE_MASK,
    )


def _observation_from(fields: _ObservationFields) -> EndpointObservation:
    return EndpointObservation(
        endpoint_tag=fields.endpoint_tag,
        class_index=fields.index_and_grade >> _NIBBLE_BITS,
        grade=fields.index_and_grade & _NIBBLE_MASK,
    )
