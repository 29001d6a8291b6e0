"""Logging to a descriptor whose reader may stall, without blocking the gateway."""

from __future__ import annotations

import logging
import os
import select

# Maximum write size, bytes. Linux reports a pipe as writable while a page of it is free, and a socket while
# most of its buffer is free, so a write of this size does not block.
CHUNK_BYTES = 4096


class NonBlockingHandler(logging.Handler):
    """Writes each record as a line to a descriptor, and drops records that do not fit.

    The descriptor's own blocking mode is not changed, as other processes may share it. The number of dropped
    records is written as soon as the reader goes on.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to this descriptor, which the caller keeps open."""
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, or count it as dropped."""
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if self._dropped and self._write_dropped():
            self._dropped = 0
        if self._dropped or not self._write(line):
            self._dropped += 1

    def _write_dropped(self) -> bool:
        return self._write(f"log: {self._dropped} records dropped, the reader of standard error was stalled")

    def _write(self, line: str) -> bool:
        """Write one line; return False if it did not fit, or if the descriptor has no reader."""
        remaining = memoryview(f"{line}\n".encode(errors="backslashreplace"))
        while remaining:
            if not self._is_writable():
                return False
            try:
                written = os.write(self._descriptor, remaining[:CHUNK_BYTES])
            except OSError:
                return False
            remaining = remaining[written:]
        return True

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))
