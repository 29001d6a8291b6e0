"""The policy and the tables of the network code, joined without sockets and with a manual clock."""

import contextlib
import heapq
import itertools

from gateway.interface.actions import (
    CancelAttempt,
    Fail,
    ForwardResponse,
    Reject,
    SendAttempt,
    SetTimer,
)
from gateway.interface.events import (
    AttemptResult,
    BodyReleased,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    RequestCompleted,
    TimerFired,
)
from gateway.network.admin.metrics import Metrics
from gateway.network.attempt_runner import AttemptRunner
from gateway.network.attempt_table import AttemptTable
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_validator import ValidatedRequest
from gateway.network.clock import Clock, Timers
from gateway.network.controller_loop import ControllerLoop
from gateway.network.request_table import RequestTable
from gateway.network.upstream.attempt import AttemptOutcome
from gateway.policy.controller import Controller
from gateway.policy.requests.request_record import RequestPhase
from gateway.policy.state_transfer import hot_restart
from support.policy_settings import settings

ENDPOINT_COUNT = 4
LARGE_LENGTH = 1_000_000  # bytes of a response that is forwarded while it is received
MAX_SETTLING_MS = 20_000  # after this time every request has ended by its timers


class InjectedError(Exception):
    """An error of the network code that a test injects."""


class ManualLoop:
    """An event loop and its clock, which advance only if told."""

    def __init__(self):
        self.now_ms = 1e6
        self._ready = []
        self._scheduled = []
        self._serial = itertools.count()

    def now(self):
        """Return the time in milliseconds."""
        return self.now_ms

    def call_soon(self, callback, *arguments):
        """Schedule a call for the next `run_ready`."""
        self._ready.append(lambda: callback(*arguments))

    def call_later(self, delay_s, callback):
        """Schedule a call for a time that `advance` reaches, and return a handle that can cancel it."""
        handle = _Handle(callback)
        heapq.heappush(self._scheduled, (self.now_ms + 1000 * delay_s, next(self._serial), handle))
        return handle

    def run_ready(self):
        """Make the calls that are ready, and those that they cause."""
        while self._ready:
            ready, self._ready = self._ready, []
            for call in ready:
                with contextlib.suppress(InjectedError):
                    call()

    def advance(self, duration_ms):
        """Advance the clock; calls that expire together are made before the calls that they cause."""
        self.now_ms += duration_ms
        while self._scheduled and self._scheduled[0][0] <= self.now_ms:
            with contextlib.suppress(InjectedError):
                heapq.heappop(self._scheduled)[2].run()


class _Handle:
    def __init__(self, callback):
        self.run = callback

    def cancel(self):
        self.run = lambda: None


class ManualClock(Clock):
    """The clock of a ManualLoop."""

    def __init__(self, loop):
        self.now = loop.now


class RecordingClient:
    """A client that counts its responses, and whose next response can fail."""

    def __init__(self):
        self.responses = 0
        self.has_left_unread = False  # whether it has disconnected without the event loop's notice
        self.raises = False
        self.has_wide_window = False
        self.transport = None

    def send_response(self, *_arguments):
        """Count a complete response."""
        self.responses += 1
        if self.raises:
            raise InjectedError

    def start_response(self, *_arguments):
        """Begin a response that is forwarded."""

    def finish_response(self):
        """Count the end of a forwarded response."""
        self.send_response()

    abort_response = finish_response

    def is_disconnected(self):
        """Return whether the client has disconnected."""
        return self.has_left_unread

    def close_disconnected(self):
        """Do nothing: the connection has no socket."""


class SentConnection:
    """The endpoint connection of an attempt that has been sent, or of whose request a part is unsent."""

    is_request_unsent = False

    def forward_response(self):
        """Do nothing: the test forwards responses itself."""

    def discard(self):
        """Do nothing: there is no socket."""


