"""The codec of the datagrams between gateways, which carry quota entries and observations of endpoints.

A datagram has at most 256 bytes. It consists of a header with the number of entries, the entries, and
observations up to its end. All fields are little-endian. Gateways that run different versions of this program
exchange datagrams, so the layout must not change.
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
    "H"  # target concurrency, in steps of 1/64 attempt
    "B"  # number of entries
)
_ENTRY_LAYOUT = struct.Struct(
    "<"
    "B"  # kind
    "I"  # customer tag
    "H"  # lease id
    "H"  # units, in steps of 1/16 unit
    "H"  # demand, in steps of 1/16 unit per second
    "B"  # class index in the upper four bits, plan index in the lower four
)
_OBSERVATION_LAYOUT = struct.Struct(
    "<"
    "H"  # endpoint tag
    "B"  # class index in the upper four bits, grade in the lower four
)

MAX_DATAGRAM_BYTES = 256  # maximum size of a datagram, in bytes
MAX_OBSERVATIONS = 4  # maximum number of observations in a datagram
MAX_ENTRIES = (  # maximum number of quota entries; MAX_OBSERVATIONS observations always fit beside them
    MAX_DATAGRAM_BYTES - _HEADER_LAYOUT.size - MAX_OBSERVATIONS * _OBSERVATION_LAYOUT.size
) // _ENTRY_LAYOUT.size

_MAX_UINT16 = 0xFFFF
_NIBBLE_BITS = 4  # bits of a class index, a plan index or a grade
_NIBBLE_MASK = (1 << _NIBBLE_BITS) - 1
INDEX_LIMIT = 1 << _NIBBLE_BITS  # class and plan indexes in a datagram are below this limit

_CONCURRENCY_SCALE = 64  # fixed-point value that stands for a target concurrency of one attempt
_UNITS_SCALE = 16  # fixed-point value that stands for one unit, or for a demand of one unit per second

# A grade is the latency of an attempt on a logarithmic scale, relative to the expected latency of its class.
_FAILED_GRADE = 15  # grade of a failed attempt, whatever its latency
_EXPECTED_GRADE = 4  # grade of the expected latency
_GRADES_PER_DOUBLING = 2  # number by which the grade increases when the latency doubles
_MIN_LATENCY_RATIO = 0.25  # multiple of the expected latency at grade 0; shorter latencies get this grade
_MAX_LATENCY_RATIO = 32.0  # multiple of the expected latency at grade 14; longer latencies get this grade


class EntryKind(IntEnum):
    """The kind of a quota entry; datagrams contain these values."""

    REQUEST = 1  # to the leader: a lease request
    GRANT = 2  # from the leader: the lease is granted
    QUEUED = 3  # from the leader: the lease request is queued
    USED = 4  # to the leader: a request was admitted without a grant and uses the units
    RETURN = 5  # to the leader: the units are unused, or the request is no longer in flight
    RETRY_REQUEST = 6  # to the leader: a lease request for a request that is a client's retry
    DENY = 7  # from the leader: no lease can be granted before the lease request expires


REPLY_KINDS = (EntryKind.GRANT, EntryKind.QUEUED, EntryKind.DENY)  # kinds of the entries that a leader sends
_KIND_VALUES = frozenset(int(kind) for kind in EntryKind)


class QuotaEntry(NamedTuple):
    """An entry about the units of one request, from its gateway to the quota leader or back."""

    kind: EntryKind
    customer_tag: int  # as returned by customer_tag()
    lease_id: int  # identifies the request at its gateway
    units: float
    demand_per_s: float  # the customer's demand at the sender; in a reply of the leader, at all gateways
    class_index: int  # position in Settings.classes
    plan_index: int  # position in Settings.plans

    @property
    def bucket_id(self) -> int:
        """The id of the leader's bucket for the entry's customer and plan."""
        return self.customer_tag << _NIBBLE_BITS | self.plan_index


class EndpointObservation(NamedTuple):
    """The latency or failure of one attempt at an endpoint, as the sending gateway observed it."""

    endpoint_tag: int  # as returned by endpoint_tag()
    class_index: int
    grade: int  # latency on a logarithmic scale, or _FAILED_GRADE


class GossipMessage(NamedTuple):
    """The contents of one datagram; fixed-point numbers are converted to floats."""

    incarnation: int  # identifies the sending process of the gateway
    target_concurrency: float  # attempts in flight that the sender's recent rate of responses permits
    entries: tuple[QuotaEntry, ...]
    observations: tuple[EndpointObservation, ...]


def observation_of(endpoint_id: str, class_index: int, latency_ratio: float) -> EndpointObservation:
    """Return the observation of an attempt.

    `latency_ratio` is the latency as a multiple of the class's expected latency, or inf for a failure.
    """
    grade = _FAILED_GRADE
    if latency_ratio != math.inf:
        bounded_ratio = max(_MIN_LATENCY_RATIO, min(_MAX_LATENCY_RATIO, latency_ratio))
        grade = _EXPECTED_GRADE + round(_GRADES_PER_DOUBLING * math.log2(bounded_ratio))
    return EndpointObservation(endpoint_tag(endpoint_id), class_index, grade)


def latency_ratio_of(observation: EndpointObservation) -> float:
    """Return an observation's latency as a multiple of the expected latency, or inf for a failure."""
    if observation.grade == _FAILED_GRADE:
        return math.inf
    return 2 ** ((observation.grade - _EXPECTED_GRADE) / _GRADES_PER_DOUBLING)


