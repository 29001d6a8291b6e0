"""A fleet of gateways on a simulated clock, with random events and a check of the service rules."""

import heapq
import random
from typing import NamedTuple

from gateway.interface.actions import CancelAttempt, Fail, Reject, SendAttempt, SendGossip, SetTimer
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    GossipReceived,
    ResponseStarted,
    TimerFired,
)
from gateway.policy.controller import Controller
from support.policy_settings import TICK_MS, settings
from support.rule_checker import RuleChecker
from support.simulated_arrivals import draw_arrival
from support.simulated_endpoints import SimulatedEndpoints

START_MS = 1000.0
MAX_DATAGRAM_BYTES = 256  # maximum size of a gossip datagram
MAX_DRAIN_MS = 60_000  # maximum time from the last arrival of a request to the last answer
MIN_TIMER_MS = 1e-3  # minimum delay of a timer
CANCELLATION_DELAY_MS = 0.5  # time from a CancelAttempt action to the end of the attempt
MEAN_DATAGRAM_DELAY_MS = 60  # mean of the exponentially distributed network delay of a datagram
ENDPOINT_CHANGE_PROBABILITY = 0.002  # probability per tick that an endpoint changes its state
TRUNCATION_PROBABILITY = 0.02  # probability that the network truncates a datagram


class AttemptId(NamedTuple):
    """The id of a request, and the number of one of its attempts, from 0."""

    request_id: int
    attempt: int


class OpenAttempt(NamedTuple):
    """An attempt that a gateway has sent, and that has no result yet."""

    gateway: int
    endpoint: Endpoint
    sent_ms: float


class AttemptOutcome(NamedTuple):
    """The result with which an attempt will end."""

    id: AttemptId
    result: AttemptResult


class ScheduledEvent(NamedTuple):
    """An event with the time at which a gateway receives it, ordered by time and then by serial number.

    Events for an earlier incarnation of the gateway are dropped, except datagrams.
    """

    at_ms: float
    serial: int
    gateway: int
    incarnation: int
    event: object


