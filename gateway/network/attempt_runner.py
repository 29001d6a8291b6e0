"""Starts and cancels attempts for the controller, and reports their results as events."""

from __future__ import annotations

from http import HTTPStatus

from gateway.interface.actions import CancelAttempt, ForwardResponse, SendAttempt
from gateway.interface.events import AttemptEnded, AttemptResult, ResponseBegun, ResponseStarted
from gateway.network.admin.metrics import FinalStatus
from gateway.network.attempt_table import AttemptTable
from gateway.network.clients.open_request import OpenRequest
from gateway.network.clients.response_source import ResponseSource
from gateway.network.clock import Clock
from gateway.network.controller_loop import EventSink
from gateway.network.request_table import RequestTable
from gateway.network.upstream.attempt import AttemptOutcome, UpstreamAttempt
from gateway.network.upstream.exchange import MAX_BUFFERED_BYTES
from gateway.network.upstream.pool import UpstreamPool
from gateway.network.upstream.response_sink import ResponseSink


class AttemptRunner:
    """Starts and cancels attempts; the first successful attempt of a request provides its response."""

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamPool,
        requests: RequestTable,
        attempts: AttemptTable,
        events: EventSink,
    ) -> None:
        """Create a runner that sends attempts through `upstreams` and reports their results to `events`."""
        self._clock = clock
        self._upstreams = upstreams
        self._requests = requests
        self._attempts = attempts
        self._events = events

    def send_attempt(self, action: SendAttempt) -> None:
        """Start an attempt, or report it as NOT_SENT if its request is closed or its client has disconnected.

        If this method detects that the client has disconnected, it also closes the request. An attempt whose
        start fails with an exception has ended as well.
        """
        try:
            self._send_attempt(action)
        except Exception:
            self._end_failed_start(action)
            raise

    def _send_attempt(self, action: SendAttempt) -> None:
        request = self._requests.open_requests.get(action.id)
        if request is None:
            self._report_not_sent(action)
        elif request.client.is_disconnected():
            self._requests.on_client_disconnected(request)
            request.client.close_disconnected()
            self._report_not_sent(action)
        else:
            self._start_attempt(request, action)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt; has no effect if it has ended."""
        attempt = self._attempts.get(action.id, action.attempt)
        if attempt is not None:
            attempt.cancel()

    def forward_response(self, action: ForwardResponse) -> None:
        """Forward the response of an attempt that is being buffered; has no effect if it has ended."""
        attempt = self._attempts.get(action.id, action.attempt)
        if attempt is not None and attempt.connection is not None:
            attempt.connection.forward_response()

    def on_request_completed(self, request: OpenRequest, timeout_ms: float) -> None:
        """Start the timeouts of the attempts of a request whose last byte has just been received.

        The latency of the attempts is measured from now on. It excludes the time that the client took for the
        upload. An attempt whose response is being forwarded already keeps its latency and gets no timeout.
        """
        now_ms = self._clock.now()
        for attempt in self._attempts.of_request(request):
            if attempt.number == request.streaming_attempt:
                continue
            attempt.started_ms = now_ms
            self._upstreams.start_timeout(attempt, timeout_ms)

    def _start_attempt(self, request: OpenRequest, action: SendAttempt) -> None:
        upload = request.upload
        timeout_ms = action.timeout_ms if upload is None or upload.is_complete else request.wait_ms
        attempt = UpstreamAttempt(
            request.id,
            action.attempt,
            action.endpoint,
            request.attempt_head(timeout_ms),
            request.body,
            upload,
            self,
            action.send_by_ms,
        )
        request.attempt_count = action.attempt + 1
        self._attempts.add(attempt)
        self._upstreams.start_attempt(attempt, action.timeout_ms)

    def _end_failed_start(self, action: SendAttempt) -> None:
        attempt = self._attempts.get(action.id, action.attempt)
        if attempt is None:
            self._report_not_sent(action)
        else:
            attempt.cancel()

    def _report_not_sent(self, action: SendAttempt) -> None:
        """Report the end of an attempt that has not been started."""
        result = AttemptResult.NOT_SENT
        is_final = action.id not in self._requests.open_requests
        self._requests.log.on_attempt_ended(None, action.attempt, action.endpoint, result)
        self._events.enqueue(AttemptEnded(action.id, action.attempt, action.endpoint, 0.0, result, is_final))

    # -- notifications from attempts (`AttemptObserver`)

    def on_response_begun(self, attempt: UpstreamAttempt) -> None:
        """Report that a response without a stated length is being buffered."""
        self._events.enqueue(ResponseBegun(attempt.request_id, attempt.number))

    def on_response_started(
        self, attempt: UpstreamAttempt, source: ResponseSource, length: int | None, content_type: bytes
    ) -> ResponseSink | None:
        """Start forwarding a response that is too large to be buffered.

        Returns the client, or None if the request is closed or the response of another attempt is being
        forwarded.
        """
        request = self._requests.open_requests.get(attempt.request_id)
        if request is None or request.streaming_attempt is not None:
            return None
        request.streaming_attempt = attempt.number
        attempt.on_forwarding_started(self._clock.now())
        # From now on a long response is limited by stall detection and not by the deadline. A short one is
        # forwarded for lack of memory only, and its last byte is due at the deadline.
        if length is not None and length <= MAX_BUFFERED_BYTES:
            request.abort_forwarding = lambda: attempt.fail(AttemptResult.TIMEOUT)
        self._requests.restart_guard_timer(request)
        request.client.start_response(source, length, content_type)
        self._events.enqueue(ResponseStarted(request.id, attempt.number, attempt.endpoint_id))
        return request.client

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """Finish the request if the outcome of this attempt decides it, and report the result."""
        self._attempts.remove(attempt)
        request = self._requests.open_requests.get(attempt.request_id)
        self._requests.log.on_attempt_ended(request, attempt.number, attempt.endpoint_id, outcome.result)
        try:
            if request is not None:
                self._finish_request(request, attempt, outcome)
        finally:
            is_final = attempt.request_id not in self._requests.open_requests
            self._events.enqueue(
                AttemptEnded(
                    attempt.request_id,
                    attempt.number,
                    attempt.endpoint_id,
                    attempt.latency_ms(self._clock.now()),
                    outcome.result,
                    is_final,
                    load=outcome.load,
                )
            )

    def _finish_request(
        self, request: OpenRequest, attempt: UpstreamAttempt, outcome: AttemptOutcome
    ) -> None:
        """Respond to the client and close the request if the outcome of this attempt decides it.

        This is the case if the attempt's response was being forwarded or if the attempt is the first
        successful one. Otherwise the controller decides how the request continues.
        """
        is_successful = outcome.result is AttemptResult.OK
        if request.streaming_attempt == attempt.number:
            self._requests.finish_response(request, is_complete=is_successful)
        elif request.streaming_attempt is None and is_successful:
            self._requests.send_response(
                request, FinalStatus.FULFILLED, HTTPStatus.OK, outcome.body, outcome.content_type
            )
