"""Divides the limit on memory between the state of the process, its connections, names, and buffered bytes.

What counts is the resident memory, private pages as well as pages that are shared with files, and what the
kernel holds in the buffers of the sockets.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from gateway.network.memory_budget import WINDOW_BYTES
from gateway.network.socket_buffers import KERNEL_SIZE_FACTOR, SocketBuffers

BYTES_PER_MB = 1024 * 1024

# Private memory in bytes of a process without clients, if the system does not report it: the interpreter, the
# program and the state of the policy.
DEFAULT_PRIVATE_BYTES = 16 * BYTES_PER_MB

# The same for the pages that it shares with files.
DEFAULT_SHARED_BYTES = 8 * BYTES_PER_MB

# Reserve in bytes for what is not counted: free space between allocations, and copies for a moment.
RESERVE_BYTES = BYTES_PER_MB

# Part of the limit that is reserved in addition, because the free space grows with the number of objects.
RESERVE_FRACTION = 0.025

# Part of the client connections that need a window each; a process leaves room for a successor beside them.
MIN_WINDOWS_FRACTION = 0.8

# Part of the remaining memory for each of two processes. Each may not have returned yet what it used alone.
HANDOVER_FRACTION = 0.25

# Memory in bytes of the objects of one connection: its transport, its parser and its protocol.
BYTES_PER_CONNECTION = 3 * 1024

# Least size in bytes that is requested for a receive buffer; the kernel doubles it.
MIN_RECEIVE_BUFFER_BYTES = 2 * 1024

# Maximum size in bytes that is requested for a receive buffer.
MAX_RECEIVE_BUFFER_BYTES = 64 * 1024

# Size in bytes that is requested for a send buffer. What the kernel holds in it is a part of the window of
# its transfer, and a request of NARROW_READ_BYTES fits into it.
SEND_BUFFER_BYTES = 8 * 1024

# Part of the available memory for the receive buffers of clients, including those in the accept queue.
CLIENT_BUFFERS_FRACTION = 0.22

# Part of the available memory for connections to endpoints, with their receive buffers.
ENDPOINT_CONNECTIONS_FRACTION = 0.15

# Part of the available memory from which the size of the accept queue follows, if its buffers are the least.
ACCEPT_QUEUE_FRACTION = 0.08

# Least and largest size of the accept queue, in connections.
MIN_ACCEPT_BACKLOG = 128
MAX_ACCEPT_BACKLOG = 1024

# Number of connections to endpoints that a process may have open, however little memory remains.
MIN_ENDPOINT_CONNECTIONS = 48

# Part of the memory that remains beside the connections that buffered bytes may use.
BUFFERED_FRACTION = 0.8

# Part of the memory that remains beside the connections for the state that is kept by names: accounts and
# buckets of customers, and ids of requests.
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

    private_bytes: int = DEFAULT_PRIVATE_BYTES
    shared_bytes: int = (
        DEFAULT_SHARED_BYTES  # pages shared with files, which two processes of one program have in common
    )


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """The number of connections that all processes of the gateway together may have open."""

    clients: int
    endpoints: int


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """What one process of a gateway may hold."""

    buffered_bytes: int  # of bodies, responses and write buffers, in the process and in the kernel
    customers: int
    request_ids: int
    endpoint_connections: int
    accept_backlog: int  # of all processes together, in connections
    client_buffers: SocketBuffers
    endpoint_buffers: SocketBuffers


def process_memory() -> ProcessMemory:
    """Return the memory that this process occupies at present."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            _, resident_pages, shared_pages, *_ = file.read().split()
    except OSError:
        return ProcessMemory()
    page_bytes = os.sysconf("SC_PAGE_SIZE")
    private_bytes = (int(resident_pages) - int(shared_pages)) * page_bytes
    return ProcessMemory(private_bytes, int(shared_pages) * page_bytes)