def customer_tag(customer: str) -> int:
    """Return a 32-bit hash of a customer's name, which is the same at all gateways."""
    return zlib.crc32(customer.encode())


def endpoint_tag(endpoint_id: str) -> int:
    """Return a 16-bit hash of an endpoint's id, which is the same at all gateways."""
    return zlib.crc32(endpoint_id.encode()) & _MAX_UINT16


def encode(
    incarnation: int,
    target_concurrency: float,
    entries: Sequence[QuotaEntry],
    observations: Sequence[EndpointObservation],
) -> bytes:
    """Return the datagram that carries these entries and observations.

    Entries beyond MAX_ENTRIES, observations beyond MAX_OBSERVATIONS, and those with an index of INDEX_LIMIT
    or more are omitted, because an exception would abort the sender's turn. Fixed-point values are rounded
    and limited to the range of their fields.
    """
    sent_entries = [entry for entry in entries[:MAX_ENTRIES] if _has_valid_indexes(entry)]
    sent_observations = [
        observation
        for observation in observations[:MAX_OBSERVATIONS]
        if observation.class_index < INDEX_LIMIT
    ]
    concurrency = _to_fixed_point(target_concurrency, _CONCURRENCY_SCALE)
    header = _HEADER_LAYOUT.pack(_VERSION, incarnation & _MAX_UINT16, concurrency, len(sent_entries))
    packed_entries = map(_pack_entry, sent_entries)
    packed_observations = map(_pack_observation, sent_observations)
    return b"".join([header, *packed_entries, *packed_observations])


def decode(data: bytes) -> GossipMessage | None:
    """Return the message in a datagram, or None if it is invalid.

    A datagram is invalid if it has another version or an unknown kind of entry, or if its size does not match
    its contents or exceeds MAX_DATAGRAM_BYTES.
    """
    if len(data) < _HEADER_LAYOUT.size or len(data) > MAX_DATAGRAM_BYTES or data[0] != _VERSION:
        return None
    _, incarnation, concurrency, entry_count = _HEADER_LAYOUT.unpack_from(data)
    end_of_entries = _HEADER_LAYOUT.size + entry_count * _ENTRY_LAYOUT.size
    if len(data) < end_of_entries or (len(data) - end_of_entries) % _OBSERVATION_LAYOUT.size:
        return None
    entry_rows = list(_ENTRY_LAYOUT.iter_unpack(data[_HEADER_LAYOUT.size : end_of_entries]))
    kinds = [row[0] for row in entry_rows]
    if not _KIND_VALUES.issuperset(kinds):
        return None
    observation_rows = _OBSERVATION_LAYOUT.iter_unpack(data[end_of_entries:])
    return GossipMessage(
        incarnation,
        concurrency / _CONCURRENCY_SCALE,
        tuple(_entry_from(*row) for row in entry_rows),
        tuple(_observation_from(*row) for row in observation_rows),
    )


def _has_valid_indexes(entry: QuotaEntry) -> bool:
    return max(entry.class_index, entry.plan_index) < INDEX_LIMIT


def _to_fixed_point(value: float, scale: int) -> int:
    return max(0, min(_MAX_UINT16, round(value * scale)))


def _pack_entry(entry: QuotaEntry) -> bytes:
    return _ENTRY_LAYOUT.pack(
        entry.kind,
        entry.customer_tag,
        entry.lease_id & _MAX_UINT16,
        _to_fixed_point(entry.units, _UNITS_SCALE),
        _to_fixed_point(entry.demand_per_s, _UNITS_SCALE),
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
