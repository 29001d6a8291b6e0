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
    """How an attempt ended, with the response where one was received."""

    result: AttemptResult
    body: bytes = b""  # empty where the body was forwarded while it was received
    content_type: bytes = b""  # the response's Content-Type; empty where it has none
    load: tuple[float, ...] = ()  # the load report's values; empty where it has none


class AttemptObserver(Protocol):
    """The interface of the object that started an attempt and follows its response."""

    def on_response_started(
        self, attempt: UpstreamAttempt, source: ResponseSource, length: int | None, content_type: bytes
    ) -> ResponseSink | None:
        """Return where to forward a response that is too large to be buffered; None if it is not wanted.

        The length is None where the response does not state one.
        """

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """Process the outcome; called exactly once for each attempt."""


class AttemptCarrier(Protocol):
    """The interface of the connection that carries an attempt."""

    @property
    def is_request_unsent(self) -> bool:
        """Return whether the request's last byte has not been handed to the operating system."""

    def discard(self) -> None:
        """Close the connection at once."""


class Cancellable(Protocol):
    """A pending operation of the event loop."""

    def cancel(self) -> object:
        """Cancel the operation."""


class UpstreamAttempt:
    """The transmission of one request to one endpoint.

    An attempt ends exactly once, with one outcome, which its observer receives.
    """

    __slots__ = (
        "_observer",
        "connect_task",
        "connect_timer",
        "connection",
        "endpoint_id",
        "is_ended",
        "message",
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
        message: bytes,
        upload: Upload | None,
        observer: AttemptObserver,
        send_by_ms: float = math.inf,
    ) -> None:
        """Prepare an attempt; `UpstreamPool.start` sends it.

        The message is the request as far as it has been received; `upload` holds the rest of a large body.
        """
        self.request_id = request_id
        self.number = number
        self.endpoint_id = endpoint_id
        self.message = message
        self.upload = upload
        self.send_by_ms = send_by_ms  # the clock's time by which the last byte has to be sent
        self.started_ms = 0.0  # the clock's time at which latency begins to count
        self.response_started_ms = 0.0  # the clock's time at which forwarding began; 0 without forwarding
        self.is_ended = False
        self.connection: AttemptCarrier | None = None
        self.connect_task: Cancellable | None = None
        self.connect_timer: Timer | None = None
        self.send_by_timer: Timer | None = None
        self.timeout_timer: Timer | None = None
        self._observer = observer

    def may_send(self, now_ms: float) -> bool:
        """Return whether the request's first byte may be sent now."""
        return now_ms < self.send_by_ms and (self.upload is None or self.upload.may_send())

    def expire(self) -> None:
        """End the attempt unless its last byte has been sent, because it may no longer be sent."""
        if self.connection is None or self.connection.is_request_unsent:
            self.fail(AttemptResult.NOT_SENT)

    def start_forwarding(
        self, source: ResponseSource, length: int | None, content_type: bytes
    ) -> ResponseSink | None:
        """Return where to forward a response that is too large to be buffered; None if it is not wanted."""
        return self._observer.on_response_started(self, source, length, content_type)

    def on_forwarding_started(self, now_ms: float) -> None:
        """Record the response's start, and replace the attempt's timeout by the detection of a stall."""
        self.response_started_ms = now_ms
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()

    def latency_ms(self, now_ms: float) -> float:
        """Return the time from the start to the response, which is a forwarded response's first byte."""
        return (self.response_started_ms or now_ms) - self.started_ms

    def cancel(self) -> None:
        """End the attempt because its response is no longer wanted."""
        self.fail(AttemptResult.CANCELLED)

    def fail(self, result: AttemptResult) -> None:
        """End the attempt without a response."""
        self.end(AttemptOutcome(result))

    def end(self, outcome: AttemptOutcome) -> None:
        """Report the outcome exactly once, after cancelling the timers and releasing the connection."""
        if self.is_ended:
            return
        self.is_ended = True
        for timer in (self.timeout_timer, self.connect_timer, self.send_by_timer):
            if timer is not None:
                timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            # The response is incomplete, so closing its connection is what cancels it at the endpoint.
            self.connection.discard()
        self._observer.on_attempt_ended(self, outcome)
