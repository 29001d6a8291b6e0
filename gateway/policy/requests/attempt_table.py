"""The attempts that have not ended."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from gateway.interface.settings import RequestClass
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.requests.request_record import RequestRecord


class AttemptKey(NamedTuple):
    """An attempt, by its request and its number."""

    request_id: int
    number: int


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt that has not ended."""

    endpoint: EndpointRecord
    request_class: RequestClass
    is_executing: bool = True  # False while its request or its response is still on the way through us


class AttemptTable:
    """The attempts that have not ended, also of requests that have, and which of them are being executed."""

    def __init__(self) -> None:
        """Begin empty."""
        self._records: dict[AttemptKey, AttemptRecord] = {}

    def __contains__(self, key: AttemptKey) -> bool:
        """Return whether an attempt has not ended."""
        return key in self._records

    def __iter__(self) -> Iterator[AttemptRecord]:
        """Iterate over the attempts in the order of their sends."""
        return iter(self._records.values())

    def add(self, request: RequestRecord, endpoint: EndpointRecord, now_ms: float) -> AttemptKey:
        """Add a request's next attempt, which its endpoint executes."""
        key = AttemptKey(request.id, request.attempts)
        self._records[key] = AttemptRecord(endpoint, request.request_class)
        endpoint.in_flight += 1
        request.in_flight[request.attempts] = endpoint
        request.tried.append(endpoint)
        if not request.possibly_executed:
            request.key_endpoint = endpoint.entry
            request.key_sent_at_ms = now_ms
        request.attempts += 1
        request.possibly_executed += 1
        return key

    def set_executing(self, key: AttemptKey, is_executing: bool) -> int:
        """Say whether its endpoint executes an attempt; return by how many more that is."""
        attempt = self._records.get(key)
        if attempt is None or attempt.is_executing == is_executing:
            return 0
        attempt.is_executing = is_executing
        change = 1 if is_executing else -1
        attempt.endpoint.in_flight += change
        return change

    def pop(self, key: AttemptKey) -> AttemptRecord:
        """Take out an attempt that has ended."""
        return self._records.pop(key)
