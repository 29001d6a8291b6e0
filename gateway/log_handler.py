"""A logging handler that does not block the gateway when the reader of the log stalls."""

from __future__ import annotations

import logging
import os
import select

# Maximum size of one write, in bytes. Linux reports a pipe as writable only while at least a page of it is
# free, and a socket only while most of its buffer is free, so a write of this size to a writable descriptor
# does not block.
MAX_WRITE_BYTES = 4096


class NonBlockingHandler(logging.Handler):
    """Writes each record as a line to a file descriptor, and drops records for which there is no space.

    The handler polls the descriptor before each write. Non-blocking mode is not used instead, because it
    would apply to all processes that share the descriptor. When there is space again, the number of dropped
    records is written before the next record.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor`, which the caller has to keep open."""
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped_records = 0  # records dropped since the last line that reported a number

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, or drop and count it if there is no space."""
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if self._dropped_records and self._write_dropped_count():
            self._dropped_records = 0
        if self._dropped_records or not self._write_line(line):
            self._dropped_records += 1

    def _write_dropped_count(self) -> bool:
        return self._write_line(
            f"log: {self._dropped_records} records dropped, the reader of standard error was stalled"
        )

    def _write_line(self, line: str) -> bool:
        """Write one line; return False if there was not enough space, or if writing failed.

        A line longer than MAX_WRITE_BYTES may have been written in part when False is returned.
        """
        remaining = memoryview(f"{line}\n".encode(errors="backslashreplace"))
        while remaining:
            if not self._is_writable():
                return False
            try:
                written = os.write(self._descriptor, remaining[:MAX_WRITE_BYTES])
            except OSError:
                return False
            remaining = remaining[written:]
        return True

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))
