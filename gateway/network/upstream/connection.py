"""Connections to endpoints, and the attempts on them. Nothing is resent here: each attempt goes out once."""

from __future__ import annotations

import asyncio
import functools
import json
import logging
import math
import os
import select
from collections.abc import Callable
from typing import Any

import httptools

from gateway.config import EndpointEntry, EndpointList
from gateway.interface.events import AttemptResult, EndpointState
from gateway.network.admin.metrics import Metrics
from gateway.network.clients.upload import Upload
from gateway.network.clock import Clock, Timer, Timers
from gateway.network.upstream.response_sink import ResponseSink

MAX_HEAD, MAX_BODY = 16 * 1024, 64 * 1024 * 1024
MAX_BUFFERED = (
    64 * 1024
)  # an answer up to this size is held until it is whole, and can be tried again if it breaks;
MAX_BUFFERED_UNSIZED = 16 * 1024  # one that does not say how long it is, up to this
STALL_MS = 10_000.0  # of an answer that is passed on something must move within so long
UPLOAD_STALL_MS = 5000.0  # and an endpoint must take something of a body that waits for it
IDLE_PART = 0.6  # of the time after which an endpoint closes an idle connection: ours are closed well before
MAX_PER_UPSTREAM = 128  # connections to one endpoint, in use or idle
MAX_IDLE = 24  # idle ones kept to one endpoint
SWEEP_MS = 1000.0
# A connection is used again after so long: a second answer, which would be taken for the next request's, may
# come some milliseconds late (seen: up to 3.8), and shows by then.
REUSE_DELAY_MS = 10.0
MOST_LOAD = 1e6  # a field of a load report beyond that, or below nothing, is no report
WHOLE_WRITE = 8 * 1024  # a request up to this size fits the empty buffer of any socket

log = logging.getLogger(__name__)

Done = Callable[["UpstreamAttempt", AttemptResult, bytes, bytes, tuple[float, ...]], None]
Begin = Callable[["UpstreamAttempt", "UpstreamConnection", int | None, bytes], ResponseSink | None]


class UpstreamAttempt:
    """One request on its way to one endpoint; ends once, with `done(attempt, result, body, type, load)`.

    An answer too large to be held goes to the client that `begin` names, as it comes.
    """

    __slots__ = (
        "alarm",
        "answered_ms",
        "begin",
        "connect_task",
        "connect_timer",
        "connection",
        "done",
        "endpoint_id",
        "message",
        "number",
        "request_id",
        "send_by_ms",
        "send_by_timer",
        "started_ms",
        "upload",
    )

    def __init__(
        self,
        request_id: int,
        number: int,
        endpoint_id: str,
        message: bytes,
        upload: Upload | None,
        done: Done,
        begin: Begin,
        send_by_ms: float = math.inf,
    ) -> None:
        self.request_id, self.number, self.endpoint_id, self.message = (
            request_id,
            number,
            endpoint_id,
            message,
        )
        self.upload = upload  # what of the request is still to come
        self.done: Done | None = done
        self.begin, self.send_by_ms = begin, send_by_ms
        self.started_ms = self.answered_ms = 0.0  # when sent, and when an answer began to be passed on
        self.connection: UpstreamConnection | None = None
        self.connect_task: asyncio.Task[Any] | None = None
        self.alarm: Timer | None = None
        self.connect_timer: Timer | None = None
        self.send_by_timer: Timer | None = None

    def may_send(self, now: float) -> bool:
        """Whether its first byte may go out now."""
        return now < self.send_by_ms and (self.upload is None or self.upload.may_send())

    def expire(self) -> None:
        """Its last byte may no longer go out. Where it has not, the request never runs by this attempt."""
        if self.connection is None or self.connection.is_unsent:
            self.end(AttemptResult.NOT_SENT)

    def end(
        self,
        result: AttemptResult,
        body: bytes = b"",
        content_type: bytes = b"",
        load: tuple[float, ...] = (),
    ) -> None:
        """Tell the outcome, once, and give up what the attempt still holds."""
        done, self.done = self.done, None
        if done is None:
            return
        for alarm in (self.alarm, self.connect_timer, self.send_by_timer):
            if alarm is not None:
                alarm.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:  # no whole answer has come: the endpoint learns by the end of it
            self.connection.discard()
        done(self, result, body, content_type, load)


