"""The table of open requests, which ensures that each request gets exactly one response."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable
from http import HTTPStatus

from gateway.errors import BadRequestError, OverloadedError
from gateway.interface.events import ClientDisconnected
from gateway.network.admin.metrics import EndReason, FinalStatus, Metrics
from gateway.network.attempt_table import AttemptTable
from gateway.network.clients.open_request import ClientChannel, OpenRequest, upstream_head
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_validator import ValidatedRequest
from gateway.network.clock import Clock, Timers
from gateway.network.controller_loop import EventSink
from gateway.network.recent_ids import RecentIds
from gateway.network.request_log import RequestLog

# Milliseconds by which the deadline that the controller receives is earlier than the client's deadline. The
# time in between is for the transmission of the response and the delay of timers.
DEADLINE_MARGIN_MS = 20.0

# Milliseconds before the client's deadline at which the guard timer of a request expires. It sends a response
# if the request is still open at that time, for example because the controller has failed.
GUARD_MARGIN_MS = 5.0

# Milliseconds after which a client may retry a request for which the process lacked memory.
OVERLOAD_RETRY_AFTER_MS = 250.0

# Milliseconds after the client's deadline at which a short response that is being forwarded is aborted. Half
# a second after the deadline, the request would count as lost.
MAX_RESPONSE_DELAY_MS = 400.0

# Least time in milliseconds between rotations of the recently used request ids. The id of an ended request is
# rejected for one to two intervals.
ID_ROTATION_INTERVAL_MS = 2000.0

# Fraction of the request ids that may be kept above which they are rotated as often as possible.
EARLY_ROTATION_FRACTION = 0.5


class RequestTable:
    """The open requests, with their guard timers and ids.

    A request is open from its acceptance until its response has been sent or its client has disconnected.
    Each response is counted once.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        metrics: Metrics,
        attempts: AttemptTable,
        events: EventSink,
    ) -> None:
        """Create an empty table and start the rotation of request ids."""
        self.open_requests: dict[int, OpenRequest] = {}
        self.ids = RecentIds()
        self.max_ids: float = math.inf
        # Time for which the id of an ended request is rejected at least, while ids are not scarce.
        self.id_retention_ms = ID_ROTATION_INTERVAL_MS
        self._rotated_at_ms = clock.now()
        self.log = RequestLog(clock, metrics)
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._attempts = attempts
        self._events = events
        self._last_id = 0
        self._shutdown_end_ms = math.inf  # clock time of the planned end of the shutdown
        timers.call_at(clock.now() + ID_ROTATION_INTERVAL_MS, self._rotate_ids_if_due)

    # -- acceptance

    def add(
        self, client: ClientChannel, validated: ValidatedRequest, received: ReceivedRequest
    ) -> OpenRequest:
        """Open a request, which has to get exactly one response from now on.

        Raises:
            BadRequestError: The request is a duplicate: its id is that of an open or recently ended request.
            OverloadedError: No memory is left for its id; it is counted as rejected.
        """
        if validated.id in self.ids:
            raise BadRequestError(
                f"x-request-id {validated.id.decode()} belongs to an open or recently ended request",
                HTTPStatus.CONFLICT,
            )
        if len(self.ids) >= self.max_ids:
            self.count_rejection(validated.request_class.name)
            raise OverloadedError(OVERLOAD_RETRY_AFTER_MS)
        head = upstream_head(
            validated,
            received.method,
            received.target,
            received.headers.get(b"content-type"),
            _framing_field(received),
        )
        self._last_id += 1
        request = OpenRequest(
            self._last_id,
            validated.id,
            validated.request_class.name,
            client,
            head,
            received.body,
            received.upload,
            validated.wait_ms,
            self._clock.now(),
        )
        self.open_requests[request.id] = request
        self.ids.add_open(validated.id)
        return request

    def deadline_at_ms(self, request: OpenRequest, sent_at_ms: float) -> float:
        """Return the clock time of the deadline of a request that its client may have sent at `sent_at_ms`.

        The deadline is the client's deadline or, if it is earlier, the planned end of the shutdown of this
        process. The shutdown does not shorten the remaining time below twice DEADLINE_MARGIN_MS.
        """
        shutdown_at_ms = max(self._shutdown_end_ms, self._clock.now() + 2 * DEADLINE_MARGIN_MS)
        return min(sent_at_ms + request.wait_ms, shutdown_at_ms)

    def start_guard_timer(self, request: OpenRequest, deadline_at_ms: float) -> None:
        """Start the timer that ends the request by its deadline if the controller does not.

        It replaces an earlier guard timer of the request; see `restart_guard_timer`.
        """
        request.deadline_at_ms = deadline_at_ms
        self.restart_guard_timer(request)

    def stop_guard_timer(self, request: OpenRequest) -> None:
        """Stop the guard timer of a request, because its deadline does not run any more."""
        request.deadline_at_ms = math.inf
        self.restart_guard_timer(request)

    def restart_guard_timer(self, request: OpenRequest) -> None:
        """Set the guard timer by the deadline and by how far the response is; without a deadline, set none.

        A request without a response gets 504 shortly before its deadline. A short response that is being
        forwarded is aborted MAX_RESPONSE_DELAY_MS after it, and a long one has no guard timer.
        """
        if request.guard_timer is not None:
            request.guard_timer.cancel()
            request.guard_timer = None
        at_ms = request.deadline_at_ms - GUARD_MARGIN_MS
        callback: Callable[[], None] | None = functools.partial(self._on_guard_expired, request)
        if request.streaming_attempt is not None:
            at_ms = request.deadline_at_ms + MAX_RESPONSE_DELAY_MS
            callback = request.abort_forwarding
        if callback is not None and at_ms < math.inf:
            request.guard_timer = self._timers.call_after_events_at(at_ms, callback)

    def begin_shutdown(self, end_ms: float) -> None:
        """Limit the deadlines of requests that are received from now on to the clock time `end_ms`."""
        self._shutdown_end_ms = end_ms

    # -- responses

    def send_response(
        self,
        request: OpenRequest,
        outcome: FinalStatus,
        status: int,
        body: bytes = b"",
        content_type: bytes = b"",
        retry_after_ms: float = 0.0,
        reason: EndReason = EndReason.SERVED,
    ) -> bool:
        """Send a complete response to the client and count it.

        Returns False without any effect if the request is no longer open.
        """
        if not self._close_request(request):
            return False
        self._metrics.on_final_response(request.class_name, outcome)
        self.log.on_request_ended(request, reason, status)
        request.client.send_response(status, body, content_type, retry_after_ms)
        return True

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Respond with 503 to a request that was not executed and may be retried, if it is open."""
        request = self.open_requests.get(request_id)
        if request is not None:
            self.send_response(
                request,
                FinalStatus.THROTTLED,
                HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after_ms=retry_after_ms,
                reason=EndReason.REJECTED,
            )

    def reject_duplicate(self, request: OpenRequest) -> None:
        """Respond with 409 to a request whose id another process of this gateway knows, if it is open.

        Like other bad requests, it is not counted as an operation.
        """
        if self._close_request(request):
            self.log.on_request_ended(request, EndReason.DUPLICATE_ID, HTTPStatus.CONFLICT)
            request.client.send_response(HTTPStatus.CONFLICT)

    def count_rejection(self, class_name: str) -> None:
        """Count a request that was rejected before it was opened, because of a lack of memory."""
        self._metrics.on_final_response(class_name, FinalStatus.THROTTLED)
        self._metrics.ends[EndReason.NO_MEMORY] += 1

    def fail(self, request_id: int) -> None:
        """Respond with 502 to a request that failed, if it is open."""
        request = self.open_requests.get(request_id)
        if request is not None:
            self.send_response(request, FinalStatus.FAULTED, HTTPStatus.BAD_GATEWAY, reason=EndReason.FAILED)

    def finish_response(self, request: OpenRequest, is_complete: bool) -> None:
        """End and count a response that has been forwarded to the client.

        An incomplete response is aborted, so that the client detects that it is truncated.
        """
        self._close_request(request)
        outcome = FinalStatus.FULFILLED if is_complete else FinalStatus.FAULTED
        self._metrics.on_final_response(request.class_name, outcome)
        reason = EndReason.SERVED if is_complete else EndReason.RESPONSE_CUT_OFF
        self.log.on_request_ended(request, reason, HTTPStatus.OK)
        if is_complete:
            request.client.finish_response()
        else:
            request.client.abort_response()

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Close a request, report the disconnect, and cancel a response that is being forwarded.

        Has no effect if the request is no longer open.
        """
        if not self._close_request(request):
            return
        self.log.on_request_ended(request, EndReason.CLIENT_LEFT)
        self._events.enqueue(ClientDisconnected(request.id))
        self._attempts.cancel_streaming(request)

    def _close_request(self, request: OpenRequest) -> bool:
        """Remove a request, stop its guard timer and fail its unsent attempts.

        Returns False without any effect if the request is no longer open.
        """
        if self.open_requests.pop(request.id, None) is None:
            return False
        self.ids.mark_ended(request.request_id)
        self.stop_guard_timer(request)
        self._attempts.expire_unsent(request)
        return True

    def _on_guard_expired(self, request: OpenRequest) -> None:
        if request.id not in self.open_requests:
            return
        self._events.enqueue(ClientDisconnected(request.id))
        self.send_response(
            request, FinalStatus.FAULTED, HTTPStatus.GATEWAY_TIMEOUT, reason=EndReason.GUARD_EXPIRED
        )

    # -- periodic tasks

    def rotate_ids(self) -> None:
        """Remove the ids of requests that ended before the previous rotation."""
        self._rotated_at_ms = self._clock.now()
        self.ids.rotate()

    def _rotate_ids_if_due(self) -> None:
        """Rotate the ids if `id_retention_ms` have passed or ids are scarce, and schedule the next check."""
        now_ms = self._clock.now()
        self._timers.call_at(now_ms + ID_ROTATION_INTERVAL_MS, self._rotate_ids_if_due)
        are_scarce = len(self.ids) > self.max_ids * EARLY_ROTATION_FRACTION
        if are_scarce or now_ms - self._rotated_at_ms >= self.id_retention_ms:
            self.rotate_ids()

    def close_disconnected_uploads(self) -> None:
        """Close the connections of clients that have disconnected during an upload.

        While reading of the body is paused, the event loop does not report that the client has disconnected.
        """
        uploading = [request.client for request in self.open_requests.values() if request.upload is not None]
        for client in uploading:
            if client.is_disconnected():
                client.close_disconnected()


def _framing_field(received: ReceivedRequest) -> bytes | None:
    """Return the header field that frames the body in attempts; None if the request has no body."""
    if received.upload is not None:
        return received.upload.framing
    if received.method != b"GET":
        return b"Content-Length: %d" % len(received.body)
    return None
