"""The table of the attempts in flight."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from gateway.interface.settings import RequestClass
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.requests.request_record import RequestRecord


class AttemptKey(NamedTuple):
    """The key of an attempt: the id of its request, and its number within the request, from 0."""

    request_id: int
    attempt_number: int


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """The state of one attempt in flight."""

    endpoint: EndpointRecord
    request_class: RequestClass
    is_executing: bool = True  # False while the request or the response is being transmitted


class AttemptTable:
    """The attempts in flight, including those whose request has ended."""

    def __init__(self) -> None:
        self._records: dict[AttemptKey, AttemptRecord] = {}

    def __contains__(self, key: AttemptKey) -> bool:
        """Return whether the attempt with this key is in flight."""
        return key in self._records

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._records)

    def __iter__(self) -> Iterator[AttemptRecord]:
        """Iterate over the attempts in the order in which they were sent."""
        return iter(self._records.values())

    def add(self, request: RequestRecord, endpoint: EndpointRecord, now_ms: float) -> AttemptKey:
        """Add a request's next attempt, update the records of the request and the endpoint, return its key.

        The attempt counts as executing at its endpoint. If no earlier attempt may have been executed, the
        endpoint is recorded as the first endpoint that may know the idempotency key.
        """
        key = AttemptKey(request.id, request.attempts_sent)
        self._records[key] = AttemptRecord(endpoint, request.request_class)
        endpoint.in_flight += 1
        request.in_flight_endpoints[request.attempts_sent] = endpoint
        request.tried_endpoints.append(endpoint)
        if not request.possible_executions:
            request.key_endpoint = endpoint.entry
            request.key_sent_at_ms = now_ms
        request.attempts_sent += 1
        request.possible_executions += 1
        return key

    def set_executing(self, key: AttemptKey, is_executing: bool) -> int:
        """Set whether an attempt is executing at its endpoint.

        Returns the change in the number of executing attempts: 1, -1 or 0. For an attempt that has ended, the
        call has no effect and returns 0.
        """
        attempt = self._records.get(key)
        if attempt is None or attempt.is_executing == is_executing:
            return 0
        attempt.is_executing = is_executing
        change = 1 if is_executing else -1
        attempt.endpoint.in_flight += change
        return change

    def pop(self, key: AttemptKey) -> AttemptRecord:
        """Remove an attempt that has ended and return its record.

        Raises KeyError for an attempt that is not in flight.
        """
        return self._records.pop(key)
