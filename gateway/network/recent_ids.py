"""The ids of requests that are open, or that have ended of late: one id is one request."""

from __future__ import annotations

from collections.abc import Iterable


class RecentIds:
    """Remembers the id of an ended request for once to twice the time between two rotations."""

    def __init__(self) -> None:
        """Begin with no id."""
        self._open: set[bytes] = set()
        self._ended: set[bytes] = set()  # since the last rotation,
        self._ended_before: set[bytes] = set()  # and before it

    def __contains__(self, request_id: bytes) -> bool:
        """Return whether a request of that id is open, or has ended of late."""
        return request_id in self._open or request_id in self._ended or request_id in self._ended_before

    def open(self, request_id: bytes) -> None:
        """Enter a request that has been opened."""
        self._open.add(request_id)

    def end(self, request_id: bytes) -> None:
        """Enter a request that has ended."""
        self._open.discard(request_id)
        self._ended.add(request_id)

    def rotate(self) -> None:
        """Forget the requests that had ended before the last rotation."""
        self._ended_before = self._ended
        self._ended = set()

    def to_json(self) -> list[str]:
        """Return all ids, for the process that follows."""
        return [request_id.decode() for request_id in self._open | self._ended | self._ended_before]

    def restore(self, request_ids: Iterable[str]) -> None:
        """Take over the ids of the process before; they are remembered as if just ended."""
        self._ended.update(request_id.encode() for request_id in request_ids)
