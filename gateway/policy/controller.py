"""The controller of one gateway: it passes events to its components, and returns the actions they request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gateway.gossip.codec import REPLY_KINDS, QuotaEntry, decode, encode
from gateway.interface import events
from gateway.interface.actions import Action, SendGossip, SetTimer, SubscribeEndpoints
from gateway.interface.settings import Settings
from gateway.policy.context import CONTROL_PERIOD_MS, PolicyContext
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.gossip.pace import GossipPacer
from gateway.policy.quota.leader_bucket import LeaseKey
from gateway.policy.requests.request_flow import RequestFlow
from gateway.policy.requests.request_record import RequestRecord
from gateway.policy.timers import REQUEST_TIMER_KINDS, Timer, TimerKind

CLEANUP_INTERVAL_MS = 1000.0  # interval at which unused accounts, buckets and timers are dropped
WAKE_UP_TIMER_NAME = "agenda"  # name in all SetTimer actions; recordings of simulated days contain it

_RequestEvent = (
    events.DeadlineUpdated
    | events.ResponseBegun
    | events.ResponseStarted
    | events.BodyReleased
    | events.RequestCompleted
    | events.ClientDisconnected
)


@dataclass(frozen=True, slots=True)
class OpenCounts:
    """What the policy counts as open; the network code has the same number of each."""

    requests: int  # that have no final answer
    attempts: int  # in flight, including those of requests that have ended
    executing_attempts: int  # that count toward the concurrency limit


class Controller:
    """Decides which actions one gateway takes in response to events.

    The decisions are deterministic: the same settings, seed, events and times result in the same actions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without requests or endpoints; `seed` determines all random numbers."""
        self.settings = settings
        self.errors: list[Exception] = []  # exceptions raised while the last turn's events were handled
        self.context = PolicyContext(settings, seed)
        self.flow = RequestFlow(self.context, self._send_quota_entry)
        self.pacer = GossipPacer(self.context)
        self.selector = self.flow.attempts.selector
        self.directory = self.flow.attempts.selector.directory
        # Endpoints that stopped being ready in this turn.
        self._withdrawn_endpoints: list[EndpointRecord] = []
        self._cleanup_at_ms = 0.0

    def handle(self, now_ms: float, new_events: list[events.Event]) -> list[Action]:
        """Handle the events of one turn and return the actions to carry out.

        If a step raises an exception, the other steps of the turn are still taken, and all actions are
        returned: an attempt that the policy counts has to be sent. The exception is in `errors` until the
        next turn, and the caller has to log it.
        """
        self._start_turn(now_ms)
        for event in new_events:
            self._take_step(self._on_event, event)
        if self._withdrawn_endpoints and self.settings.may_hedge:
            self._take_step(self._hedge_at_withdrawn_endpoints)
        while timer := self.context.timers.pop_expired(now_ms):
            self._take_step(self._on_timer, timer)
        self._take_step(self.flow.dispatcher.dispatch)
        self._take_step(self.context.timers.compact, self.flow.open_requests)
        self._take_step(self._send_gossip)
        self._take_step(self._request_wake_up)
        return self.context.turn.actions

    def _take_step(self, step: Callable[..., None], *arguments: object) -> None:
        try:
            step(*arguments)
        except Exception as error:  # the caller logs `errors`
            self.errors.append(error)

    def endpoint_counts(self, now_ms: float) -> tuple[int, int]:
        """Return the number of listed endpoints, and the number of these that get few attempts or none."""
        self.context.turn.now_ms = now_ms
        listed = self.directory.table.listed()
        return len(listed), sum(self.selector.avoids(endpoint) for endpoint in listed)

    def limit_customers(self, max_customers: float) -> None:
        """Set the number of customers for which accounts, and for which leader's buckets, may be kept.

        Requests and lease requests of further customers are rejected until others can be dropped.
        """
        self.context.max_customers = max_customers

    def customer_count(self) -> int:
        """Return the number of customers for which this gateway keeps an account or a leader's bucket."""
        return len(self.flow.lease_client.accounts.by_key) + len(self.flow.leader.buckets)

    def open_counts(self) -> OpenCounts:
        """Return the requests and attempts that the policy counts as open at present."""
        attempts = self.flow.attempts
        return OpenCounts(len(self.flow.open_requests), len(attempts.table), attempts.limiter.in_flight.value)

    def _start_turn(self, now_ms: float) -> None:
        turn = self.context.turn
        timers = self.context.timers
        is_first = turn.started_at_ms is None
        turn.start(now_ms)
        timers.clear_reached_wake_up(now_ms)
        self.errors = []
        self._withdrawn_endpoints = []
        if is_first:
            self.context.role.started_at_ms = now_ms
            timers.schedule(now_ms, TimerKind.CONTROL_PERIOD)
            timers.schedule(now_ms, TimerKind.SUBSCRIBE)

    # -- events

    def _on_event(self, event: events.Event) -> None:
        """Handle one event.

        An event about a request that is not open has no effect, unless it is AttemptEnded.
        TimerFired has no handler of its own: every turn handles all timers in the timer queue that have
        expired.
        """
        match event:
            case events.AttemptEnded():
                self.flow.on_attempt_ended(event)
            case events.RequestArrived():
                self.flow.on_arrival(event)
            case events.GossipReceived():
                self._on_gossip(event)
            case events.EndpointUpdate():
                self._on_endpoint_update(event)
            case (
                events.ResponseStarted()
                | events.BodyReleased()
                | events.RequestCompleted()
                | events.DeadlineUpdated()
                | events.ResponseBegun()
                | events.ClientDisconnected()
            ):
                if event.id in self.flow.open_requests:
                    self._on_request_event(self.flow.open_requests[event.id], event)

    def _on_request_event(self, request: RequestRecord, event: _RequestEvent) -> None:
        """Handle an event of an open request."""
        match event:
            case events.ResponseStarted():
                if request.attempts_sent:
                    self.flow.on_response_started(request, event)
            case events.BodyReleased():
                request.body_released = True
            case events.RequestCompleted():
                self.flow.on_request_completed(request, event)
            case events.DeadlineUpdated():
                self.flow.on_deadline_updated(request, event)
            case events.ResponseBegun():
                request.begun_attempts.add(event.attempt)
            case events.ClientDisconnected():
                self.flow.close_request(request)

    def _on_endpoint_update(self, update: events.EndpointUpdate) -> None:
        if update.failed:
            self.directory.on_update_failed()
            return
        self._withdrawn_endpoints += self.directory.apply_update(update)
        self.flow.attempts.limiter.update_limit(self.directory.capacity)

    def _hedge_at_withdrawn_endpoints(self) -> None:
        """Hedge the requests in flight at endpoints that stopped being ready in this turn."""
        self.flow.attempts.hedge_at_withdrawn_endpoints(
            list(self.flow.open_requests.values()), self._withdrawn_endpoints
        )

    def _on_gossip(self, event: events.GossipReceived) -> None:
        """Handle a datagram.

        A datagram has no effect if it cannot be decoded, if its sender is not in the fleet, or if it comes
        from this process itself.
        """
        message = decode(event.data)
        is_from_itself = event.sender == self.settings.gateway_number and not self.context.role.has_sibling
        if message is None or event.sender >= self.settings.gateways or is_from_itself:
            return
        self.pacer.on_message_received(event.sender)
        self.flow.attempts.limiter.on_peer_target(message.target_concurrency)
        # During a stall of this process, datagrams wait in the socket, and their observations become
        # outdated.
        if not self.context.turn.follows_stall:
            self.selector.on_observations(message.observations)
        self.flow.lease_client.mark_responsive(event.sender)
        for entry in message.entries:
            self._on_quota_entry(event.sender, message.incarnation, entry)

    # -- quota entries

    def _send_quota_entry(self, gateway: int, entry: QuotaEntry, incarnation: int | None = None) -> None:
        """Send a quota entry to a gateway; an entry that is addressed to this process is handled at once.

        `incarnation` identifies the process to which the entry is addressed; None stands for the process that
        admits requests. If the settings permit no gossip, entries for other processes are dropped.
        """
        role = self.context.role
        may_be_for_this_process = gateway == self.settings.gateway_number and not role.is_retired
        if may_be_for_this_process and incarnation in (None, role.incarnation):
            self._on_quota_entry(gateway, role.incarnation, entry)
        elif self.settings.may_gossip:
            self.pacer.outbox.add(gateway, entry)

    def _on_quota_entry(self, sender: int, incarnation: int, entry: QuotaEntry) -> None:
        """Handle a quota entry from the process `incarnation` of the gateway `sender`.

        An entry for the quota leader has no effect if the settings lack its class or its plan, or if this
        process is retired.
        """
        if entry.kind in REPLY_KINDS:
            self.flow.lease_client.on_reply(sender, entry)
            return
        has_plan = entry.plan_index < len(self.settings.plans)
        has_class = entry.class_index < len(self.settings.classes)
        if has_plan and has_class and not self.context.role.is_retired:
            self.flow.leader.on_entry(LeaseKey(sender, incarnation, entry.lease_id), entry)

    # -- timers

    def _on_timer(self, timer: Timer) -> None:
        if timer.kind in REQUEST_TIMER_KINDS:
            request = self.flow.open_requests.get(timer.subject)
            if request is not None and not request.is_streaming:
                self.flow.on_timer(timer.kind, request)
            return
        match timer.kind:
            case TimerKind.CONTROL_PERIOD:
                self._run_control_period()
            case TimerKind.SERVE_LEASE_QUEUE:
                self.flow.leader.on_timer(timer.subject)
            case TimerKind.SUBSCRIBE if self.settings.must_subscribe:
                self.context.turn.actions.append(SubscribeEndpoints())

    def _run_control_period(self) -> None:
        """Update all feedback controllers and averages for one control period."""
        now_ms = self.context.turn.now_ms
        self.context.timers.schedule(now_ms + CONTROL_PERIOD_MS, TimerKind.CONTROL_PERIOD)
        self.flow.dispatcher.update_shares()
        self.pacer.decay_received_count()
        self.selector.advance_period()
        if now_ms >= self._cleanup_at_ms:
            self._cleanup_at_ms = now_ms + CLEANUP_INTERVAL_MS
            self._drop_unused_state()
        self.flow.attempts.limiter.advance_period(self.directory.capacity)

    def _drop_unused_state(self) -> None:
        """Drop unused accounts and unused buckets."""
        self.flow.lease_client.accounts.drop_idle_accounts(self.flow.open_requests.values())
        self.flow.leader.drop_idle_buckets()

    # -- actions at the end of a turn

    def _send_gossip(self) -> None:
        messages = self.pacer.take_messages()
        if not messages:
            return
        incarnation = self.context.role.incarnation
        target = self.flow.attempts.limiter.target
        observations = self.selector.outliers.recent_own_observations()
        for message in messages:
            data = encode(incarnation, target, message.entries, observations)
            self.context.turn.actions.append(SendGossip(message.gateway, data))

    def _request_wake_up(self) -> None:
        turn = self.context.turn
        after_ms = self.context.timers.request_wake_up(turn.now_ms, self.flow.open_requests)
        if after_ms is not None:
            turn.actions.append(SetTimer(after_ms, WAKE_UP_TIMER_NAME))