class UpstreamConnection(asyncio.Protocol):
    """One connection to an endpoint; it carries one attempt at a time."""

    def __init__(self, pool: UpstreamPool, upstream: Upstream) -> None:
        self.pool, self.upstream = pool, upstream
        self.transport: asyncio.Transport | None = None
        self.attempt: UpstreamAttempt | None = None
        self.idle_since_ms = 0.0
        self.closed = False
        self.is_unsent = True  # the last byte of a request has not been handed to the system
        self.blocked = False  # the system takes no more for now
        self.last_progress_ms = 0.0  # when something last came or went of what is passed on,
        self.waits = 0  # and how much waited to go out when that was last looked at
        self.parser: Any = None
        self.head_size = self.status = 0
        self._clear()

    def _clear(self) -> None:
        self.in_head, self.complete, self.pipelined, self.too_large = True, False, False, False
        self.body: list[bytes] = []
        self.body_size = 0
        self.content_type = self.load = b""
        self.is_not_executed = self.keep = self.ends_with_connection = self.chunked = False
        self.length: int | None = None
        self.client: ResponseSink | None = None  # to whom the answer is passed on

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        # Only what may not fit the socket at once is watched: see pause_writing.
        transport.set_write_buffer_limits(high=WHOLE_WRITE, low=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """A large request is not out: should the connection break now, the endpoint never had it whole. The
        loop tells it at the end of the turn in which it was written.
        """
        self.blocked, self.last_progress_ms = True, self.pool.clock.now()
        if not self.is_unsent:
            self.is_unsent = True
            self.pool.metrics.relayed -= 1
        if self.attempt is not None and self.attempt.upload is not None:
            self.attempt.upload.on_endpoint_blocked(blocked=True)

    def resume_writing(self) -> None:
        self.blocked, self.last_progress_ms = False, self.pool.clock.now()
        upload = self.attempt.upload if self.attempt is not None else None
        if upload is not None:
            upload.on_endpoint_blocked(blocked=False)
        if self.is_unsent and (upload is None or upload.is_complete):
            self._is_out()

    def write_part(self, data: bytes) -> None:
        """A part of a request, not the last."""
        self.transport.write(data)  # type: ignore[union-attr]

    def write_last(self, data: bytes) -> None:
        """The end of a request."""
        self.transport.write(data)  # type: ignore[union-attr]
        if not self.blocked:
            self._is_out()

    def _is_out(self) -> None:
        """The endpoint has the whole request, for all that can be known here."""
        self.is_unsent = False
        self.pool.metrics.relayed += 1

    def set_response_paused(self, paused: bool) -> None:
        """The client of the answer takes no more for now, or again."""
        self.last_progress_ms = self.pool.clock.now()
        if self.transport is not None and not self.transport.is_closing():
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.attempt is None or self.closed:
            self.discard()  # nothing was asked: what comes now belongs to no request
            return
        if self.in_head:
            self.head_size += len(data)
        self.last_progress_ms = self.pool.clock.now()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self._fault(AttemptResult.ERROR)
                return
            self.pipelined = True
        if self.complete and not self.too_large:
            self._answered()
        elif self.too_large or (self.in_head and self.head_size > MAX_HEAD):
            self._fault(AttemptResult.ERROR)

    def eof_received(self) -> None:
        """The endpoint ends its sending: so ends an answer that has no other end."""
        if self.attempt is not None and self.ends_with_connection and not self.closed and not self.is_reset():
            self.complete, self.keep = True, False
            self._answered()

    def is_reset(self) -> bool:
        """Whether the end that was told is a reset. Where one comes close behind the last bytes, the loop
        reads these, sees that there is no more, and calls it an end; the error waits for who reads next.
        """
        try:
            sock = self.transport.get_extra_info("socket")  # type: ignore[union-attr]
            return os.read(sock.fileno(), 1) != b""
        except OSError:
            return True

    def connection_lost(self, _problem: Exception | None) -> None:
        self.parser = None  # it holds this connection: the two would wait for the collector
        self._leave()
        if self.attempt is not None:
            self._fault(AttemptResult.CONNECT_FAILED if self.is_unsent else AttemptResult.RESET)

    # -- the parser's callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or not self.in_head:  # of what comes behind, or a trailer
            return
        if len(name) in (6, 9, 12, 14):
            name, value = name.lower(), value.strip(b" \t")  # the parser leaves the blanks behind a value
            if name == b"x-load":
                self.load = value
            elif name == b"x-not-run":
                self.is_not_executed = value == b"1"
            elif name == b"content-type":
                self.content_type = value
            elif name == b"content-length":
                # Refused by what it says, not by what has come: 3 GB would be read until then.
                self.too_large = not value.isdigit() or len(value) > 9 or int(value) > MAX_BODY
                self.length = None if self.too_large else int(value)
        elif len(name) == 17 and name.lower() == b"transfer-encoding":
            self.chunked = True

    def on_headers_complete(self) -> None:
        if self.complete:  # of what comes behind
            return
        self.in_head = False
        self.status = self.parser.get_status_code()
        self.ends_with_connection = self.length is None and not self.chunked and self.status not in (204, 304)

    def on_body(self, part: bytes) -> None:
        if self.complete or self.too_large or self.attempt is None:
            return
        self.body_size += len(part)
        self.too_large = self.body_size > MAX_BODY
        if self.client is not None:
            self.client.forward(part)
            return
        self.body.append(part)
        if self.status == 200 and (
            self.body_size > MAX_BUFFERED_UNSIZED if self.length is None else self.length > MAX_BUFFERED
        ):
            self._pass_on()

    def _pass_on(self) -> None:
        """The answer is not held any longer: from now on it goes to the client as it comes."""
        attempt = self.attempt
        assert attempt is not None
        self.client = attempt.begin(attempt, self, self.length, self.content_type)
        if self.client is None:  # nobody waits for it any more
            self.too_large = True
            return
        self.pool.passing.add(self)
        self.client.forward(b"".join(self.body))
        self.body = []

    def on_message_begin(self) -> None:
        self.pipelined = self.complete  # a second answer where one was asked for

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200 and not self.complete:
            self._clear()  # an interim answer; the real one follows. All of them share one limit on the head
        elif not self.pipelined:
            self.complete = True
            self.status = self.parser.get_status_code()  # later it would be that of what comes behind
            # Asked any later, the parser has forgotten the length and takes every answer for the last.
            self.keep = self.parser.should_keep_alive()

    def is_quiet(self) -> bool:
        """Whether nothing waits on the connection: bytes, or its end. The loop may not have read them yet,
        and once a request is out they would be taken for its answer, or for a reset that may have run.
        """
        watched = select.poll()
        watched.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)  # type: ignore
        return not watched.poll(0)

    # -- one attempt

    def send_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write the request of the attempt, in one piece."""
        self._clear()
        self.head_size = 0
        self.parser = httptools.HttpResponseParser(self)
        self.attempt, attempt.connection = attempt, self
        self.is_unsent = True
        if attempt.upload is None:
            self.write_last(attempt.message)
        else:
            self.last_progress_ms = self.pool.clock.now()
            self.pool.passing.add(self)
            attempt.upload.attach(self, attempt.message)

    def _answered(self) -> None:
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        attempt.connection = None
        self.pool.passing.discard(self)
        self.client = None
        status, load = self.status, self.pool.load_from(self.load)
        body = self.body[0] if len(self.body) == 1 else b"".join(self.body)
        if (
            self.pipelined or not self.keep or self.is_unsent
        ):  # an answer may come before the request is whole
            self.discard()
        else:
            self.pool.release(self)
        if status == 200:
            attempt.end(AttemptResult.OK, body, self.content_type, load)
        elif status in (503, 504) and self.is_not_executed:
            attempt.end(AttemptResult.OVERLOADED, load=load)
        else:  # also a 503 or 504 that does not say so: it may have run
            attempt.end(AttemptResult.ERROR, load=load)

    def _fault(self, result: AttemptResult) -> None:
        attempt, self.attempt = self.attempt, None
        self.discard()
        if attempt is not None:
            attempt.connection = None
            attempt.end(result)

    def is_stalled(self, now: float) -> bool:
        """Whether nothing moves any more: of a body on the endpoint's side, of an answer on either."""
        end = self.transport if self.client is None else self.client.transport
        waits = end.get_write_buffer_size() if end is not None else 0
        if waits != self.waits:  # a slow one that takes something all the same
            self.waits, self.last_progress_ms = waits, now
        if self.client is None:
            return self.blocked and now - self.last_progress_ms > UPLOAD_STALL_MS
        return now - self.last_progress_ms > STALL_MS

    def abort_request(self) -> None:
        """Wait no longer."""
        self._fault(AttemptResult.CONNECT_FAILED if self.is_unsent else AttemptResult.RESET)

    def discard(self) -> None:
        """Close at once, whatever is still to come on it."""
        self.attempt = None
        self._leave()
        if self.transport is not None:
            self.transport.abort()

    def _leave(self) -> None:
        if not self.closed:
            self.closed = True
            self.pool.passing.discard(self)
            self.pool.forget(self)


