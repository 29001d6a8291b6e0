"""Accounts for the memory that bodies, responses and write buffers occupy, against a fixed capacity.

A transfer needs a window: the bytes that it may hold while it forwards a body or a response piece by piece.
A window is enough for any size, because both sides of the transfer wait for each other. More memory makes a
transfer faster, or lets the gateway buffer a complete message, so that the request can be retried. It is
granted only while enough capacity remains for the windows of other transfers:

| capacity in use                                | granted                                         |
| ---------------------------------------------- | ----------------------------------------------- |
| up to BUFFERING_FRACTION                       | windows, wide windows and complete messages     |
| from there up to the capacity                  | windows; every other transfer uses its window   |
| the capacity                                   | nothing; a request without a window is rejected |

No transfer waits for memory that another one holds, so transfers cannot block each other.
"""

from __future__ import annotations

import math

# Part of the capacity that complete messages and wide windows may use, together with the windows in use.
BUFFERING_FRACTION = 0.6

# Size in bytes of a read from a connection whose transfer has only its window, and of reads of heads.
NARROW_READ_BYTES = 8 * 1024

# Size in bytes of a read from a connection whose transfer has a wide window or buffers a complete message.
WIDE_READ_BYTES = 64 * 1024

# Bytes that a transfer may hold at least: those that wait to be written, and one read.
WINDOW_BYTES = 2 * NARROW_READ_BYTES

# Bytes that a transfer holds if memory is not scarce.
WIDE_WINDOW_BYTES = 2 * WIDE_READ_BYTES


class MemoryBudget:
    """The capacity of a process for buffered bytes, and the sum of all reservations."""

    def __init__(self, capacity_bytes: float = math.inf) -> None:
        """Start without reservations; by default, grant every reservation."""
        self.capacity_bytes = capacity_bytes
        self.reserved_bytes = 0

    @property
    def is_scarce(self) -> bool:
        """Whether new transfers get the smallest window only, or none."""
        return self.reserved_bytes > self.capacity_bytes * BUFFERING_FRACTION

    def try_reserve(self, size: int, *, is_window: bool) -> bool:
        """Reserve `size` bytes, and return whether the capacity permits it.

        Only the window of a transfer may use the part of the capacity beyond BUFFERING_FRACTION.
        """
        limit = self.capacity_bytes if is_window else self.capacity_bytes * BUFFERING_FRACTION
        if self.reserved_bytes + size > limit:
            return False
        self.reserved_bytes += size
        return True

    def reserve(self, size: int) -> None:
        """Reserve `size` bytes that are in memory already, even beyond the capacity."""
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Return `size` bytes that were reserved before."""
        self.reserved_bytes -= size


class Reservation:
    """The bytes that one holder has reserved; the holder has to release them at the end of its transfer."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without reserved bytes."""
        self._budget = budget
        self.size = 0  # in bytes

    def try_cover_window(self, extra_bytes: int = 0) -> bool:
        """Grow to WINDOW_BYTES and the extra bytes, and return whether the reservation covers them."""
        return self._try_cover(WINDOW_BYTES + extra_bytes, is_window=True)

    def try_cover_part_of_window(self, size: int) -> bool:
        """Grow to `size` bytes of a window that is not needed completely yet, and return whether it does."""
        return self._try_cover(size, is_window=True)

    def try_cover(self, size: int) -> bool:
        """Grow to `size` bytes of a complete message or a wide window, and return whether it covers them."""
        return self._try_cover(size, is_window=False)

    def cover(self, size: int) -> None:
        """Grow to `size` bytes that are in memory already."""
        if size > self.size:
            self._budget.reserve(size - self.size)
            self.size = size

    def release(self) -> None:
        """Return all bytes; has no effect if nothing is reserved."""
        self.shrink(0)

    def shrink(self, size: int) -> None:
        """Return what exceeds `size` bytes."""
        if self.size > size:
            self._budget.release(self.size - size)
            self.size = size

    def _try_cover(self, size: int, *, is_window: bool) -> bool:
        if size > self.size:
            if not self._budget.try_reserve(size - self.size, is_window=is_window):
                return False
            self.size = size
        return True
