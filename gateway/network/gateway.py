"""The gateway: what happens becomes events, the controller decides, and its actions are carried out.

Everything that happens in one turn of the loop goes to the controller in one call. The table of open requests
is kept here: a request is in it from its last byte until its one final answer.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from gateway.config import Config, EndpointList
from gateway.errors import BadRequestError
from gateway.interface.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    SubscribeEndpoints,
)
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    BodyReleased,
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    Event,
    GossipReceived,
    RequestArrived,
    RequestCompleted,
    ResponseStarted,
    TimerFired,
)
from gateway.network.admin.metrics import FinalStatus, Metrics
from gateway.network.clients.connection import ClientConnection
from gateway.network.clients.connection_limiter import (
    ADMITTED_FRACTION,
    SWEEP_INTERVAL_MS,
    ConnectionLimiter,
    LimitedConnection,
)
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_validator import RequestValidator, ValidatedRequest
from gateway.network.clock import Clock, Timers
from gateway.network.gossip_socket import GossipSocket
from gateway.network.open_request import OpenRequest, upstream_head
from gateway.network.recent_ids import RecentIds
from gateway.network.upstream.connection import UpstreamAttempt, UpstreamConnection, UpstreamPool
from gateway.network.upstream.response_sink import ResponseSink
from gateway.policy.controller import Controller
from gateway.policy.state_transfer import hot_restart
from gateway.policy.state_transfer.gateway_state import GatewayState

MARGIN_MS = 20.0  # the controller is told a deadline so much earlier: the wire and our timers take their time
GUARD_MS = 5.0  # so long before the client gives up it is answered, come what may
# Of the descriptors. Clients have up to HARD_PART (see admission.py); at least so many others are for the
# loop itself, discovery and peers (17 counted in service), the admin endpoint and the process that follows.
UPSTREAM_PART, RESERVED_DESCRIPTORS = 0.42, 30
LOG_EVERY_MS = 10_000.0  # a fault of the controller is logged at most so often
REMEMBER_MS = 2000.0  # for once to twice as long an id stays known after its request has ended

log = logging.getLogger(__name__)


def shareable_descriptors(sockets: int) -> int:
    """Of how many descriptors clients and endpoints have their parts, so that the others have theirs."""
    return min(sockets, int((sockets - RESERVED_DESCRIPTORS) / (ADMITTED_FRACTION + UPSTREAM_PART)))


class Gateway:
    """One gateway: the controller, its open requests, and the ways to clients, endpoints and peers."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, controller: Controller | None = None
    ) -> None:
        self.config, self.settings, self.loop = config, config.settings, loop
        self.clock = Clock()
        self.timers = Timers(loop, self.clock)
        self.controller = controller or Controller(config.settings, config.seed)
        self.metrics = Metrics(kind.name for kind in config.settings.classes)
        self.other: Callable[[int, bytes], None] | None = None  # tells the other process of this gateway
        self.move: Callable[[LimitedConnection], None] | None = None  # hands a connection over to it
        self.upstreams = UpstreamPool(
            loop,
            self.clock,
            self.timers,
            self.metrics,
            idle_ms=config.idle_ms,
            connect_timeout_ms=config.connect_timeout_ms,
            max_connections=int(shareable_descriptors(config.sockets) * UPSTREAM_PART),
            report_fields=config.settings.report_fields,
        )
        self.gossip_socket = GossipSocket(config, self.on_gossip)
        self.connections = ConnectionLimiter(shareable_descriptors(config.sockets))
        self.request_validator = RequestValidator(config.settings)
        self.open: dict[int, OpenRequest] = {}
        self.attempts: dict[tuple[int, int], UpstreamAttempt] = {}  # all that are out, also of ended requests
        self.ready = self.draining = self.ending = False
        self._ids = RecentIds()
        self._events: list[Event] = []
        self._opened = 0
        self._end_ms = math.inf  # until then all that comes has to be answered
        self._making_room, self._log_fault_ms = False, 0.0
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            SendAttempt: self._send,
            Reject: self._refuse,
            Fail: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._wake,
            SendGossip: self._tell,
            CheckHealth: self._ignore,
            SubscribeEndpoints: self._ignore,
        }
        self.timers.at(self.clock.now() + SWEEP_INTERVAL_MS, self._sweep)
        self.timers.at(self.clock.now() + REMEMBER_MS, self._forget_ids)

    # -- events

    def enqueue(self, event: Event) -> None:
        """Keep an event for the controller's next turn, at the end of this turn of the loop."""
        if not self._events:
            self.loop.call_soon(self._turn)
        self._events.append(event)

    def _turn(self) -> None:
        events, self._events = self._events, []
        actions: list[Action] = []
        try:
            actions = self.controller.handle(self.clock.now(), events)
            faults = self.controller.errors
        except Exception as problem:  # one bad turn must not end all requests: the guard answers them
            faults = [problem]
        if faults and self.clock.now() >= self._log_fault_ms:
            self._log_fault_ms = self.clock.now() + LOG_EVERY_MS
            log.error(
                "the controller failed on %d of %d events", len(faults), len(events), exc_info=faults[0]
            )
        handlers = self._handlers
        for action in actions:
            handlers[type(action)](action)

    def on_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Discovery has told something."""
        displaced = self.upstreams.update(endpoint_list)
        servers = [entry.endpoint for entry in endpoint_list.entries]
        servers += [replace(entry.endpoint, state=EndpointState.REMOVED) for entry in displaced]
        self.enqueue(EndpointUpdate(tuple(servers), endpoint_list.is_snapshot))

    def on_gossip(self, sender: int, data: bytes) -> None:
        """A peer has told something, be it to this process or to the one before."""
        self.enqueue(GossipReceived(sender, data))
        if self.other is not None and self.move is None:
            self.other(sender, data)

    # -- clients

    def on_client_connected(self, client: ClientConnection) -> None:
        if client.is_transferred:
            self.connections.add_transferred(client, self.clock.now())
        elif not self.connections.add(client, self.clock.now()):
            client.drop()
        elif len(self.connections) > self.connections.max_kept and not self._making_room:
            # Not at once: of those that came in one go, who has a request here is read first, and stays.
            self._making_room = True
            self.timers.at(self.clock.now() + 1.0, self._make_room)

    def _make_room(self) -> None:
        self._making_room = False
        self.connections.evict_excess()

    def on_message_started(self, client: ClientConnection) -> None:
        self.connections.on_message_started(client, self.clock.now())

    def on_client_idle(self, client: ClientConnection) -> None:
        self.connections.on_idle(client, self.clock.now())
        if self.move is not None:
            self.loop.call_soon(self.hand_over_idle)

    def hand_over_idle(self) -> None:
        """Hand over each connection on which nothing is open."""
        for client in list(self.connections.all) if self.move is not None else ():
            if client.is_transferable() and self.move is not None:
                self.move(client)

    def on_client_closed(self, client: ClientConnection, request: OpenRequest | None) -> None:
        self.connections.remove(client)
        if request is not None:
            self.on_client_gone(request)

    def on_client_gone(self, request: OpenRequest) -> None:
        """Nobody waits for a request any more: what of it still comes, or is passed on, breaks off."""
        if not self._close(request):
            return
        self.enqueue(ClientDisconnected(request.id))
        for attempt in self._in_flight(request):
            if attempt.number == request.streaming_attempt:
                attempt.end(AttemptResult.CANCELLED)

    def _in_flight(self, request: OpenRequest) -> list[UpstreamAttempt]:
        """The attempts of a request that are out."""
        keys = ((request.id, number) for number in range(request.attempts))
        return [self.attempts[key] for key in keys if key in self.attempts]

    def open_request(self, client: ClientConnection, received: ReceivedRequest) -> OpenRequest:
        """Open a request that has come in, complete or with the rest of a large body to come.

        From its last byte on it is owed one final answer. Raises BadRequestError.
        """
        upload = received.upload
        parsed = self.request_validator.validate(
            received.method, received.target, received.headers, received.has_body
        )
        # One id is one request: a second of that name, of whomever, would pass for a copy of the first.
        if parsed.id in self._ids:
            raise BadRequestError("x-request-id is in use", 409)
        request = self._open(client, parsed, received)
        deadline_at_ms = self._deadline_at_ms(request)
        if upload is None:
            self._guard(request, deadline_at_ms)
            self.connections.on_request_complete(client)
        self.enqueue(
            RequestArrived(
                request.id,
                parsed.customer,
                request.class_name,
                parsed.plan,
                deadline_at_ms - MARGIN_MS,
                parsed.units,
                parsed.first,
                parsed.spread,
                parsed.is_client_retry,
                is_complete=upload is None,
            )
        )
        return request

    def _open(
        self, client: ClientConnection, parsed: ValidatedRequest, received: ReceivedRequest
    ) -> OpenRequest:
        upload = received.upload
        framing = None
        if upload is not None:
            framing = upload.framing
        elif received.method != b"GET":
            framing = b"Content-Length: %d" % len(received.body)
        head = upstream_head(
            parsed, received.method, received.target, received.headers.get(b"content-type"), framing
        )
        self._opened += 1
        request = OpenRequest(
            self._opened,
            parsed.id,
            parsed.request_class.name,
            client,
            head,
            received.body,
            upload,
            parsed.wait_ms,
        )
        self.open[request.id] = request
        self._ids.open(parsed.id)
        return request

    def _guard(self, request: OpenRequest, deadline_at_ms: float) -> None:
        """Answer a request in time, whatever the controller does."""
        request.guard = self.timers.at(deadline_at_ms - GUARD_MS, lambda: self._overdue(request))

    def _deadline_at_ms(self, request: OpenRequest) -> float:
        """Return until when a request whose last byte has just come is answered; not beyond our own end."""
        now = self.clock.now()
        return min(now + request.wait_ms, max(self._end_ms, now + 2 * MARGIN_MS))

    def on_body_released(self, request: OpenRequest) -> None:
        """A part of a request's body is no longer here."""
        self.enqueue(BodyReleased(request.id))

    def on_request_completed(self, request: OpenRequest) -> None:
        """The last byte of a large request has come: from now on its client waits."""
        deadline_at_ms = self._deadline_at_ms(request)
        self._guard(request, deadline_at_ms)
        now = self.clock.now()
        for attempt in self._in_flight(request):
            attempt.started_ms = now
            self.upstreams.allow(attempt, deadline_at_ms - MARGIN_MS - now)
        self.enqueue(RequestCompleted(request.id, deadline_at_ms - MARGIN_MS))

    def _close(self, request: OpenRequest) -> bool:
        """Take a request off the table; False if it has had its final answer before.

        What was sent of it runs on, until it is called off or answered. An attempt that is not whole at its
        endpoint ends here: it would begin for nobody.
        """
        if self.open.pop(request.id, None) is None:
            return False
        self._ids.end(request.request_id)
        if request.guard is not None:
            request.guard.cancel()
        for attempt in self._in_flight(request):
            if attempt.number != request.streaming_attempt:
                attempt.expire()
        return True

    def _finish(
        self,
        request: OpenRequest,
        how: FinalStatus,
        status: int,
        body: bytes = b"",
        content_type: bytes = b"",
        retry_after_ms: float = 0.0,
    ) -> bool:
        """The one final answer, and the one place where it is counted; False if it went out before."""
        if not self._close(request):
            return False
        self.metrics.on_final_answer(request.class_name, how)
        request.client.send_response(status, body, content_type, retry_after_ms)
        return True

    def _overdue(self, request: OpenRequest) -> None:
        """The last guard: the controller has not answered, and the client is about to give up."""
        if self._finish(request, FinalStatus.FAULTED, 504):
            self.enqueue(ClientDisconnected(request.id))

    # -- actions

    def _send(self, action: SendAttempt) -> None:
        request = self.open.get(action.id)
        number = 0 if request is None else request.attempts
        if request is not None and request.client.is_disconnected():  # its end is here, and not read yet
            self.on_client_gone(request)
            request.client.drop()
            request = None
        if request is None:  # the controller can't know it: it ended in between
            self.enqueue(AttemptEnded(action.id, number, action.endpoint, 0.0, AttemptResult.NOT_SENT, True))
            return
        request.attempts = number + 1
        upload = request.upload
        timeout_ms = action.timeout_ms if upload is None or upload.is_complete else request.wait_ms
        message = request.message(timeout_ms)
        attempt = UpstreamAttempt(
            request.id, number, action.endpoint, message, upload, self._ended, self._begun, action.send_by_ms
        )
        self.attempts[request.id, number] = attempt
        self.upstreams.start(attempt, action.timeout_ms)

    def _begun(
        self, attempt: UpstreamAttempt, source: UpstreamConnection, length: int | None, content_type: bytes
    ) -> ResponseSink | None:
        """A large answer begins to be passed on; not where the request has ended, or another answers."""
        request = self.open.get(attempt.request_id)
        if request is None or request.streaming_attempt is not None:
            return None
        request.streaming_attempt, attempt.answered_ms = attempt.number, self.clock.now()
        for alarm in (request.guard, attempt.alarm):  # from now on it ends when nothing moves any more
            if alarm is not None:
                alarm.cancel()
        request.client.start_response(source, length, content_type)
        self.enqueue(ResponseStarted(request.id, attempt.number, attempt.endpoint_id))
        return request.client

    def _end_passing(self, request: OpenRequest, whole: bool) -> None:
        self._close(request)
        self.metrics.on_final_answer(
            request.class_name, FinalStatus.FULFILLED if whole else FinalStatus.FAULTED
        )
        if whole:
            request.client.finish_response()
        else:
            request.client.abort_response()

    def _ended(
        self,
        attempt: UpstreamAttempt,
        result: AttemptResult,
        body: bytes,
        content_type: bytes,
        load: tuple[float, ...],
    ) -> None:
        """One attempt has its outcome. The first good one is the request's final answer."""
        del self.attempts[attempt.request_id, attempt.number]
        request = self.open.get(attempt.request_id)
        final = request is None
        if request is not None and request.streaming_attempt == attempt.number:
            final = True
            self._end_passing(request, result is AttemptResult.OK)
        elif request is not None and request.streaming_attempt is None and result is AttemptResult.OK:
            final = self._finish(request, FinalStatus.FULFILLED, 200, body, content_type)
        ended_ms = attempt.answered_ms or self.clock.now()  # of a large answer the first bytes count
        self.enqueue(
            AttemptEnded(
                attempt.request_id,
                attempt.number,
                attempt.endpoint_id,
                ended_ms - attempt.started_ms,
                result,
                final,
                load=load,
            )
        )

    def _refuse(self, action: Reject) -> None:
        request = self.open.get(action.id)
        if request is not None:
            self._finish(request, FinalStatus.THROTTLED, 503, retry_after_ms=action.retry_after_ms)

    def _fail(self, action: Fail) -> None:
        request = self.open.get(action.id)
        if request is not None:
            self._finish(request, FinalStatus.FAULTED, 502)

    def _cancel(self, action: CancelAttempt) -> None:
        attempt = self.attempts.get((action.id, action.attempt))
        if attempt is not None:
            attempt.end(AttemptResult.CANCELLED)

    def _wake(self, action: SetTimer) -> None:
        woken = TimerFired(action.name)
        # On the grid of the controller's ticks, so that what is due within one tick takes one turn.
        due_ms, tick_ms = self.clock.now() + action.after_ms, max(1.0, self.settings.tick_ms)
        self.timers.at(math.ceil(due_ms / tick_ms) * tick_ms, lambda: self.enqueue(woken))

    def _tell(self, action: SendGossip) -> None:
        if action.receiver != self.settings.number:
            self.gossip_socket.send(action.receiver, action.data)
        elif self.other is not None:
            self.other(action.receiver, action.data)

    def _ignore(self, _action: Action) -> None:
        """Discovery is watched unasked, and endpoints may not be probed."""

    # -- what operators see

    def metrics_text(self) -> bytes:
        """The figures as they stand now."""
        listed, avoided = self.controller.endpoint_counts(self.clock.now())
        return self.metrics.text(
            open_requests=len(self.open), registry_entries=listed, out_of_rotation=avoided
        )

    # -- another process of this gateway

    def retire(
        self, tell: Callable[[int, bytes], None], move: Callable[[LimitedConnection], None]
    ) -> dict[str, Any]:
        """Leave it to the next process, with all that it has to know; what is open here stays."""
        self.ready, self.other, self.move = False, tell, move
        self.gossip_socket.stop_listening()
        self.upstreams.close_idle_connections()
        self.upstreams.limit(self.upstreams.connections)
        return {
            "names": self._ids.to_json(),
            "module": hot_restart.export_state(self.controller, self.clock.now()).to_json(),
        }

    def take_over(self, state: dict[str, Any], tell: Callable[[int, bytes], None], sockets: int) -> None:
        """Go on with what the process before has left; it still holds all descriptors but `sockets`."""
        self.other = tell
        self._ids.restore(state["names"])
        hot_restart.take_over(self.controller, self.clock.now(), GatewayState.from_json(state["module"]))
        self._limit(sockets)

    def resume_service(self) -> None:
        """The next process has gone: serve again."""
        self.ready, self.other, self.move = True, None, None
        hot_restart.resume(self.controller, self.clock.now())
        self.gossip_socket.listen()
        self._limit(self.config.sockets)

    def on_predecessor_ended(self) -> None:
        """The process before has ended."""
        self.other = None
        hot_restart.on_predecessor_ended(self.controller)
        self._limit(self.config.sockets)

    def _limit(self, sockets: int) -> None:
        self.connections.limit(shareable_descriptors(sockets))
        self.upstreams.limit(int(shareable_descriptors(sockets) * UPSTREAM_PART))

    # -- housekeeping

    def _sweep(self) -> None:
        now = self.clock.now()
        self.timers.at(now + SWEEP_INTERVAL_MS, self._sweep)
        self.hand_over_idle()
        for client in [one.client for one in self.open.values() if one.upload is not None]:
            if client.is_disconnected():
                client.drop()
        self.connections.sweep(now, self.draining)

    def _forget_ids(self) -> None:
        self.timers.at(self.clock.now() + REMEMBER_MS, self._forget_ids)
        self._ids.rotate()

    def begin_shutdown(self, within_ms: float) -> None:
        """A planned end: what comes is served as before, but nothing is promised beyond that time."""
        self.ready, self.ending, self._end_ms = False, True, self.clock.now() + within_ms

    def drain(self) -> None:
        """From now on keep no connection."""
        self.draining, self.ready = True, False

    def close_idle(self) -> None:
        """Close the connections on which nothing is open."""
        for client in list(self.connections.all):
            client.close_if_idle()

    def has_open_work(self) -> bool:
        """Whether a request is open here, or a connection of a client."""
        return bool(self.open or self.connections)

    def finishes(self) -> bool:
        """Whether anything taken is not answered, or not yet written out; new idle connections close, or
        are handed over.
        """
        self.hand_over_idle()
        self.close_idle()
        return self.has_open_work()