class SimulatedFleet:
    """A few gateways, random endpoints, and a network that loses, delays, duplicates and truncates datagrams.

    `kill_probability` and `disconnect_probability` are the probabilities per tick that a gateway is killed
    and that a client disconnects. `loss_probability` is the probability that a datagram is lost.
    """

    def __init__(
        self,
        seed,
        gateways=3,
        kill_probability=0.0005,
        loss_probability=0.3,
        arrivals_per_s=120,
        disconnect_probability=0.0,
        **setting_changes,
    ):
        self.rng = random.Random(seed)
        self.kill_probability = kill_probability
        self.loss_probability = loss_probability
        self.arrivals_per_s = arrivals_per_s
        self.disconnect_probability = disconnect_probability
        self.setting_changes = setting_changes
        self.settings = settings(gateways=gateways, **setting_changes)
        self.checker = RuleChecker(self.settings)
        self.now_ms = START_MS
        self.serial = 0
        self.scheduled = []  # heap of the events that no gateway has received yet
        self.turns = []  # gateway, time and actions of each call of a controller
        self.disconnected_before_sending = 0  # number of clients that disconnected before the first attempt
        self.inboxes = {n: [] for n in range(gateways)}
        self.endpoints = SimulatedEndpoints(self.rng, gateways)
        self.incarnations = dict.fromkeys(range(gateways), 0)
        self.controllers = {}
        self.attempts = {}  # attempts without a result, by AttemptId
        self.streaming_requests = set()  # ids of open requests whose response has started
        for n in range(gateways):
            self._start_controller(n)

    def run(self, duration_ms):
        """Simulate arrivals for `duration_ms`, and go on without arrivals until every request has ended.

        Raises AssertionError if a rule is broken, a controller reports an error, or requests stay open.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms or self.checker.open_requests:
            self.now_ms += TICK_MS
            if self.now_ms < end_ms:
                self._add_random_events()
            if self.checker.open_requests and self._draw_event(self.disconnect_probability):
                self._disconnect_client()
            self._deliver_due_events()
            self._run_controllers()
            overdue = [
                n for n in self.checker.overdue_requests(self.now_ms) if n not in self.streaming_requests
            ]
            assert not overdue, f"rule 1: no answer by the deadline for requests {overdue[:3]}"
            assert self.now_ms < end_ms + MAX_DRAIN_MS, (
                f"rule 1: requests {list(self.checker.open_requests)[:3]} are open "
                f"{MAX_DRAIN_MS} ms after the last arrival"
            )

    def _draw_event(self, probability):
        """Draw whether an event occurs.

        A probability of 0 uses no random number, and so leaves the other random events unchanged.
        """
        return probability > 0 and self.rng.random() < probability

    def _start_controller(self, gateway):
        self.incarnations[gateway] += 1
        gateway_settings = settings(
            gateway_number=gateway, gateways=len(self.incarnations), **self.setting_changes
        )
        self.controllers[gateway] = Controller(gateway_settings, self.rng.randrange(1 << 30))
        self.inboxes[gateway] = [EndpointUpdate(tuple(self.endpoints.all))]
        self.endpoints.record_snapshot(gateway, self.now_ms)

    def _schedule(self, delay_ms, gateway, event):
        self.serial += 1
        incarnation = self.incarnations[gateway]
        heapq.heappush(
            self.scheduled, ScheduledEvent(self.now_ms + delay_ms, self.serial, gateway, incarnation, event)
        )

    def _add_random_events(self):
        per_tick = self.arrivals_per_s * TICK_MS / 1000
        while self.rng.random() < per_tick / (1 + per_tick):
            self._add_arrival()
        if self.rng.random() < ENDPOINT_CHANGE_PROBABILITY:
            self._change_endpoint()
        if self.rng.random() < self.kill_probability:
            self._restart_gateway(self.rng.randrange(len(self.controllers)))

    def _add_arrival(self):
        self.serial += 1
        arrival = draw_arrival(self.rng, self.settings, self.serial, len(self.controllers), self.now_ms)
        self.checker.on_arrival(*arrival)
        self.inboxes[arrival.gateway].append(arrival.event)

    def _change_endpoint(self):
        changed = self.endpoints.advance_random_endpoint(self.now_ms)
        for inbox in self.inboxes.values():
            inbox.append(EndpointUpdate((changed,), is_snapshot=False))

    def _restart_gateway(self, gateway):
        self.checker.on_gateway_killed(gateway)
        self.attempts = {id_: attempt for id_, attempt in self.attempts.items() if attempt.gateway != gateway}
        self._start_controller(gateway)

    def _disconnect_client(self):
        request_id = self.rng.choice(list(self.checker.open_requests))
        gateway = self.checker.close(request_id)
        self.streaming_requests.discard(request_id)
        self.inboxes[gateway].append(ClientDisconnected(request_id))
        self.disconnected_before_sending += not self.checker.requests[request_id].attempts

    def _deliver_due_events(self):
        while self.scheduled and self.scheduled[0].at_ms <= self.now_ms:
            due = heapq.heappop(self.scheduled)
            is_current = due.incarnation == self.incarnations[due.gateway]
            if isinstance(due.event, GossipReceived) or is_current:
                self._deliver_event(due.gateway, due.event)

    def _deliver_event(self, gateway, event):
        if isinstance(event, AttemptOutcome):
            self._end_attempt(gateway, event)
        elif not isinstance(event, ResponseStarted):
            self.inboxes[gateway].append(event)
        elif event.id in self.checker.open_requests and AttemptId(event.id, event.attempt) in self.attempts:
            self.streaming_requests.add(event.id)
            self.inboxes[gateway].append(event)

    def _end_attempt(self, gateway, outcome):
        request_id, attempt = outcome.id
        ended = self.attempts.pop(outcome.id, None)
        if ended is None:
            return
        if outcome.result.proves_not_executed:
            self.checker.on_not_executed(request_id, attempt)
        is_success = outcome.result is AttemptResult.OK or request_id in self.streaming_requests
        if request_id in self.checker.open_requests and is_success:
            self.streaming_requests.discard(request_id)
            self.checker.on_success(self.now_ms, request_id)
        is_final = request_id not in self.checker.open_requests
        duration_ms = self.now_ms - ended.sent_ms
        queue_length = self.rng.choice((0, 1, 3))
        self.inboxes[gateway].append(
            AttemptEnded(
                request_id,
                attempt,
                ended.endpoint.id,
                duration_ms,
                outcome.result,
                is_final,
                queue_length,
                0,
                (0.5, 2.0),
            )
        )

    def _run_controllers(self):
        for gateway, controller in self.controllers.items():
            events = self.inboxes[gateway]
            self.inboxes[gateway] = []
            if not events:
                continue
            actions = controller.handle(self.now_ms, events)
            assert not controller.errors, f"errors of gateway {gateway}: {controller.errors}"
            self.turns.append((gateway, self.now_ms, actions))
            for action in actions:
                self._execute_action(gateway, action)

    def _execute_action(self, gateway, action):
        match action:
            case SendAttempt():
                self._send_attempt(gateway, action)
            case Reject() | Fail():
                self._check_answer(action)
            case CancelAttempt():
                outcome = AttemptOutcome(AttemptId(action.id, action.attempt), AttemptResult.CANCELLED)
                self._schedule(CANCELLATION_DELAY_MS, gateway, outcome)
            case SetTimer():
                self._schedule(max(action.after_ms, MIN_TIMER_MS), gateway, TimerFired(action.name))
            case SendGossip():
                self._send_datagram(gateway, action)

    def _send_attempt(self, gateway, action):
        endpoint = self.endpoints.endpoint_by_id(action.endpoint)
        withdrawn_ms = self.endpoints.withdrawn_ms[gateway].get(endpoint.id)
        self.checker.on_send(self.now_ms, action, endpoint, withdrawn_ms)
        id_ = AttemptId(action.id, len(self.checker.requests[action.id].attempts) - 1)
        result, duration_ms = self.endpoints.draw_result(action.timeout_ms)
        self.attempts[id_] = OpenAttempt(gateway, endpoint, self.now_ms)
        if result is AttemptResult.OK and self.checker.class_of(action.id).streamed:
            self._schedule(duration_ms / 2, gateway, ResponseStarted(*id_, endpoint.id))
        self._schedule(duration_ms, gateway, AttemptOutcome(id_, result))

    def _check_answer(self, action):
        if action.id not in self.checker.open_requests:
            return
        assert action.id not in self.streaming_requests, (
            f"rule 1: {action} ends a request whose response has started"
        )
        if isinstance(action, Reject):
            self.checker.on_rejection(self.now_ms, action.id, action.retry_after_ms)
        else:
            self.checker.on_failure(self.now_ms, action.id)

    def _send_datagram(self, gateway, action):
        assert len(action.data) <= MAX_DATAGRAM_BYTES, (
            f"gateway {gateway} sent a datagram of {len(action.data)} bytes, "
            f"expected at most {MAX_DATAGRAM_BYTES}"
        )
        copies = 0 if self.rng.random() < self.loss_probability else self.rng.choice((1, 1, 1, 2))
        for _ in range(copies):
            is_complete = self.rng.random() > TRUNCATION_PROBABILITY
            data = action.data if is_complete else action.data[: self.rng.randrange(20)]
            delay_ms = self.rng.expovariate(1 / MEAN_DATAGRAM_DELAY_MS)
            self._schedule(delay_ms, action.receiver, GossipReceived(gateway, data))
