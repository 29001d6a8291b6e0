"""The table of attempts in flight, including the attempts of requests that have been closed."""

from __future__ import annotations

from gateway.network.clients.open_request import OpenRequest
from gateway.network.upstream.attempt import UpstreamAttempt


class AttemptTable:
    """The attempts in flight, by the number of their request and their number within the request."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.in_flight: dict[tuple[int, int], UpstreamAttempt] = {}

    def add(self, attempt: UpstreamAttempt) -> None:
        """Add an attempt before it is started."""
        self.in_flight[attempt.request_id, attempt.number] = attempt

    def remove(self, attempt: UpstreamAttempt) -> None:
        """Remove an attempt that has ended; it has to be in the table."""
        del self.in_flight[attempt.request_id, attempt.number]

    def get(self, request_id: int, number: int) -> UpstreamAttempt | None:
        """Return the attempt with this number of a request, or None if it is not in flight."""
        return self.in_flight.get((request_id, number))

    def of_request(self, request: OpenRequest) -> list[UpstreamAttempt]:
        """Return the attempts of a request that are in flight, in the order in which they were started."""
        keys = ((request.id, number) for number in range(request.attempt_count))
        return [self.in_flight[key] for key in keys if key in self.in_flight]

    def expire_unsent(self, request: OpenRequest) -> None:
        """Fail the attempts of a closed request that have not been sent completely.

        Attempts that have been sent continue until they end or the controller cancels them. The attempt whose
        response is being forwarded is not affected.
        """
        for attempt in self.of_request(request):
            if attempt.number != request.streaming_attempt:
                attempt.expire_if_unsent()

    def cancel_streaming(self, request: OpenRequest) -> None:
        """Cancel the attempt of a request whose response is being forwarded, if any."""
        for attempt in self.of_request(request):
            if attempt.number == request.streaming_attempt:
                attempt.cancel()
