"""Logging to a descriptor that may not be read: a reader that stalls must not stop the gateway."""

from __future__ import annotations

import logging
import os
import select

# Linux calls a pipe writable while a whole page of it is free, and a socket while most of its buffer is:
# a write of this size then never blocks.
CHUNK_BYTES = 4096


class NonBlockingHandler(logging.Handler):
    """Writes each record as a line to a descriptor and drops the ones that it has no room for.

    The descriptor's own blocking mode is left alone, as other processes may share it. How many records were
    dropped is written as soon as there is room again.
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
        if self._dropped and self._write(f"{self._dropped} log records were dropped: nobody read them"):
            self._dropped = 0
        if self._dropped or not self._write(line):
            self._dropped += 1

    def _write(self, line: str) -> bool:
        """Write one line; False where it did not fit, or nobody can read it any more."""
        rest = memoryview(f"{line}\n".encode(errors="backslashreplace"))
        while rest:
            if not self._is_writable():
                return False
            try:
                rest = rest[os.write(self._descriptor, rest[:CHUNK_BYTES]) :]
            except OSError:
                return False
        return True

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))
