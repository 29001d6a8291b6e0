"""The set of recently used request ids, which serves to reject duplicate requests."""

from __future__ import annotations

from collections.abc import Iterable


class RecentIds:
    """The ids of open and recently ended requests.

    The id of an ended request is removed at the second rotation after the end of the request.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._open: set[bytes] = set()
        # Ids of requests that have ended since the last rotation.
        self._ended: set[bytes] = set()
        # Ids of requests that ended between the last two rotations.
        self._ended_before_rotation: set[bytes] = set()

    def __contains__(self, request_id: bytes) -> bool:
        """Return whether a request with this id is open or has ended recently."""
        return (
            request_id in self._open or request_id in self._ended or request_id in self._ended_before_rotation
        )

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._open) + len(self._ended) + len(self._ended_before_rotation)

    def add_open(self, request_id: bytes) -> None:
        """Add the id of an open request."""
        self._open.add(request_id)

    def mark_ended(self, request_id: bytes) -> None:
        """Move an id from the open requests to the recently ended ones."""
        self._open.discard(request_id)
        self._ended.add(request_id)

    def rotate(self) -> None:
        """Remove the ids of requests that ended before the previous rotation."""
        self._ended_before_rotation = self._ended
        self._ended = set()

    def to_strings(self) -> list[str]:
        """Return all ids as strings, in no particular order, for the transfer to the successor."""
        return [request_id.decode() for request_id in self._open | self._ended | self._ended_before_rotation]

    def restore(self, request_ids: Iterable[str]) -> None:
        """Add the ids that the predecessor has transferred, as if their requests had just ended."""
        self._ended.update(request_id.encode() for request_id in request_ids)