class ManualPool:
    """Attempts that the test answers."""

    def __init__(self):
        self.raises = False
        self.is_unsent = False  # whether the requests of further attempts stay unsent

    def start_attempt(self, attempt, _timeout_ms):
        """Send the attempt, or raise the error that the test has requested."""
        if self.raises:
            raise InjectedError
        if not self.is_unsent:
            attempt.connection = SentConnection()

    def start_timeout(self, attempt, timeout_ms):
        """Do nothing: the test ends attempts."""


class OpenWork:
    """A controller and the tables of the network code, with steps that a test takes in any order."""

    def __init__(self, **changes):
        self.settings = settings(gateways=1, **changes)
        self.loop = ManualLoop()
        clock = ManualClock(self.loop)
        timers = Timers(self.loop, clock)
        self.controller = Controller(self.settings, 1)
        self.controller_loop = ControllerLoop(self.loop, clock, self.controller, self)
        self.attempts = AttemptTable()
        metrics = Metrics(request_class.name for request_class in self.settings.classes)
        self.requests = RequestTable(clock, timers, metrics, self.attempts, self.controller_loop)
        self.pool = ManualPool()
        self.runner = AttemptRunner(clock, self.pool, self.requests, self.attempts, self.controller_loop)
        self._timers = timers
        self._serial = itertools.count(1)
        self.update_endpoints([EndpointState.READY] * ENDPOINT_COUNT)

    # -- actions of the controller

    def send_attempt(self, action: SendAttempt):
        """Send an attempt."""
        self.runner.send_attempt(action)

    def cancel_attempt(self, action: CancelAttempt):
        """Cancel an attempt."""
        self.runner.cancel_attempt(action)

    def forward_response(self, action: ForwardResponse):
        """Forward a buffered response."""
        self.runner.forward_response(action)

    def reject(self, action: Reject):
        """Answer 503."""
        self.requests.reject(action.id, action.retry_after_ms)

    def fail(self, action: Fail):
        """Answer 502."""
        self.requests.fail(action.id)

    def set_timer(self, action: SetTimer):
        """Wake the controller up later."""
        fired = TimerFired(action.name)
        at_ms = self.loop.now() + action.after_ms
        self._timers.call_at(at_ms, lambda: self.controller_loop.enqueue(fired))

    def send_gossip(self, action):
        """Do nothing: there is no other gateway."""

    subscribe_endpoints = check_health = send_gossip

    # -- steps

    def arrive(self, class_index, plan_index, *, is_complete=True):
        """Open a request and report its arrival."""
        request_class = self.settings.classes[class_index % len(self.settings.classes)]
        plan = self.settings.plans[plan_index % len(self.settings.plans)]
        serial = next(self._serial)
        validated = ValidatedRequest(
            b"r%d" % serial, f"c{serial % 3}", request_class, plan.name, 2000.0, 1.0, 1, 0, False, None
        )
        received = ReceivedRequest(b"GET", b"/", {}, b"", None)
        request = self.requests.add(RecordingClient(), validated, received)
        deadline_at_ms = self.loop.now() + request.wait_ms
        self.requests.start_guard_timer(request, deadline_at_ms)
        self.controller_loop.enqueue(
            RequestArrived(
                request.id,
                validated.customer,
                request.class_name,
                plan.name,
                deadline_at_ms - 20.0,
                is_complete=is_complete,
            )
        )

    def complete(self, index):
        """Report the last byte of a request."""
        if request := self._request(index):
            self.controller_loop.enqueue(RequestCompleted(request.id, self.loop.now() + 1000.0))

    def release_body(self, index):
        """Report that the start of a request's body is no longer stored."""
        if request := self._request(index):
            self.controller_loop.enqueue(BodyReleased(request.id))

    def leave(self, index):
        """Report that a client has disconnected."""
        if request := self._request(index):
            self.requests.on_client_disconnected(request)

    def leave_unread(self, index):
        """Let a client disconnect without the event loop's notice."""
        if request := self._request(index):
            request.client.has_left_unread = True

    def end_attempt(self, index, result):
        """End an attempt."""
        if attempt := self._attempt(index):
            attempt.end(AttemptOutcome(result))

    def begin_response(self, index):
        """Report the begin of a response without a stated length."""
        if attempt := self._attempt(index):
            attempt.on_response_begun()

    def forward(self, index):
        """Begin to forward a response."""
        if (attempt := self._attempt(index)) and attempt.start_forwarding(self, LARGE_LENGTH, b"") is None:
            attempt.fail(AttemptResult.ERROR)

    def update_endpoints(self, states):
        """Report a snapshot of the endpoint list."""
        endpoints = [Endpoint(f"s{n}", "z0", n, state) for n, state in enumerate(states)]
        self.controller_loop.enqueue(EndpointUpdate(tuple(endpoints)))

    def retire(self):
        """Export the controller's state for a successor."""
        hot_restart.export_state(self.controller, self.loop.now())

    def resume(self):
        """Serve again after the end of the successor."""
        hot_restart.end_retirement(self.controller, self.loop.now())

    def raise_in_response(self, index):
        """Let the next response to a client raise an error."""
        if request := self._request(index):
            request.client.raises = True

    def set_pool(self, *, raises=False, is_unsent=False):
        """Let further attempts raise an error, or stay unsent."""
        self.pool.raises = raises
        self.pool.is_unsent = is_unsent

    def turn(self):
        """Have the controller handle the events that are queued."""
        self.loop.run_ready()

    def advance(self, duration_ms):
        """Advance the clock, and have the timers expire."""
        self.loop.advance(duration_ms)

    def settle(self):
        """Answer all attempts and let all timers expire, until nothing is open."""
        self.set_pool()
        for request in self.requests.open_requests.values():
            request.client.raises = False
        self.turn()
        for _ in range(MAX_SETTLING_MS // 500):
            for attempt in list(self.attempts.in_flight.values()):
                attempt.end(AttemptOutcome(AttemptResult.OK))
            self.turn()
            self.advance(500.0)
            self.turn()

    def finish(self):
        """Settle, and check that nothing remains open."""
        self.settle()
        self.check_counts()
        assert not self.requests.open_requests and not self.attempts.in_flight

    def _request(self, index):
        requests = list(self.requests.open_requests.values())
        return requests[index % len(requests)] if requests else None

    def _attempt(self, index):
        attempts = list(self.attempts.in_flight.values())
        return attempts[index % len(attempts)] if attempts else None

    # -- the counts

    def check_counts(self):
        """Check that the policy counts as open what the network has open; no event may be queued."""
        flow = self.controller.flow
        table = flow.attempts.table
        assert set(table._records) == set(self.attempts.in_flight)
        assert set(flow.open_requests) == set(self.requests.open_requests)
        executing = [attempt for attempt in table if attempt.is_executing]
        for request in self.requests.open_requests.values():
            if request.streaming_attempt is not None:
                assert not table._records[request.id, request.streaming_attempt].is_executing
        assert flow.attempts.limiter.in_flight.value == len(executing)
        for endpoint in self.controller.directory.table.by_id.values():
            assert endpoint.in_flight == sum(attempt.endpoint is endpoint for attempt in executing)
        queued = [request for request in flow.open_requests.values() if request.phase is RequestPhase.QUEUED]
        assert sorted(request.id for request in flow.dispatcher.queue) == sorted(
            request.id for request in queued
        )
        for account in flow.lease_client.accounts.by_key.values():
            admitted = [
                request
                for request in flow.open_requests.values()
                if request.account is account and not request.awaits_quota
            ]
            assert account.in_flight == len(admitted)
        leased = {request.lease_id: request for request in flow.open_requests.values() if request.lease_id}
        assert set(flow.lease_client.leases._requests_by_lease_id) <= set(leased)
        for request in flow.open_requests.values():
            attempt_numbers = {number for request_id, number in table._records if request_id == request.id}
            assert set(request.in_flight_endpoints) == attempt_numbers
