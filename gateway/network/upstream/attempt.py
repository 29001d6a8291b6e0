"""One attempt: the transmission of a request to one endpoint, and its single outcome."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from gateway.interface.events import AttemptResult
from gateway.network.clients.response_source import ResponseSource
from gateway.network.clients.upload import Upload
from gateway.network.clock import Timer
from gateway.network.upstream.response_sink import ResponseSink


@dataclass(slots=True)
class AttemptOutcome:
    """The result of an attempt, with the response if one was received."""

    result: AttemptResult
    body: bytes = b""  # empty if the body was forwarded while it was received
    content_type: bytes = b""  # the value of Content-Type; empty if the response has none
    load: tuple[float, ...] = ()  # the values of the load report; empty if it is missing or invalid


class AttemptObserver(Protocol):
    """The interface of the object that started an attempt and follows its response."""

    def on_response_begun(self, attempt: UpstreamAttempt) -> None:
        """Process the begin of a response without a stated length, whose body is buffered at first."""

    def on_response_started(
        self, attempt: UpstreamAttempt, source: ResponseSource, length: int | None, content_type: bytes
    ) -> ResponseSink | None:
        """Return the client that receives a response too large to be buffered; None rejects the response.

        `length` is the length of the body in bytes, or None if the response does not state it. The attempt
        fails if its response is rejected.
        """

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """Process the outcome of an attempt; called exactly once for each attempt."""


class AttemptConnection(Protocol):
    """The interface of the endpoint connection on which an attempt is sent."""

    @property
    def is_request_unsent(self) -> bool:
        """Whether the operating system has not yet accepted the last byte of the request."""

    def forward_response(self) -> None:
        """Forward the response that is being buffered from its first byte on."""

    def discard(self) -> None:
        """Close the connection without waiting for buffered data."""


class Cancellable(Protocol):
    """An operation of the event loop that can be cancelled."""

    def cancel(self) -> object:
        """Cancel the operation."""


class UpstreamAttempt:
    """The transmission of one request to one endpoint.

    An attempt ends exactly once; its observer receives the outcome.
    """

    __slots__ = (
        "_observer",
        "body",
        "connect_task",
        "connect_timer",
        "connection",
        "endpoint_id",
        "head",
        "is_ended",
        "number",
        "request_id",
        "response_started_ms",
        "send_by_ms",
        "send_by_timer",
        "started_ms",
        "timeout_timer",
        "upload",
    )

    def __init__(
        self,
        request_id: int,
        number: int,
        endpoint_id: str,
        head: bytes,
        body: bytes,
        upload: Upload | None,
        observer: AttemptObserver,
        send_by_ms: float = math.inf,
    ) -> None:
        """Create an attempt that `UpstreamPool.start_attempt` sends.

        Args:
            request_id: The number of the request in this process, not the client's X-Request-Id.
            number: The number of the attempt within the request; the first attempt has number 0.
            endpoint_id: The id of the endpoint that receives the attempt.
            head: The head of the request.
            body: The body of the request; empty if there is none, or if `upload` forwards it.
            upload: The large body of the request; None if `body` has it or there is none.
            observer: The object that receives the outcome.
            send_by_ms: The clock time before which the last byte of the request has to be sent.
        """
        self.request_id = request_id
        self.number = number
        self.endpoint_id = endpoint_id
        self.head = head
        self.body = body
        self.upload = upload
        self.send_by_ms = send_by_ms
        # Clock time from which the latency is measured: the start of the attempt. If the request was not
        # complete at that time, it is the receipt of its last byte instead.
        self.started_ms = 0.0
        self.response_started_ms = 0.0  # clock time at which forwarding began; 0 if nothing is forwarded
        self.is_ended = False
        self.connection: AttemptConnection | None = None
        self.connect_task: Cancellable | None = None
        self.connect_timer: Timer | None = None
        self.send_by_timer: Timer | None = None
        self.timeout_timer: Timer | None = None
        self._observer = observer

    def may_send(self, now_ms: float) -> bool:
        """Return whether sending may begin now.

        Sending may not begin after the send deadline, after the client has disconnected during its upload, or
        after another attempt has started to send the upload, whose bytes are no longer buffered then.
        """
        return now_ms < self.send_by_ms and (self.upload is None or self.upload.may_send())

    def release_body(self) -> None:
        """Drop the body, which has been passed to a connection; an attempt is sent only once."""
        self.body = b""

    @property
    def is_unsent(self) -> bool:
        """Whether the operating system has not yet accepted the last byte of the request."""
        return self.connection is None or self.connection.is_request_unsent

    def expire_if_unsent(self) -> None:
        """Fail the attempt with NOT_SENT unless the last byte of its request has been sent."""
        if self.is_unsent:
            self.fail(AttemptResult.NOT_SENT)

    def on_response_begun(self) -> None:
        """Report that a response without a stated length is being buffered."""
        self._observer.on_response_begun(self)

    def start_forwarding(
        self, source: ResponseSource, length: int | None, content_type: bytes
    ) -> ResponseSink | None:
        """Return the client that receives a response too large to be buffered; None rejects the response."""
        return self._observer.on_response_started(self, source, length, content_type)

    def on_forwarding_started(self, now_ms: float) -> None:
        """Record the start of the response and cancel the timeout of the attempt.

        From now on the connection's stall detection limits the response.
        """
        self.response_started_ms = now_ms
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()

    def latency_ms(self, now_ms: float) -> float:
        """Return the latency of the attempt in milliseconds.

        The latency ends at `now_ms`. If the response is forwarded, it ends at the start of forwarding.
        """
        return (self.response_started_ms or now_ms) - self.started_ms

    def cancel(self) -> None:
        """End the attempt because its response is no longer needed.

        The result is NOT_SENT if the last byte of the request has not been sent, and CANCELLED otherwise.
        """
        self.fail(AttemptResult.NOT_SENT if self.is_unsent else AttemptResult.CANCELLED)

    def fail(self, result: AttemptResult) -> None:
        """End the attempt with a result other than a response."""
        self.end(AttemptOutcome(result))

    def end(self, outcome: AttemptOutcome) -> None:
        """Cancel the timers, close the connection in use and report the outcome.

        Calls after the first one have no effect.
        """
        if self.is_ended:
            return
        self.is_ended = True
        for timer in (self.timeout_timer, self.connect_timer, self.send_by_timer):
            if timer is not None:
                timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        try:
            if self.connection is not None:
                # The response is incomplete. HTTP/1.1 can only cancel it by closing the connection.
                self.connection.discard()
        finally:
            self._observer.on_attempt_ended(self, outcome)
