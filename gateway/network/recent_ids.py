"""The set of recently used request ids, which serves to reject duplicate requests."""

from __future__ import annotations

from collections.abc import Iterable


class RecentIds:
    """The ids of open and recently ended requests.

    The id of an ended request is removed at the second rotation after the end of the request. The ids of the
    predecessor are kept until it has ended, because this process does not learn when its requests end.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._open: set[bytes] = set()
        self._of_predecessor: set[bytes] = set()
        # Ids of requests that have ended since the last rotation.
        self._ended: set[bytes] = set()
        # Ids of requests that ended between the last two rotations.
        self._ended_before_rotation: set[bytes] = set()

    def __contains__(self, request_id: bytes) -> bool:
        """Return whether a request with this id is open or has ended recently."""
        return (
            request_id in self._open
            or request_id in self._ended
            or request_id in self._ended_before_rotation
            or request_id in self._of_predecessor
        )

    def __len__(self) -> int:
        """Return the number of ids."""
        return sum(map(len, self._all()))

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
        return [request_id.decode() for request_id in set().union(*self._all())]

    def restore(self, request_ids: Iterable[str]) -> None:
        """Add the ids that the predecessor has transferred."""
        self._of_predecessor.update(request_id.encode() for request_id in request_ids)

    def try_claim(self, request_id: bytes) -> bool:
        """Add the id of a request that the predecessor has received; return whether it was unused."""
        if request_id in self:
            return False
        self._of_predecessor.add(request_id)
        return True

    def on_predecessor_ended(self) -> None:
        """Treat the requests of the predecessor as just ended."""
        self._ended |= self._of_predecessor
        self._of_predecessor = set()

    def _all(self) -> tuple[set[bytes], ...]:
        return self._open, self._ended, self._ended_before_rotation, self._of_predecessor
