"""The table of open requests: each gets exactly one final answer, which is counted once."""

from __future__ import annotations

import math
from http import HTTPStatus

from gateway.errors import BadRequestError
from gateway.interface.events import ClientDisconnected
from gateway.network.admin.metrics import FinalStatus, Metrics
from gateway.network.attempt_table import AttemptTable
from gateway.network.clients.open_request import ClientChannel, OpenRequest, upstream_head
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_validator import ValidatedRequest
from gateway.network.clock import Clock, Timers
from gateway.network.controller_loop import EventSink
from gateway.network.recent_ids import RecentIds

# Deadline margin, ms: subtracted from the client's deadline, to cover transmission and timer delay.
DEADLINE_MARGIN_MS = 20.0

# Guard margin, ms: time before the client's deadline at which the guard timer answers the request.
GUARD_MARGIN_MS = 5.0

# Id memory, ms: interval of rotations; the id of an ended request is known for one to two intervals.
ID_MEMORY_MS = 2000.0


class RequestTable:
    """The requests from their acceptance to their final answer, with their guard timers and ids."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        metrics: Metrics,
        attempts: AttemptTable,
        events: EventSink,
    ) -> None:
        """Begin with no request."""
        self.open: dict[int, OpenRequest] = {}
        self.ids = RecentIds()
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._attempts = attempts
        self._events = events
        self._last_id = 0
        self._end_ms = math.inf  # time of the clock by which all requests are answered
        timers.call_at(clock.now() + ID_MEMORY_MS, self.rotate_ids)

    # -- acceptance

    def add(self, client: ClientChannel, parsed: ValidatedRequest, received: ReceivedRequest) -> OpenRequest:
        """Open a request; from now on it is owed one final answer.

        Raises BadRequestError if its id is in use: a second request of that id would be a duplicate.
        """
        if parsed.id in self.ids:
            raise BadRequestError("x-request-id is in use", HTTPStatus.CONFLICT)
        head = upstream_head(
            parsed,
            received.method,
            received.target,
            received.headers.get(b"content-type"),
            _framing(received),
        )
        self._last_id += 1
        request = OpenRequest(
            self._last_id,
            parsed.id,
            parsed.request_class.name,
            client,
            head,
            received.body,
            received.upload,
            parsed.wait_ms,
        )
        self.open[request.id] = request
        self.ids.open(parsed.id)
        return request

    def deadline_at_ms(self, request: OpenRequest) -> float:
        """Return the deadline of a request whose last byte has just been received.

        It is the client's, or the end of this process's shutdown if that is earlier.
        """
        now_ms = self._clock.now()
        return min(now_ms + request.wait_ms, max(self._end_ms, now_ms + 2 * DEADLINE_MARGIN_MS))

    def start_guard_timer(self, request: OpenRequest, deadline_at_ms: float) -> None:
        """Answer the request shortly before its deadline, whatever the controller does."""
        request.guard_timer = self._timers.call_at(
            deadline_at_ms - GUARD_MARGIN_MS, lambda: self._on_guard_expired(request)
        )

    def begin_shutdown(self, end_ms: float) -> None:
        """Set deadlines of new requests before that time of the clock."""
        self._end_ms = end_ms

    # -- the final answer

    def answer(
        self,
        request: OpenRequest,
        outcome: FinalStatus,
        status: int,
        body: bytes = b"",
        content_type: bytes = b"",
        retry_after_ms: float = 0.0,
    ) -> bool:
        """Write the final answer and count it; return False if the request is no longer open."""
        if not self._close(request):
            return False
        self._metrics.on_final_answer(request.class_name, outcome)
        request.client.send_response(status, body, content_type, retry_after_ms)
        return True

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Answer that the request was not executed and may be retried, if it is open."""
        request = self.open.get(request_id)
        if request is not None:
            self.answer(
                request,
                FinalStatus.THROTTLED,
                HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after_ms=retry_after_ms,
            )

    def fail(self, request_id: int) -> None:
        """Answer that the request failed, if it is open."""
        request = self.open.get(request_id)
        if request is not None:
            self.answer(request, FinalStatus.FAULTED, HTTPStatus.BAD_GATEWAY)

    def finish_response(self, request: OpenRequest, is_complete: bool) -> None:
        """End a response that was forwarded while it was received, and count it."""
        self._close(request)
        outcome = FinalStatus.FULFILLED if is_complete else FinalStatus.FAULTED
        self._metrics.on_final_answer(request.class_name, outcome)
        if is_complete:
            request.client.finish_response()
        else:
            request.client.abort_response()

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Close a request whose client has disconnected, and cancel a response that is being forwarded."""
        if not self._close(request):
            return
        self._events.enqueue(ClientDisconnected(request.id))
        self._attempts.cancel_streaming(request)

    def _close(self, request: OpenRequest) -> bool:
        """Remove a request; return False if it is no longer open."""
        if self.open.pop(request.id, None) is None:
            return False
        self.ids.end(request.request_id)
        if request.guard_timer is not None:
            request.guard_timer.cancel()
        self._attempts.expire_unsent(request)
        return True

    def _on_guard_expired(self, request: OpenRequest) -> None:
        if self.answer(request, FinalStatus.FAULTED, HTTPStatus.GATEWAY_TIMEOUT):
            self._events.enqueue(ClientDisconnected(request.id))

    # -- housekeeping

    def rotate_ids(self) -> None:
        """Forget the ids of requests that had ended before the last rotation; repeats itself."""
        self._timers.call_at(self._clock.now() + ID_MEMORY_MS, self.rotate_ids)
        self.ids.rotate()

    def drop_disconnected_uploads(self) -> None:
        """Close the connections of clients that have left during an upload.

        While the body of an upload is not read, no event reports that its client has disconnected.
        """
        uploading = [request.client for request in self.open.values() if request.upload is not None]
        for client in uploading:
            if client.is_disconnected():
                client.abort()


def _framing(received: ReceivedRequest) -> bytes | None:
    """Return the header field that gives the length of the body; None if the request has no body."""
    if received.upload is not None:
        return received.upload.framing
    if received.method != b"GET":
        return b"Content-Length: %d" % len(received.body)
    return None
