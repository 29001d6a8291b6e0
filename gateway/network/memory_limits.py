"""Divides the limit on memory between the state of the process, its connections, names, and buffered bytes.

What counts is the resident memory, private pages as well as pages that are shared with files.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_MB = 1024 * 1024

# Least private memory in bytes of a process without clients: the interpreter, the program and the state of
# the policy. In a large fleet, the lists of gateways and endpoints occupy more.
MIN_PROCESS_BYTES = 16 * BYTES_PER_MB

# Memory in bytes of the objects that belong to one descriptor: a connection, its parser and its request.
BYTES_PER_DESCRIPTOR = 4 * 1024

# Part of the remaining memory that buffered bytes may use.
BUFFERED_FRACTION = 0.6

# Part of the remaining memory for the state that is kept by names: accounts and buckets of customers, and ids
# of requests. What neither part uses is for the copies that the encoding of a message needs for a short time,
# and for the free space between the allocations.
NAMES_FRACTION = 0.2

# Capacity in bytes for buffered bytes, however little memory remains.
MIN_CAPACITY_BYTES = BYTES_PER_MB

# Memory in bytes of one customer: its account, the bucket at its leader, and their keys.
BYTES_PER_CUSTOMER = 1536

# Memory in bytes of one request id.
BYTES_PER_REQUEST_ID = 160

# Number of customers whose state may be kept, however little memory remains.
MIN_CUSTOMERS = 256

# Number of request ids that may be kept, however little memory remains.
MIN_REQUEST_IDS = 2048


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """The memory in bytes that a process occupies without clients."""

    private_bytes: int = MIN_PROCESS_BYTES
    shared_bytes: int = 0  # pages shared with files, which two processes of one program have in common


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """What one process of a gateway may hold."""

    buffered_bytes: int  # of bodies, responses and write buffers
    customers: int
    request_ids: int


def process_memory() -> ProcessMemory:
    """Return the memory that this process occupies at present; the private part is at least the minimum."""
    try:
        _, resident_pages, shared_pages, *_ = Path("/proc/self/statm").read_text(encoding="ascii").split()
    except OSError:
        return ProcessMemory()
    page_bytes = os.sysconf("SC_PAGE_SIZE")
    private_bytes = (int(resident_pages) - int(shared_pages)) * page_bytes
    return ProcessMemory(max(MIN_PROCESS_BYTES, private_bytes), int(shared_pages) * page_bytes)


def memory_limits(
    memory_bytes: int, descriptors: int, processes: int = 1, occupied: ProcessMemory | None = None
) -> MemoryLimits:
    """Return what a process may hold.

    Args:
        memory_bytes: The limit on the memory of all processes of the gateway together.
        descriptors: The number of descriptors that they may use together.
        processes: The number of processes of the gateway: 2 during a hot restart, otherwise 1.
        occupied: The memory that each process occupies without clients.
    """
    occupied = occupied or ProcessMemory()
    occupied_bytes = processes * occupied.private_bytes + occupied.shared_bytes
    available = max(0, memory_bytes - occupied_bytes - descriptors * BYTES_PER_DESCRIPTOR) / processes
    names_bytes = available * NAMES_FRACTION / 2
    return MemoryLimits(
        buffered_bytes=max(MIN_CAPACITY_BYTES, int(available * BUFFERED_FRACTION)),
        customers=max(MIN_CUSTOMERS, int(names_bytes / BYTES_PER_CUSTOMER)),
        request_ids=max(MIN_REQUEST_IDS, int(names_bytes / BYTES_PER_REQUEST_ID)),
    )
