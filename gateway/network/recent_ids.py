"""The ids of requests that are open or have ended recently, by which duplicates are rejected."""

from __future__ import annotations

from collections.abc import Iterable


class RecentIds:
    """A set of ids; the id of an ended request leaves it at the second rotation after its end."""

    def __init__(self) -> None:
        """Begin with no id."""
        self._open: set[bytes] = set()
        # Ids of requests that have ended since the last rotation.
        self._ended: set[bytes] = set()
        # Ids of requests that ended between the last two rotations.
        self._ended_before: set[bytes] = set()

    def __contains__(self, request_id: bytes) -> bool:
        """Return whether a request of that id is open or has ended recently."""
        return request_id in self._open or request_id in self._ended or request_id in self._ended_before

    def open(self, request_id: bytes) -> None:
        """Add the id of a request that has been opened."""
        self._open.add(request_id)

    def end(self, request_id: bytes) -> None:
        """Note that the request of that id has ended."""
        self._open.discard(request_id)
        self._ended.add(request_id)

    def rotate(self) -> None:
        """Forget the requests that had ended before the last rotation."""
        self._ended_before = self._ended
        self._ended = set()

    def to_json(self) -> list[str]:
        """Return all ids, for the successor."""
        return [request_id.decode() for request_id in self._open | self._ended | self._ended_before]

    def restore(self, request_ids: Iterable[str]) -> None:
        """Add the predecessor's ids, as if their requests had just ended."""
        self._ended.update(request_id.encode() for request_id in request_ids)
