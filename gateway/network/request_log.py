"""Logs how requests, attempts and client connections ended, unless they ended normally.

The number of lines is limited, so that an overload of requests does not become an overload of log lines. The
metrics count every end.
"""

from __future__ import annotations

import logging

from gateway.interface.events import AttemptResult
from gateway.network.admin.metrics import CloseReason, EndReason, Metrics
from gateway.network.clients.open_request import OpenRequest
from gateway.network.clock import Clock

# Maximum number of lines in each interval of LINE_INTERVAL_MS.
MAX_LINES_PER_INTERVAL = 20

# Length of the interval in milliseconds.
LINE_INTERVAL_MS = 1000.0

# Ends of requests that are counted but not logged.
_NORMAL_ENDS = (EndReason.SERVED, EndReason.CLIENT_LEFT)

log = logging.getLogger(__name__)


class RequestLog:
    """Counts each end in the metrics, and logs those that are not normal."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Start without counted lines."""
        self._clock = clock
        self._metrics = metrics
        self._interval_ends_at_ms = 0.0
        self._lines = 0  # lines in the current interval
        self._omitted_lines = 0  # lines omitted since the last one

    def on_request_ended(self, request: OpenRequest, reason: EndReason, status: int = 0) -> None:
        """Record the end of an open request; `status` is that of its response, 0 if it got none."""
        self._metrics.ends[reason] += 1
        if reason in _NORMAL_ENDS or not self._may_log():
            return
        log.info(
            "request %s (class %s) ended: %s, status %d, after %.0f ms, %d attempts, body %s",
            request.request_id.decode(),
            request.class_name,
            reason.value,
            status,
            self._clock.now() - request.opened_at_ms,
            request.attempt_count,
            "complete" if request.upload is None or request.upload.is_complete else "incomplete",
        )

    def on_attempt_ended(
        self, request: OpenRequest | None, number: int, endpoint: str, result: AttemptResult
    ) -> None:
        """Record the result of an attempt; `request` is None if it has ended before the attempt."""
        self._metrics.attempt_results[result] += 1
        if request is None or result is AttemptResult.OK or not self._may_log():
            return
        log.info(
            "attempt %d of request %s at %s ended: %s, %.0f ms after the request was opened",
            number,
            request.request_id.decode(),
            endpoint,
            result.value,
            self._clock.now() - request.opened_at_ms,
        )

    def on_connection_closed(self, reason: CloseReason, received_bytes: int, unread_bytes: int = 0) -> None:
        """Record that the gateway closes a client connection on which no response ends it.

        `received_bytes` is the size of the part of a request that has been received on it, and `unread_bytes`
        that of the output that is discarded; only if one of them is not 0, something was lost.
        """
        self._metrics.closes[reason] += 1
        if received_bytes and self._may_log():
            log.info("connection closed: %s, %d bytes of a request received", reason.value, received_bytes)
        if not unread_bytes:
            return
        self._metrics.unread_closes[reason] += 1
        if self._may_log():
            log.info("connection closed: %s, %d bytes of output not read", reason.value, unread_bytes)

    def _may_log(self) -> bool:
        """Return whether another line may be logged, and log the number of omitted lines before it."""
        now_ms = self._clock.now()
        if now_ms >= self._interval_ends_at_ms:
            self._interval_ends_at_ms = now_ms + LINE_INTERVAL_MS
            self._lines = 0
            if self._omitted_lines:
                log.info("request log: %d lines omitted", self._omitted_lines)
                self._omitted_lines = 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_INTERVAL:
            return True
        self._omitted_lines += 1
        return False