class Upstream:
    """One process of an endpoint, as discovery lists it, with our connections to it."""

    __slots__ = ("connecting", "connections", "entry", "idle")

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.idle: list[UpstreamConnection] = []  # the most recently used is last
        self.connections = 0  # open or being opened
        self.connecting: list[UpstreamAttempt] = []

    def is_same_process(self, entry: EndpointEntry) -> bool:
        return (
            self.entry.address == entry.address
            and self.entry.endpoint.started_ms == entry.endpoint.started_ms
        )


class UpstreamPool:
    """The endpoints that discovery has named, by name."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        metrics: Metrics,
        *,
        idle_ms: float,
        connect_timeout_ms: float,
        max_connections: int,
        report_fields: tuple[str, ...],
    ) -> None:
        self._loop, self.clock, self._timers, self.metrics = loop, clock, timers, metrics
        self.passing: set[UpstreamConnection] = set()  # whose bodies or answers are passed on as they come
        self._idle_ms, self._connect_timeout_ms = idle_ms * IDLE_PART, connect_timeout_ms
        self._max, self._fields = max_connections, report_fields
        self._known: dict[str, Upstream] = {}
        self._connections = 0
        timers.at(clock.now() + SWEEP_MS, self._sweep)

    def limit(self, connections: int) -> None:
        """Hold no more connections than that."""
        self._max = connections

    @property
    def connections(self) -> int:
        return self._connections

    def close_idle_connections(self) -> None:
        """Close all connections that carry nothing."""
        for upstream in self._known.values():
            for connection in list(upstream.idle):
                connection.discard()

    # -- discovery

    def update(self, endpoint_list: EndpointList) -> list[EndpointEntry]:
        """Take in a list. What left service or runs anew loses its idle connections and waiting attempts.

        The answer is those that are gone though the list does not say so yet: a new endpoint has their
        address,
        and what was sent to them would come to it, cold as it is.
        """
        if endpoint_list.is_snapshot:
            listed = {entry.endpoint.id for entry in endpoint_list.entries}
            for name in [name for name in self._known if name not in listed]:
                self._retire(self._known.pop(name))
        for entry in endpoint_list.entries:
            name = entry.endpoint.id
            upstream = self._known.get(name)
            if upstream is not None and (
                entry.endpoint.state is not EndpointState.READY or not upstream.is_same_process(entry)
            ):
                self._retire(self._known.pop(name))
                upstream = None
            if upstream is not None:
                upstream.entry = entry
            elif entry.endpoint.state is EndpointState.READY:
                self._known[name] = Upstream(entry)
        successors = {
            entry.address: entry.endpoint
            for entry in endpoint_list.entries
            if entry.endpoint.state is EndpointState.READY
        }
        displaced = []
        for name, upstream in list(self._known.items()):
            successor = successors.get(upstream.entry.address)
            if (
                successor is not None
                and successor.id != name
                and successor.started_ms >= upstream.entry.endpoint.started_ms
            ):
                self._retire(self._known.pop(name))
                displaced.append(upstream.entry)
        return displaced

    def _retire(self, upstream: Upstream) -> None:
        """Nothing new goes there. What is on its way may still be answered."""
        for connection in list(upstream.idle):
            connection.discard()
        for attempt in list(upstream.connecting):  # not a byte of these was written
            attempt.end(AttemptResult.CONNECT_FAILED)

    def serves(self, upstream: Upstream) -> bool:
        return self._known.get(upstream.entry.endpoint.id) is upstream

    # -- attempts

    def start(self, attempt: UpstreamAttempt, timeout_ms: float) -> None:
        """Send on a kept connection, or on a new one. The outcome never comes before this returns."""
        now = self.clock.now()
        attempt.started_ms = now
        if attempt.upload is None or attempt.upload.is_complete:  # else its time begins with its last byte
            self.allow(attempt, timeout_ms)
        if attempt.send_by_ms < math.inf:
            attempt.send_by_timer = self._timers.at(attempt.send_by_ms, attempt.expire)
        upstream = self._known.get(attempt.endpoint_id)
        may_send = attempt.may_send(now)  # the loop may have been slow since this was decided
        kept = self._kept(upstream, now) if upstream is not None and may_send else None
        if not may_send:
            self._loop.call_soon(attempt.end, AttemptResult.NOT_SENT)
        elif kept is not None:
            kept.send_attempt(attempt)
        elif upstream is None or upstream.connections >= MAX_PER_UPSTREAM or self._connections >= self._max:
            self._loop.call_soon(attempt.end, AttemptResult.CONNECT_FAILED)
        else:
            upstream.connections += 1
            self._connections += 1
            upstream.connecting.append(attempt)
            attempt.connect_timer = self._timers.at(
                now + self._connect_timeout_ms, lambda: attempt.end(AttemptResult.CONNECT_FAILED)
            )
            connection = UpstreamConnection(self, upstream)
            attempt.connect_task = self._loop.create_task(
                self._loop.create_connection(lambda: connection, *upstream.entry.address)
            )
            attempt.connect_task.add_done_callback(
                functools.partial(self._on_connected, upstream, attempt, connection)
            )

    def allow(self, attempt: UpstreamAttempt, timeout_ms: float) -> None:
        """An attempt may take so long from now on."""
        attempt.alarm = self._timers.at(
            self.clock.now() + timeout_ms, lambda: attempt.end(AttemptResult.TIMEOUT)
        )

    def _kept(self, upstream: Upstream, now: float) -> UpstreamConnection | None:
        """The kept connection used last that has rested and on which nothing waits. Where something does, it
        is closed.
        """
        for connection in [
            one for one in reversed(upstream.idle) if now - one.idle_since_ms >= REUSE_DELAY_MS
        ]:
            if connection.is_quiet():
                upstream.idle.remove(connection)
                return connection
            connection.discard()
        return None

    def _on_connected(
        self,
        upstream: Upstream,
        attempt: UpstreamAttempt,
        connection: UpstreamConnection,
        connect_task: asyncio.Task[Any],
    ) -> None:
        """A connection has come up, or has not. Called for a cancelled task too, even one never begun."""
        upstream.connecting.remove(attempt)
        attempt.connect_task = None
        problem = None if connect_task.cancelled() else connect_task.exception()
        if problem is not None and not isinstance(problem, OSError):
            log.error("connecting to %s failed", upstream.entry.address, exc_info=problem)
        if attempt.connect_timer is not None:
            attempt.connect_timer.cancel()
        usable = not connect_task.cancelled() and problem is None and not connection.closed
        if not attempt.may_send(self.clock.now()):  # its alarm may be due too, and come after this
            attempt.end(AttemptResult.NOT_SENT)
        if usable and attempt.done is not None and self.serves(upstream):
            connection.send_attempt(attempt)
        else:  # also when word of a drain came meanwhile: nothing may be written to it any more
            connection.discard()
            attempt.end(AttemptResult.CONNECT_FAILED)

    # -- connections

    def release(self, connection: UpstreamConnection) -> None:
        upstream = connection.upstream
        if connection.closed or not self.serves(upstream) or len(upstream.idle) >= MAX_IDLE:
            connection.discard()
            return
        connection.idle_since_ms = self.clock.now()
        upstream.idle.append(connection)

    def forget(self, connection: UpstreamConnection) -> None:
        """The connection has ended, or never came up."""
        upstream = connection.upstream
        upstream.connections -= 1
        self._connections -= 1
        if connection in upstream.idle:
            upstream.idle.remove(connection)

    def _sweep(self) -> None:
        """Close what has been idle for long, before the endpoint does: that could cross a request."""
        now = self.clock.now()
        self._timers.at(now + SWEEP_MS, self._sweep)
        for connection in [one for one in self.passing if one.is_stalled(now)]:
            connection.abort_request()
        for upstream in self._known.values():
            while upstream.idle and now - upstream.idle[0].idle_since_ms > self._idle_ms - SWEEP_MS:
                upstream.idle[0].discard()

    def load_from(self, text: bytes) -> tuple[float, ...]:
        """The load report in an answer's header; nothing where it lacks a field or cannot be read."""
        if not text or not self._fields:
            return ()
        try:
            report = json.loads(text)
            values = tuple(float(report[field]) for field in self._fields)
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return ()
        return values if all(math.isfinite(value) and 0 <= value <= MOST_LOAD for value in values) else ()
