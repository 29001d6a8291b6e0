"""The attempts in flight, also those of requests that have had their final answer."""

from __future__ import annotations

from gateway.network.clients.open_request import OpenRequest
from gateway.network.upstream.attempt import UpstreamAttempt


class AttemptTable:
    """The attempts in flight, by request and number."""

    def __init__(self) -> None:
        """Begin with no attempt."""
        self.in_flight: dict[tuple[int, int], UpstreamAttempt] = {}

    def add(self, attempt: UpstreamAttempt) -> None:
        """Add an attempt that is being started."""
        self.in_flight[attempt.request_id, attempt.number] = attempt

    def remove(self, attempt: UpstreamAttempt) -> None:
        """Remove an attempt that has ended."""
        del self.in_flight[attempt.request_id, attempt.number]

    def get(self, request_id: int, number: int) -> UpstreamAttempt | None:
        """Return the attempt of that number, or None if it has ended."""
        return self.in_flight.get((request_id, number))

    def of_request(self, request: OpenRequest) -> list[UpstreamAttempt]:
        """Return the attempts of a request that are in flight."""
        keys = ((request.id, number) for number in range(request.attempt_count))
        return [self.in_flight[key] for key in keys if key in self.in_flight]

    def expire_unsent(self, request: OpenRequest) -> None:
        """End the attempts of a request that no endpoint has received completely.

        Attempts that an endpoint has received run on until they end or are cancelled.
        """
        for attempt in self.of_request(request):
            if attempt.number != request.streaming_attempt:
                attempt.expire_if_unsent()

    def cancel_streaming(self, request: OpenRequest) -> None:
        """Cancel the attempt whose response is being forwarded."""
        for attempt in self.of_request(request):
            if attempt.number == request.streaming_attempt:
                attempt.cancel()