def memory_limits(
    memory_bytes: int,
    connections: ConnectionCounts,
    processes: int = 1,
    occupied: ProcessMemory | None = None,
) -> MemoryLimits:
    """Return what a process may hold.

    Args:
        memory_bytes: The limit on the memory of all processes of the gateway together.
        connections: The connections for which all processes together have descriptors.
        processes: The number of processes of the gateway: 2 during a hot restart, otherwise 1.
        occupied: The memory that each process occupies without clients.
    """
    occupied = occupied or ProcessMemory()
    occupied_bytes = processes * occupied.private_bytes + occupied.shared_bytes
    reserve_bytes = RESERVE_BYTES + memory_bytes * RESERVE_FRACTION
    available = max(0.0, memory_bytes - occupied_bytes - reserve_bytes)
    # A successor starts while this process has the memory that its clients have used.
    if processes == 1 and available - occupied.private_bytes >= _least_available_bytes(connections):
        available -= occupied.private_bytes
    accept_backlog = _accept_backlog(available)
    client_receive_bytes = _receive_buffer_bytes(
        available * CLIENT_BUFFERS_FRACTION / (connections.clients + accept_backlog)
    )
    endpoints_bytes = available * ENDPOINT_CONNECTIONS_FRACTION
    endpoint_receive_bytes = _receive_buffer_bytes(
        endpoints_bytes / connections.endpoints - BYTES_PER_CONNECTION
    )
    endpoint_connections = min(
        connections.endpoints, int(endpoints_bytes / _connection_bytes(endpoint_receive_bytes))
    )
    available -= connections.clients * _connection_bytes(client_receive_bytes)
    available -= accept_backlog * KERNEL_SIZE_FACTOR * client_receive_bytes
    available -= endpoint_connections * _connection_bytes(endpoint_receive_bytes)
    remaining = max(0.0, available) * (1.0 if processes == 1 else HANDOVER_FRACTION)
    names_bytes = remaining * NAMES_FRACTION / 2
    return MemoryLimits(
        buffered_bytes=max(MIN_CAPACITY_BYTES, int(remaining * BUFFERED_FRACTION)),
        customers=max(MIN_CUSTOMERS, int(names_bytes / BYTES_PER_CUSTOMER)),
        request_ids=max(MIN_REQUEST_IDS, int(names_bytes / BYTES_PER_REQUEST_ID)),
        endpoint_connections=max(MIN_ENDPOINT_CONNECTIONS, endpoint_connections // processes),
        accept_backlog=accept_backlog,
        client_buffers=SocketBuffers(client_receive_bytes, SEND_BUFFER_BYTES),
        endpoint_buffers=SocketBuffers(endpoint_receive_bytes, SEND_BUFFER_BYTES),
    )


def _least_available_bytes(connections: ConnectionCounts) -> float:
    """Return the memory for all client connections, and for windows of MIN_WINDOWS_FRACTION of them."""
    window_bytes = MIN_WINDOWS_FRACTION * WINDOW_BYTES / BUFFERED_FRACTION
    bytes_per_client = _connection_bytes(MIN_RECEIVE_BUFFER_BYTES) + window_bytes
    clients_fraction = 1 - ENDPOINT_CONNECTIONS_FRACTION - ACCEPT_QUEUE_FRACTION
    return connections.clients * bytes_per_client / clients_fraction


def _accept_backlog(available_bytes: float) -> int:
    """Return the size of the accept queue, in connections."""
    least_queued_bytes = KERNEL_SIZE_FACTOR * MIN_RECEIVE_BUFFER_BYTES
    connections = int(available_bytes * ACCEPT_QUEUE_FRACTION / least_queued_bytes)
    return min(max(connections, MIN_ACCEPT_BACKLOG), MAX_ACCEPT_BACKLOG)


def _receive_buffer_bytes(held_bytes: float) -> int:
    """Return the size to request for a receive buffer in which the kernel may hold this many bytes."""
    requested = int(held_bytes / KERNEL_SIZE_FACTOR)
    return min(max(requested, MIN_RECEIVE_BUFFER_BYTES), MAX_RECEIVE_BUFFER_BYTES)


def _connection_bytes(receive_bytes: int) -> int:
    """Return the memory of one connection with a receive buffer of this size."""
    return BYTES_PER_CONNECTION + KERNEL_SIZE_FACTOR * receive_bytes
